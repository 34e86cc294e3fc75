//! The deployment files list every source file that makes decisions and no other, so that operators can read
//! the whole policy from that list.
#![allow(
    missing_docs,
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "test code"
)]

use std::collections::BTreeSet;
use std::path::{Path, PathBuf};

/// The sources of the policy, relative to the repository root.
const SOURCES: &str = "crates/routing-policy/src";
/// The only module of the policy that makes no decisions. It defines the policy's state and initial values.
const STATE_MODULE: &str = "crates/routing-policy/src/policy/router_state.rs";

fn repository_root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

fn policy_files_in(deploy_file: &str) -> Vec<String> {
    let text = std::fs::read_to_string(repository_root().join("deploy").join(deploy_file)).unwrap();
    let deploy: toml::Table = text.parse().unwrap();
    let files = deploy["policy"].as_array().unwrap();
    files
        .iter()
        .map(|file| file.as_str().unwrap().to_owned())
        .collect()
}

/// Adds the files in a folder and its subfolders, as paths relative to the repository root.
fn collect_files(folder: &str, files: &mut BTreeSet<String>) {
    for entry in std::fs::read_dir(repository_root().join(folder)).unwrap() {
        let entry = entry.unwrap();
        let path = format!("{folder}/{}", entry.file_name().into_string().unwrap());
        if entry.file_type().unwrap().is_dir() {
            collect_files(&path, files);
        } else {
            files.insert(path);
        }
    }
}

#[test]
fn the_deployment_file_lists_every_file_that_makes_decisions_and_no_other() {
    let mut decision_files = BTreeSet::from([format!("{SOURCES}/policy.rs")]);
    collect_files(&format!("{SOURCES}/policy"), &mut decision_files);
    assert!(
        decision_files.remove(STATE_MODULE),
        "{STATE_MODULE} does not exist"
    );
    let listed: BTreeSet<_> = policy_files_in("balancer.toml").into_iter().collect();
    assert_eq!(listed, decision_files);
}

#[test]
fn each_listed_file_exists_and_is_listed_once() {
    let listed = policy_files_in("balancer.toml");
    assert!(
        !listed.is_empty(),
        "the deployment file lists no policy files"
    );
    for file in &listed {
        assert!(
            repository_root().join(file).is_file(),
            "{file} does not exist"
        );
    }
    let distinct: BTreeSet<_> = listed.iter().collect();
    assert_eq!(distinct.len(), listed.len(), "a file is listed twice");
}

#[test]
fn the_trace_deployment_lists_the_same_policy_files() {
    assert_eq!(
        policy_files_in("trace.toml"),
        policy_files_in("balancer.toml")
    );
}
