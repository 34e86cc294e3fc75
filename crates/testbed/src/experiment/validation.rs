//! Checks an experiment for values that have the right type but are invalid.

use std::collections::BTreeSet;

use super::{Driver, Experiment};

/// Largest number of runs of one experiment.
const MAX_RUNS: usize = 10_000;

/// The key of an invalid value, and a text with the value found and what to write, as `router_config::read_toml`
/// expects them. `None` if the value is valid.
type Finding = Option<(String, String)>;

fn invalid(key: impl Into<String>, problem: impl Into<String>) -> Finding {
    Some((key.into(), problem.into()))
}

impl Experiment {
    /// The first invalid value, if there is one.
    pub(super) fn first_invalid_value(&self) -> Finding {
        self.check_sizes()
            .or_else(|| self.check_scenario_names())
            .or_else(|| self.check_seeds())
            .or_else(|| self.check_variants())
    }

    fn check_sizes(&self) -> Finding {
        let lists = [
            ("scenarios", self.scenarios.is_empty()),
            ("seeds", self.seeds.is_empty()),
            ("variant", self.variants.is_empty()),
        ];
        if let Some((key, _)) = lists.into_iter().find(|(_, is_empty)| *is_empty) {
            return invalid(key, "there is none: write one or more");
        }
        let runs = self.run_count();
        if runs > MAX_RUNS {
            let problem = format!("{runs} runs in total: write at most {MAX_RUNS}");
            return invalid("seeds", problem);
        }
        None
    }

    /// Runs are identified by the scenario's name, which must be unique.
    fn check_scenario_names(&self) -> Finding {
        let mut names = BTreeSet::new();
        for (index, path) in self.scenarios.iter().enumerate() {
            let name = path.file_stem().unwrap_or_default();
            if !names.insert(name) {
                let problem = format!("there are two of the name {name:?}: rename one");
                return invalid(format!("scenarios.{index}"), problem);
            }
        }
        None
    }

    fn check_seeds(&self) -> Finding {
        let mut seeds = BTreeSet::new();
        let duplicate = self.seeds.iter().find(|seed| !seeds.insert(**seed))?;
        invalid("seeds", format!("found {duplicate} twice: write each once"))
    }

    fn check_variants(&self) -> Finding {
        let mut names = BTreeSet::new();
        for (index, variant) in self.variants.iter().enumerate() {
            let key = |name: &str| format!("variant.{index}.{name}");
            if !names.insert(&variant.name) {
                let problem = format!("found {:?} twice: write another", variant.name);
                return invalid(key("name"), problem);
            }
            if variant.node.is_some() && variant.commit.is_some() {
                let problem = "there is a node as well: write one of them";
                return invalid(key("commit"), problem);
            }
            let program_key = match (&variant.node, &variant.commit) {
                (Some(_), _) => Some("node"),
                (None, Some(_)) => Some("commit"),
                (None, None) => None,
            };
            if self.driver_of(variant) != Driver::Sockets
                && let Some(name) = program_key
            {
                let problem = "a node program runs on sockets only: write driver = \"sockets\"";
                return invalid(key(name), problem);
            }
        }
        None
    }
}
