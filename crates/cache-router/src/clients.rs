//! The server side: the listener, clients' connections, and the commands on them.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use routing_policy::Micros;
use routing_policy::settings::Deployment;
use tokio::io::{AsyncReadExt, AsyncWriteExt, Interest};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, Semaphore, mpsc, watch};
use tokio::time::Instant;

use crate::clock::Clock;
use crate::lifecycle::LifecyclePhase;
use crate::message::{ClientCommand, ClientId, ClientReply, ClientRequest, RouterEvent};
use crate::resp;
use crate::resting::{Rest, Resting};

/// Requests of one connection that are answered at the same time; more wait for one of them to be answered.
pub const PIPELINE: usize = 64;
/// While so much waits to be written to a client, no further command of it is taken.
const OUT_LIMIT: usize = 64 * 1024;
/// While no command is taken, so much is read ahead all the same: behind it may lie the client's close, and the time
/// of what waits counts from when it came.
const READ_AHEAD: usize = 16 * 1024;
/// Of a client whose framing is lost so much is read and thrown away while it is still owed answers.
const DISCARD: usize = 1024 * 1024;
/// A client of which nothing more is read is asked for its close this often.
const LOOK: Duration = Duration::from_millis(25);
/// Times of arrival that are kept apart; what comes beyond counts as come with the last of them.
const ARRIVALS: usize = 64;
/// What a client sends while its connection is being closed is read and thrown away for so long, as a close over
/// unread input is a reset, which takes the last answer with it. Between requests what crossed the close has come soon,
/// and the place, or the node's end, is waited for.
const LINGER: (Duration, Duration) = (Duration::from_millis(500), Duration::from_millis(100));
/// A client that takes nothing of its answers for so long is cut off.
const STALLED: Duration = Duration::from_secs(20);
/// A newcomer that has sent no whole command, or a client that has left one half sent, for so long is cut off
/// however it trickles: it holds one of few places. A silent peer is owed its close within 3 s; what it may
/// have waited to be taken is left off.
const COMMAND_TIMEOUT: Duration = Duration::from_millis(2_500);
/// A node that ends closes a connection between requests, a new one only after this long: its first request is on its
/// way, and closed without an answer it counts as refused.
const FRESH: Duration = Duration::from_millis(250);
/// The longest key, id and list of facts.
const MAX_WORD: usize = 512;

/// What all connections of clients share.
pub struct Frontend {
    /// The settings of the deployment.
    pub deployment: Arc<Deployment>,
    /// The router's clock.
    pub clock: Clock,
    /// The event loop.
    pub hub: mpsc::Sender<RouterEvent>,
    /// Where the node stands.
    pub phase: watch::Receiver<LifecyclePhase>,
    /// Connections that may still be taken, those for refusals included.
    pub room: Arc<Semaphore>,
    /// How many of these are kept for refusals.
    pub refusals: usize,
    /// The connections between two requests, of which one gives its place up where a newcomer needs it.
    pub resting: Arc<Resting>,
    /// Requests that may still be taken; one counts until its answer is passed on, which bounds memory.
    pub open: Arc<Semaphore>,
}

impl Frontend {
    /// Whether only places for refusals are left.
    fn crowded(&self) -> bool {
        self.room.available_permits() < self.refusals
    }
}

/// Takes connections until the node drains, then those that the machine has already taken.
pub async fn listen(listener: TcpListener, front: Arc<Frontend>) {
    let mut phase = front.phase.clone();
    let mut next: ClientId = 0;
    loop {
        let draining = phase.borrow_and_update().is_shutting_down();
        let accepted = tokio::select! {
            biased;
            accepted = listener.accept() => accepted,
            () = tokio::time::sleep(Duration::from_millis(5)), if draining => return,
            Ok(()) = phase.changed(), if !draining => continue,
        };
        match accepted {
            Ok((stream, _)) => {
                next += 1;
                // One is taken beyond the table, from the reserve, as nothing else tells that somebody waits; where
                // no place is left at all, the others wait with the machine until one is.
                let Some(permit) = place(&front).await else {
                    return;
                };
                // Against requests lost in a full table: the machine has taken a newcomer's request before the
                // node has. A resting connection makes room for it; where all are busy it is refused at once.
                let refused = front.crowded() && !front.resting.ask();
                tokio::spawn(serve(stream, front.clone(), next, refused, permit));
            }
            // Out of descriptors, or the client has left: neither ends the node.
            Err(_) => tokio::time::sleep(Duration::from_millis(20)).await,
        }
    }
}

/// A place in the table, for which a resting connection is asked where there is none; `None` where there are no
/// places any more.
async fn place(front: &Frontend) -> Option<OwnedSemaphorePermit> {
    if let Ok(permit) = front.room.clone().try_acquire_owned() {
        return Some(permit);
    }
    loop {
        front.resting.ask_or_wait();
        // One that was asked may be slow to go, or its next request crossed the question.
        let asked = LINGER.1 * 2;
        if let Ok(permit) = tokio::time::timeout(asked, front.room.clone().acquire_owned()).await {
            front.resting.satisfied();
            return permit.ok();
        }
    }
}

/// Why a connection of a client ends.
#[derive(Debug, PartialEq)]
enum Ended {
    /// The client has closed it, or takes nothing.
    Gone,
    /// The node closes it: between requests, or after input that lost its framing.
    Closed,
}

/// When the bytes came that are read and not taken yet: how many, and the time.
#[derive(Default)]
struct Arrivals(VecDeque<(usize, Micros)>);

impl Arrivals {
    fn add(&mut self, bytes: usize, at: Micros) {
        let full = self.0.len() >= ARRIVALS;
        match self.0.back_mut() {
            Some((before, then)) if full || at < *then + 1_000 => *before += bytes,
            _ => self.0.push_back((bytes, at)),
        }
    }

    /// Takes bytes off the front; when the last of them came.
    fn take(&mut self, mut bytes: usize) -> Option<Micros> {
        let mut last = None;
        while bytes > 0
            && let Some((there, at)) = self.0.front_mut()
        {
            let part = bytes.min(*there);
            (*there, bytes, last) = (*there - part, bytes - part, Some(*at));
            if *there == 0 {
                self.0.pop_front();
            }
        }
        last
    }
}

async fn serve(
    stream: TcpStream,
    front: Arc<Frontend>,
    client: ClientId,
    late: bool,
    _permit: OwnedSemaphorePermit,
) {
    let _ = stream.set_nodelay(true);
    let (answers, answered) = mpsc::channel(PIPELINE + 1);
    let mut session = Session {
        stream,
        client,
        answers,
        answered,
        input: BytesMut::new(),
        arrivals: Arrivals::default(),
        discarded: 0,
        output: BytesMut::new(),
        slots: VecDeque::new(),
        first: 0,
        owed_since: Some(Instant::now()),
        broken: false,
        late,
        front,
    };
    let ended = session.run().await;
    if ended == Ended::Gone {
        // First: whoever is about to send for this client sees it at once, whatever is queued before the news.
        session.answered.close();
        let _ = session
            .front
            .hub
            .send(RouterEvent::ClientDisconnected(client))
            .await;
    } else {
        linger(
            &mut session.stream,
            if session.broken { LINGER.0 } else { LINGER.1 },
        )
        .await;
    }
}

/// Ends a connection in order: its last answer goes out whole, and then its end. What crosses that is read and thrown
/// away: a close with input unread would reset the connection and could take the answer away from the client.
async fn linger(stream: &mut TcpStream, most: Duration) {
    let _ = stream.shutdown().await;
    let mut sink = [0u8; 4096];
    let rest = async {
        for _ in 0..256 {
            if !matches!(stream.read(&mut sink).await, Ok(count) if count > 0) {
                return;
            }
        }
    };
    let _ = tokio::time::timeout(most, rest).await;
}

/// The place of one answer; `None` while it is owed. The permit counts it among the open requests.
struct Slot(
    Option<Bytes>,
    #[expect(dead_code, reason = "held for its drop")] Option<OwnedSemaphorePermit>,
);

struct Session {
    stream: TcpStream,
    client: ClientId,
    answers: mpsc::Sender<ClientReply>,
    answered: mpsc::Receiver<ClientReply>,
    input: BytesMut,
    arrivals: Arrivals,
    /// Bytes thrown away since the framing was lost.
    discarded: usize,
    output: BytesMut,
    /// Answers in the order of their commands.
    slots: VecDeque<Slot>,
    /// Number of the first slot.
    first: u64,
    /// Since when the client has owed a whole command; `None` where it owes none.
    owed_since: Option<Instant>,
    /// The framing of the input is lost: nothing more of it is taken.
    broken: bool,
    /// It came when there were only places for refusals left.
    late: bool,
    front: Arc<Frontend>,
}

impl Session {
    async fn run(&mut self) -> Ended {
        let mut phase = self.front.phase.clone();
        let fresh_until = Instant::now() + FRESH;
        let mut rest: Option<Rest> = None;
        // When the client last took something of what waits to be written to it.
        let mut took_at = Instant::now();
        loop {
            // A client whose input never ends must not keep the others waiting.
            tokio::task::coop::consume_budget().await;
            let now = *phase.borrow_and_update();
            self.take_commands(now).await;
            while self.output.len() < OUT_LIMIT
                && self.slots.front().is_some_and(|slot| slot.0.is_some())
            {
                let answer = self
                    .slots
                    .pop_front()
                    .and_then(|slot| slot.0)
                    .unwrap_or_default();
                self.first += 1;
                self.output.extend_from_slice(&answer);
            }
            let owes = !self.slots.is_empty() || !self.output.is_empty();
            if !owes && (self.broken || now == LifecyclePhase::Closing) {
                return Ended::Closed;
            }
            let between = !owes && self.input.is_empty();
            if !owes && (self.first == 0 || !self.input.is_empty()) {
                self.owed_since.get_or_insert_with(Instant::now);
            } else {
                self.owed_since = None;
            }
            let cut_off = self.owed_since.map(|since| since + COMMAND_TIMEOUT);
            if !self.output.is_empty() {
                match self.stream.try_write(&self.output) {
                    Ok(count) => {
                        let _ = self.output.split_to(count);
                        took_at = Instant::now();
                        continue;
                    }
                    Err(e) if e.kind() == std::io::ErrorKind::WouldBlock => {}
                    Err(_) => return Ended::Gone,
                }
            }
            if self.output.is_empty() {
                // The room that a large answer took is given back.
                self.output = BytesMut::new();
                took_at = Instant::now();
            }
            let reading = self.reads(now);
            if !reading && self.ended_unread().await {
                return Ended::Gone;
            }
            let rests = between && self.first > 0;
            if rests && rest.is_none() {
                rest = Some(self.front.resting.begin());
            } else if !rests {
                rest = None;
            }
            let ends = now.is_shutting_down();
            let closes = tokio::select! {
                biased;
                answer = self.answered.recv() => {
                    if let Some(ClientReply { sequence: slot, bytes }) = answer
                        && let Some(place) = self.slots.get_mut(slot.saturating_sub(self.first) as usize)
                    {
                        place.0 = Some(bytes);
                    }
                    false
                }
                ready = self.stream.readable(), if reading => {
                    if ready.is_err() || self.read(now).is_err() {
                        return Ended::Gone;
                    }
                    false
                }
                ready = self.stream.writable(), if !self.output.is_empty() => {
                    if ready.is_err() {
                        return Ended::Gone;
                    }
                    false
                }
                Ok(()) = phase.changed() => false,
                () = tokio::time::sleep_until(fresh_until), if ends && between && self.first == 0 => true,
                () = std::future::ready(()), if ends && rests => true,
                () = async { if let Some(rest) = &mut rest { rest.asked().await } }, if rest.is_some() => true,
                () = tokio::time::sleep_until(took_at + STALLED), if !self.output.is_empty() =>
                    return Ended::Gone,
                () = tokio::time::sleep(LOOK), if !reading => false,
                () = async { tokio::time::sleep_until(cut_off.unwrap_or_else(Instant::now)).await },
                    if cut_off.is_some() => return Ended::Closed,
            };
            if closes {
                // What the machine has taken by now is served still: the runtime looks for it once more.
                tokio::task::yield_now().await;
                if self.read(now).is_err() {
                    return Ended::Gone;
                }
                if self.input.is_empty() {
                    rest.take().into_iter().for_each(Rest::closes);
                    return Ended::Closed;
                }
            }
        }
    }

    /// Whether commands are taken now.
    fn takes(&self, phase: LifecyclePhase) -> bool {
        !self.broken
            && phase != LifecyclePhase::Closing
            && self.slots.len() < PIPELINE
            && self.output.len() < OUT_LIMIT
    }

    /// Whether input is read now.
    fn reads(&self, phase: LifecyclePhase) -> bool {
        match self.broken {
            true => self.discarded < DISCARD,
            false => self.takes(phase) || self.input.len() < READ_AHEAD,
        }
    }

    /// Takes the commands that are whole.
    async fn take_commands(&mut self, phase: LifecyclePhase) {
        while self.takes(phase) {
            let before = self.input.len();
            match resp::take_command(&mut self.input) {
                Ok(Some(words)) => {
                    let came = self.arrivals.take(before - self.input.len());
                    let at = came.unwrap_or_else(|| self.front.clock.now());
                    self.command(words, at).await;
                }
                Ok(None) => break,
                Err(resp::Malformed(what)) => {
                    self.answer_now(format!("-ERR protocol error: {what}\r\n"));
                    self.broken = true;
                    (self.input, self.arrivals) = (BytesMut::new(), Arrivals::default());
                }
            }
        }
    }

    /// Reads what has come; an error where the client has gone, whatever it had sent before: nobody waits for that.
    fn read(&mut self, phase: LifecyclePhase) -> Result<(), Ended> {
        while self.reads(phase) {
            self.input.reserve(4096);
            match self.stream.try_read_buf(&mut self.input) {
                Ok(0) => return Err(Ended::Gone),
                Ok(count) if self.broken => {
                    self.discarded += count;
                    self.input.clear();
                }
                Ok(count) => {
                    self.arrivals.add(count, self.front.clock.now());
                    // More than one command holds: the rest is read when this has been looked at.
                    if self.input.len() > resp::MAX_COMMAND {
                        break;
                    }
                }
                Err(e) if e.kind() == std::io::ErrorKind::WouldBlock => break,
                Err(_) => return Err(Ended::Gone),
            }
        }
        Ok(())
    }

    /// Whether a client of which nothing is read has closed its connection behind what lies there unread.
    async fn ended_unread(&self) -> bool {
        tokio::select! {
            biased;
            ready = self.stream.ready(Interest::READABLE) => ready.map_or(true, |ready| ready.is_read_closed()),
            () = std::future::ready(()) => false,
        }
    }

    fn answer_now(&mut self, answer: impl Into<Bytes>) {
        self.slots.push_back(Slot(Some(answer.into()), None));
    }

    /// Takes a command that came at a time.
    async fn command(&mut self, words: Vec<Bytes>, at: Micros) {
        let name = words
            .first()
            .map(|name| name.to_ascii_uppercase())
            .unwrap_or_default();
        let command = match name.as_slice() {
            b"PING" => {
                let starting = *self.front.phase.borrow() == LifecyclePhase::Starting;
                return self.answer_now(if starting {
                    "-LOADING no list of servers yet\r\n"
                } else {
                    "+PONG\r\n"
                });
            }
            b"OBJ.GET" => parse(&words, false, &self.front.deployment),
            b"OBJ.SET" => parse(&words, true, &self.front.deployment),
            _ => Err("unknown command"),
        };
        match command {
            // Forced by the input: the module can't be told of a request that names none of its classes.
            Err(what) => self.answer_now(format!("-ERR {what}\r\n")),
            Ok(command) => {
                // Forced by a full table of sockets: refused, as it was never sent, and its place is free again.
                if self.late && self.front.crowded() {
                    self.broken = true;
                    return self.answer_now("-BUSY\r\n");
                }
                self.late = false;
                // Forced by memory: a request that finds the table full is turned away, and was never sent.
                let Ok(permit) = self.front.open.clone().try_acquire_owned() else {
                    return self.answer_now("-BUSY\r\n");
                };
                let slot = self.first + self.slots.len() as u64;
                self.slots.push_back(Slot(None, Some(permit)));
                let (client, answers) = (self.client, self.answers.clone());
                let asked = Box::new(ClientRequest {
                    command,
                    received_at: at,
                    client,
                    sequence: slot,
                    replies: answers,
                });
                let _ = self.front.hub.send(RouterEvent::ClientRequest(asked)).await;
            }
        }
    }
}

/// Reads a command's words.
fn parse(
    words: &[Bytes],
    write: bool,
    deployment: &Deployment,
) -> Result<ClientCommand, &'static str> {
    if words.len() != if write { 5 } else { 4 } {
        return Err("wrong number of arguments");
    }
    // What goes on to a server must not break its framing there.
    let plain = |word: &Bytes| word.len() <= MAX_WORD && word.iter().all(u8::is_ascii_graphic);
    if !words[1..4].iter().all(plain) || words[1].is_empty() || words[2].is_empty() {
        return Err("invalid key, id or facts");
    }
    let facts = String::from_utf8_lossy(&words[3]).into_owned();
    let (mut class, mut tenant, mut wait) = (None, None, None);
    let mut command = ClientCommand {
        is_write: write,
        key: words[1].clone(),
        request_id: words[2].clone(),
        ..ClientCommand::default()
    };
    for fact in facts.split(',').filter(|fact| !fact.is_empty()) {
        let (name, value) = fact.split_once('=').ok_or("invalid facts")?;
        let place = |names: &[String]| names.iter().position(|known| known == value);
        match name {
            "c" => class = Some(place(&deployment.classes).ok_or("unknown class")?),
            "t" if !deployment.tenants.is_empty() => {
                tenant = Some(place(&deployment.tenants).ok_or("unknown tenant")?)
            }
            "d" => {
                let ms: f64 = value.parse().map_err(|_| "invalid d")?;
                wait = Some((ms * 1e3) as Micros);
            }
            "r" => command.is_retry = value == "1",
            "h" => command.cost = value.parse().ok(),
            "size" => command.value_size = value.parse().unwrap_or(0.0),
            _ => {}
        }
    }
    command.class = class.ok_or("no class")?;
    command.tenant = tenant.unwrap_or(0);
    let deadline = deployment.settings.classes[command.class].deadline;
    command.remaining_deadline = wait.unwrap_or(deadline).min(60_000_000);
    command.value = words.get(4).cloned();
    command.fields = facts;
    Ok(command)
}

#[cfg(test)]
#[path = "../tests/parts/clients.rs"]
mod tests;
