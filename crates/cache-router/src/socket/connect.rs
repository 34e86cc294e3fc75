//! Opens connections, with retries while this machine is temporarily short of a resource.

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
    #[error("the peer did not accept the connection before the deadline")]
    TimedOut,
    /// This machine lacked the resources to open the connection by the deadline. The peer was not contacted.
    #[error(
        "this machine cannot open the connection: {0}; check its limits on descriptors and ports"
    )]
    Local(io::Error),
    /// The peer has refused the connection, or cannot be reached.
    #[error("the peer cannot be reached: {0}")]
    Peer(io::Error),
}

/// Opens a connection by a deadline. An attempt that fails for lack of resources on this machine is retried after
/// [`LOCAL_RETRY_PAUSE`]; `on_local_failure` is called for each such failure.
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

/// As [`connect`], but `open` makes one attempt to open the connection.
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
                error!(error = %failure, "cannot open a connection because of a bug in this program");
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
