//! A single HTTP call to discovery. The HTTP protocol is handled by hyper. This module sets the timeouts of a call and
//! makes sure that a silent connection does not delay the next attempt.

use std::net::SocketAddr;
use std::time::Duration;

use http_body_util::{BodyExt, Empty};
use hyper::body::{Bytes, Frame, Incoming};
use hyper::client::conn::http1;
use hyper::{Request, StatusCode, header};
use hyper_util::rt::TokioIo;
use thiserror::Error;
use tokio::task::AbortHandle;
use tokio::time::{Instant, timeout, timeout_at};

use super::list_decoder::ListError;
use crate::socket::SocketStream;
use crate::socket::connect::{self, ConnectError};

/// If a connection is not established after this time, a second one is opened in parallel: TCP sends a lost packet
/// again only after a second.
const CONNECT_RETRY_DELAY: Duration = Duration::from_millis(300);
/// A call fails if no connection is established after this time.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Calls may queue at discovery, for up to 2 s according to the operators. A call whose response has not begun after
/// this time counts as half open, and a second call is made in parallel. The first response is used. The first call is
/// not ended when the second begins, because one that is queued for longer would lose its place in the queue.
pub const HALF_OPEN_TIMEOUT: Duration = Duration::from_millis(2_100);
/// The response of a call must begin within this time.
pub const RESPONSE_TIMEOUT: Duration = Duration::from_secs(5);
/// The response of a call must also begin within this many half-open timeouts: one for the first call, and two for the
/// second.
const MAX_HALF_OPEN_TIMEOUTS: u32 = 3;
/// Maximum size of a response head, in bytes.
const MAX_HEAD_BYTES: usize = 16 * 1024;

/// The reason why a call to discovery ended. The current endpoint list stays in use.
#[derive(Debug, Error)]
pub enum CallError {
    /// No connection could be opened.
    #[error("cannot connect to discovery: {0}; check its address and that it runs")]
    Connect(#[from] ConnectError),
    /// The connection broke, or the data on it is not HTTP.
    #[error("the HTTP exchange with discovery failed: {0}")]
    Http(#[from] hyper::Error),
    /// The request cannot be expressed in HTTP.
    #[error("cannot build the HTTP request to discovery: {0}")]
    Request(#[from] hyper::http::Error),
    /// The response did not begin in time.
    #[error("discovery did not answer in time")]
    NoResponse,
    /// The response began and was then silent for too long, or transferred a list too slowly.
    #[error("discovery stalled in the middle of a response")]
    Stalled,
    /// The call was answered with a status other than 200.
    #[error("discovery answered with status {0}")]
    Status(StatusCode),
    /// The response is not an endpoint list.
    #[error("discovery sent an invalid endpoint list: {0}")]
    List(#[from] ListError),
}

/// A response whose head has been received. Dropping it closes its connection.
pub struct DiscoveryResponse {
    body: Incoming,
    _connection: ConnectionTask,
}

impl DiscoveryResponse {
    /// Returns the next frame of the body; `None` at its end.
    ///
    /// # Errors
    ///
    /// [`CallError::Stalled`] if there is none by the deadline, [`CallError::Http`] if the connection breaks.
    pub async fn next_frame(
        &mut self,
        deadline: Instant,
    ) -> Result<Option<Frame<Bytes>>, CallError> {
        let frame = timeout_at(deadline, self.body.frame())
            .await
            .map_err(|_| CallError::Stalled)?;
        Ok(frame.transpose()?)
    }
}

/// Aborts the task that drives a connection when the call of that connection is dropped.
struct ConnectionTask(AbortHandle);

impl Drop for ConnectionTask {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// Makes a call and waits for the head of its response. A second call is made in parallel if the first may be half
/// open. If one call fails while the other may still be answered, the result of the other is returned.
///
/// # Errors
///
/// If neither call is answered with status 200 in time.
pub async fn request(
    address: SocketAddr,
    path: &str,
    half_open_timeout: Duration,
) -> Result<DiscoveryResponse, CallError> {
    let first_response = async {
        let first = send_request(address, path);
        tokio::pin!(first);
        if let Ok(response) = timeout(half_open_timeout, &mut first).await {
            return response;
        }
        tokio::select! {
            Ok(response) = &mut first => Ok(response),
            Ok(response) = send_request(address, path) => Ok(response),
            else => Err(CallError::NoResponse),
        }
    };
    let response_timeout = RESPONSE_TIMEOUT.min(half_open_timeout * MAX_HALF_OPEN_TIMEOUTS);
    timeout(response_timeout, first_response)
        .await
        .unwrap_or(Err(CallError::NoResponse))
}

/// Sends a request on a new connection and waits for the head of its response. Dropping the future at any point closes
/// the connection.
async fn send_request(address: SocketAddr, path: &str) -> Result<DiscoveryResponse, CallError> {
    let stream = connect(address).await?;
    let (mut sender, connection) = http1::Builder::new()
        .max_buf_size(MAX_HEAD_BYTES)
        .handshake(TokioIo::new(stream))
        .await?;
    let task = tokio::spawn(async move { drop(connection.await) });
    let connection = ConnectionTask(task.abort_handle());
    let request = Request::get(path)
        .header(header::HOST, address.to_string())
        .header(header::ACCEPT, "application/json")
        .body(Empty::<Bytes>::new())?;
    let response = sender.send_request(request).await?;
    match response.status() {
        StatusCode::OK => Ok(DiscoveryResponse {
            body: response.into_body(),
            _connection: connection,
        }),
        status => Err(CallError::Status(status)),
    }
}

/// Opens a connection. A second one is opened in parallel if the first is not established soon.
async fn connect(address: SocketAddr) -> Result<SocketStream, CallError> {
    let deadline = Instant::now() + CONNECT_TIMEOUT;
    let open = || connect::connect(address, deadline, || {});
    let first = open();
    tokio::pin!(first);
    if let Ok(connected) = timeout(CONNECT_RETRY_DELAY, &mut first).await {
        return Ok(connected?);
    }
    let connected = tokio::select! {
        connected = &mut first => connected,
        connected = open() => connected,
    };
    Ok(connected?)
}
