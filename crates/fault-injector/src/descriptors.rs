//! The kinds of objects that descriptors refer to. The kind is determined at the first use of a descriptor and cached
//! until the descriptor is closed.

use std::mem::MaybeUninit;
use std::sync::atomic::{AtomicU8, Ordering};

use fault_plan::DescriptorKind;
use libc::{c_int, c_void, socklen_t};

/// Number of descriptors whose kind is cached. The kind of descriptors with higher numbers is determined at each use.
const MAX_CACHED: usize = 1 << 16;

const UNKNOWN: u8 = 0;
const TCP: u8 = 1;
const FILE: u8 = 2;
const PIPE: u8 = 3;
const LOG: u8 = 4;
/// An object of another kind, to which faults cannot be limited: a Unix socket, an event counter or a device.
const OTHER: u8 = 5;

static CACHED_KINDS: [AtomicU8; MAX_CACHED] = [const { AtomicU8::new(UNKNOWN) }; MAX_CACHED];

fn cached_kind(descriptor: c_int) -> Option<&'static AtomicU8> {
    CACHED_KINDS.get(usize::try_from(descriptor).ok()?)
}

/// Invalidates the cached kind of a descriptor that was opened or is being closed, as its number will refer to another
/// object.
pub fn invalidate(descriptor: c_int) {
    if let Some(cached_kind) = cached_kind(descriptor) {
        cached_kind.store(UNKNOWN, Ordering::Relaxed);
    }
}

/// Returns the kind of a descriptor, or `None` for a kind to which faults cannot be limited. May change `errno`.
pub fn kind(descriptor: c_int) -> Option<DescriptorKind> {
    let cached_kind = cached_kind(descriptor);
    let mut code = cached_kind.map_or(UNKNOWN, |cached_kind| cached_kind.load(Ordering::Relaxed));
    if code == UNKNOWN {
        code = determine_kind(descriptor);
        if let Some(cached_kind) = cached_kind {
            cached_kind.store(code, Ordering::Relaxed);
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

fn determine_kind(descriptor: c_int) -> u8 {
    if descriptor == libc::STDERR_FILENO {
        return LOG;
    }
    let mut status = MaybeUninit::<libc::stat>::uninit();
    // SAFETY: `status` has room for the data that is written.
    if unsafe { libc::fstat(descriptor, status.as_mut_ptr()) } != 0 {
        return UNKNOWN;
    }
    // SAFETY: `fstat` has succeeded, so it has written all of `status`.
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
    // SAFETY: `value` has room for `length` bytes, and both stay valid during the call.
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

/// Number of bytes that can be read from a descriptor without blocking. May change `errno`.
pub fn readable_bytes(descriptor: c_int) -> usize {
    let mut bytes: c_int = 0;
    // SAFETY: FIONREAD writes an int, and `bytes` has room for it.
    let result = unsafe { libc::ioctl(descriptor, libc::FIONREAD, &raw mut bytes) };
    if result == 0 {
        usize::try_from(bytes).unwrap_or(0)
    } else {
        0
    }
}
