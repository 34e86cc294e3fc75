//! The doors of the world: cache servers that speak RESP, the origin and the list service in HTTP, as the platform's
//! protocol has them. They pass on what comes to the stage and write what it says; they decide nothing.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use axum::Router;
use axum::body::Body;
use axum::extract::{Path, Query, State};
use axum::http::{HeaderMap, StatusCode, header};
use axum::response::{IntoResponse, Response};
use axum::routing::get;
use bytes::{Bytes, BytesMut};
use cluster_model::Micros;
use cluster_model::list::{Call, Condition, Line, NodeId, Told};
use redis_protocol::resp2::decode::decode_bytes_mut;
use redis_protocol::resp2::encode::extend_encode;
use redis_protocol::resp2::types::{BytesFrame, Resp2Frame};
use serde::Deserialize;
use serde_json::{Value, json};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, mpsc};
use tokio::task::JoinSet;

use crate::scenario::Scenario;
use crate::sockets::stage::{Number, Said, Stage};

/// A watch brings an empty line so often while nothing changes.
const QUIET: Duration = Duration::from_secs(2);
/// The longest command: a value of 64 KiB and what stands round it.
const LONGEST: usize = 80 * 1024;

/// What all doors share.
pub struct Shared {
    stage: Mutex<Stage>,
    /// Tells the ticker that something may be due earlier.
    pub wake: Notify,
    /// Unix time in microseconds at the start, and a steady clock from there on.
    start: (Micros, Instant),
    /// What is answered for a value.
    value: Bytes,
    /// Where the nodes of each zone reach each server.
    pub addresses: Mutex<Vec<Vec<SocketAddr>>>,
    /// Where all reach the origin.
    pub origin: SocketAddr,
    kinds: Vec<String>,
}

/// A guard of what a panic elsewhere may have left: the play ends with an error then anyway.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Unix time in microseconds.
pub fn unix() -> Micros {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_micros() as Micros
}

impl Shared {
    /// A stage that began at a time which is now, before an origin that is reached at an address.
    pub fn new(scenario: &Scenario, stage: Stage, now: Micros, origin: SocketAddr) -> Shared {
        Shared {
            stage: Mutex::new(stage),
            wake: Notify::new(),
            start: (now, Instant::now()),
            value: Bytes::from(vec![b'v'; scenario.load.value_bytes as usize]),
            addresses: Mutex::new(vec![Vec::new(); usize::from(scenario.zones)]),
            origin,
            kinds: scenario.kind.iter().map(|kind| kind.name.clone()).collect(),
        }
    }

    /// The time.
    pub fn now(&self) -> Micros {
        self.start.0 + self.start.1.elapsed().as_micros() as Micros
    }

    /// When a time is.
    pub fn instant(&self, at: Micros) -> tokio::time::Instant {
        (self.start.1 + Duration::from_micros(at.saturating_sub(self.start.0))).into()
    }

    /// What cache servers and the origin answer for a value.
    pub fn value(&self) -> &[u8] {
        &self.value
    }

    /// The stage.
    pub fn stage(&self) -> MutexGuard<'_, Stage> {
        lock(&self.stage)
    }

    /// A list or a change of it in the protocol's words, as the nodes of a zone see it.
    pub fn listing(&self, zone: u8, version: u64, whole: bool, lines: &[Line]) -> Value {
        let stage = self.stage();
        let addresses = lock(&self.addresses);
        let entry = |line: &Line| {
            let server = stage.servers.get(&line.server)?;
            let address = addresses
                .get(usize::from(zone))?
                .get(line.server as usize - 1)?;
            let status = match line.condition {
                Condition::Active => "active",
                Condition::Leaving => "leaving",
                Condition::Left => "left",
            };
            Some(json!({
                "name": name(line.server), "address": address, "zone": format!("z{}", server.zone),
                "type": self.kinds[server.kind], "group": 1, "status": status, "weight": 1.0,
                "since_ms": line.started / 1_000,
            }))
        };
        let mut endpoints: Vec<Value> = lines.iter().filter_map(entry).collect();
        if whole {
            endpoints.push(json!({
                "name": "origin", "address": self.origin, "zone": format!("z{zone}"), "type": "origin", "group": 1,
                "status": "active", "weight": 1.0, "since_ms": 0,
            }));
        }
        json!({"index": version, "snapshot": whole, "endpoints": endpoints})
    }
}

/// A server's name in the list.
pub fn name(server: Number) -> String {
    format!("s-{server}")
}

/// Drives the stage: what is due happens. Ends with its task.
pub async fn tick(shared: Arc<Shared>) {
    loop {
        let due = shared.stage().due();
        match due {
            Some(due) => tokio::select! {
                () = tokio::time::sleep_until(shared.instant(due)) => {}
                () = shared.wake.notified() => {}
            },
            None => shared.wake.notified().await,
        }
        let now = shared.now();
        shared.stage().work(now);
    }
}

// Cache servers.

/// Serves one cache server's connections. Ends, with all of them, with its task.
pub async fn cache(shared: Arc<Shared>, listener: TcpListener, server: Number) {
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            taken = listener.accept() => match taken {
                Ok((stream, _)) => drop(connections.spawn(connection(shared.clone(), stream, server))),
                // Out of sockets: those that are open go on, and one of them may end.
                Err(_) => tokio::time::sleep(Duration::from_millis(10)).await,
            },
            Some(_) = connections.join_next() => {}
        }
    }
}

async fn connection(
    shared: Arc<Shared>,
    mut stream: TcpStream,
    server: Number,
) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let (mut input, mut output) = (BytesMut::with_capacity(4096), BytesMut::new());
    loop {
        let Ok(command) = decode_bytes_mut(&mut input) else {
            return Ok(());
        };
        let Some((command, ..)) = command else {
            if input.len() > LONGEST || stream.read_buf(&mut input).await? == 0 {
                return Ok(());
            }
            continue;
        };
        let Some(answer) = answer(&shared, &mut stream, &mut input, server, &command).await? else {
            return Ok(());
        };
        output.clear();
        if extend_encode(&mut output, &answer, false).is_err() {
            return Ok(());
        }
        stream.write_all(&output).await?;
    }
}

/// The answer to a command, `None` where the connection ends without one.
async fn answer(
    shared: &Shared,
    stream: &mut TcpStream,
    input: &mut BytesMut,
    server: Number,
    command: &BytesFrame,
) -> std::io::Result<Option<BytesFrame>> {
    let words: Vec<&str> = match command {
        BytesFrame::Array(words) => words.iter().filter_map(BytesFrame::as_str).collect(),
        _ => Vec::new(),
    };
    let number = match words[..] {
        ["PING"] => return Ok(Some(BytesFrame::SimpleString(Bytes::from_static(b"PONG")))),
        ["OBJ.GET", _, id, _] => u64::from_str_radix(id, 16).ok(),
        _ => None,
    };
    let Some(number) = number else {
        return Ok(Some(BytesFrame::Error("SYNTAX no client sent this".into())));
    };
    let now = shared.now();
    let Some(mut attempt) = shared.stage().attempt(now, server, number) else {
        return Ok(Some(BytesFrame::Error("ERR failed".into())));
    };
    shared.wake.notify_one();
    let said = loop {
        tokio::select! {
            said = &mut attempt.said => break said.unwrap_or(Said::Died),
            // Whoever closes the connection has given the attempt up; what comes behind it waits its turn.
            read = stream.read_buf(input), if input.len() < LONGEST => if !read.is_ok_and(|count| count > 0) {
                shared.stage().cancel(shared.now(), attempt.job);
                shared.wake.notify_one();
                return Ok(None);
            },
        }
    };
    Ok(match said {
        Said::Value => Some(BytesFrame::Array(vec![
            BytesFrame::BulkString(shared.value.clone()),
            BytesFrame::BulkString(Bytes::from_static(b"hit")),
            BytesFrame::Null,
        ])),
        Said::Miss => Some(BytesFrame::Array(vec![
            BytesFrame::Null,
            BytesFrame::Null,
            BytesFrame::Null,
        ])),
        Said::Busy => Some(BytesFrame::Error("BUSY".into())),
        Said::Failed => Some(BytesFrame::Error("ERR failed".into())),
        Said::Died => None,
        Said::Rubbish => {
            stream.write_all(b"?!\r\n").await?;
            None
        }
        Said::Nothing => {
            // Until its peer has had enough.
            while stream.read_buf(input).await? > 0 {
                input.clear();
            }
            None
        }
    })
}

// The origin.

/// Serves the origin's connections.
pub async fn origin(shared: Arc<Shared>, listener: TcpListener) -> std::io::Result<()> {
    let routes = Router::new()
        .route("/{key}", get(fetch).put(fetch))
        .with_state(shared);
    axum::serve(listener, routes).await
}

async fn fetch(
    State(shared): State<Arc<Shared>>,
    Path(_key): Path<String>,
    headers: HeaderMap,
) -> Response {
    let id = headers
        .get("x-correlation-id")
        .and_then(|id| id.to_str().ok());
    let Some(number) = id.and_then(|id| u64::from_str_radix(id, 16).ok()) else {
        return (StatusCode::BAD_REQUEST, "no request of a client").into_response();
    };
    let now = shared.now();
    // Bound outside of the match: the lock is not held while it waits.
    let attempt = shared.stage().origin_call(now, number);
    shared.wake.notify_one();
    let Some(attempt) = attempt else {
        return StatusCode::INTERNAL_SERVER_ERROR.into_response();
    };
    match attempt.said.await {
        Ok(Said::Value) => shared.value.clone().into_response(),
        Ok(Said::Busy) => {
            (StatusCode::SERVICE_UNAVAILABLE, [("x-unprocessed", "1")]).into_response()
        }
        Ok(Said::Nothing) => std::future::pending().await,
        Ok(Said::Rubbish) => (StatusCode::IM_A_TEAPOT, "?!").into_response(),
        Ok(Said::Failed | Said::Miss) => StatusCode::INTERNAL_SERVER_ERROR.into_response(),
        // A process that dies takes its connections with it: the answer breaks off in its head.
        Ok(Said::Died) | Err(_) => Response::builder()
            .header(header::CONTENT_LENGTH, "1")
            .body(Body::from_stream(futures_util::stream::once(async {
                Err::<Bytes, std::io::Error>(std::io::ErrorKind::ConnectionReset.into())
            })))
            .unwrap_or_default(),
    }
}

// The list service.

#[derive(Deserialize)]
struct Asked {
    #[serde(default)]
    watch: u8,
    #[serde(default)]
    after: u64,
}

/// Serves the list to one node, which is known by the door that it comes through.
pub async fn list(
    shared: Arc<Shared>,
    listener: TcpListener,
    node: NodeId,
    zone: u8,
) -> std::io::Result<()> {
    let routes = Router::new()
        .route("/v1/servers", get(servers))
        .with_state((shared, node, zone));
    axum::serve(listener, routes).await
}

/// A call or watch that is out: when it is dropped, the service knows that nobody listens any more.
struct Watch {
    shared: Arc<Shared>,
    node: NodeId,
    zone: u8,
    told: mpsc::Receiver<Told>,
}

impl Drop for Watch {
    fn drop(&mut self) {
        self.told.close();
        self.shared.stage().hang_up(self.node);
    }
}

impl Watch {
    /// The next list or change as a line; `None` when the call failed or the watch has ended.
    async fn next(&mut self) -> Option<Bytes> {
        let told = self.told.recv().await?;
        let Told::Lines {
            version,
            whole,
            lines,
        } = &told
        else {
            return None;
        };
        let line = self
            .shared
            .listing(self.zone, *version, *whole, lines)
            .to_string()
            + "\n";
        let now = self.shared.now();
        self.shared.stage().written(now, self.node, &told);
        Some(line.into())
    }
}

async fn servers(
    State((shared, node, zone)): State<(Arc<Shared>, NodeId, u8)>,
    Query(asked): Query<Asked>,
) -> Response {
    let call = if asked.watch == 0 {
        Call::Whole
    } else {
        Call::Watch { after: asked.after }
    };
    let now = shared.now();
    let told = shared.stage().call(now, node, call);
    shared.wake.notify_one();
    let Some(told) = told else {
        return StatusCode::SERVICE_UNAVAILABLE.into_response();
    };
    let mut watch = Watch {
        shared,
        node,
        zone,
        told,
    };
    let Some(first) = watch.next().await else {
        return StatusCode::SERVICE_UNAVAILABLE.into_response();
    };
    let json = [(header::CONTENT_TYPE, "application/json")];
    if asked.watch == 0 {
        return (json, first).into_response();
    }
    let lines =
        futures_util::stream::unfold((watch, Some(first)), |(mut watch, first)| async move {
            let line = match first {
                Some(first) => first,
                None => match tokio::time::timeout(QUIET, watch.next()).await {
                    Ok(line) => line?,
                    Err(_) => Bytes::from_static(b"\n"),
                },
            };
            Some((Ok::<_, std::convert::Infallible>(line), (watch, None)))
        });
    (json, Body::from_stream(lines)).into_response()
}
