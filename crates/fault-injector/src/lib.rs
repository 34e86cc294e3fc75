//! A library that is preloaded into a process (`LD_PRELOAD`) and replaces some functions of the C library. It makes
//! calls fail, read or write fewer bytes than they could, or return a wrong time. The environment variable
//! `FAULT_INJECTOR_PLAN` specifies the plan of the faults (crate `fault-plan`). Without a plan, all calls are made
//! unchanged.
//!
//! | module | responsibility |
//! | --- | --- |
//! | `hooks` | the functions that replace those of the C library |
//! | `original` | the original functions of the C library |
//! | `activation` | reads the plan when the library is loaded |
//! | `injector` | decides about each call, from the seed and the number of the call |
//! | `descriptors` | the kind of object that a descriptor refers to |
//! | `shared_state` | switches and counters, in memory shared with the program that started the process |
//!
//! The hooks may be called in any thread, while any lock is held, and in signal handlers. Once the plan is loaded, they
//! therefore do not allocate, take no lock, and use no thread-local variable except `errno`, which they leave unchanged
//! unless they fail.

mod activation;
mod descriptors;
mod hooks;
mod injector;
mod original;
mod shared_state;
