//! Nothing of a deployment stands in the sources: classes, tenants, zones, kinds, limits and costs come from the settings.
#![allow(
    missing_docs,
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "test code"
)]

use std::path::{Path, PathBuf};

fn files(folder: &Path, ending: &str) -> Vec<PathBuf> {
    let mut found = Vec::new();
    for entry in std::fs::read_dir(folder).unwrap().flatten() {
        let path = entry.path();
        if path.is_dir() {
            found.extend(files(&path, ending));
        } else if path.extension().is_some_and(|known| known == ending) {
            found.push(path);
        }
    }
    found
}

/// The names in a deployment's file, and of its limits and costs those figures that none has by chance.
fn own(site: &str) -> Vec<String> {
    let mut own = Vec::new();
    for line in site
        .lines()
        .map(|line| line.split('#').next().unwrap_or_default())
    {
        let Some((key, value)) = line.split_once('=') else {
            continue;
        };
        let quoted = value.split('"').skip(1).step_by(2).map(str::to_owned);
        match key.trim() {
            "name" | "zones" => own.extend(quoted),
            // At least three figures that are not noughts.
            _ => own.extend(
                value
                    .split(|c: char| !c.is_ascii_digit() && c != '.')
                    .filter(|number| {
                        number.chars().filter(|c| ('1'..='9').contains(c)).count() >= 3
                    })
                    .map(str::to_owned),
            ),
        }
    }
    // Words that the settings' own form has, whatever the deployment.
    let common = [
        "burst", "hot_key", "scan", "reading", "curve", "tall", "flat",
    ];
    own.retain(|word| !common.contains(&word.as_str()));
    own
}

#[test]
fn no_class_tenant_zone_limit_or_cost_of_any_deployment_stands_in_the_sources() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let sites: Vec<_> = files(&root.join("deploy/sites"), "toml")
        .into_iter()
        .map(|path| std::fs::read_to_string(path).unwrap())
        .collect();
    assert!(sites.len() >= 2, "two deployments of the repository's own");
    let own: Vec<_> = sites.iter().flat_map(|site| own(site)).collect();
    for name in [
        "fjord-ferry",
        "berth-hold",
        "tugboat",
        "island",
        "valve-close",
        "weir-upper",
        "oak-8",
    ] {
        assert!(own.iter().any(|word| word == name), "{name} is looked for");
    }
    let in_service = ["routing-policy", "cache-router", "simulator-adapter"];
    let sources = in_service.map(|name| files(&root.join("crates").join(name).join("src"), "rs"));
    for path in sources.concat() {
        let text = std::fs::read_to_string(&path).unwrap();
        for word in &own {
            let inside =
                |c: Option<char>| c.is_some_and(|c| c.is_ascii_alphanumeric() || "._-".contains(c));
            let whole = text.match_indices(word.as_str()).any(|(at, _)| {
                !inside(text[..at].chars().next_back())
                    && !inside(text[at + word.len()..].chars().next())
            });
            assert!(!whole, "{} has {word:?} of a deployment", path.display());
        }
    }
}
