//! Experiments: every variant runs every scenario with every seed, and the variants are compared. This module defines
//! the schema of an experiment's file. [`run`] executes the runs that have no result yet, and [`results`] reads the
//! results. Runs are paired by scenario and seed. Each run writes one complete file, so that an interrupted experiment
//! can be resumed.

mod commit_build;
mod error;
mod results;
mod runner;
mod validation;

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::scenario::Scenario;

pub use error::ExperimentError;
pub use results::{Results, incomplete_reports, results};
pub use runner::{CompletedRun, run};

/// Which driver runs the scenarios.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Driver {
    /// The driver in virtual time.
    #[default]
    Virtual,
    /// The driver on sockets. Its runs are sequential.
    Sockets,
}

/// An experiment.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Experiment {
    /// Paths of scenario files, relative to the experiment's file.
    pub scenarios: Vec<PathBuf>,
    /// The seeds. Each variant runs each scenario with each seed.
    pub seeds: Vec<u64>,
    /// The driver of variants that do not set one.
    #[serde(default)]
    pub driver: Driver,
    /// The variants. All others are compared with the first.
    #[serde(rename = "variant")]
    pub variants: Vec<Variant>,
}

/// One of the configurations that an experiment compares.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Variant {
    /// Its name.
    pub name: String,
    /// The driver, if it is not that of the experiment.
    #[serde(default)]
    pub driver: Option<Driver>,
    /// On sockets: the node program, if it is not the one in the folder of this program.
    #[serde(default)]
    pub node: Option<PathBuf>,
    /// On sockets: the commit of this repository whose node program is built and used.
    #[serde(default)]
    pub commit: Option<String>,
    /// Overrides of keys of the scenario files. Keys are dotted.
    #[serde(default)]
    pub set: BTreeMap<String, toml::Value>,
}

impl Experiment {
    /// Reads an experiment's file and validates every scenario with the overrides of every variant.
    ///
    /// # Errors
    /// If one of them can't be read or is not valid.
    pub fn read(path: &Path) -> Result<Experiment, ExperimentError> {
        let mut experiment: Experiment =
            router_config::read_toml(path, &[], Experiment::first_invalid_value)?;
        let folder = path.parent().unwrap_or(Path::new(""));
        for scenario in &mut experiment.scenarios {
            *scenario = folder.join(&*scenario);
        }
        for variant in &mut experiment.variants {
            variant.node = variant.node.take().map(|node| folder.join(node));
        }
        for variant in &experiment.variants {
            for scenario in &experiment.scenarios {
                variant.read_scenario(scenario)?;
            }
        }
        Ok(experiment)
    }

    /// The driver of a variant.
    fn driver_of(&self, variant: &Variant) -> Driver {
        variant.driver.unwrap_or(self.driver)
    }

    /// Number of all runs.
    pub fn run_count(&self) -> usize {
        self.scenarios.len() * self.seeds.len() * self.variants.len()
    }

    /// All runs, ordered by scenario, then by seed, then by variant.
    pub fn runs(&self) -> Vec<Run> {
        let mut runs = Vec::new();
        for path in &self.scenarios {
            let scenario = scenario_name(path);
            for seed in &self.seeds {
                for variant in &self.variants {
                    runs.push(Run {
                        scenario: scenario.clone(),
                        seed: *seed,
                        variant: variant.name.clone(),
                    });
                }
            }
        }
        runs
    }
}

/// The name of a scenario, which identifies it in its runs.
fn scenario_name(path: &Path) -> String {
    let name = path.file_stem().unwrap_or_default();
    name.to_string_lossy().into_owned()
}

impl Variant {
    /// Reads a scenario with this variant's overrides.
    fn read_scenario(&self, path: &Path) -> Result<Scenario, ExperimentError> {
        let set = self.set.iter();
        let set: Vec<_> = set
            .map(|(key, value)| (key.clone(), value.to_string()))
            .collect();
        Scenario::read_with_overrides(path, &set).map_err(|source| ExperimentError::Variant {
            variant: self.name.clone(),
            source,
        })
    }
}

/// One run of an experiment.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Run {
    /// Name of the scenario.
    pub scenario: String,
    /// The seed.
    pub seed: u64,
    /// Name of the variant.
    pub variant: String,
}

impl Run {
    /// The path of the run's report in a folder.
    pub fn file(&self, folder: &Path) -> PathBuf {
        let Run {
            scenario,
            seed,
            variant,
        } = self;
        // Characters that are not allowed in file names are replaced. The hash distinguishes names that differ only in
        // such characters.
        let sanitize =
            |name: &str| name.replace(|c: char| !c.is_ascii_alphanumeric() && c != '-', "_");
        let hash = xxh3_64(format!("{scenario}\n{variant}").as_bytes()) as u16;
        folder.join(format!(
            "{}-{seed}-{}-{hash:04x}.json",
            sanitize(scenario),
            sanitize(variant)
        ))
    }
}
