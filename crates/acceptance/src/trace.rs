//! Parses the trace lines that a node writes when `node.trace` is on. `docs/FLEET.md` describes their format.

use std::str::{FromStr, Split};

/// Unix time or a duration, in microseconds.
pub type Micros = u64;

/// Prefix of the fields of a trace line.
const TRACE_PREFIX: &str = "trace ";

/// A trace line: the time at which it was written, and its event.
#[derive(Debug, Clone, PartialEq)]
pub struct TraceLine<'a> {
    /// Unix time.
    pub at: Micros,
    /// The event that it reports.
    pub event: TraceEvent<'a>,
}

/// The event that a trace line reports.
#[derive(Debug, Clone, PartialEq)]
pub enum TraceEvent<'a> {
    /// A process has started with these settings.
    Started(RuleParameters),
    /// An endpoint list or a change to one takes effect. A [`TraceEvent::ListedServer`] for each of its servers
    /// follows.
    ListReceived {
        /// Whether servers missing from it are removed.
        complete: bool,
        /// Whether it is the cached list that a process loads at start.
        cached: bool,
        /// Version of the list.
        version: u64,
    },
    /// A server of the preceding list.
    ListedServer(ListedServer),
    /// A client's request was received.
    RequestReceived {
        /// Number of the request in this process.
        request: u64,
        /// Hash of the key.
        key: u64,
        /// Time until its deadline.
        remaining: Micros,
        /// Id that the client assigned to it, which is the same on all nodes.
        client_request_id: &'a str,
    },
    /// An attempt was handed to a connection.
    AttemptSent {
        /// Number of its request.
        request: u64,
        /// Number of the attempt in the request, from 0.
        attempt: u16,
        /// Id of the server.
        server: u32,
    },
    /// The outcome of an attempt is known.
    AttemptEnded {
        /// Number of its request.
        request: u64,
        /// Number of the attempt in the request, from 0.
        attempt: u16,
        /// Id of the server.
        server: u32,
        /// How it ended, such as `Served` or `TimedOut`.
        status: &'a str,
    },
    /// A request received its final answer, or its client disconnected.
    RequestEnded {
        /// Number of the request.
        request: u64,
        /// `served`, `refused`, `failed` or `gone`.
        outcome: &'a str,
        /// Time after its deadline, in microseconds; negative if it ended before the deadline.
        lateness_us: i64,
    },
    /// Discovery was called to open a watch, or a watch was ended.
    DiscoveryCalled,
    /// A call to discovery failed or a watch broke.
    DiscoveryFailed,
    /// The process began to answer `PING` with `PONG`.
    BecameReady {
        /// Time since the process was launched.
        since_launch: Micros,
    },
    /// The process was asked to shut down.
    ShutdownRequested,
    /// The process exited on its own.
    Exited,
    /// The close or reset of a client connection with a pending request was read.
    ClientDisconnected {
        /// Number of the request.
        request: u64,
    },
    /// The node closed the connection of a request without answering it.
    RequestDropped {
        /// Number of the request.
        request: u64,
    },
    /// An attempt stated a deadline to its server.
    DeadlineStated {
        /// Number of its request.
        request: u64,
        /// Number of the attempt in the request, from 0.
        attempt: u16,
        /// Time that the node will wait for the server, as stated to the server, in milliseconds.
        stated_ms: u64,
    },
}

/// Settings that the limits of the rules depend on.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RuleParameters {
    /// The node's number.
    pub node: u32,
    /// How many nodes there are.
    pub nodes: u32,
    /// Share of its full capacity that a server has at its start, from 0 to 1.
    pub initial_capacity_share: f64,
    /// Time after its start until a server has its full capacity, in microseconds.
    pub warm_up_us: f64,
    /// A server that is warming up collapses if its load exceeds this multiple of its capacity for
    /// `overload_window_us`.
    pub overload_multiple: f64,
    /// Length of the window over which `overload_multiple` applies, in microseconds.
    pub overload_window_us: f64,
    /// Time within which sends to a draining server must stop, in microseconds.
    pub drain_grace_us: f64,
    /// Server kind of the origin, which is not a cache server; -1 if there is no origin.
    pub origin_kind: i64,
}

/// A server in an endpoint list.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ListedServer {
    /// Its id.
    pub id: u32,
    /// Whether it accepts requests.
    pub ready: bool,
    /// Index of its kind in the settings.
    pub kind: i64,
    /// Time of its last start; 0 if that was long ago.
    pub started: Micros,
}

/// A line that has the trace prefix but cannot be parsed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("malformed trace line: {line}")]
pub struct MalformedLine<'a> {
    /// The line as it was read.
    pub line: &'a str,
}

/// Parses a line of a log. Returns `None` for a line that is not a trace line.
///
/// # Errors
/// If a trace line does not have the format of its event.
pub fn read_line(line: &str) -> Result<Option<TraceLine<'_>>, MalformedLine<'_>> {
    let Some((before, fields)) = line.trim_end().split_once(TRACE_PREFIX) else {
        return Ok(None);
    };
    // The fleet test prefixes each line with the time of its own clock.
    let is_timestamp_byte = |byte: u8| byte.is_ascii_digit() || matches!(byte, b'.' | b' ');
    if !before.bytes().all(is_timestamp_byte) {
        return Ok(None);
    }
    match parse(Fields::of(fields)) {
        Some(line) => Ok(Some(line)),
        None => Err(MalformedLine { line }),
    }
}

/// The fields of a line that have not been read yet.
struct Fields<'a> {
    rest: Split<'a, char>,
}

impl<'a> Fields<'a> {
    fn of(text: &'a str) -> Fields<'a> {
        Fields {
            rest: text.split(' '),
        }
    }

    fn text(&mut self) -> Option<&'a str> {
        self.rest.next()
    }

    fn number<T: FromStr>(&mut self) -> Option<T> {
        self.text()?.parse().ok()
    }

    fn hexadecimal(&mut self) -> Option<u64> {
        u64::from_str_radix(self.text()?, 16).ok()
    }

    fn skip(&mut self) -> Option<()> {
        self.text().map(drop)
    }
}

fn parse(mut fields: Fields<'_>) -> Option<TraceLine<'_>> {
    let at = fields.number()?;
    let event = match fields.text()? {
        "start" => TraceEvent::Started(parse_parameters(&mut fields)?),
        "list" => parse_list(&mut fields)?,
        "server" => TraceEvent::ListedServer(parse_server(&mut fields)?),
        "request" => parse_request(&mut fields)?,
        "send" => TraceEvent::AttemptSent {
            request: fields.number()?,
            attempt: fields.number()?,
            server: fields.number()?,
        },
        "outcome" => TraceEvent::AttemptEnded {
            request: fields.number()?,
            attempt: fields.number()?,
            server: fields.number()?,
            status: fields.text()?,
        },
        "end" => TraceEvent::RequestEnded {
            request: fields.number()?,
            outcome: fields.text()?,
            lateness_us: fields.number()?,
        },
        "ask" => TraceEvent::DiscoveryCalled,
        "unheard" => TraceEvent::DiscoveryFailed,
        other => parse_diagnostic(other, &mut fields)?,
    };
    Some(TraceLine { at, event })
}

/// Parses the lines that only [`crate::margins`] needs. A node may omit them.
fn parse_diagnostic<'a>(word: &str, fields: &mut Fields<'a>) -> Option<TraceEvent<'a>> {
    Some(match word {
        "ready" => TraceEvent::BecameReady {
            since_launch: fields.number()?,
        },
        "terminate" => TraceEvent::ShutdownRequested,
        "exit" => TraceEvent::Exited,
        "departed" => TraceEvent::ClientDisconnected {
            request: fields.number()?,
        },
        "dropped" => TraceEvent::RequestDropped {
            request: fields.number()?,
        },
        "deadline" => TraceEvent::DeadlineStated {
            request: fields.number()?,
            attempt: fields.number()?,
            stated_ms: fields.number()?,
        },
        _ => return None,
    })
}

fn parse_parameters(fields: &mut Fields<'_>) -> Option<RuleParameters> {
    Some(RuleParameters {
        node: fields.number()?,
        nodes: fields.number()?,
        initial_capacity_share: fields.number()?,
        warm_up_us: fields.number()?,
        overload_multiple: fields.number()?,
        overload_window_us: fields.number()?,
        drain_grace_us: fields.number()?,
        origin_kind: fields.number::<f64>()? as i64,
    })
}

fn parse_list<'a>(fields: &mut Fields<'a>) -> Option<TraceEvent<'a>> {
    let update = fields.text()?;
    Some(TraceEvent::ListReceived {
        complete: update != "Delta",
        cached: update == "Cached",
        version: fields.number()?,
    })
}

fn parse_server(fields: &mut Fields<'_>) -> Option<ListedServer> {
    let id = fields.number()?;
    let ready = fields.text()? == "Ready";
    let kind = fields.number()?;
    fields.skip()?; // The zone.
    Some(ListedServer {
        id,
        ready,
        kind,
        started: fields.number()?,
    })
}

fn parse_request<'a>(fields: &mut Fields<'a>) -> Option<TraceEvent<'a>> {
    let request = fields.number()?;
    let key = fields.hexadecimal()?;
    fields.skip()?; // The class.
    Some(TraceEvent::RequestReceived {
        request,
        key,
        remaining: fields.number()?,
        client_request_id: fields.text()?,
    })
}
