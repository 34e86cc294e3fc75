//! A library that is preloaded into a process (`LD_PRELOAD`) and takes the place of some functions of the C library, to
//! make calls fail, read or write less than they could, or tell a wrong time, as the plan in the environment variable
//! `FAULT_INJECTOR_PLAN` says (`fault-plan`). Without a plan, all calls pass through.
//!
//! | module | responsibility |
//! | --- | --- |
//! | `hooks` | the functions that take the place of the C library's |
//! | `original` | the C library's functions |
//! | `activation` | reads the plan when the library is loaded |
//! | `injector` | decides on each call: seeded, by its number |
//! | `descriptors` | what a descriptor refers to |
//! | `shared_state` | switches and counters, in memory that is shared with the program that started the process |
//!
//! The functions are called in any thread, under any lock and in signal handlers. So once the plan is loaded they
//! allocate nothing, take no lock and use no thread-local variable but `errno`, which they leave as they found it where
//! they do not fail.

mod activation;
mod descriptors;
mod hooks;
mod injector;
mod original;
mod shared_state;
