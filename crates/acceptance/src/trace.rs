//! The lines that a node writes with `node.trace` on, read back. `docs/FLEET.md` describes them.

/// Unix time in microseconds.
pub type Micros = u64;

/// A line: when it was written, and what it tells.
#[derive(Debug, Clone, PartialEq)]
pub struct Line<'a> {
    /// When.
    pub at: Micros,
    /// What.
    pub fact: Fact<'a>,
}

/// What a line tells.
#[derive(Debug, Clone, PartialEq)]
pub enum Fact<'a> {
    /// A process has begun, with these figures of its settings.
    Start(Figures),
    /// A list, or a change of one, is in force from here on; its servers follow.
    List {
        /// Whether a server that it does not name is gone.
        whole: bool,
        /// Whether it is the old one that a process begins with.
        cached: bool,
    },
    /// A line of that list.
    Server(Server),
    /// A client's request has come.
    Request {
        /// Its number in this process.
        id: u64,
        /// The key's hash.
        key: u64,
        /// How long its client waits.
        left: Micros,
        /// The client's own name for it, which all nodes see.
        name: &'a str,
    },
    /// An attempt is written.
    Send {
        /// Its request.
        id: u64,
        /// Its number in the request, from 0.
        attempt: u16,
        /// Where to.
        server: u32,
    },
    /// An attempt has its outcome.
    Outcome {
        /// Its request.
        id: u64,
        /// Its number in the request.
        attempt: u16,
        /// Where it was.
        server: u32,
        /// How it ended.
        status: &'a str,
    },
    /// A request has its final answer, or its client has gone.
    End {
        /// The request.
        id: u64,
        /// `served`, `refused`, `failed` or `gone`.
        how: &'a str,
        /// After its client's time, in microseconds; negative before.
        late: i64,
    },
    /// Discovery is asked for a watch, or a watch was given up.
    Asked,
    /// A call to discovery failed.
    Unheard,
}

/// The settings that the rules rest on.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Figures {
    /// The node's number.
    pub me: u32,
    /// How many nodes there are.
    pub balancers: u32,
    /// Part of its capacity that a server starts with.
    pub cold_share: f64,
    /// It is warm after this time, in microseconds.
    pub warm_up: f64,
    /// Sent more than this multiple of what it can do.
    pub fall_multiple: f64,
    /// For this time, in microseconds, a cold server falls over.
    pub fall_after: f64,
    /// Sends to a draining server have to end within this time, in microseconds.
    pub drain_grace: f64,
    /// The kind of the origin, which is no cache server; -1 for none.
    pub origin_kind: i64,
}

/// A server as a list has it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Server {
    /// Its id.
    pub id: u32,
    /// Whether it takes requests.
    pub ready: bool,
    /// Place of its kind in the settings.
    pub kind: i64,
    /// When it last started; 0 for long ago.
    pub started: Micros,
}

/// Reads a line of a log: `None` where it is none of a trace, an error with the line where it is broken.
pub fn read(line: &str) -> Option<Result<Line<'_>, &str>> {
    // The bench puts the time of its clock before each line.
    let (before, rest) = line.trim_end().split_once("trace ")?;
    if !before
        .bytes()
        .all(|byte| byte.is_ascii_digit() || matches!(byte, b'.' | b' '))
    {
        return None;
    }
    Some(parse(rest).ok_or(line))
}

fn parse(rest: &str) -> Option<Line<'_>> {
    let mut fields = rest.split(' ');
    let mut next = || fields.next();
    let at = next()?.parse().ok()?;
    let fact = match next()? {
        "start" => {
            let (me, balancers) = (next()?.parse().ok()?, next()?.parse().ok()?);
            let mut figure = || next()?.parse::<f64>().ok();
            Fact::Start(Figures {
                me,
                balancers,
                cold_share: figure()?,
                warm_up: figure()?,
                fall_multiple: figure()?,
                fall_after: figure()?,
                drain_grace: figure()?,
                origin_kind: figure()? as i64,
            })
        }
        "list" => {
            let kind = next()?;
            Fact::List {
                whole: kind != "Delta",
                cached: kind == "Cached",
            }
        }
        "server" => Fact::Server(Server {
            id: next()?.parse().ok()?,
            ready: next()? == "Ready",
            kind: next()?.parse().ok()?,
            started: {
                next()?;
                next()?.parse().ok()?
            },
        }),
        "request" => {
            let (id, key) = (
                next()?.parse().ok()?,
                u64::from_str_radix(next()?, 16).ok()?,
            );
            next()?; // Its class.
            Fact::Request {
                id,
                key,
                left: next()?.parse().ok()?,
                name: next()?,
            }
        }
        "send" => Fact::Send {
            id: next()?.parse().ok()?,
            attempt: next()?.parse().ok()?,
            server: next()?.parse().ok()?,
        },
        "outcome" => {
            let (id, attempt) = (next()?.parse().ok()?, next()?.parse().ok()?);
            Fact::Outcome {
                id,
                attempt,
                server: next()?.parse().ok()?,
                status: next()?,
            }
        }
        "end" => Fact::End {
            id: next()?.parse().ok()?,
            how: next()?,
            late: next()?.parse().ok()?,
        },
        "ask" => Fact::Asked,
        "unheard" => Fact::Unheard,
        _ => return None,
    };
    Some(Line { at, fact })
}
