//! The emulated origin, in HTTP.

use std::sync::Arc;

use axum::Router;
use axum::body::Body;
use axum::extract::State;
use axum::http::{HeaderMap, StatusCode, header};
use axum::response::{IntoResponse, Response};
use axum::routing::get;
use bytes::Bytes;
use tokio::net::TcpListener;

use super::{CORRUPT_REPLY, remaining_deadline};
use crate::sockets::cluster::{AttemptReply, ReceivedAttempt, RequestId};
use crate::sockets::shared::SharedCluster;

/// The header with the id of the request that a call belongs to.
const REQUEST_HEADER: &str = "x-correlation-id";
/// The header with the fields of the request, which include the remaining deadline.
const FIELDS_HEADER: &str = "x-facts";

/// Serves the origin's connections indefinitely. The connections end with this task.
///
/// # Errors
/// Returns an error if the listener fails.
pub async fn serve(shared: Arc<SharedCluster>, listener: TcpListener) -> std::io::Result<()> {
    let routes = Router::new()
        .route("/{key}", get(fetch).put(fetch))
        .with_state(shared);
    axum::serve(listener, routes).await
}

async fn fetch(State(shared): State<Arc<SharedCluster>>, headers: HeaderMap) -> Response {
    let Some(received) = received_attempt(&headers) else {
        return (StatusCode::BAD_REQUEST, "no request of a client").into_response();
    };
    let now = shared.now();
    // A separate statement, so that the lock is not held while the reply is awaited.
    let attempt = shared.state().attempt_at_origin(now, received);
    shared.notify_work_scheduled();
    let Some(attempt) = attempt else {
        return StatusCode::INTERNAL_SERVER_ERROR.into_response();
    };
    match attempt.reply.await {
        Ok(AttemptReply::Value) => shared.value().clone().into_response(),
        Ok(AttemptReply::Busy) => {
            (StatusCode::SERVICE_UNAVAILABLE, [("x-unprocessed", "1")]).into_response()
        }
        Ok(AttemptReply::Nothing) => std::future::pending().await,
        Ok(AttemptReply::Corrupt) => (StatusCode::IM_A_TEAPOT, CORRUPT_REPLY).into_response(),
        Ok(AttemptReply::Failed | AttemptReply::Miss) => {
            StatusCode::INTERNAL_SERVER_ERROR.into_response()
        }
        Ok(AttemptReply::ConnectionReset) | Err(_) => truncated_response(),
    }
}

fn received_attempt(headers: &HeaderMap) -> Option<ReceivedAttempt> {
    let text = |name| headers.get(name).and_then(|value| value.to_str().ok());
    let request = RequestId::from_str_radix(text(REQUEST_HEADER)?, 16).ok()?;
    Some(ReceivedAttempt {
        request,
        remaining: text(FIELDS_HEADER).and_then(remaining_deadline),
    })
}

/// A response whose body fails, so that the connection closes as when the process dies.
fn truncated_response() -> Response {
    let failing_body = futures_util::stream::once(async {
        Err::<Bytes, std::io::Error>(std::io::ErrorKind::ConnectionReset.into())
    });
    Response::builder()
        .header(header::CONTENT_LENGTH, "1")
        .body(Body::from_stream(failing_body))
        .unwrap_or_default()
}
