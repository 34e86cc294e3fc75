//! Every file that decides is named in the deploy file, and the deploy file names no other: what the operators
//! read as the policy is the whole of it.
#![allow(
    missing_docs,
    clippy::unwrap_used,
    clippy::expect_used,
    reason = "test code"
)]

use std::collections::BTreeSet;
use std::path::{Path, PathBuf};

/// Where the decisions are, from the root of the repository.
const SOURCES: &str = "crates/routing-policy/src";
/// The one module of the policy that decides nothing: it holds the state and how it begins.
const STATE_MODULE: &str = "crates/routing-policy/src/policy/router_state.rs";

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

fn named_in(deploy_file: &str) -> Vec<String> {
    let text = std::fs::read_to_string(root().join("deploy").join(deploy_file)).unwrap();
    let deploy: toml::Table = text.parse().unwrap();
    let files = deploy["policy"].as_array().unwrap();
    files
        .iter()
        .map(|file| file.as_str().unwrap().to_owned())
        .collect()
}

/// Adds the files in a folder, and in the folders in it, as paths from the root of the repository.
fn collect_files(folder: &str, files: &mut BTreeSet<String>) {
    for entry in std::fs::read_dir(root().join(folder)).unwrap() {
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
fn the_deploy_file_names_every_file_that_decides_and_no_other() {
    let mut deciding = BTreeSet::from([format!("{SOURCES}/policy.rs")]);
    collect_files(&format!("{SOURCES}/policy"), &mut deciding);
    assert!(deciding.remove(STATE_MODULE), "{STATE_MODULE} is there");
    let named: BTreeSet<_> = named_in("balancer.toml").into_iter().collect();
    assert_eq!(named, deciding);
}

#[test]
fn each_named_file_exists_and_is_named_once() {
    let named = named_in("balancer.toml");
    assert!(!named.is_empty(), "the deploy file names the policy files");
    for file in &named {
        assert!(root().join(file).is_file(), "{file} does not exist");
    }
    let distinct: BTreeSet<_> = named.iter().collect();
    assert_eq!(distinct.len(), named.len(), "a file is named twice");
}

#[test]
fn the_deployment_with_the_trace_names_the_same_policy_files() {
    assert_eq!(named_in("trace.toml"), named_in("balancer.toml"));
}
