//! A single HTTP call to discovery. HTTP is hyper's; what is decided here is how long a call may take, and that a silent
//! one never stands in the way of the next.

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

/// A connection that is not established after this is tried a second time beside the first: a lost packet is sent again
/// by TCP only after a second.
const CONNECT_RETRY_DELAY: Duration = Duration::from_millis(300);
/// A call whose connection is not established after this has failed.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Calls queue at discovery, by the operators' terms for up to 2 s: one whose response has not begun after this is taken
/// for half open, and a second call is made beside it. Whichever is answered first is used: a call that queues longer
/// than that would lose its place if it were ended.
pub const HALF_OPEN_TIMEOUT: Duration = Duration::from_millis(2_100);
/// No response may take longer than this to begin.
pub const RESPONSE_TIMEOUT: Duration = Duration::from_secs(5);
/// Nor longer than so many half-open time-outs: one for the first call, and twice that for the second.
const MAX_HALF_OPEN_TIMEOUTS: u32 = 3;
/// The longest head of a response, in bytes.
const MAX_HEAD_BYTES: usize = 16 * 1024;

/// Why a call to discovery ended. The endpoint list in force stays in use.
#[derive(Debug, Error)]
pub enum CallError {
    /// No connection could be opened.
    #[error("cannot connect to discovery: {0}; check its address and that it runs")]
    Connect(#[from] ConnectError),
    /// The connection broke, or what it brought is not HTTP.
    #[error("the HTTP exchange with discovery broke off: {0}")]
    Http(#[from] hyper::Error),
    /// The request can't be expressed in HTTP.
    #[error("cannot form the request to discovery: {0}")]
    Request(#[from] hyper::http::Error),
    /// The response did not begin in time.
    #[error("no answer from discovery in time")]
    NoResponse,
    /// The response began and was then silent for too long, or brought a list too slowly.
    #[error("discovery was silent for too long")]
    Stalled,
    /// The call was answered with another status than 200.
    #[error("discovery answered with status {0}")]
    Status(StatusCode),
    /// The response is no endpoint list.
    #[error("discovery sent no endpoint list: {0}")]
    List(#[from] ListError),
}

/// A response that has begun. Dropping it closes its connection.
pub struct DiscoveryResponse {
    body: Incoming,
    _connection: ConnectionTask,
}

impl DiscoveryResponse {
    /// The next frame of the body; `None` at its end.
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

/// Aborts the task that moves a connection's bytes, together with the call that it is for.
struct ConnectionTask(AbortHandle);

impl Drop for ConnectionTask {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// Makes a call and waits for the head of its response, with a second call beside a first that may be half open. If one
/// fails while the other may still be answered, the other decides.
///
/// # Errors
///
/// If neither is answered with status 200 in time.
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

/// Sends a request on a new connection and waits for the head of its response. Dropped at any point, it leaves no
/// connection behind.
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

/// Opens a connection, with a second one beside a first that does not come up.
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
