//! The functions of the C library that the hooks replace.

use std::ffi::CStr;
use std::marker::PhantomData;
use std::ptr::null_mut;
use std::sync::atomic::{AtomicPtr, Ordering};

use libc::{
    c_char, c_int, c_void, clockid_t, epoll_event, iovec, mode_t, size_t, sockaddr, socklen_t,
    ssize_t, timespec,
};

/// The next definition of a function after the one in this library. It is looked up once. `F` is the function's type.
pub struct Original<F> {
    name: &'static CStr,
    address: AtomicPtr<c_void>,
    function: PhantomData<F>,
}

impl<F: Copy> Original<F> {
    /// # Safety
    /// `F` must be the type of the function with this name.
    const unsafe fn new(name: &'static CStr) -> Original<F> {
        Original {
            name,
            address: AtomicPtr::new(null_mut()),
            function: PhantomData,
        }
    }

    /// Returns the function, and looks it up if necessary.
    pub fn get(&self) -> F {
        let mut address = self.address.load(Ordering::Relaxed);
        if address.is_null() {
            address = self.look_up();
        }
        const { assert!(size_of::<F>() == size_of::<*mut c_void>()) };
        // SAFETY: the address is that of the function with this name, whose type is `F` by the contract of `new`.
        unsafe { std::mem::transmute_copy(&address) }
    }

    /// Looks up the function. `dlsym` may take a lock, so all functions are looked up when the library is loaded.
    pub fn look_up(&self) -> *mut c_void {
        // SAFETY: the name is a C string.
        let address = unsafe { libc::dlsym(libc::RTLD_NEXT, self.name.as_ptr()) };
        if address.is_null() {
            // SAFETY: `abort` may be called at any time. There is no C library without these functions.
            unsafe { libc::abort() }
        }
        self.address.store(address, Ordering::Relaxed);
        address
    }
}

/// Declares the original functions, and `look_up_all`, which looks up all of them.
macro_rules! originals {
    ($($constant:ident = $name:literal: $function:ty;)*) => {
        $(
            // SAFETY: the type is that of the function in the headers of the C library.
            pub static $constant: Original<$function> = unsafe { Original::new($name) };
        )*

        /// Looks up all functions.
        pub fn look_up_all() {
            $($constant.look_up();)*
        }
    };
}

pub type ReadFunction = unsafe extern "C" fn(c_int, *mut c_void, size_t) -> ssize_t;
pub type WriteFunction = unsafe extern "C" fn(c_int, *const c_void, size_t) -> ssize_t;
pub type VectorFunction = unsafe extern "C" fn(c_int, *const iovec, c_int) -> ssize_t;
pub type OpenFunction = unsafe extern "C" fn(*const c_char, c_int, mode_t) -> c_int;
pub type OpenatFunction = unsafe extern "C" fn(c_int, *const c_char, c_int, mode_t) -> c_int;

originals! {
    SOCKET = c"socket": unsafe extern "C" fn(c_int, c_int, c_int) -> c_int;
    BIND = c"bind": unsafe extern "C" fn(c_int, *const sockaddr, socklen_t) -> c_int;
    LISTEN = c"listen": unsafe extern "C" fn(c_int, c_int) -> c_int;
    ACCEPT4 = c"accept4": unsafe extern "C" fn(c_int, *mut sockaddr, *mut socklen_t, c_int) -> c_int;
    CONNECT = c"connect": unsafe extern "C" fn(c_int, *const sockaddr, socklen_t) -> c_int;
    RECV = c"recv": unsafe extern "C" fn(c_int, *mut c_void, size_t, c_int) -> ssize_t;
    RECVFROM = c"recvfrom":
        unsafe extern "C" fn(c_int, *mut c_void, size_t, c_int, *mut sockaddr, *mut socklen_t) -> ssize_t;
    READ = c"read": ReadFunction;
    READV = c"readv": VectorFunction;
    SEND = c"send": unsafe extern "C" fn(c_int, *const c_void, size_t, c_int) -> ssize_t;
    SENDTO = c"sendto":
        unsafe extern "C" fn(c_int, *const c_void, size_t, c_int, *const sockaddr, socklen_t) -> ssize_t;
    WRITE = c"write": WriteFunction;
    WRITEV = c"writev": VectorFunction;
    EPOLL_WAIT = c"epoll_wait": unsafe extern "C" fn(c_int, *mut epoll_event, c_int, c_int) -> c_int;
    OPEN = c"open": OpenFunction;
    OPEN64 = c"open64": OpenFunction;
    OPENAT = c"openat": OpenatFunction;
    OPENAT64 = c"openat64": OpenatFunction;
    CLOSE = c"close": unsafe extern "C" fn(c_int) -> c_int;
    CLOCK_GETTIME = c"clock_gettime": unsafe extern "C" fn(clockid_t, *mut timespec) -> c_int;
}
