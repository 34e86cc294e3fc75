//! What a configuration accepts, and the errors for what it does not accept.
#![allow(
    missing_docs,
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "test code"
)]

use std::fs;
use std::path::PathBuf;
use std::time::Duration;

use router_config::{Config, Format, HumanDuration, Layers, Level};
use tempfile::TempDir;

fn file(text: &str) -> (TempDir, PathBuf) {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("router.toml");
    fs::write(&path, text).unwrap();
    (folder, path)
}

fn variable(name: &str, value: &str) -> (String, String) {
    (name.into(), value.into())
}

/// Returns the error for a file with this text, without the path of its folder.
fn error_for(text: &str) -> String {
    let (folder, path) = file(text);
    let error = Layers::default()
        .file(path)
        .read()
        .expect_err(text)
        .to_string();
    error.replace(&format!("{}/", folder.path().display()), "")
}

#[test]
fn flags_override_variables_override_the_file_overrides_the_defaults() {
    let (_folder, path) =
        file("[log]\nlevel = \"warn\"\nformat = \"json\"\nrepeat = { lines = 7 }\n");
    let layers = Layers::default()
        .variables([
            variable("CACHE_ROUTER_CONFIG", path.to_str().unwrap()),
            variable("CACHE_ROUTER_LOG__LEVEL", "debug"),
            variable("CACHE_ROUTER_LOG__REPEAT__PER", "1m"),
            variable("ROUTER_NAME", "n3"),
        ])
        .override_key("log.repeat.per", "2s")
        .override_key("node.trace", "true");
    let config = layers.read().unwrap();
    assert_eq!(
        (config.log.level, config.log.format),
        (Level::Debug, Format::Json)
    );
    assert_eq!(
        (config.log.repeat.lines, config.log.repeat.per),
        (7, HumanDuration(Duration::from_secs(2)))
    );
    assert!(config.node.trace);
    assert_eq!(Layers::default().read().unwrap(), Config::default());
}

#[test]
fn an_error_in_a_file_states_the_line_and_the_accepted_values() {
    let cases = [
        (
            "[log]\nlevle = \"info\"\n",
            "2:1: log.levle: there is no such key; there are level, format, repeat; did you mean \"level\"?",
        ),
        (
            "\n[nod]\ntrace = true\n",
            "2:2: nod: there is no such key; there are log, node; did you mean \"node\"?",
        ),
        (
            "[log]\n\nlevel = \"loud\"\n",
            "3:1: log.level: found \"loud\"; there are off, error, warn",
        ),
        (
            "log.repeat.per = 10\n",
            "1:12: log.repeat.per: found signed int `10`: write a time with its unit, such as",
        ),
        (
            "[log.repeat]\nper = \"10 parsecs\"\n",
            "2:1: log.repeat.per: found \"10 parsecs\" (",
        ),
        (
            "[log.repeat]\nlines = -1\n",
            "2:1: log.repeat.lines: found signed int `-1`: write ",
        ),
        (
            "[log.repeat]\nlines = 0\n",
            "2:1: log.repeat.lines: found 0, so that no line would ever be written",
        ),
        (
            "[log]\nrepeat = { per = \"2h\" }\n",
            "2:12: log.repeat.per: found 2h: write 100ms to 1h",
        ),
        (
            "[node]\ntrace = \"yes\"\n",
            "2:1: node.trace: found string \"yes\": write a boolean",
        ),
        ("[log]\nlevel = \"info\n", "2:"),
        (
            "[log]\nlevel = \"info\"\nlevel = \"warn\"\n",
            "3:1: not TOML: ",
        ),
    ];
    for (text, expected) in cases {
        let error = error_for(text);
        assert!(
            error.starts_with(&format!("router.toml:{expected}")),
            "{text:?} gives {error:?}"
        );
    }
}

#[test]
fn an_error_in_a_variable_or_a_flag_states_its_name() {
    let (_folder, path) = file("[log]\nlevel = \"warn\"\n");
    let error_for = |name, value| {
        let layers = Layers::default()
            .file(&path)
            .variables([variable(name, value)]);
        layers.read().unwrap_err().to_string()
    };
    let error = error_for("CACHE_ROUTER_LOG__LEVEL", "loud");
    assert!(
        error.starts_with("variable CACHE_ROUTER_LOG__LEVEL: log.level: found \"loud\""),
        "{error}"
    );
    let error = error_for("CACHE_ROUTER_LOG__LEVLE", "info");
    assert!(
        error.starts_with("variable CACHE_ROUTER_LOG__LEVLE: log.levle: there is no such key"),
        "{error}"
    );
    let error = error_for("CACHE_ROUTER_LOG__REPEAT__LINES", "0");
    assert!(
        error.starts_with("variable CACHE_ROUTER_LOG__REPEAT__LINES: log.repeat.lines: found 0"),
        "{error}"
    );
    let error = Layers::default()
        .override_key("log.repeat.per", "5")
        .read()
        .unwrap_err()
        .to_string();
    assert!(
        error.starts_with("--set log.repeat.per: log.repeat.per: found"),
        "{error}"
    );
}

#[test]
fn a_file_that_is_missing_too_long_or_not_text_is_rejected_by_name() {
    let missing = Layers::default()
        .file("/nowhere/router.toml")
        .read()
        .unwrap_err();
    assert!(
        missing
            .to_string()
            .starts_with("cannot read /nowhere/router.toml: "),
        "{missing}"
    );
    let (_folder, path) = file("");
    fs::write(&path, b"\xff\xfe").unwrap();
    let not_text = Layers::default()
        .file(&path)
        .read()
        .unwrap_err()
        .to_string();
    assert!(
        not_text.ends_with("router.toml: not UTF-8 text"),
        "{not_text}"
    );
    fs::write(&path, vec![b'#'; 1024 * 1024 + 1]).unwrap();
    let too_long = Layers::default()
        .file(&path)
        .read()
        .unwrap_err()
        .to_string();
    assert!(
        too_long.ends_with("longer than 1 MiB, the maximum size of a configuration file"),
        "{too_long}"
    );
}

#[test]
fn the_documentation_lists_each_key_with_its_default() {
    fn keys(prefix: &str, table: &toml::Table, found: &mut Vec<(String, String)>) {
        for (name, value) in table {
            match value {
                toml::Value::Table(inner) => keys(&format!("{prefix}{name}."), inner, found),
                leaf => found.push((format!("{prefix}{name}"), leaf.to_string())),
            }
        }
    }
    let documentation = include_str!("../../../docs/CONFIG.md");
    let mut found = Vec::new();
    keys(
        "",
        &toml::Table::try_from(Config::default()).unwrap(),
        &mut found,
    );
    assert!(found.len() >= 5);
    for (key, default) in found {
        let row = format!("| `{key}` | `{default}` |");
        assert!(documentation.contains(&row), "docs/CONFIG.md lacks {row}");
    }
}
