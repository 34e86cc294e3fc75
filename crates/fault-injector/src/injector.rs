//! The faults of this process: decides which calls are affected, and computes the offset of the wall clock.

use std::ptr::null_mut;
use std::sync::atomic::{AtomicPtr, Ordering};

use fault_plan::{ClockStep, Effect, ErrorName, Fault, Plan, SystemCall, layout};
use libc::{c_int, timespec};

use crate::descriptors;
use crate::original::CLOCK_GETTIME;
use crate::shared_state::SharedState;

const NANOS_PER_MS: u64 = 1_000_000;

/// The injector of this process; null before the plan is loaded or if there is no plan.
static INSTALLED: AtomicPtr<Injector> = AtomicPtr::new(null_mut());

/// The decision about a call.
#[derive(Clone, Copy)]
pub enum Decision {
    /// The call is made unchanged.
    Pass,
    /// The call is not made and fails with this `errno`.
    Fail(c_int),
    /// The call transfers fewer bytes than it could, if it could transfer more than one.
    Shorten(Shortening),
}

/// The shortening of a call, which transfers fewer bytes than it could.
#[derive(Clone, Copy)]
pub struct Shortening {
    fault: usize,
    draw: u64,
    state: SharedState,
}

impl Shortening {
    /// Returns the number of bytes that the call is to transfer, and counts the call as affected. Returns `None` if
    /// fewer than two bytes are possible, as such a call cannot be shortened.
    pub fn length(self, possible: usize) -> Option<usize> {
        let choices = possible.checked_sub(1).filter(|choices| *choices > 0)?;
        self.state.increment(layout::injected(self.fault));
        Some(1 + (self.draw % choices as u64) as usize)
    }
}

/// A fault of the plan, with its errors and times converted for the checks of calls.
struct ActiveFault {
    fault: Fault,
    errors: Vec<c_int>,
    begin_ns: u64,
    end_ns: u64,
}

/// The active plan and its state.
pub struct Injector {
    seed: u64,
    started_ns: u64,
    faults: Vec<ActiveFault>,
    /// For each system call, the indices of its faults in the plan.
    by_call: [Vec<usize>; SystemCall::COUNT],
    clock: Vec<ClockStep>,
    state: SharedState,
}

impl Injector {
    /// Creates an injector. The times of the plan count from now.
    pub fn new(plan: Plan, state: SharedState) -> Injector {
        let mut by_call = [const { Vec::new() }; SystemCall::COUNT];
        for (index, fault) in plan.faults.iter().enumerate() {
            for call in &fault.calls {
                by_call[*call as usize].push(index);
            }
        }
        Injector {
            seed: plan.seed,
            started_ns: monotonic_ns(),
            faults: plan.faults.into_iter().map(ActiveFault::new).collect(),
            by_call,
            clock: plan.clock,
            state,
        }
    }

    /// Makes this the injector of the process until the process ends.
    pub fn install(self) {
        INSTALLED.store(Box::leak(Box::new(self)), Ordering::Release);
    }

    fn installed() -> Option<&'static Injector> {
        let injector = INSTALLED.load(Ordering::Acquire);
        // SAFETY: the pointer is null or was leaked by `install`, and the injector is never changed after that.
        unsafe { injector.as_ref() }
    }

    fn decide(&self, call: SystemCall, descriptor: c_int) -> Decision {
        let candidates = &self.by_call[call as usize];
        if candidates.is_empty() {
            return Decision::Pass;
        }
        let kind = if call.transfers_bytes() {
            let errno = Errno::save();
            let kind = descriptors::kind(descriptor);
            errno.restore();
            kind
        } else {
            None
        };
        let since_start = monotonic_ns().saturating_sub(self.started_ns);
        candidates
            .iter()
            .filter(|index| self.is_on(**index, since_start))
            .filter(|index| !call.transfers_bytes() || kind == Some(self.faults[**index].fault.on))
            .find_map(|index| self.draw_decision(*index))
            .unwrap_or(Decision::Pass)
    }

    fn is_on(&self, index: usize, since_start: u64) -> bool {
        let fault = &self.faults[index];
        (fault.begin_ns..fault.end_ns).contains(&since_start)
            && self.state.load(layout::switch(index)) != 0
    }

    /// Counts a call that a fault applies to, and draws whether the fault affects the call.
    fn draw_decision(&self, index: usize) -> Option<Decision> {
        let fault = &self.faults[index];
        let call_number = self.state.increment(layout::eligible_calls(index));
        let draw = mix(mix(self.seed ^ mix(index as u64)) ^ call_number);
        if unit_interval(draw) >= fault.fault.rate {
            return None;
        }
        // A second draw, which is independent of whether the call is affected.
        let draw = mix(draw);
        if fault.fault.effect == Effect::Short {
            return Some(Decision::Shorten(Shortening {
                fault: index,
                draw,
                state: self.state,
            }));
        }
        let error = fault
            .errors
            .get(draw as usize % fault.errors.len().max(1))?;
        self.state.increment(layout::injected(index));
        Some(Decision::Fail(*error))
    }

    /// Offset of the wall clock in nanoseconds; positive if the clock is ahead.
    fn clock_offset_ns(&self) -> i64 {
        let mut offset = self.state.load(layout::CLOCK_OFFSET) as i64;
        if !self.clock.is_empty() {
            let since_start = monotonic_ns().saturating_sub(self.started_ns);
            let mut steps = self.clock.iter();
            let last = steps.rfind(|step| step.at_ms * NANOS_PER_MS <= since_start);
            offset = offset.wrapping_add(last.map_or(0, |step| step.offset_ns));
        }
        if offset != 0 {
            self.state.increment(layout::CLOCK_READINGS);
        }
        offset
    }
}

impl ActiveFault {
    fn new(fault: Fault) -> ActiveFault {
        let errors = match &fault.effect {
            Effect::Errors(names) => names.iter().copied().map(error_number).collect(),
            Effect::Short => Vec::new(),
        };
        let until_ms = fault.until_ms.unwrap_or(u64::MAX);
        ActiveFault {
            errors,
            begin_ns: fault.from_ms.saturating_mul(NANOS_PER_MS),
            end_ns: until_ms.saturating_mul(NANOS_PER_MS),
            fault,
        }
    }
}

/// Decides about a call. Does not change `errno`.
pub fn decide(call: SystemCall, descriptor: c_int) -> Decision {
    Injector::installed().map_or(Decision::Pass, |injector| injector.decide(call, descriptor))
}

/// Offset of the wall clock in nanoseconds; positive if the clock is ahead.
pub fn clock_offset_ns() -> i64 {
    Injector::installed().map_or(0, Injector::clock_offset_ns)
}

/// A saved value of the `errno` of this thread.
pub struct Errno(c_int);

impl Errno {
    /// Saves the current value.
    pub fn save() -> Errno {
        // SAFETY: the C library's `errno` of this thread always exists.
        Errno(unsafe { *libc::__errno_location() })
    }

    /// Restores the saved value.
    pub fn restore(self) {
        set_errno(self.0);
    }
}

/// Sets the `errno` of this thread.
pub fn set_errno(error: c_int) {
    // SAFETY: the C library's `errno` of this thread always exists.
    unsafe { *libc::__errno_location() = error }
}

fn monotonic_ns() -> u64 {
    let mut now = timespec {
        tv_sec: 0,
        tv_nsec: 0,
    };
    // SAFETY: `now` has room for the time that is written.
    unsafe { CLOCK_GETTIME.get()(libc::CLOCK_MONOTONIC, &raw mut now) };
    now.tv_sec as u64 * 1_000 * NANOS_PER_MS + now.tv_nsec as u64
}

/// The finalizer of SplitMix64: each bit of the result depends on each bit of the input.
fn mix(value: u64) -> u64 {
    let value = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}

/// Maps a draw to a number from 0 (inclusive) to 1 (exclusive).
fn unit_interval(draw: u64) -> f64 {
    const MANTISSA_BITS: u32 = f64::MANTISSA_DIGITS;
    (draw >> (u64::BITS - MANTISSA_BITS)) as f64 / (1u64 << MANTISSA_BITS) as f64
}

fn error_number(name: ErrorName) -> c_int {
    match name {
        ErrorName::Eacces => libc::EACCES,
        ErrorName::Eaddrinuse => libc::EADDRINUSE,
        ErrorName::Eaddrnotavail => libc::EADDRNOTAVAIL,
        ErrorName::Econnaborted => libc::ECONNABORTED,
        ErrorName::Econnrefused => libc::ECONNREFUSED,
        ErrorName::Econnreset => libc::ECONNRESET,
        ErrorName::Ehostunreach => libc::EHOSTUNREACH,
        ErrorName::Eintr => libc::EINTR,
        ErrorName::Eio => libc::EIO,
        ErrorName::Emfile => libc::EMFILE,
        ErrorName::Enetdown => libc::ENETDOWN,
        ErrorName::Enetunreach => libc::ENETUNREACH,
        ErrorName::Enfile => libc::ENFILE,
        ErrorName::Enobufs => libc::ENOBUFS,
        ErrorName::Enoent => libc::ENOENT,
        ErrorName::Enomem => libc::ENOMEM,
        ErrorName::Enospc => libc::ENOSPC,
        ErrorName::Eperm => libc::EPERM,
        ErrorName::Epipe => libc::EPIPE,
        ErrorName::Eproto => libc::EPROTO,
        ErrorName::Etimedout => libc::ETIMEDOUT,
    }
}
