//! `routerctl`: parses the command line, calls the crate that does the work, prints what it returns. No logic of its
//! own.

use std::cell::Cell;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use acceptance::check::Verdict;
use acceptance::journal::Journal;
use acceptance::margins;
use acceptance::sources::Sources;
use clap::{Args, CommandFactory, Parser, Subcommand};
use indicatif::{ProgressBar, ProgressStyle};
use router_config::{ConfigError, Layers};
use testbed::baseline::{self, Through};
use testbed::experiment::{self, Experiment, Play, Step};
use testbed::load::{self, Instantly, Load, Outcome};
use testbed::sockets::{self, Options, Progress};
use testbed::{Report, Scenario, page, program, virtual_time};

/// Tools round the routerctl node.
///
/// Exit codes: 0 it held, 1 it fell short, 2 wrong use or input.
#[derive(Parser)]
#[command(name = "routerctl", version, propagate_version = true)]
struct Arguments {
    #[command(subcommand)]
    command: Order,
}

#[derive(Subcommand)]
enum Order {
    /// Start a small fleet of real nodes before emulated servers, break things, and say what came of it
    #[command(
        after_help = "Examples:\n  routerctl demo\n  routerctl demo --seed 7 --logs demo-logs"
    )]
    Demo {
        /// Seed of all chance
        #[arg(long, default_value_t = 1)]
        seed: u64,
        #[command(flatten)]
        sockets: Sockets,
    },
    /// Say whether a configuration file would do, and if not, what would
    #[command(after_help = "Examples:\n  routerctl check router.toml\n  \
                            routerctl check router.toml --set log.level=debug --show")]
    Check {
        /// The file, TOML (docs/CONFIG.md)
        file: PathBuf,
        /// Set a key over the file and the environment
        #[arg(long = "set", value_name = "KEY=VALUE", value_parser = pair)]
        set: Vec<(String, String)>,
        /// Print all values in force, as TOML
        #[arg(long)]
        show: bool,
    },
    /// Tell in one line whether the standing fleet test holds for the sources as they are now
    #[command(after_help = "Example:\n  routerctl standing")]
    Standing {
        /// Root of the repository
        #[arg(long, default_value = ".")]
        root: PathBuf,
        /// Folder of the journal [default: journal in the root]
        #[arg(long)]
        journal: Option<PathBuf>,
    },
    /// Tell how far plays stayed from the limits of the rules, from the traces of their nodes
    #[command(after_help = "Example:\n  routerctl margins logs/join-11 logs/zone-11")]
    Margins {
        /// Folders of logs, one a play; the table names a play by its folder
        #[arg(required = true)]
        plays: Vec<PathBuf>,
        /// Print the table alone
        #[arg(long)]
        table: bool,
    },
    /// Play scenarios
    #[command(subcommand)]
    Lab(Lab),
    /// Print a completion script for a shell
    #[command(
        after_help = "Example:\n  routerctl completions bash > /etc/bash_completion.d/routerctl"
    )]
    Completions {
        /// Which shell
        shell: clap_complete::Shell,
    },
}

#[derive(Subcommand)]
enum Lab {
    /// Play a scenario and say what came of it: 0 where the rules were kept
    #[command(
        after_help = "Examples:\n  routerctl lab run crates/testbed/scenarios/storm.toml\n  \
                            routerctl lab run crates/testbed/scenarios/storm.toml --seed 7 --json report.json\n  \
                            routerctl lab run crates/testbed/scenarios/demo.toml --sockets"
    )]
    Run {
        /// The scenario, TOML (docs/LAB.md)
        file: PathBuf,
        /// Seed in place of the file's
        #[arg(long)]
        seed: Option<u64>,
        /// Write the report as JSON to a file too
        #[arg(long, value_name = "FILE")]
        json: Option<PathBuf>,
        /// Play in real time on sockets, with real nodes
        #[arg(long)]
        sockets: bool,
        #[command(flatten)]
        with: Sockets,
    },
    /// Play what is missing of an experiment and report on it: 0 where all plays kept the rules
    #[command(
        after_help = "Example:\n  routerctl lab experiment crates/testbed/experiments/retries.toml --out target/retries"
    )]
    Experiment {
        /// The experiment, TOML (docs/LAB.md)
        file: PathBuf,
        /// Folder of its results; one that was cut off goes on where it was
        #[arg(long, value_name = "DIR")]
        out: PathBuf,
        /// Threads for plays in virtual time [default: one for each core]
        #[arg(long, value_parser = clap::value_parser!(u16).range(1..=1024))]
        threads: Option<u16>,
    },
    /// Compare the plays of an experiment's folder, as JSON lines and as one page
    #[command(after_help = "Example:\n  routerctl lab report target/retries")]
    Report {
        /// The folder
        folder: PathBuf,
    },
    /// Send requests at times of their own and measure what clients would wait: 0 where 99.9% were served
    #[command(
        after_help = "Examples:\n  routerctl lab load --rate 20000\n  routerctl lab load --through --most\n  \
                            routerctl lab load --to 127.0.0.1:6379 --rate 500 --lasts 30s"
    )]
    Load(LoadArguments),
}

#[derive(Args)]
struct LoadArguments {
    /// Send to a node or server that is there already
    #[arg(long, value_name = "ADDRESS", conflicts_with_all = ["through", "most"])]
    to: Option<SocketAddr>,
    /// Send through a cache-router of its own as well, and show what it adds
    #[arg(long)]
    through: bool,
    /// The cache-router program [default: the one beside this program]
    #[arg(long, value_name = "PROGRAM", requires = "through")]
    node: Option<PathBuf>,
    /// Find the most that is borne (99.9% served, 99 of 100 within 50 ms), then measure at parts of it
    #[arg(long)]
    most: bool,
    /// Requests a second; with --most, where the search begins
    #[arg(long, value_name = "N", default_value_t = 2_000.0, value_parser = rate)]
    rate: f64,
    /// How long each measurement lasts
    #[arg(long, default_value = "5s", value_parser = humantime::parse_duration)]
    lasts: Duration,
    /// Connections
    #[arg(long, default_value_t = 16, value_parser = clap::value_parser!(u16).range(1..=512))]
    connections: u16,
    /// Keys
    #[arg(long, default_value_t = 10_000)]
    keys: u64,
    /// Exponent of the keys' popularity, 0 for all alike
    #[arg(long, default_value_t = 0.9)]
    zipf: f64,
    /// Bytes of a value, where the servers are this program's own
    #[arg(long, default_value_t = 1_024, value_parser = clap::value_parser!(u16).range(1..=60_000))]
    value_bytes: u16,
    /// Name of the class that requests are of
    #[arg(long, default_value = "lookup")]
    class: String,
    /// Seed of arrivals and keys
    #[arg(long, default_value_t = 1)]
    seed: u64,
}

fn rate(text: &str) -> Result<f64, String> {
    let wrong = || "write a number of requests a second, 1 to 1000000".to_string();
    text.parse()
        .ok()
        .filter(|rate| (1.0..=1e6).contains(rate))
        .ok_or_else(wrong)
}

#[derive(Args)]
struct Sockets {
    /// The cache-router program [default: the one beside this program]
    #[arg(long, value_name = "PROGRAM")]
    node: Option<PathBuf>,
    /// Keep the nodes' configurations and logs in a folder
    #[arg(long, value_name = "DIR")]
    logs: Option<PathBuf>,
}

type Held = Result<bool, Box<dyn std::error::Error>>;

fn main() -> ExitCode {
    let held = match Arguments::parse().command {
        Order::Check { file, set, show } => check(file, set, show),
        Order::Standing { root, journal } => standing(root, journal),
        Order::Margins { plays, table } => measure(&plays, table),
        Order::Demo { seed, sockets } => demo(seed, &sockets),
        Order::Lab(Lab::Run {
            file,
            seed,
            json,
            sockets,
            with,
        }) => run(&file, seed, json, sockets, &with),
        Order::Lab(Lab::Experiment { file, out, threads }) => experiment(&file, &out, threads),
        Order::Lab(Lab::Report { folder }) => report(&folder),
        Order::Lab(Lab::Load(arguments)) => load(&arguments),
        Order::Completions { shell } => {
            clap_complete::generate(
                shell,
                &mut Arguments::command(),
                "routerctl",
                &mut std::io::stdout(),
            );
            Ok(true)
        }
    };
    match held {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        Err(e) => {
            eprintln!("routerctl: {e}");
            ExitCode::from(2)
        }
    }
}

fn pair(text: &str) -> Result<(String, String), String> {
    match text.split_once('=') {
        Some((key, value)) if !key.is_empty() => Ok((key.into(), value.into())),
        _ => Err("write KEY=VALUE, such as log.level=debug".into()),
    }
}

fn check(file: PathBuf, set: Vec<(String, String)>, show: bool) -> Held {
    let layers = Layers::from_env().file(&file);
    let layers = set
        .iter()
        .fold(layers, |layers, (key, value)| layers.flag(key, value));
    match layers.read() {
        Ok(config) => {
            if let Some(warning) = config.log.deprecated_variables.warning() {
                eprintln!("routerctl: {warning}");
            }
            if show {
                print!("{}", toml::to_string(&config)?);
            } else {
                println!("{} would do", file.display());
            }
            Ok(true)
        }
        Err(e @ ConfigError::Unreadable { .. }) => Err(e.into()),
        Err(e) => {
            println!("{e}");
            Ok(false)
        }
    }
}

fn run(
    file: &Path,
    seed: Option<u64>,
    json: Option<PathBuf>,
    sockets: bool,
    with: &Sockets,
) -> Held {
    let scenario = Scenario::read(file)?;
    if !sockets && (with.node.is_some() || with.logs.is_some()) {
        return Err("--node and --logs go with --sockets".into());
    }
    let seed = seed.unwrap_or(scenario.seed);
    let report = match sockets {
        true => on_sockets(&scenario, seed, with)?,
        false => virtual_time::play(&scenario, seed),
    };
    print!("{report}");
    if let Some(path) = json {
        report
            .save(&path)
            .map_err(|e| format!("cannot write {}: {e}", path.display()))?;
    }
    Ok(report.kept())
}

fn demo(seed: u64, sockets: &Sockets) -> Held {
    let folder = tempfile::tempdir()?;
    let file = folder.path().join("demo.toml");
    std::fs::write(&file, Scenario::DEMO)?;
    let scenario = Scenario::read(&file)?;
    let servers: u32 = scenario.kind.iter().map(|kind| kind.servers).sum();
    println!(
        "{} routerctl nodes on loopback before {servers} emulated cache servers, an origin and a list service; {} clients \
         ask each second, for {}.",
        scenario.nodes, scenario.load.per_s, scenario.length
    );
    let report = on_sockets(&scenario, seed, sockets)?;
    println!("\n{report}");
    println!(
        "The same in virtual time, or with one thing changed: `routerctl lab run FILE` (docs/LAB.md)."
    );
    Ok(report.kept())
}

fn on_sockets(
    scenario: &Scenario,
    seed: u64,
    with: &Sockets,
) -> Result<Report, Box<dyn std::error::Error>> {
    let program = program::find(with.node.as_deref())?;
    let temporary = tempfile::tempdir()?;
    let folder = with.logs.as_deref().unwrap_or(temporary.path());
    std::fs::create_dir_all(folder)
        .map_err(|e| format!("cannot make {}: {e}", folder.display()))?;
    let options = Options {
        program: &program,
        folder,
    };
    let shown = Shown::new(scenario);
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let stop = async { drop(tokio::signal::ctrl_c().await) };
    Ok(
        runtime.block_on(sockets::play(scenario, seed, &options, stop, |progress| {
            shown.step(progress)
        }))?,
    )
}

/// A play's progress: a bar on a terminal, else a line every few seconds.
struct Shown {
    bar: ProgressBar,
    lines: Cell<u64>,
}

impl Shown {
    const EVERY_US: u64 = 5_000_000;

    fn new(scenario: &Scenario) -> Shown {
        let bar = ProgressBar::new(scenario.length.0.as_millis() as u64);
        let style = ProgressStyle::with_template("{bar:30} {elapsed} {msg}")
            .expect("the template is sound");
        Shown {
            bar: bar.with_style(style),
            lines: Cell::new(0),
        }
    }

    fn step(&self, progress: &Progress) {
        let at = progress.at.0.min(progress.at.1);
        let seconds = at as f64 / 1e6;
        let print = |line: String| {
            if self.bar.is_hidden() {
                println!("{line}")
            } else {
                self.bar.println(line)
            }
        };
        progress
            .news
            .iter()
            .for_each(|news| print(format!("{seconds:>5.1} s  {news}")));
        let lately = &progress.lately;
        let (nodes, servers) = progress.up;
        let service = 100.0 * lately.service();
        let now =
            format!("{service:.1}% served in time, {nodes} nodes and {servers} cache servers up");
        if self.bar.is_hidden() && at / Shown::EVERY_US > self.lines.get() {
            self.lines.set(at / Shown::EVERY_US);
            println!("{seconds:>5.1} s  {now}");
        }
        self.bar.set_message(now);
        self.bar.set_position(at / 1_000);
    }
}

impl Drop for Shown {
    fn drop(&mut self) {
        self.bar.finish_and_clear();
    }
}

fn experiment(file: &Path, out: &Path, threads: Option<u16>) -> Held {
    let experiment = Experiment::read(file)?;
    let cores = std::thread::available_parallelism().map_or(1, usize::from);
    let stop = Arc::new(AtomicBool::new(false));
    interrupts(stop.clone())?;
    let shown = |step: &Step| {
        let Play {
            scenario,
            seed,
            variant,
        } = &step.play;
        let (done, all) = step.done;
        println!(
            "{done:>4} of {all}  {scenario}, seed {seed}, {variant}: service {:.4}",
            step.service
        );
    };
    let played = experiment::run(
        &experiment,
        out,
        threads.map_or(cores, usize::from),
        &stop,
        shown,
    );
    match played {
        Ok(()) => report(out),
        Err(e) => Err(e.into()),
    }
}

/// Sets a flag at the first Ctrl-C.
fn interrupts(stop: Arc<AtomicBool>) -> std::io::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    // Ends with the process: there is nothing to wait for.
    std::thread::spawn(move || {
        let _ = runtime.block_on(tokio::signal::ctrl_c());
        stop.store(true, Ordering::Relaxed);
    });
    Ok(())
}

fn report(folder: &Path) -> Held {
    let summary = page::write(folder)?;
    println!(
        "{:<16} {:<16} {:>5} {:>8} {:>8}   95% interval",
        "scenario", "variant", "pairs", "service", "diff."
    );
    for d in summary.differences.iter().filter(|d| d.what == "service") {
        let (low, high) = d.interval;
        let service = d.base + d.mean;
        println!(
            "{:<16} {:<16} {:>5} {service:>8.4} {:>+8.4}   {low:+.4} to {high:+.4}",
            d.scenario, d.variant, d.pairs, d.mean
        );
    }
    for Play {
        scenario,
        seed,
        variant,
    } in &summary.broken
    {
        println!("RULES BROKEN: {scenario}, seed {seed}, {variant}");
    }
    let (there, all) = summary.plays;
    println!(
        "{there} of {all} plays; {} and results.jsonl beside it",
        folder.join("report.html").display()
    );
    Ok(summary.broken.is_empty() && there == all)
}

fn load(arguments: &LoadArguments) -> Held {
    let load = Load {
        per_s: arguments.rate,
        lasts: arguments.lasts,
        connections: arguments.connections.into(),
        keys: (arguments.keys, arguments.zipf),
        class: arguments.class.clone(),
        deadline: Duration::from_secs(1),
        seed: arguments.seed,
    };
    let bytes = usize::from(arguments.value_bytes);
    let folder = tempfile::tempdir()?;
    let through = match arguments.through {
        true => Some(Through::start(
            &program::find(arguments.node.as_deref())?,
            folder.path(),
            bytes,
        )?),
        false => None,
    };
    let alone = if arguments.to.is_none() && through.is_none() {
        Some(Instantly::start(bytes, Duration::ZERO)?)
    } else {
        None
    };
    let mut ways = Vec::new();
    ways.extend(arguments.to.map(|to| ("to", to)));
    ways.extend(alone.as_ref().map(|alone| ("alone", alone.address())));
    ways.extend(
        through
            .iter()
            .flat_map(|t| [("direct", t.server()), ("node", t.node())]),
    );
    println!("latencies in microseconds, from the time that a request was meant for");
    println!(
        "{:<7} {:>8} {:>8} {:>8} {:>7} {:>7} {:>7} {:>7} {:>9}",
        "way", "meant/s", "served/s", "not", "p50", "p99", "p99.9", "max", "CPU us/r"
    );
    let shown = |way: &str, per_s: f64, outcome: &Outcome, cpu: Option<Duration>| {
        let at = |part| outcome.latency.value_at_quantile(part) / 1_000;
        let cpu = cpu.map(|cpu| cpu.as_secs_f64() * 1e6 / outcome.served.max(1) as f64);
        let cpu = cpu.map_or("".into(), |us| format!("{us:.1}"));
        let not = outcome.meant - outcome.served;
        println!(
            "{way:<7} {per_s:>8.0} {:>8.0} {not:>8} {:>7} {:>7} {:>7} {:>7} {cpu:>9}",
            outcome.per_s(),
            at(0.5),
            at(0.99),
            at(0.999),
            outcome.latency.max() / 1_000
        );
    };
    let rates = if arguments.most {
        let (way, to) = *ways.last().ok_or("there is nothing to send to")?;
        let most = baseline::most(to, &load, |per_s, outcome| shown(way, per_s, outcome, None))?;
        if most == 0.0 {
            println!("{way} bears nothing");
            return Ok(false);
        }
        println!(
            "{way} bears {most:.0} requests a second; at a tenth, half and nine tenths of it:"
        );
        vec![most * 0.1, most * 0.5, most * 0.9]
    } else {
        vec![load.per_s]
    };
    let mut held = true;
    for per_s in rates {
        for (way, to) in &ways {
            let cpu = || {
                through
                    .as_ref()
                    .filter(|_| *way == "node")
                    .and_then(Through::cpu)
            };
            let before = cpu();
            let outcome = load::send(
                *to,
                &Load {
                    per_s,
                    ..load.clone()
                },
            )?;
            shown(
                way,
                per_s,
                &outcome,
                cpu()
                    .zip(before)
                    .map(|(after, before)| after.saturating_sub(before)),
            );
            held &= baseline::borne(&outcome);
        }
    }
    Ok(held)
}

fn standing(root: PathBuf, journal: Option<PathBuf>) -> Held {
    let sources = Sources::read(&root)?;
    let journal = Journal::read(&journal.unwrap_or_else(|| root.join("journal")))?;
    journal
        .skipped
        .iter()
        .for_each(|line| eprintln!("routerctl: passed over {line}"));
    let verdict = Verdict::of(&journal, &sources);
    println!("{verdict}");
    Ok(verdict.passed())
}

fn measure(plays: &[PathBuf], table: bool) -> Held {
    let mut rows = String::from(
        "| play | figure | worst | limit | distance |\n| --- | --- | --- | --- | --- |\n",
    );
    let mut wide = true;
    for play in plays {
        let name = play
            .file_name()
            .unwrap_or(play.as_os_str())
            .to_string_lossy();
        let margins = margins::measure(play)?;
        if !table {
            println!("{name}\n{margins}");
        }
        wide &= !margins.is_narrow();
        rows += &margins.table(&name);
    }
    print!("{rows}");
    Ok(wide)
}
