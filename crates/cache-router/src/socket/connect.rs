//! Opening a connection, with further tries while this machine lacks something for a moment.

use std::future::Future;
use std::io;
use std::net::SocketAddr;

use thiserror::Error;
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep, timeout_at};
use tracing::error;

use super::SocketStream;
use super::errors::{ErrorMeaning, classify};
use super::stream::LOCAL_RETRY_PAUSE;

/// Why a connection could not be opened.
#[derive(Debug, Error)]
pub enum ConnectError {
    /// The peer has not answered by the deadline.
    #[error("the peer has not accepted the connection in time")]
    TimedOut,
    /// This machine could not open it by the deadline. The peer was never asked.
    #[error("this machine can open no connection: {0}; check its limits on descriptors and ports")]
    Local(io::Error),
    /// The peer has refused it, or cannot be reached.
    #[error("the peer cannot be reached: {0}")]
    Peer(io::Error),
}

/// Opens a connection by a deadline. What this machine lacks for a moment is waited for, and reported to
/// `on_local_failure` each time.
///
/// # Errors
/// If the connection is not established by the deadline, or the peer refuses it.
pub async fn connect(
    address: SocketAddr,
    deadline: Instant,
    on_local_failure: impl FnMut(),
) -> Result<SocketStream, ConnectError> {
    let open = || TcpStream::connect(address);
    let stream = connect_with(open, deadline, on_local_failure).await?;
    Ok(SocketStream::new(stream))
}

/// As [`connect`], with the call that opens a connection once.
///
/// # Errors
/// As [`connect`].
pub async fn connect_with<S, F: Future<Output = io::Result<S>>>(
    mut open: impl FnMut() -> F,
    deadline: Instant,
    mut on_local_failure: impl FnMut(),
) -> Result<S, ConnectError> {
    loop {
        let Ok(opened) = timeout_at(deadline, open()).await else {
            return Err(ConnectError::TimedOut);
        };
        let failure = match opened {
            Ok(stream) => return Ok(stream),
            Err(failure) => failure,
        };
        match classify(&failure) {
            ErrorMeaning::RetryNow | ErrorMeaning::RetrySoon => {}
            ErrorMeaning::ConnectionLost => return Err(ConnectError::Peer(failure)),
            ErrorMeaning::ProgramFault => {
                error!(error = %failure, "a connection cannot be opened by a fault of this program");
                return Err(ConnectError::Peer(failure));
            }
        }
        on_local_failure();
        if Instant::now() + LOCAL_RETRY_PAUSE >= deadline {
            return Err(ConnectError::Local(failure));
        }
        sleep(LOCAL_RETRY_PAUSE).await;
    }
}
