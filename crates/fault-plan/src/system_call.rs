//! The system calls that faults are injected into, and what they work on.

use std::fmt::{self, Display, Formatter};

use serde::{Deserialize, Serialize};

/// A system call, by the name of its function in the C library.
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

    /// Whether it reads bytes into a buffer.
    pub fn is_read(self) -> bool {
        matches!(
            self,
            SystemCall::Recv | SystemCall::Recvfrom | SystemCall::Read | SystemCall::Readv
        )
    }

    /// Whether it writes bytes from a buffer.
    pub fn is_write(self) -> bool {
        matches!(
            self,
            SystemCall::Send | SystemCall::Sendto | SystemCall::Write | SystemCall::Writev
        )
    }

    /// Whether it reads or writes bytes, so that a fault can be limited to one kind of descriptor.
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

/// What a descriptor that bytes are read from or written to refers to.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum DescriptorKind {
    /// A TCP socket.
    #[default]
    Tcp,
    /// A regular file other than the log.
    File,
    /// A pipe other than the log.
    Pipe,
    /// Standard error, where the log goes, whatever it refers to.
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
