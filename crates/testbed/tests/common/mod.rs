//! Scenario files that several tests share.

use std::fs;
use std::path::Path;

/// Writes `calm.toml`, a scenario of one second without faults, and `quiet.toml`, the same with less load.
pub fn write_scenarios(folder: &Path) {
    let calm = concat!(env!("CARGO_MANIFEST_DIR"), "/scenarios/calm.toml");
    let text = fs::read_to_string(calm)
        .unwrap()
        .replace("\"20s\"", "\"1s\"");
    fs::write(folder.join("calm.toml"), text).unwrap();
    let quiet = "base = \"calm.toml\"\nload.per_s = 300.0\n";
    fs::write(folder.join("quiet.toml"), quiet).unwrap();
}
