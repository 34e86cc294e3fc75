//! Guards against sources that are tailored to a deployment: classes, tenants, zones, kinds, limits and costs must come
//! from the settings only.
#![allow(
    missing_docs,
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "test code"
)]

use std::path::{Path, PathBuf};

fn files_under(folder: &Path, extension: &str) -> Vec<PathBuf> {
    let mut found = Vec::new();
    for entry in std::fs::read_dir(folder).unwrap().flatten() {
        let path = entry.path();
        if path.is_dir() {
            found.extend(files_under(&path, extension));
        } else if path
            .extension()
            .is_some_and(|found_extension| found_extension == extension)
        {
            found.push(path);
        }
    }
    found
}

/// The names in the file of a deployment, and those of its limits and costs that are too specific to occur in other
/// files by chance.
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
            // Numbers with at least three non-zero digits.
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
    // Words that belong to the format of the settings and occur in every deployment.
    let common = [
        "burst", "hot_key", "scan", "reading", "curve", "tall", "flat",
    ];
    words.retain(|word| !common.contains(&word.as_str()));
    words
}

#[test]
fn the_sources_contain_no_class_tenant_zone_limit_or_cost_of_any_deployment() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let deployments: Vec<_> = files_under(&root.join("deploy/sites"), "toml")
        .into_iter()
        .map(|path| std::fs::read_to_string(path).unwrap())
        .collect();
    assert!(
        deployments.len() >= 2,
        "the repository must contain at least two deployments"
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
            "{name} must be among the words that are searched for"
        );
    }
    let production_crates = ["routing-policy", "cache-router", "simulator-adapter"];
    let sources = production_crates
        .map(|name| files_under(&root.join("crates").join(name).join("src"), "rs"));
    for path in sources.concat() {
        let text = std::fs::read_to_string(&path).unwrap();
        for word in &words {
            let is_word_char =
                |c: Option<char>| c.is_some_and(|c| c.is_ascii_alphanumeric() || "._-".contains(c));
            let is_whole_word = text.match_indices(word.as_str()).any(|(at, _)| {
                !is_word_char(text[..at].chars().next_back())
                    && !is_word_char(text[at + word.len()..].chars().next())
            });
            assert!(
                !is_whole_word,
                "{} contains {word:?}, which belongs to a deployment",
                path.display()
            );
        }
    }
}
