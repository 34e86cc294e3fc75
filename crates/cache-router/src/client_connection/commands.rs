//! The commands of a client: each is answered at once, or sent to the event loop, which replies later.

use bytes::Bytes;
use routing_policy::Micros;

use super::ClientConnection;
use super::input::{InputMode, ReceivedCommand};
use crate::client_command::{self, Command};
use crate::event_loop::in_flight::BUSY_REPLY;
use crate::fair_share::Work;
use crate::lifecycle::LifecyclePhase;
use crate::message::{ClientCommand, ClientRequest, RouterEvent};
use crate::resp::RespError;

const PONG_REPLY: &[u8] = b"+PONG\r\n";
const LOADING_REPLY: &[u8] = b"-LOADING no list of servers yet\r\n";
/// The reply to a command that the client does not complete. If the client does send the rest, it takes this as the
/// reply.
pub(super) const INCOMPLETE_REPLY: &[u8] = b"-ERR command not complete in time\r\n";

impl ClientConnection {
    /// Takes complete commands from the input and handles them, at least one and at most as many as the connection's
    /// share allows. Returns whether it stopped at the end of the share.
    pub(super) async fn take_commands(&mut self) -> bool {
        while self.can_take_next_command() {
            match self.input.take_command() {
                Ok(Some(ReceivedCommand {
                    arguments,
                    arrived_at,
                })) => {
                    self.share.charge(Work::Command);
                    let received_at = arrived_at.unwrap_or_else(|| self.context.clock.now());
                    match arguments {
                        Some(arguments) => self.handle_command(&arguments, received_at).await,
                        None => self.reject_discarded_command(),
                    }
                }
                Ok(None) => return false,
                Err(error) => self.push_protocol_error(error),
            }
            if self.share.is_used_up() {
                return true;
            }
        }
        false
    }

    /// Rejects commands if too many have been read ahead. The client's close may follow the input that it has sent, and
    /// is only seen once that input has been read. Returns whether it stopped at the end of the connection's share.
    pub(super) fn reject_excess_commands(&mut self) -> bool {
        if self.can_take_commands() || !self.input.is_full() {
            return false;
        }
        while self.input.has_excess() {
            match self.input.take_command() {
                Ok(Some(_)) => {
                    self.share.charge(Work::Command);
                    self.replies.push_repeated(BUSY_REPLY);
                }
                Ok(None) => return false,
                Err(error) => self.push_protocol_error(error),
            }
            if self.share.is_used_up() {
                return true;
            }
        }
        false
    }

    /// Queues the error reply to input that is not a command.
    fn push_protocol_error(&mut self, error: RespError) {
        self.replies
            .push_ready(format!("-ERR protocol error: {error}\r\n"));
    }

    /// Answers the command that the client has left incomplete, and discards all input from there on. Returns `false`
    /// if no command is incomplete.
    pub(super) fn reject_incomplete_command(&mut self, reply: &'static [u8]) -> bool {
        let is_incomplete = self.input.incomplete_since().is_some();
        if is_incomplete {
            self.input.discard();
            self.replies.push_ready(reply);
        }
        is_incomplete
    }

    /// Rejects a command for which there was no memory. It was never sent to a server.
    fn reject_discarded_command(&mut self) {
        self.has_sent_request = true;
        self.replies.push_ready(BUSY_REPLY);
    }

    async fn handle_command(&mut self, arguments: &[Bytes], received_at: Micros) {
        match client_command::parse(arguments, &self.context.deployment) {
            Ok(Command::Request(command)) => self.handle_request(command, received_at).await,
            Ok(Command::Ping) => {
                let phase = *self.context.lifecycle.borrow();
                let reply = match phase {
                    LifecyclePhase::Starting => LOADING_REPLY,
                    _ => PONG_REPLY,
                };
                self.answer_other_command(reply);
            }
            Err(error) => self.answer_other_command(format!("-ERR {error}\r\n")),
        }
    }

    /// Queues the reply to a command that is not a request.
    fn answer_other_command(&mut self, reply: impl Into<Bytes>) {
        self.other_commands += 1;
        self.replies.push_ready(reply);
    }

    /// Sends a request to the event loop. If the connection is about to close, no request slot is free, or the client
    /// may have gone behind input that is not read yet, it is rejected without asking the routing policy, which is safe because it was never sent to a server.
    async fn handle_request(&mut self, command: ClientCommand, received_at: Micros) {
        self.has_sent_request = true;
        self.bulk_guard = None;
        if self.uses_reserved_slot && self.context.only_reserved_slots_left() {
            self.start_rejecting();
        }
        let may_have_gone = self.input.unread().is_old(self.context.clock.now());
        if self.input.mode() != InputMode::Serve || may_have_gone {
            self.replies.push_ready(BUSY_REPLY);
            return;
        }
        self.uses_reserved_slot = false;
        let Ok(permit) = self.context.request_slots.clone().try_acquire_owned() else {
            self.replies.push_ready(BUSY_REPLY);
            return;
        };
        self.share.charge(Work::Request);
        let request = ClientRequest {
            command,
            received_at,
            client: self.client,
            unread_input: self.input.unread().clone(),
            sequence: self.replies.reserve(permit),
            replies: self.reply_sender.clone(),
        };
        let event = RouterEvent::ClientRequest(Box::new(request));
        let _ = self.context.events.send(event).await;
    }
}
