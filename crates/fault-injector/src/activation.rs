//! Loads the plan when the library is loaded, before the program's own code runs.

use std::fmt::Display;

use fault_plan::{PLAN_VARIABLE, Plan};

use crate::injector::Injector;
use crate::original;
use crate::shared_state::SharedState;

/// Exit code of a process whose plan cannot be used.
const INVALID_PLAN: libc::c_int = 125;

/// The dynamic loader calls this function when the library is loaded.
// SAFETY: the section holds pointers to functions without arguments, and this is one.
#[used]
#[unsafe(link_section = ".init_array")]
static ON_LOAD: extern "C" fn() = on_load;

extern "C" fn on_load() {
    original::look_up_all();
    let Ok(variable) = std::env::var(PLAN_VARIABLE) else {
        return;
    };
    match Plan::read(&variable) {
        Ok(plan) => activate(plan),
        Err(error) => exit_with_error(&error),
    }
}

fn activate(plan: Plan) {
    let faults = plan.faults.len();
    let state = match &plan.state {
        Some(path) => SharedState::mapped(path, faults),
        None => Ok(SharedState::private(faults)),
    };
    match state {
        Ok(state) => Injector::new(plan, state).install(),
        Err(error) => exit_with_error(&error),
    }
}

/// Ends the process. A process that ran without its planned faults would wrongly appear to withstand them.
fn exit_with_error(error: &dyn Display) {
    eprintln!("fault-injector: {error}");
    // SAFETY: `_exit` may be called at any time.
    unsafe { libc::_exit(INVALID_PLAN) }
}
