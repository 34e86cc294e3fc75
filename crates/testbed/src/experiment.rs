//! Experiments: scenarios, seeds and variants played against each other. Plays are paired by scenario and seed, spread over
//! the cores, and each leaves one whole file, so that what was cut off goes on where it was.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Mutex, mpsc};

use router_config::ConfigError;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::program::{self, ProgramError};
use crate::report::Report;
use crate::scenario::Scenario;
use crate::sockets::doors::lock;
use crate::sockets::{self, Options, SocketError};
use crate::virtual_time;

/// The most plays of one experiment.
const MOST: usize = 10_000;

/// Which driver plays.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Driver {
    /// In virtual time.
    #[default]
    Virtual,
    /// On sockets, one play after another.
    Sockets,
}

/// An experiment.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Experiment {
    /// Scenario files, beside this one.
    pub scenarios: Vec<PathBuf>,
    /// Seeds; each scenario is played with each by each variant.
    pub seeds: Vec<u64>,
    /// Which driver plays, unless a variant says otherwise.
    #[serde(default)]
    pub driver: Driver,
    /// What is compared; all others with the first.
    pub variant: Vec<Variant>,
}

/// One of what is compared.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Variant {
    /// Its name.
    pub name: String,
    /// Another driver than the experiment's.
    #[serde(default)]
    pub driver: Option<Driver>,
    /// On sockets, a node program in place of the one beside this program.
    #[serde(default)]
    pub node: Option<PathBuf>,
    /// On sockets, the node of a commit of this repository, which is built first.
    #[serde(default)]
    pub commit: Option<String>,
    /// Keys of the scenarios, with dots, that are set otherwise.
    #[serde(default)]
    pub set: BTreeMap<String, toml::Value>,
}

/// Why an experiment can't be made, or was not.
#[derive(Debug, thiserror::Error)]
pub enum ExperimentError {
    /// The file or a scenario would not do.
    #[error("{0}")]
    Config(#[from] ConfigError),
    /// A variant's scenario would not do.
    #[error("variant {0}: {1}")]
    Variant(String, ConfigError),
    /// A program is not there or can't be built.
    #[error("variant {0}: {1}")]
    Program(String, ProgramError),
    /// A play failed.
    #[error("{0}: {1}")]
    Play(String, SocketError),
    /// A file of the results can't be written or read.
    #[error("{}: {source}", path.display())]
    File {
        /// Which.
        path: PathBuf,
        /// What the system said.
        source: std::io::Error,
    },
    /// The folder holds results of another experiment.
    #[error("{} holds results of another experiment: name another folder", .0.display())]
    Another(PathBuf),
    /// It was ended from outside; what was played is kept.
    #[error("interrupted: {0} of {1} plays are kept, the same command goes on with the others")]
    Interrupted(usize, usize),
}

impl Experiment {
    /// Reads a file, and every scenario with every variant's changes.
    ///
    /// # Errors
    /// Where one of them can't be read or would not do.
    pub fn read(path: &Path) -> Result<Experiment, ExperimentError> {
        let mut found: Experiment = router_config::read_toml(path, &[], Experiment::impossible)?;
        let beside = path.parent().unwrap_or(Path::new(""));
        found
            .scenarios
            .iter_mut()
            .for_each(|scenario| *scenario = beside.join(&*scenario));
        for variant in &mut found.variant {
            variant.node = variant.node.take().map(|node| beside.join(node));
            for scenario in &found.scenarios {
                Scenario::read_with(scenario, &variant.changes())
                    .map_err(|e| ExperimentError::Variant(variant.name.clone(), e))?;
            }
        }
        Ok(found)
    }

    fn impossible(&self) -> Option<(String, String)> {
        let wrong = |key: String, what: String| Some((key, what));
        for (key, none) in [
            ("scenarios", self.scenarios.is_empty()),
            ("seeds", self.seeds.is_empty()),
            ("variant", self.variant.is_empty()),
        ] {
            if none {
                return wrong(key.into(), "there is none: write one or more".into());
            }
        }
        let plays = self.scenarios.len() * self.seeds.len() * self.variant.len();
        if plays > MOST {
            return wrong(
                "seeds".into(),
                format!("{plays} plays in all: write at most {MOST}"),
            );
        }
        // Plays are told apart by the scenario's name and the seed.
        let mut stems = BTreeSet::new();
        for (i, path) in self.scenarios.iter().enumerate() {
            let stem = path.file_stem().unwrap_or_default();
            if !stems.insert(stem) {
                let what = format!("there are two of the name {stem:?}: rename one");
                return wrong(format!("scenarios.{i}"), what);
            }
        }
        let mut seeds = BTreeSet::new();
        if let Some(twice) = self.seeds.iter().find(|seed| !seeds.insert(**seed)) {
            return wrong(
                "seeds".into(),
                format!("found {twice} twice: write each once"),
            );
        }
        let mut names = BTreeSet::new();
        for (i, variant) in self.variant.iter().enumerate() {
            let key = |name: &str| format!("variant.{i}.{name}");
            if !names.insert(&variant.name) {
                return wrong(
                    key("name"),
                    format!("found {:?} twice: write another", variant.name),
                );
            }
            if variant.node.is_some() && variant.commit.is_some() {
                return wrong(
                    key("commit"),
                    "there is a node as well: write one of them".into(),
                );
            }
            let sockets = variant.driver.unwrap_or(self.driver) == Driver::Sockets;
            if !sockets && (variant.node.is_some() || variant.commit.is_some()) {
                let name = if variant.node.is_some() {
                    "node"
                } else {
                    "commit"
                };
                let what = "a node program runs on sockets only: write driver = \"sockets\"";
                return wrong(key(name), what.into());
            }
        }
        None
    }

    /// All plays: scenario by scenario and seed by seed, the variants of a pair next to each other.
    pub fn plays(&self) -> Vec<Play> {
        let mut plays = Vec::new();
        for scenario in &self.scenarios {
            let name = scenario
                .file_stem()
                .unwrap_or_default()
                .to_string_lossy()
                .into_owned();
            for seed in &self.seeds {
                for variant in &self.variant {
                    plays.push(Play {
                        scenario: name.clone(),
                        seed: *seed,
                        variant: variant.name.clone(),
                    });
                }
            }
        }
        plays
    }
}

impl Variant {
    /// Its changes as keys and values.
    fn changes(&self) -> Vec<(String, String)> {
        self.set
            .iter()
            .map(|(key, value)| (key.clone(), value.to_string()))
            .collect()
    }

    /// The node program that it plays with on sockets.
    fn program(&self, folder: &Path) -> Result<PathBuf, ProgramError> {
        match &self.commit {
            Some(commit) => build(commit, folder),
            None => program::find(self.node.as_deref()),
        }
    }
}

/// What the router's program was called in commits before its package had a folder of its own.
const EARLIER_BINARY: &str = "spardeal-node";

/// Builds the node of a commit in a work tree of its own, once.
fn build(commit: &str, folder: &Path) -> Result<PathBuf, ProgramError> {
    let failed = |what: String| ProgramError::Build(format!(" at {commit}: {what}"));
    let run = |command: &mut Command| {
        let output = command
            .stdin(Stdio::null())
            .output()
            .map_err(|e| failed(e.to_string()))?;
        let error = String::from_utf8_lossy(&output.stderr);
        let last = error
            .lines()
            .last()
            .unwrap_or("no reason given")
            .to_string();
        if output.status.success() {
            Ok(output.stdout)
        } else {
            Err(failed(last))
        }
    };
    let name = run(Command::new("git")
        .args(["rev-parse", "--verify", "--quiet", "--end-of-options"])
        .arg(format!("{commit}^{{commit}}")))?;
    let name = String::from_utf8_lossy(&name).trim().to_string();
    // Cargo runs in the work tree: what is relative to this folder is not to that.
    let folder = folder.canonicalize().map_err(|e| failed(e.to_string()))?;
    let program = folder.join("builds").join(format!("{name}-cache-router"));
    if program.is_file() {
        return Ok(program);
    }
    let tree = folder.join("builds").join(&name);
    std::fs::create_dir_all(tree.parent().unwrap_or(&folder)).map_err(|e| failed(e.to_string()))?;
    // What an interrupted build has left is no work tree that could be trusted.
    let _ = std::fs::remove_dir_all(&tree);
    run(Command::new("git").args(["worktree", "prune"]))?;
    run(Command::new("git")
        .args(["worktree", "add", "--detach", "--force"])
        .arg(&tree)
        .arg(&name))?;
    let binary = if tree.join("crates/cache-router").is_dir() {
        "cache-router"
    } else {
        EARLIER_BINARY
    };
    let cargo = std::env::var_os("CARGO").unwrap_or_else(|| "cargo".into());
    let built = run(Command::new(cargo)
        .args([
            "build",
            "--release",
            "--locked",
            "--bin",
            binary,
            "--target-dir",
        ])
        .arg(folder.join("builds/target"))
        .current_dir(&tree));
    let copied = built.and_then(|_| {
        let made = folder.join("builds/target/release").join(binary);
        std::fs::copy(made, &program).map_err(|e| failed(e.to_string()))
    });
    let _ = run(Command::new("git")
        .args(["worktree", "remove", "--force"])
        .arg(&tree));
    copied.map(|_| program)
}

/// One play of an experiment.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Play {
    /// The scenario's name.
    pub scenario: String,
    /// The seed.
    pub seed: u64,
    /// The variant's name.
    pub variant: String,
}

impl Play {
    /// Where a folder has its report.
    pub fn file(&self, folder: &Path) -> PathBuf {
        let Play {
            scenario,
            seed,
            variant,
        } = self;
        // Names may hold what no file's name may.
        let clean =
            |name: &str| name.replace(|c: char| !c.is_ascii_alphanumeric() && c != '-', "_");
        let hash = xxh3_64(format!("{scenario}\n{variant}").as_bytes()) as u16;
        folder.join(format!(
            "{}-{seed}-{}-{hash:04x}.json",
            clean(scenario),
            clean(variant)
        ))
    }
}

/// How far an experiment is.
#[derive(Debug, Clone)]
pub struct Step {
    /// The play that has ended.
    pub play: Play,
    /// Part of the worth that was served in time in it.
    pub service: f64,
    /// Plays that are there, and all.
    pub done: (usize, usize),
}

/// Plays what is missing of an experiment in a folder, on so many threads. `stop` ends it after the plays that run in
/// virtual time, and at once on sockets; what was played is kept, whole.
///
/// # Errors
/// Where the folder holds another experiment, a program is missing, a play fails, a file can't be written, or it was
/// stopped.
pub fn run(
    experiment: &Experiment,
    folder: &Path,
    threads: usize,
    stop: &AtomicBool,
    mut step: impl FnMut(&Step),
) -> Result<(), ExperimentError> {
    let file = |path: &Path| {
        let path = path.to_path_buf();
        move |source| ExperimentError::File { path, source }
    };
    std::fs::create_dir_all(folder).map_err(file(folder))?;
    keep_plan(experiment, folder)?;
    let plays = experiment.plays();
    let all = plays.len();
    let missing: VecDeque<Play> = plays
        .into_iter()
        .filter(|play| read_report(&play.file(folder)).is_none())
        .collect();
    let mut done = all - missing.len();
    let variant = |name: &str| {
        experiment
            .variant
            .iter()
            .find(|variant| variant.name == name)
    };
    let driver = |play: &Play| {
        variant(&play.variant)
            .and_then(|v| v.driver)
            .unwrap_or(experiment.driver)
    };
    let (on_sockets, in_memory): (VecDeque<Play>, VecDeque<Play>) = missing
        .into_iter()
        .partition(|play| driver(play) == Driver::Sockets);
    let scenario = |play: &Play| {
        let of = |path: &&PathBuf| {
            path.file_stem()
                .is_some_and(|stem| stem.to_string_lossy() == play.scenario)
        };
        let path = experiment
            .scenarios
            .iter()
            .find(of)
            .cloned()
            .unwrap_or_default();
        let set = variant(&play.variant)
            .map(Variant::changes)
            .unwrap_or_default();
        Scenario::read_with(&path, &set)
            .map_err(|e| ExperimentError::Variant(play.variant.clone(), e))
    };
    let mut keep = |play: &Play, report: &Report| {
        let path = play.file(folder);
        report.save(&path).map_err(file(&path))?;
        done += 1;
        step(&Step {
            play: play.clone(),
            service: report.service,
            done: (done, all),
        });
        Ok::<_, ExperimentError>(())
    };
    let queue = Mutex::new(in_memory);
    let (tell, told) =
        mpsc::sync_channel::<Result<(Play, Report), ExperimentError>>(threads.max(1));
    std::thread::scope(|scope| {
        for _ in 0..threads.max(1) {
            let (tell, queue, scenario) = (tell.clone(), &queue, &scenario);
            scope.spawn(move || {
                while !stop.load(Ordering::Relaxed) {
                    let Some(play) = lock(queue).pop_front() else {
                        return;
                    };
                    let report = scenario(&play).map(|s| virtual_time::play(&s, play.seed));
                    // Nobody listens any more: another play has failed.
                    if tell.send(report.map(|report| (play, report))).is_err() {
                        return;
                    }
                }
            });
        }
        drop(tell);
        for played in told {
            let (play, report) = played?;
            keep(&play, &report)?;
        }
        Ok::<_, ExperimentError>(())
    })?;
    let mut programs: BTreeMap<String, PathBuf> = BTreeMap::new();
    for play in on_sockets {
        if stop.load(Ordering::Relaxed) {
            break;
        }
        let program = match (programs.get(&play.variant), variant(&play.variant)) {
            (Some(program), _) => program.clone(),
            (None, Some(variant)) => {
                let program = variant.program(folder);
                program.map_err(|e| ExperimentError::Program(play.variant.clone(), e))?
            }
            (None, None) => continue,
        };
        programs.insert(play.variant.clone(), program.clone());
        match on_socket(&scenario(&play)?, &play, &program, stop) {
            Ok(report) => keep(&play, &report)?,
            Err(SocketError::Interrupted) => break,
            Err(e) => {
                let name = format!(
                    "{} with seed {}, variant {}",
                    play.scenario, play.seed, play.variant
                );
                return Err(ExperimentError::Play(name, e));
            }
        }
    }
    if done < all {
        Err(ExperimentError::Interrupted(done, all))
    } else {
        Ok(())
    }
}

/// One play on sockets, given up soon after `stop` is set.
fn on_socket(
    scenario: &Scenario,
    play: &Play,
    program: &Path,
    stop: &AtomicBool,
) -> Result<Report, SocketError> {
    let system = |e| SocketError::System("cannot start a play", e);
    let folder = tempfile::tempdir().map_err(system)?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(system)?;
    let options = Options {
        program,
        folder: folder.path(),
    };
    let stopped = async {
        while !stop.load(Ordering::Relaxed) {
            tokio::time::sleep(std::time::Duration::from_millis(50)).await;
        }
    };
    runtime.block_on(sockets::play(
        scenario,
        play.seed,
        &options,
        stopped,
        |_| (),
    ))
}

const PLAN: &str = "experiment.json";

/// An experiment as its folder has it.
#[derive(Serialize, Deserialize)]
struct Plan {
    experiment: Experiment,
    /// Each variant's scenarios as they were played, so that results of a changed one are not mixed in.
    scenarios: BTreeMap<String, Vec<Scenario>>,
}

/// Writes the experiment into its folder, or compares it with the one that is there.
fn keep_plan(experiment: &Experiment, folder: &Path) -> Result<(), ExperimentError> {
    let path = folder.join(PLAN);
    let file = |source| ExperimentError::File {
        path: path.clone(),
        source,
    };
    let mut scenarios = BTreeMap::new();
    for variant in &experiment.variant {
        let read = experiment
            .scenarios
            .iter()
            .map(|path| Scenario::read_with(path, &variant.changes()));
        let read = read.collect::<Result<_, _>>();
        let read = read.map_err(|e| ExperimentError::Variant(variant.name.clone(), e))?;
        scenarios.insert(variant.name.clone(), read);
    }
    let plan = Plan {
        experiment: experiment.clone(),
        scenarios,
    };
    let text = serde_json::to_string(&plan).map_err(|e| file(e.into()))? + "\n";
    match std::fs::read_to_string(&path) {
        Ok(there) if there == text => Ok(()),
        Ok(_) => Err(ExperimentError::Another(folder.into())),
        Err(e) if e.kind() == std::io::ErrorKind::NotFound => {
            crate::report::write_whole(&path, text.as_bytes()).map_err(file)
        }
        Err(e) => Err(file(e)),
    }
}

fn read_report(path: &Path) -> Option<Report> {
    // One that is cut off or of an older form counts as missing, and is played again; a device can't be read to its end.
    if !path.is_file() {
        return None;
    }
    serde_json::from_slice(&std::fs::read(path).ok()?).ok()
}

/// The experiment of a folder, and its plays so far.
///
/// # Errors
/// Where the folder holds none, or one that can't be read.
pub fn results(folder: &Path) -> Result<(Experiment, BTreeMap<Play, Report>), ExperimentError> {
    let path = folder.join(PLAN);
    let file = |source| ExperimentError::File {
        path: path.clone(),
        source,
    };
    let text = std::fs::read(&path).map_err(file)?;
    let Plan { experiment, .. } = serde_json::from_slice(&text).map_err(|e| file(e.into()))?;
    let reports = experiment.plays().into_iter().filter_map(|play| {
        let report = read_report(&play.file(folder))?;
        Some((play, report))
    });
    let reports = reports.collect();
    Ok((experiment, reports))
}
