//! The functions that replace those of the C library.
//!
//! SAFETY of all hooks: each hook has the name and the type of a function of the C library. It passes its arguments on
//! to that function unchanged, or with a smaller count of bytes, or not at all. The requirements on the callers of a
//! hook are therefore those on the callers of that function. The variadic functions (`open` and its variants) are
//! declared as if their last argument were always present, which the calling conventions of Linux allow. If the
//! argument is absent, its value is passed on and not used.

use fault_plan::SystemCall;
use libc::{
    c_char, c_int, c_void, clockid_t, epoll_event, iovec, mode_t, size_t, sockaddr, socklen_t,
    ssize_t, timespec,
};

use crate::descriptors;
use crate::injector::{Decision, Errno, Shortening, clock_offset_ns, decide, set_errno};
use crate::original::{self, Original};

const FAILED: c_int = -1;
const NANOS_PER_SECOND: i64 = 1_000_000_000;

/// Makes a call that transfers no bytes, unless the call is to fail.
fn call(system_call: SystemCall, descriptor: c_int, make: impl FnOnce() -> c_int) -> c_int {
    match decide(system_call, descriptor) {
        Decision::Fail(error) => {
            set_errno(error);
            FAILED
        }
        Decision::Pass | Decision::Shorten(_) => make(),
    }
}

/// Makes a call that opens a descriptor, unless the call is to fail.
fn open_call(system_call: SystemCall, make: impl FnOnce() -> c_int) -> c_int {
    let descriptor = call(system_call, FAILED, make);
    descriptors::invalidate(descriptor);
    descriptor
}

/// Makes a call that transfers up to `length` bytes, unless the call is to fail. `make` receives the length to request.
fn transfer(
    system_call: SystemCall,
    descriptor: c_int,
    length: size_t,
    make: impl FnOnce(size_t) -> ssize_t,
) -> ssize_t {
    match decide(system_call, descriptor) {
        Decision::Fail(error) => {
            set_errno(error);
            FAILED as ssize_t
        }
        Decision::Shorten(shortening) => {
            let shorter = shortened(system_call, descriptor, length, shortening);
            make(shorter.unwrap_or(length))
        }
        Decision::Pass => make(length),
    }
}

/// The length to request so that fewer bytes are transferred than possible; `None` if the call cannot be shortened.
fn shortened(
    system_call: SystemCall,
    descriptor: c_int,
    length: size_t,
    shortening: Shortening,
) -> Option<size_t> {
    let mut possible = length;
    if system_call.is_read() {
        let errno = Errno::save();
        possible = possible.min(descriptors::readable_bytes(descriptor));
        errno.restore();
    }
    shortening.length(possible)
}

/// Makes a call that transfers bytes from or to several buffers, unless the call is to fail. A shortened call uses only
/// the first buffer that is not empty, or a part of it.
///
/// # Safety
/// `buffers` must point to `count` buffers, and `make` must be a function of the C library that may be called with
/// them.
unsafe fn vector_transfer(
    system_call: SystemCall,
    descriptor: c_int,
    buffers: *const iovec,
    count: c_int,
    make: &Original<original::VectorFunction>,
) -> ssize_t {
    // SAFETY: the caller guarantees that `make` may be called with these buffers.
    let call_unchanged = || unsafe { make.get()(descriptor, buffers, count) };
    let shortening = match decide(system_call, descriptor) {
        Decision::Pass => return call_unchanged(),
        Decision::Fail(error) => {
            set_errno(error);
            return FAILED as ssize_t;
        }
        Decision::Shorten(shortening) => shortening,
    };
    let count = usize::try_from(count).unwrap_or(0);
    if buffers.is_null() || count == 0 {
        return call_unchanged();
    }
    // SAFETY: the caller guarantees `count` buffers at this address.
    let buffers = unsafe { std::slice::from_raw_parts(buffers, count) };
    let total = buffers.iter().map(|buffer| buffer.iov_len).sum();
    let first = buffers.iter().find(|buffer| buffer.iov_len > 0);
    let Some(first) = first else {
        return call_unchanged();
    };
    let Some(length) = shortened(system_call, descriptor, total, shortening) else {
        return call_unchanged();
    };
    let shortened_buffer = iovec {
        iov_base: first.iov_base,
        iov_len: first.iov_len.min(length),
    };
    // SAFETY: `shortened_buffer` is a part of a buffer of the caller.
    unsafe { make.get()(descriptor, &raw const shortened_buffer, 1) }
}

/// Declares hooks for calls on a descriptor that transfer no bytes.
macro_rules! descriptor_hooks {
    ($($name:ident = $call:expr, $original:expr, ($($argument:ident: $type:ty),*);)*) => {$(
        /// Replaces the function of this name in the C library.
        ///
        /// # Safety
        /// Same as for the original function.
        #[unsafe(no_mangle)]
        pub unsafe extern "C" fn $name(descriptor: c_int, $($argument: $type),*) -> c_int {
            // SAFETY: the caller meets the requirements of the original function.
            call($call, descriptor, || unsafe { $original.get()(descriptor, $($argument),*) })
        }
    )*};
}

descriptor_hooks! {
    bind = SystemCall::Bind, original::BIND, (address: *const sockaddr, length: socklen_t);
    listen = SystemCall::Listen, original::LISTEN, (backlog: c_int);
    connect = SystemCall::Connect, original::CONNECT, (address: *const sockaddr, length: socklen_t);
    epoll_wait = SystemCall::EpollWait, original::EPOLL_WAIT,
        (events: *mut epoll_event, capacity: c_int, timeout_ms: c_int);
}

/// Declares hooks for calls that open a descriptor.
macro_rules! open_hooks {
    ($($name:ident = $call:expr, $original:expr, ($($argument:ident: $type:ty),*);)*) => {$(
        /// Replaces the function of this name in the C library.
        ///
        /// # Safety
        /// Same as for the original function.
        #[unsafe(no_mangle)]
        pub unsafe extern "C" fn $name($($argument: $type),*) -> c_int {
            // SAFETY: the caller meets the requirements of the original function.
            open_call($call, || unsafe { $original.get()($($argument),*) })
        }
    )*};
}

open_hooks! {
    socket = SystemCall::Socket, original::SOCKET, (domain: c_int, kind: c_int, protocol: c_int);
    accept4 = SystemCall::Accept4, original::ACCEPT4,
        (listener: c_int, address: *mut sockaddr, length: *mut socklen_t, flags: c_int);
    open = SystemCall::Open, original::OPEN, (path: *const c_char, flags: c_int, mode: mode_t);
    open64 = SystemCall::Open, original::OPEN64, (path: *const c_char, flags: c_int, mode: mode_t);
    openat = SystemCall::Openat, original::OPENAT,
        (folder: c_int, path: *const c_char, flags: c_int, mode: mode_t);
    openat64 = SystemCall::Openat, original::OPENAT64,
        (folder: c_int, path: *const c_char, flags: c_int, mode: mode_t);
}

/// Declares hooks for calls that transfer bytes from or to one buffer.
macro_rules! transfer_hooks {
    ($($name:ident = $call:expr, $original:expr, $buffer:ty, ($($argument:ident: $type:ty),*);)*) => {$(
        /// Replaces the function of this name in the C library.
        ///
        /// # Safety
        /// Same as for the original function.
        #[unsafe(no_mangle)]
        pub unsafe extern "C" fn $name(
            descriptor: c_int,
            buffer: $buffer,
            length: size_t,
            $($argument: $type),*
        ) -> ssize_t {
            transfer($call, descriptor, length, |length| {
                // SAFETY: the caller meets the requirements of the original function, and the length is at most that of
                // the caller.
                unsafe { $original.get()(descriptor, buffer, length, $($argument),*) }
            })
        }
    )*};
}

transfer_hooks! {
    read = SystemCall::Read, original::READ, *mut c_void, ();
    recv = SystemCall::Recv, original::RECV, *mut c_void, (flags: c_int);
    recvfrom = SystemCall::Recvfrom, original::RECVFROM, *mut c_void,
        (flags: c_int, address: *mut sockaddr, address_length: *mut socklen_t);
    write = SystemCall::Write, original::WRITE, *const c_void, ();
    send = SystemCall::Send, original::SEND, *const c_void, (flags: c_int);
    sendto = SystemCall::Sendto, original::SENDTO, *const c_void,
        (flags: c_int, address: *const sockaddr, address_length: socklen_t);
}

/// Replaces the function of this name in the C library.
///
/// # Safety
/// Same as for the original function.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn readv(descriptor: c_int, buffers: *const iovec, count: c_int) -> ssize_t {
    // SAFETY: the caller meets the requirements of the original function.
    unsafe {
        vector_transfer(
            SystemCall::Readv,
            descriptor,
            buffers,
            count,
            &original::READV,
        )
    }
}

/// Replaces the function of this name in the C library.
///
/// # Safety
/// Same as for the original function.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn writev(descriptor: c_int, buffers: *const iovec, count: c_int) -> ssize_t {
    // SAFETY: the caller meets the requirements of the original function.
    unsafe {
        vector_transfer(
            SystemCall::Writev,
            descriptor,
            buffers,
            count,
            &original::WRITEV,
        )
    }
}

/// Replaces the function of this name in the C library. The hook injects no faults. It only invalidates the cached kind
/// of the descriptor, as the kind has to be determined again when the number of the descriptor is reused.
///
/// # Safety
/// Same as for the original function.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn close(descriptor: c_int) -> c_int {
    descriptors::invalidate(descriptor);
    // SAFETY: the caller meets the requirements of the original function.
    unsafe { original::CLOSE.get()(descriptor) }
}

/// Replaces the function of this name in the C library. The offset is applied to the wall clock and to no other clock.
///
/// # Safety
/// Same as for the original function.
#[unsafe(no_mangle)]
pub unsafe extern "C" fn clock_gettime(clock: clockid_t, time: *mut timespec) -> c_int {
    // SAFETY: the caller meets the requirements of the original function.
    let result = unsafe { original::CLOCK_GETTIME.get()(clock, time) };
    if clock != libc::CLOCK_REALTIME || result != 0 {
        return result;
    }
    let offset = clock_offset_ns();
    // SAFETY: the call has succeeded, so there is a time at this address, which belongs to the caller.
    if let Some(time) = unsafe { time.as_mut() } {
        let nanos = time.tv_nsec + offset.rem_euclid(NANOS_PER_SECOND);
        time.tv_sec += offset.div_euclid(NANOS_PER_SECOND) + nanos / NANOS_PER_SECOND;
        time.tv_nsec = nanos % NANOS_PER_SECOND;
    }
    result
}
