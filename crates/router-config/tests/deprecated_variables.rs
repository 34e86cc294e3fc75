//! Environment variables with the prefix of earlier releases are still read and cause one warning.
#![allow(
    missing_docs,
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "test code"
)]

use std::fs;
use std::io::Write;
use std::sync::{Arc, Mutex};

use router_config::{Config, Format, Layers, Level, Log, logging};

fn layers(variables: &[(&str, &str)]) -> Layers {
    let owned = variables
        .iter()
        .map(|(name, value)| ((*name).to_string(), (*value).to_string()));
    Layers::default().variables(owned)
}

fn read(variables: &[(&str, &str)]) -> Config {
    layers(variables).read().unwrap()
}

fn error(variables: &[(&str, &str)]) -> String {
    layers(variables).read().unwrap_err().to_string()
}

#[derive(Clone, Default)]
struct Buffer(Arc<Mutex<Vec<u8>>>);

impl Write for Buffer {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        self.0.lock().unwrap().write(bytes)
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

/// Returns the log lines of the warning about a configuration's deprecated variables.
fn logged_warnings(log: &Log) -> Vec<String> {
    let buffer = Buffer::default();
    let writer = buffer.clone();
    let (subscriber, guard) = logging::subscriber(log, move || writer.clone());
    tracing::subscriber::with_default(subscriber, || log.deprecated_variables.log_warning());
    drop(guard);
    let bytes = buffer.0.lock().unwrap().clone();
    let text = String::from_utf8(bytes).unwrap();
    text.lines().map(str::to_string).collect()
}

#[test]
fn keys_and_a_file_set_only_with_the_deprecated_prefix_are_read() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("router.toml");
    fs::write(&path, "[log]\nformat = \"json\"\nlevel = \"warn\"\n").unwrap();
    let config = read(&[
        ("SPARDEAL_CONFIG", path.to_str().unwrap()),
        ("SPARDEAL_LOG__LEVEL", "debug"),
        ("SPARDEAL_NODE__TRACE", "true"),
    ]);
    assert_eq!(config.log.format, Format::Json, "from the file");
    assert_eq!(config.log.level, Level::Debug, "from the variable");
    assert!(config.node.trace);
}

#[test]
fn the_current_name_takes_precedence_in_any_order() {
    let folder = tempfile::tempdir().unwrap();
    let file = |name: &str, format: &str| {
        let path = folder.path().join(name);
        fs::write(&path, format!("[log]\nformat = \"{format}\"\n")).unwrap();
        path.to_str().unwrap().to_string()
    };
    let (deprecated_file, current_file) = (file("old.toml", "text"), file("new.toml", "json"));
    let mut variables = [
        ("CACHE_ROUTER_CONFIG", current_file.as_str()),
        ("CACHE_ROUTER_LOG__LEVEL", "error"),
        ("SPARDEAL_CONFIG", deprecated_file.as_str()),
        ("SPARDEAL_LOG__LEVEL", "debug"),
    ];
    for _ in 0..2 {
        let config = read(&variables);
        assert_eq!(config.log.level, Level::Error);
        assert_eq!(config.log.format, Format::Json);
        assert_eq!(config.log.deprecated_variables.variables().len(), 2);
        variables.reverse();
    }
    // A value that the variable with the current name overrides is not validated.
    let config = read(&[
        ("CACHE_ROUTER_LOG__LEVEL", "error"),
        ("SPARDEAL_LOG__LEVEL", "loud"),
    ]);
    assert_eq!(config.log.level, Level::Error);
}

#[test]
fn an_error_names_the_variable_as_it_was_set() {
    let cases = [
        (
            "SPARDEAL_LOG__LEVLE",
            "info",
            "variable SPARDEAL_LOG__LEVLE: log.levle: there is no such key",
        ),
        (
            "SPARDEAL_LOG__LEVEL",
            "loud",
            "variable SPARDEAL_LOG__LEVEL: log.level: found \"loud\"",
        ),
        (
            "SPARDEAL_LOG__REPEAT__LINES",
            "0",
            "variable SPARDEAL_LOG__REPEAT__LINES: log.repeat.lines: found 0",
        ),
        (
            "CACHE_ROUTER_LOG__LEVLE",
            "info",
            "variable CACHE_ROUTER_LOG__LEVLE: log.levle: there is no such key",
        ),
    ];
    for (name, value, expected) in cases {
        let message = error(&[(name, value)]);
        assert!(message.starts_with(expected), "{name}: {message}");
    }
}

#[test]
fn one_warning_names_all_deprecated_variables_and_their_replacements() {
    let config = read(&[
        ("SPARDEAL_NODE__TRACE", "true"),
        ("SPARDEAL_CONFIG", ""),
        ("SPARDEAL_LOG__LEVEL", "info"),
    ]);
    let lines = logged_warnings(&config.log);
    assert_eq!(lines.len(), 1, "{lines:?}");
    assert!(lines[0].contains(" WARN "), "{lines:?}");
    let warning = config.log.deprecated_variables.warning().unwrap();
    for name in ["CONFIG", "LOG__LEVEL", "NODE__TRACE"] {
        for text in [&lines[0], &warning] {
            assert!(text.contains(&format!("CACHE_ROUTER_{name}")), "{text}");
            assert!(text.contains(&format!("SPARDEAL_{name}")), "{text}");
        }
    }
    assert_eq!(
        warning,
        "deprecated environment variables are set: use CACHE_ROUTER_CONFIG instead of SPARDEAL_CONFIG, \
         CACHE_ROUTER_LOG__LEVEL instead of SPARDEAL_LOG__LEVEL, \
         CACHE_ROUTER_NODE__TRACE instead of SPARDEAL_NODE__TRACE"
    );
}

#[test]
fn current_names_alone_cause_no_warning() {
    let config = read(&[("CACHE_ROUTER_LOG__LEVEL", "info"), ("SPARDEALS", "1")]);
    assert_eq!(config.log.deprecated_variables.warning(), None);
    assert!(logged_warnings(&config.log).is_empty());
}
