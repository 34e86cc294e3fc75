//! What descriptors refer to, found out at their first use and kept until they are closed.

use std::mem::MaybeUninit;
use std::sync::atomic::{AtomicU8, Ordering};

use fault_plan::DescriptorKind;
use libc::{c_int, c_void, socklen_t};

/// Descriptors whose kind is kept; that of further ones is found out at each use.
const MAX_KEPT: usize = 1 << 16;

const UNKNOWN: u8 = 0;
const TCP: u8 = 1;
const FILE: u8 = 2;
const PIPE: u8 = 3;
const LOG: u8 = 4;
/// Of no kind that faults are for: a Unix socket, an event counter, a device.
const OTHER: u8 = 5;

static KEPT: [AtomicU8; MAX_KEPT] = [const { AtomicU8::new(UNKNOWN) }; MAX_KEPT];

fn kept(descriptor: c_int) -> Option<&'static AtomicU8> {
    KEPT.get(usize::try_from(descriptor).ok()?)
}

/// A descriptor was opened or is closed: it refers to something else from now on.
pub fn forget(descriptor: c_int) {
    if let Some(kept) = kept(descriptor) {
        kept.store(UNKNOWN, Ordering::Relaxed);
    }
}

/// What a descriptor refers to; `None` for what faults are not for. `errno` may be changed.
pub fn kind(descriptor: c_int) -> Option<DescriptorKind> {
    let kept = kept(descriptor);
    let mut code = kept.map_or(UNKNOWN, |kept| kept.load(Ordering::Relaxed));
    if code == UNKNOWN {
        code = find_out(descriptor);
        if let Some(kept) = kept {
            kept.store(code, Ordering::Relaxed);
        }
    }
    match code {
        TCP => Some(DescriptorKind::Tcp),
        FILE => Some(DescriptorKind::File),
        PIPE => Some(DescriptorKind::Pipe),
        LOG => Some(DescriptorKind::Log),
        _ => None,
    }
}

fn find_out(descriptor: c_int) -> u8 {
    if descriptor == libc::STDERR_FILENO {
        return LOG;
    }
    let mut status = MaybeUninit::<libc::stat>::uninit();
    // SAFETY: `status` has room for what is written.
    if unsafe { libc::fstat(descriptor, status.as_mut_ptr()) } != 0 {
        return UNKNOWN;
    }
    // SAFETY: `fstat` has succeeded, so it has written all of it.
    let mode = unsafe { status.assume_init() }.st_mode;
    match mode & libc::S_IFMT {
        libc::S_IFREG => FILE,
        libc::S_IFIFO => PIPE,
        libc::S_IFSOCK if is_tcp(descriptor) => TCP,
        _ => OTHER,
    }
}

fn is_tcp(descriptor: c_int) -> bool {
    let domain = socket_option(descriptor, libc::SO_DOMAIN);
    let socket_type = socket_option(descriptor, libc::SO_TYPE);
    matches!(domain, Some(libc::AF_INET | libc::AF_INET6)) && socket_type == Some(libc::SOCK_STREAM)
}

fn socket_option(descriptor: c_int, option: c_int) -> Option<c_int> {
    let mut value: c_int = 0;
    let mut length = size_of::<c_int>() as socklen_t;
    // SAFETY: `value` has room for `length` bytes, and both live through the call.
    let result = unsafe {
        libc::getsockopt(
            descriptor,
            libc::SOL_SOCKET,
            option,
            (&raw mut value).cast::<c_void>(),
            &raw mut length,
        )
    };
    (result == 0).then_some(value)
}

/// Bytes that can be read from a descriptor at once. `errno` may be changed.
pub fn readable_bytes(descriptor: c_int) -> usize {
    let mut bytes: c_int = 0;
    // SAFETY: FIONREAD writes an int, for which there is room.
    let result = unsafe { libc::ioctl(descriptor, libc::FIONREAD, &raw mut bytes) };
    if result == 0 {
        usize::try_from(bytes).unwrap_or(0)
    } else {
        0
    }
}
