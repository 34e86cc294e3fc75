//! Runs one case of the review: real nodes before stand-ins on loopback addresses.
//!
//! `rig-2 CASE RECORD`, from the root of the repository. Exit code 0: the rule held; 1: it was broken; 2: the case could
//! not run. With `TROUBLE=0` the same is done without the disruption.

mod clients;
mod crowded_discovery;
mod endless_chunks;
mod fleet;
mod long_pipeline;
mod moving_discovery;
mod resp;
mod settings;
mod support;
mod unfinished;

use std::sync::Arc;

use support::{Place, Record};

/// A run of a case.
pub struct Run {
    pub place: Place,
    pub record: Arc<Record>,
    /// Whether the disruption takes place.
    pub trouble: bool,
}

fn main() {
    let arguments: Vec<_> = std::env::args().collect();
    let [_, case, record] = arguments.as_slice() else {
        support::cannot_run("usage: rig-2 CASE RECORD");
    };
    let temp = std::env::temp_dir().join(format!("rig-2-{}", std::process::id()));
    if let Err(error) = std::fs::create_dir_all(&temp) {
        support::cannot_run(&format!("{}: {error}", temp.display()));
    }
    let root = std::env::current_dir().unwrap_or_else(|e| support::cannot_run(&e.to_string()));
    let run = Run {
        place: Place {
            root,
            temp: temp.clone(),
        },
        record: Record::create(record),
        trouble: std::env::var("TROUBLE").as_deref() != Ok("0"),
    };
    let held = match case.as_str() {
        "endless-chunks" => endless_chunks::run(&run),
        "crowded-discovery" => crowded_discovery::run(&run),
        "long-pipeline" => long_pipeline::run(&run),
        "moving-discovery" => moving_discovery::run(&run),
        "unfinished" => unfinished::run(&run),
        _ => support::cannot_run("no such case"),
    };
    run.record.say(if held {
        "the rule held"
    } else {
        "the rule was broken"
    });
    run.record.flush();
    if std::env::var("KEEP").is_err() {
        let _ = std::fs::remove_dir_all(&temp);
    }
    std::process::exit(i32::from(!held));
}
