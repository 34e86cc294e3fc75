//! Reads CPU time, memory and descriptors of a run's node processes from `/proc`.

use std::collections::HashMap;
use std::fs;
use std::path::{Path, PathBuf};

/// Clock ticks per second: the unit of CPU times in `/proc/PID/stat`. Linux uses 100 on all machines.
const TICKS_PER_SECOND: f64 = 100.0;
/// Number of fields in `/proc/PID/stat` between the program name and the CPU time in user mode.
const FIELDS_BEFORE_CPU_TIMES: usize = 11;

/// Resource usage of a node process so far.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct NodeUsage {
    /// CPU time of all its threads, in seconds.
    pub cpu_seconds: f64,
    /// Peak resident memory, in bytes.
    pub peak_memory_bytes: f64,
    /// The largest number of open descriptors in any sample.
    pub descriptors: f64,
}

/// Samples the processes of a run's nodes. A process belongs to the run if `ROUTER_CONFIG` in its environment names a
/// file in the run's folder.
pub struct NodeUsageSampler {
    folder: PathBuf,
    usage: HashMap<u32, NodeUsage>,
}

impl NodeUsageSampler {
    /// A sampler for the nodes whose configurations are in `folder`.
    pub fn new(folder: &Path) -> NodeUsageSampler {
        NodeUsageSampler {
            folder: folder.to_owned(),
            usage: HashMap::new(),
        }
    }

    /// Samples all running node processes. A process that has ended keeps its last sample.
    pub fn sample(&mut self) {
        for process in processes() {
            if !self.usage.contains_key(&process) && !self.is_node(process) {
                continue;
            }
            let Some(current) = usage_of(process) else {
                continue;
            };
            let usage = self.usage.entry(process).or_default();
            usage.cpu_seconds = usage.cpu_seconds.max(current.cpu_seconds);
            usage.peak_memory_bytes = usage.peak_memory_bytes.max(current.peak_memory_bytes);
            usage.descriptors = usage.descriptors.max(current.descriptors);
        }
    }

    /// Mean usage per node. The CPU time of a node is that of all its processes; memory and descriptors are means over
    /// processes.
    pub fn mean(&self, nodes: u32) -> NodeUsage {
        let total = |of: fn(&NodeUsage) -> f64| self.usage.values().map(of).sum::<f64>();
        let processes = self.usage.len().max(1) as f64;
        NodeUsage {
            cpu_seconds: total(|usage| usage.cpu_seconds) / f64::from(nodes.max(1)),
            peak_memory_bytes: total(|usage| usage.peak_memory_bytes) / processes,
            descriptors: total(|usage| usage.descriptors) / processes,
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
    numeric_entries("/proc")
}

fn numeric_entries(folder: &str) -> impl Iterator<Item = u32> + use<> {
    let entries = fs::read_dir(folder).into_iter().flatten().flatten();
    entries.filter_map(|entry| entry.file_name().to_str()?.parse().ok())
}

/// Resource usage of a process so far; `None` once it has ended.
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
        descriptors: numeric_entries(&format!("{folder}/fd")).count() as f64,
    })
}

/// CPU time of a process in user and kernel mode, in clock ticks, from the text of its `/proc/PID/stat`.
fn cpu_ticks(stat: &str) -> Option<f64> {
    // The program name, in parentheses, may contain spaces.
    let (_, fields) = stat.rsplit_once(')')?;
    let mut times = fields.split_whitespace().skip(FIELDS_BEFORE_CPU_TIMES);
    let user: f64 = times.next()?.parse().ok()?;
    let system: f64 = times.next()?.parse().ok()?;
    Some(user + system)
}
