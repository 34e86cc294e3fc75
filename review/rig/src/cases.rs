//! The cases.

mod crowd;
mod drain;
mod memory;
mod second_answer;

use std::path::PathBuf;

/// Where a case runs, and whether its disruption happens.
pub struct Context {
    pub root: PathBuf,
    pub folder: PathBuf,
    pub tmp: PathBuf,
    pub trouble: bool,
}

pub enum Verdict {
    Held,
    Broken,
}

pub type Outcome = Result<Verdict, Box<dyn std::error::Error>>;

pub fn run(case: &str, context: &Context) -> Outcome {
    match case {
        "second-answer" => second_answer::run(context),
        "idle-clients" => crowd::run(context, crowd::Others::Idle),
        "bad-clients" => crowd::run(context, crowd::Others::Bad),
        "drain" => drain::run(context),
        "memory" => memory::run(context),
        _ => Err(format!("no case {case}").into()),
    }
}
