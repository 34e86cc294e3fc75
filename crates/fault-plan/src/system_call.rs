//! The system calls that faults can be injected into, and the kinds of descriptors that faults can be limited to.

use std::fmt::{self, Display, Formatter};

use serde::{Deserialize, Serialize};

/// A system call, by the name of its C library function.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
#[expect(missing_docs, reason = "the manual pages document each")]
pub enum SystemCall {
    Socket,
    Bind,
    Listen,
    Accept4,
    Connect,
    Recv,
    Recvfrom,
    Read,
    Readv,
    Send,
    Sendto,
    Write,
    Writev,
    EpollWait,
    Open,
    Openat,
}

impl SystemCall {
    /// Number of system calls.
    pub const COUNT: usize = SystemCall::Openat as usize + 1;

    /// Whether the call reads bytes into a buffer.
    pub fn is_read(self) -> bool {
        matches!(
            self,
            SystemCall::Recv | SystemCall::Recvfrom | SystemCall::Read | SystemCall::Readv
        )
    }

    /// Whether the call writes bytes from a buffer.
    pub fn is_write(self) -> bool {
        matches!(
            self,
            SystemCall::Send | SystemCall::Sendto | SystemCall::Write | SystemCall::Writev
        )
    }

    /// Whether the call reads or writes bytes, so that its faults can be limited to one kind of descriptor.
    pub fn transfers_bytes(self) -> bool {
        self.is_read() || self.is_write()
    }
}

impl Display for SystemCall {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            SystemCall::Socket => "socket",
            SystemCall::Bind => "bind",
            SystemCall::Listen => "listen",
            SystemCall::Accept4 => "accept4",
            SystemCall::Connect => "connect",
            SystemCall::Recv => "recv",
            SystemCall::Recvfrom => "recvfrom",
            SystemCall::Read => "read",
            SystemCall::Readv => "readv",
            SystemCall::Send => "send",
            SystemCall::Sendto => "sendto",
            SystemCall::Write => "write",
            SystemCall::Writev => "writev",
            SystemCall::EpollWait => "epoll_wait",
            SystemCall::Open => "open",
            SystemCall::Openat => "openat",
        })
    }
}

/// The kind of object that a descriptor refers to.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum DescriptorKind {
    /// A TCP socket.
    #[default]
    Tcp,
    /// A regular file, except standard error.
    File,
    /// A pipe, except standard error.
    Pipe,
    /// Standard error, which receives the log, regardless of the object that it refers to.
    Log,
}

impl Display for DescriptorKind {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            DescriptorKind::Tcp => "TCP sockets",
            DescriptorKind::File => "files",
            DescriptorKind::Pipe => "pipes",
            DescriptorKind::Log => "the log",
        })
    }
}
