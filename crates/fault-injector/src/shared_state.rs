//! Switches and counters of a process, in private memory or in memory shared with the program that started the process.

use std::ffi::CString;
use std::os::unix::ffi::OsStrExt;
use std::path::Path;
use std::ptr::null_mut;
use std::sync::atomic::{AtomicU64, Ordering};

use fault_plan::layout;

/// The slots that `fault_plan::layout` describes.
#[derive(Clone, Copy)]
pub struct SharedState {
    slots: &'static [AtomicU64],
}

impl SharedState {
    /// Creates slots in private memory. All faults are on.
    pub fn private(faults: usize) -> SharedState {
        let slots: Vec<AtomicU64> = (0..layout::slots(faults))
            .map(|_| AtomicU64::new(0))
            .collect();
        let state = SharedState {
            slots: slots.leak(),
        };
        state.switch_all_on(faults);
        state
    }

    /// Maps slots of a file. If the file does not exist, it is created with all faults on.
    pub fn mapped(path: &Path, faults: usize) -> std::io::Result<SharedState> {
        let is_new = !path.exists();
        let count = layout::slots(faults);
        let slots = map_file(path, count)?;
        let state = SharedState { slots };
        if is_new {
            state.switch_all_on(faults);
        }
        Ok(state)
    }

    fn switch_all_on(self, faults: usize) {
        for fault in 0..faults {
            if let Some(slot) = self.slots.get(layout::switch(fault)) {
                slot.store(1, Ordering::Relaxed);
            }
        }
    }

    /// Returns the value of a slot.
    pub fn load(self, slot: usize) -> u64 {
        self.slots
            .get(slot)
            .map_or(0, |slot| slot.load(Ordering::Relaxed))
    }

    /// Increments a slot and returns its previous value.
    pub fn increment(self, slot: usize) -> u64 {
        self.slots
            .get(slot)
            .map_or(0, |slot| slot.fetch_add(1, Ordering::Relaxed))
    }
}

/// Maps a file of this many slots. The size of the file is set to that of the slots.
fn map_file(path: &Path, count: usize) -> std::io::Result<&'static [AtomicU64]> {
    let bytes = count * layout::SLOT_BYTES;
    let name = CString::new(path.as_os_str().as_bytes())?;
    let flags = libc::O_RDWR | libc::O_CREAT | libc::O_CLOEXEC;
    let mode: libc::mode_t = 0o644;
    // SAFETY: the name is a C string, and the mode that O_CREAT needs is passed.
    let descriptor = unsafe { libc::open(name.as_ptr(), flags, mode) };
    if descriptor < 0 {
        return Err(std::io::Error::last_os_error());
    }
    let map = || {
        // SAFETY: the descriptor is open.
        if unsafe { libc::ftruncate(descriptor, bytes as libc::off_t) } != 0 {
            return Err(std::io::Error::last_os_error());
        }
        let protection = libc::PROT_READ | libc::PROT_WRITE;
        // SAFETY: a new mapping, at an address that the system chooses, overlaps nothing.
        let address = unsafe {
            libc::mmap(
                null_mut(),
                bytes,
                protection,
                libc::MAP_SHARED,
                descriptor,
                0,
            )
        };
        if address == libc::MAP_FAILED {
            return Err(std::io::Error::last_os_error());
        }
        // SAFETY: the mapping has room for `count` slots, starts at a page, is never unmapped, and is only accessed
        // atomically. Truncating the file ends this process, which belongs to the testbed.
        Ok(unsafe { std::slice::from_raw_parts(address.cast::<AtomicU64>(), count) })
    };
    let mapped = map();
    // SAFETY: the descriptor was opened here and is not used any more. The mapping remains valid.
    unsafe { libc::close(descriptor) };
    mapped
}
