//! The emulated discovery service, in HTTP: polls and watches of the endpoint list.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use axum::Router;
use axum::body::Body;
use axum::extract::{Query, State};
use axum::http::{StatusCode, header};
use axum::response::{IntoResponse, Response};
use axum::routing::get;
use bytes::Bytes;
use cluster_model::endpoint_list::{ListCall, ListResponse, NodeId};
use cluster_model::network::Zone;
use serde::Deserialize;
use tokio::net::TcpListener;
use tokio::sync::mpsc;

use crate::sockets::shared::{EndpointListMessage, SharedCluster};

/// Interval of the empty lines that a watch receives while nothing changes.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(2);

/// The node that a listener serves. Each node has its own listener, which identifies it.
#[derive(Clone)]
struct ServedNode {
    shared: Arc<SharedCluster>,
    node: NodeId,
    zone: Zone,
}

/// The query parameters of a call.
#[derive(Deserialize)]
struct ListQuery {
    /// 0 for a single poll, any other value for a watch.
    #[serde(default)]
    watch: u8,
    /// The version that the node holds.
    #[serde(default)]
    after: u64,
}

impl ListQuery {
    fn is_poll(&self) -> bool {
        self.watch == 0
    }

    fn call(&self) -> ListCall {
        if self.is_poll() {
            ListCall::Complete
        } else {
            ListCall::Watch { after: self.after }
        }
    }
}

/// Serves the endpoint list to one node indefinitely. The node's calls and watches end with this task.
///
/// # Errors
/// Returns an error if the listener fails.
pub async fn serve(
    shared: Arc<SharedCluster>,
    listener: TcpListener,
    node: NodeId,
    zone: Zone,
) -> std::io::Result<()> {
    let served = ServedNode { shared, node, zone };
    let routes = Router::new()
        .route("/v1/servers", get(list_endpoints))
        .with_state(served);
    axum::serve(listener, routes).await
}

/// An open call or watch. Dropping it tells the cluster that the node no longer listens.
struct OpenCall {
    served: ServedNode,
    messages: mpsc::Receiver<ListResponse>,
}

impl Drop for OpenCall {
    fn drop(&mut self) {
        self.messages.close();
        let ServedNode { shared, node, .. } = &self.served;
        shared.state().close_discovery_call(*node);
    }
}

impl OpenCall {
    /// Returns the next list or change as a line of JSON, or `None` if the call failed or the watch has ended.
    async fn next_line(&mut self) -> Option<Bytes> {
        let message = self.messages.recv().await?;
        let ListResponse::Update {
            version,
            complete,
            records,
        } = &message
        else {
            return None;
        };
        let ServedNode { shared, node, zone } = &self.served;
        let list = EndpointListMessage {
            version: *version,
            complete: *complete,
            records,
        };
        let line = format!("{}\n", shared.endpoint_list_json(*zone, list));
        shared.traffic().count_list_bytes(line.len());
        let now = shared.now();
        shared.state().discovery_written(now, *node, &message);
        Some(line.into())
    }

    /// Returns the next line of a watch, or an empty line if nothing changes for [`KEEP_ALIVE_INTERVAL`].
    async fn next_line_or_keep_alive(&mut self) -> Option<Bytes> {
        let next = tokio::time::timeout(KEEP_ALIVE_INTERVAL, self.next_line()).await;
        next.unwrap_or(Some(Bytes::from_static(b"\n")))
    }
}

async fn list_endpoints(
    State(served): State<ServedNode>,
    Query(query): Query<ListQuery>,
) -> Response {
    let shared = &served.shared;
    let now = shared.now();
    let messages = shared
        .state()
        .call_discovery(now, served.node, query.call());
    shared.notify_work_scheduled();
    let Some(messages) = messages else {
        return StatusCode::SERVICE_UNAVAILABLE.into_response();
    };
    let mut call = OpenCall { served, messages };
    let Some(first_line) = call.next_line().await else {
        return StatusCode::SERVICE_UNAVAILABLE.into_response();
    };
    let content_type = [(header::CONTENT_TYPE, "application/json")];
    if query.is_poll() {
        return (content_type, first_line).into_response();
    }
    (content_type, watch_body(call, first_line)).into_response()
}

/// Returns the body of a watch's response, which streams lines until the watch ends.
fn watch_body(call: OpenCall, first_line: Bytes) -> Body {
    let state = (call, Some(first_line));
    let lines = futures_util::stream::unfold(state, |(mut call, first_line)| async move {
        let line = match first_line {
            Some(first_line) => first_line,
            None => call.next_line_or_keep_alive().await?,
        };
        Some((Ok::<_, Infallible>(line), (call, None)))
    });
    Body::from_stream(lines)
}
