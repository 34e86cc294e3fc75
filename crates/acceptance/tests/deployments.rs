//! Nothing of a deployment stands in the sources: classes, tenants, zones, kinds, limits and costs come from the settings.
#![allow(
    missing_docs,
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "test code"
)]

use std::path::{Path, PathBuf};

fn files_below(folder: &Path, ending: &str) -> Vec<PathBuf> {
    let mut found = Vec::new();
    for entry in std::fs::read_dir(folder).unwrap().flatten() {
        let path = entry.path();
        if path.is_dir() {
            found.extend(files_below(&path, ending));
        } else if path.extension().is_some_and(|known| known == ending) {
            found.push(path);
        }
    }
    found
}

/// The names in a deployment's file, and those of its limits and costs that are too specific to stand elsewhere by
/// chance.
fn deployment_words(deployment: &str) -> Vec<String> {
    let mut words = Vec::new();
    for line in deployment
        .lines()
        .map(|line| line.split('#').next().unwrap_or_default())
    {
        let Some((key, value)) = line.split_once('=') else {
            continue;
        };
        let quoted = value.split('"').skip(1).step_by(2).map(str::to_owned);
        match key.trim() {
            "name" | "zones" => words.extend(quoted),
            // At least three figures that are not noughts.
            _ => words.extend(
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
    words.retain(|word| !common.contains(&word.as_str()));
    words
}

#[test]
fn no_class_tenant_zone_limit_or_cost_of_any_deployment_stands_in_the_sources() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let deployments: Vec<_> = files_below(&root.join("deploy/sites"), "toml")
        .into_iter()
        .map(|path| std::fs::read_to_string(path).unwrap())
        .collect();
    assert!(
        deployments.len() >= 2,
        "two deployments of the repository's own"
    );
    let words: Vec<String> = deployments
        .iter()
        .flat_map(|deployment| deployment_words(deployment))
        .collect();
    for name in [
        "fjord-ferry",
        "berth-hold",
        "tugboat",
        "island",
        "valve-close",
        "weir-upper",
        "oak-8",
    ] {
        assert!(
            words.iter().any(|word| word == name),
            "{name} is among the words that are searched for"
        );
    }
    let in_service = ["routing-policy", "cache-router", "simulator-adapter"];
    let sources =
        in_service.map(|name| files_below(&root.join("crates").join(name).join("src"), "rs"));
    for path in sources.concat() {
        let text = std::fs::read_to_string(&path).unwrap();
        for word in &words {
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
