//! The trace lines that a node writes with `node.trace` on, read back. `docs/FLEET.md` describes their form.

use std::str::{FromStr, Split};

/// Unix time or a duration, in microseconds.
pub type Micros = u64;

/// What the fields of a line are preceded by.
const MARKER: &str = "trace ";

/// A trace line: when it was written, and what it reports.
#[derive(Debug, Clone, PartialEq)]
pub struct TraceLine<'a> {
    /// Unix time.
    pub at: Micros,
    /// What it reports.
    pub event: TraceEvent<'a>,
}

/// What a trace line reports.
#[derive(Debug, Clone, PartialEq)]
pub enum TraceEvent<'a> {
    /// A process has started, with these of its settings.
    Started(RuleParameters),
    /// An endpoint list, or a change of one, takes effect; its servers follow.
    ListReceived {
        /// Whether a server that it does not name is removed.
        complete: bool,
        /// Whether it is the saved one that a process starts with.
        cached: bool,
        /// Its version.
        version: u64,
    },
    /// A server of the list before it.
    ListedServer(ListedServer),
    /// A client's request has come.
    RequestReceived {
        /// Number of the request in this process.
        request: u64,
        /// Hash of the key.
        key: u64,
        /// How long its client waits.
        remaining: Micros,
        /// The client's own name for it, which is the same at all nodes.
        client_name: &'a str,
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
    /// An attempt has its outcome.
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
    /// A request has its final answer, or its client has disconnected.
    RequestEnded {
        /// Number of the request.
        request: u64,
        /// `served`, `refused`, `failed` or `gone`.
        outcome: &'a str,
        /// How long after its deadline, in microseconds; negative before it.
        lateness_us: i64,
    },
    /// Discovery was called to open a watch, or a watch was ended.
    DiscoveryCalled,
    /// A call to discovery failed or a watch broke.
    DiscoveryFailed,
    /// The process answers `PING` with `PONG` from now on.
    BecameReady {
        /// How long ago the process was launched.
        since_launch: Micros,
    },
    /// The process was asked to shut down.
    ShutdownRequested,
    /// The process ends by itself.
    Exited,
    /// The close or reset of a client that waits for a request was read.
    ClientDeparted {
        /// Number of the request.
        request: u64,
    },
    /// The node itself closed the connection of a request without an answer.
    RequestDropped {
        /// Number of the request.
        request: u64,
    },
    /// An attempt states a deadline to its server.
    DeadlineStated {
        /// Number of its request.
        request: u64,
        /// Number of the attempt in the request, from 0.
        attempt: u16,
        /// How long the server is told that the node will wait, in milliseconds.
        stated_ms: u64,
    },
}

/// The settings that the rules are stated in.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RuleParameters {
    /// The node's number.
    pub node: u32,
    /// How many nodes there are.
    pub nodes: u32,
    /// Part of its capacity that a server starts with, from 0 to 1.
    pub initial_capacity_share: f64,
    /// Time after its start at which a server has its full capacity, in microseconds.
    pub warm_up_us: f64,
    /// A server that is warming up collapses when it receives more than this multiple of its capacity ...
    pub overload_multiple: f64,
    /// ... for this time, in microseconds.
    pub overload_window_us: f64,
    /// Sends to a draining server have to end within this time, in microseconds.
    pub drain_grace_us: f64,
    /// The kind of the origin, which is no cache server; -1 for none.
    pub origin_kind: i64,
}

/// A server as an endpoint list has it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ListedServer {
    /// Its id.
    pub id: u32,
    /// Whether it takes requests.
    pub ready: bool,
    /// Index of its kind in the settings.
    pub kind: i64,
    /// When it last started; 0 for long ago.
    pub started: Micros,
}

/// A line that has the marker of a trace and not its form.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("broken trace line: {line}")]
pub struct BrokenLine<'a> {
    /// The line as it was read.
    pub line: &'a str,
}

/// Reads a line of a log. It returns `None` for a line that is no part of a trace.
///
/// # Errors
/// Where a trace line does not have the form that its event requires.
pub fn read_line(line: &str) -> Result<Option<TraceLine<'_>>, BrokenLine<'_>> {
    let Some((before, fields)) = line.trim_end().split_once(MARKER) else {
        return Ok(None);
    };
    // The fleet test puts the time of its own clock before each line.
    let is_clock = |byte: u8| byte.is_ascii_digit() || matches!(byte, b'.' | b' ');
    if !before.bytes().all(is_clock) {
        return Ok(None);
    }
    match parse(Fields::of(fields)) {
        Some(line) => Ok(Some(line)),
        None => Err(BrokenLine { line }),
    }
}

/// The fields of a line that are still to be read.
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

/// The lines that only the margins need. A node may leave them out.
fn parse_diagnostic<'a>(word: &str, fields: &mut Fields<'a>) -> Option<TraceEvent<'a>> {
    Some(match word {
        "ready" => TraceEvent::BecameReady {
            since_launch: fields.number()?,
        },
        "terminate" => TraceEvent::ShutdownRequested,
        "exit" => TraceEvent::Exited,
        "departed" => TraceEvent::ClientDeparted {
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
    fields.skip()?; // Its zone.
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
    fields.skip()?; // Its class.
    Some(TraceEvent::RequestReceived {
        request,
        key,
        remaining: fields.number()?,
        client_name: fields.text()?,
    })
}
