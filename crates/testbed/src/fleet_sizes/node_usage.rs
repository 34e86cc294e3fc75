//! CPU time, memory and descriptors of the nodes of a run, as the kernel counts them.

use std::collections::HashMap;
use std::fs;
use std::path::{Path, PathBuf};

/// The unit of the times in `stat`, on Linux the same on all machines.
const TICKS_PER_SECOND: f64 = 100.0;
/// Fields of `stat` between the name of the program and the time in user mode.
const FIELDS_BEFORE_TIMES: usize = 11;

/// What a node process has needed so far.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct NodeUsage {
    /// CPU time of all its threads, in seconds.
    pub cpu_seconds: f64,
    /// The most memory that it had resident, in bytes.
    pub peak_memory_bytes: f64,
    /// The most descriptors that were seen open.
    pub descriptors: f64,
}

/// Watches the processes of a run's nodes: those whose configuration is in the run's folder.
pub struct NodeUsageSampler {
    folder: PathBuf,
    usage: HashMap<u32, NodeUsage>,
}

impl NodeUsageSampler {
    /// A sampler for the nodes with their configurations in a folder.
    pub fn new(folder: &Path) -> NodeUsageSampler {
        NodeUsageSampler {
            folder: folder.to_owned(),
            usage: HashMap::new(),
        }
    }

    /// Looks at all node processes that run now. One that has ended keeps what was seen of it last.
    pub fn sample(&mut self) {
        for process in processes() {
            if !self.usage.contains_key(&process) && !self.is_node(process) {
                continue;
            }
            let Some(seen) = usage_of(process) else {
                continue;
            };
            let usage = self.usage.entry(process).or_default();
            usage.cpu_seconds = usage.cpu_seconds.max(seen.cpu_seconds);
            usage.peak_memory_bytes = usage.peak_memory_bytes.max(seen.peak_memory_bytes);
            usage.descriptors = usage.descriptors.max(seen.descriptors);
        }
    }

    /// What a node needed in the mean: CPU time of all its processes, memory and descriptors of one of them.
    pub fn mean(&self, nodes: u32) -> NodeUsage {
        let sum = |of: fn(&NodeUsage) -> f64| self.usage.values().map(of).sum::<f64>();
        let processes = self.usage.len().max(1) as f64;
        NodeUsage {
            cpu_seconds: sum(|usage| usage.cpu_seconds) / f64::from(nodes.max(1)),
            peak_memory_bytes: sum(|usage| usage.peak_memory_bytes) / processes,
            descriptors: sum(|usage| usage.descriptors) / processes,
        }
    }

    fn is_node(&self, process: u32) -> bool {
        let Ok(environment) = fs::read(format!("/proc/{process}/environ")) else {
            return false;
        };
        let prefix = format!("ROUTER_CONFIG={}/", self.folder.display());
        let mut variables = environment.split(|byte| *byte == 0);
        variables.any(|variable| variable.starts_with(prefix.as_bytes()))
    }
}

fn processes() -> impl Iterator<Item = u32> {
    numbered_entries("/proc")
}

fn numbered_entries(folder: &str) -> impl Iterator<Item = u32> + use<> {
    let entries = fs::read_dir(folder).into_iter().flatten().flatten();
    entries.filter_map(|entry| entry.file_name().to_str()?.parse().ok())
}

/// What a process has needed so far; `None` once it has ended.
fn usage_of(process: u32) -> Option<NodeUsage> {
    let folder = format!("/proc/{process}");
    let status = fs::read_to_string(format!("{folder}/status")).ok()?;
    let kilobytes = status.lines().find_map(|line| {
        let value = line.strip_prefix("VmHWM:")?.trim();
        value.strip_suffix(" kB")?.parse::<f64>().ok()
    })?;
    Some(NodeUsage {
        cpu_seconds: cpu_ticks(&fs::read_to_string(format!("{folder}/stat")).ok()?)?
            / TICKS_PER_SECOND,
        peak_memory_bytes: kilobytes * 1024.0,
        descriptors: numbered_entries(&format!("{folder}/fd")).count() as f64,
    })
}

/// Time that a process was on a CPU, in user and kernel mode, from its `stat`.
fn cpu_ticks(stat: &str) -> Option<f64> {
    // The name of the program, in brackets, may hold spaces.
    let (_, fields) = stat.rsplit_once(')')?;
    let mut times = fields.split_whitespace().skip(FIELDS_BEFORE_TIMES);
    let user: f64 = times.next()?.parse().ok()?;
    let system: f64 = times.next()?.parse().ok()?;
    Some(user + system)
}
