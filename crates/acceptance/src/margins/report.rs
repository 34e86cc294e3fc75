//! Prints the margins of a run as text.

use std::fmt::{self, Display, Formatter};

use super::findings::{
    AnswerLateness, AttemptAfterDisconnect, AttemptKind, Capacity, ClientDisconnects, LostRequests,
    Margins, MissingData, Notification, Readiness, SendAfterDrain, SlowStart, SlowStartWindow,
    StatedDeadlines,
};
use super::limits::{STATED_DEADLINE_SLACK_US, is_mostly_from_notified_nodes};
use super::table::{seconds, signed_seconds};

/// Maximum number of server starts that are listed, highest load first.
const MAX_LISTED_STARTS: usize = 10;

impl Display for Margins {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        for (kind, capacity) in &self.capacity {
            writeln!(f, "capacity of server kind {kind}: {capacity}")?;
        }
        write!(f, "{}", self.slow_start)?;
        if let Some(send) = &self.send_after_drain {
            writeln!(f, "drain: {send}")?;
        }
        write!(f, "{}", self.notification)?;
        if let Some(answer) = &self.latest_answer {
            writeln!(f, "final answer: {answer}")?;
        }
        writeln!(f, "lost requests: {}", self.lost_requests)?;
        writeln!(f, "client disconnect: {}", self.client_disconnects)?;
        if self.stated_deadlines.recorded > 0 {
            writeln!(f, "deadline: {}", self.stated_deadlines)?;
        }
        writeln!(f, "readiness: {}", self.readiness)?;
        writeln!(
            f,
            "requests by outcome: {:?}; discovery: {} calls, {} failed",
            self.outcomes, self.discovery_calls.total, self.discovery_calls.failed
        )?;
        let malformed = &self.malformed_lines;
        if malformed.count > 0 {
            writeln!(
                f,
                "{} trace lines are malformed, the first: {}",
                malformed.count, malformed.first
            )?;
        }
        for data in &self.missing_data {
            writeln!(f, "not shown: {data}")?;
        }
        Ok(())
    }
}

impl Display for Capacity {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let basis = if self.is_saturated {
            "measured while saturated"
        } else {
            "lower bound, never saturated"
        };
        let rate = self.attempts_per_s;
        write!(
            f,
            "a warm server answers {rate:.1} attempts per second ({basis})"
        )
    }
}

impl Display for SlowStart {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        for window in self.worst_windows.iter().take(MAX_LISTED_STARTS) {
            writeln!(f, "slow start: {window}")?;
        }
        let others = self.worst_windows.len().saturating_sub(MAX_LISTED_STARTS);
        if others > 0 {
            writeln!(
                f,
                "slow start: {others} more server starts, none with a higher load"
            )?;
        }
        if self.starts_of_unknown_capacity > 0 {
            writeln!(
                f,
                "slow start: {} server starts are left out: no warm server of their kind answered, so the \
                 capacity is unknown",
                self.starts_of_unknown_capacity
            )?;
        }
        Ok(())
    }
}

impl Display for SlowStartWindow {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "server {} of kind {}: {} attempts, with a budget of {:.1}, in the window that ends {:.2} s after the \
             server's start, from {} nodes; {} of the attempts came from the {} nodes that had been notified of the \
             start; {} attempts were answered",
            self.server,
            self.kind,
            self.attempts,
            self.budget,
            seconds(self.end_after_start),
            self.nodes,
            self.notified_attempts,
            self.notified_nodes,
            self.answered
        )?;
        if self.load() > 1.0 && is_mostly_from_notified_nodes(self.notified_attempts, self.attempts)
        {
            write!(f, "; over the budget")?;
        }
        Ok(())
    }
}

impl Display for SendAfterDrain {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let event = if self.in_own_list {
            "the node's list showed the drain or removal"
        } else {
            "the node counted as notified of the drain or removal"
        };
        write!(
            f,
            "node {} sent an attempt to server {}, {:.3} s after {event}",
            self.node,
            self.server,
            seconds(self.elapsed)
        )
    }
}

impl Display for Notification {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        if let Some(longest) = self.longest_delay {
            writeln!(
                f,
                "notification: node {} was notified of a drain or removal {:.3} s after the first node was",
                longest.node,
                seconds(longest.delay)
            )?;
        }
        if let Some(longest) = self.longest_after_start {
            writeln!(
                f,
                "notification: a process of node {}, started after all nodes counted as notified of a drain or \
                 removal, was notified of it {:.3} s after its start",
                longest.node,
                seconds(longest.delay)
            )?;
        }
        Ok(())
    }
}

impl Display for AnswerLateness {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "request {}, answered {:.3} s after its deadline",
            self.client_request_id,
            signed_seconds(self.lateness_us)
        )
    }
}

impl Display for LostRequests {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{} never answered, {} answered too late, {} dropped when the node closed their connection, {} open when \
             the node's process exited, {} open when that process was killed during shutdown; undetermined: {} open at \
             the end of the trace of the process",
            self.never_answered,
            self.answered_too_late,
            self.dropped,
            self.open_at_exit,
            self.open_at_kill,
            self.undetermined
        )
    }
}

impl Display for AttemptKind {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            AttemptKind::First => "first attempt",
            AttemptKind::Retry => "retry",
            AttemptKind::Hedge => "hedged attempt",
            AttemptKind::OriginCall => "origin call",
        })
    }
}

impl Display for ClientDisconnects {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{} requests whose clients disconnected, {} attempts that began after the disconnect, {} of them too late \
             (each counts as a lost request)",
            self.disconnects, self.attempts_after, self.lost
        )?;
        if let Some(latest) = &self.latest {
            write!(f, "; {latest}")?;
        }
        Ok(())
    }
}

impl Display for AttemptAfterDisconnect {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "the latest: {} of request {} from node {} to server {}, {:.3} s after the disconnect",
            self.kind,
            self.client_request_id,
            self.node,
            self.server,
            seconds(self.elapsed)
        )
    }
}

impl Display for StatedDeadlines {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{} attempts stated a deadline; {} of the deadlines exceed the time left to the client by over {:.2} s",
            self.recorded,
            self.over_limit,
            seconds(STATED_DEADLINE_SLACK_US)
        )?;
        if let Some(worst) = &self.worst {
            write!(
                f,
                "; the largest excess: {:.3} s, attempt {} of request {} from node {}",
                signed_seconds(worst.excess_us),
                worst.attempt,
                worst.client_request_id,
                worst.node
            )?;
        }
        Ok(())
    }
}

impl Display for Readiness {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{} of {} restarted processes were late; {} others are undetermined, because they or the recording ended \
             before the time limit",
            self.late, self.judged, self.undetermined
        )?;
        if let Some(slowest) = self.slowest {
            let outcome = if slowest.became_ready {
                "was ready after"
            } else {
                "was not ready for"
            };
            write!(
                f,
                "; the slowest, on node {}, {outcome} {:.3} s",
                slowest.node,
                seconds(slowest.delay)
            )?;
        }
        Ok(())
    }
}

impl Display for MissingData {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            MissingData::RequestWork => {
                "the work of a request: the slow-start budget treats each attempt as one with mean work"
            }
            MissingData::DiscoveryUpdateTime => {
                "when discovery had a change and was reachable: the time at which the first node was notified is \
                 used instead, so delays are lower bounds"
            }
            MissingData::Reconfiguration => {
                "when a new configuration arrived: the rule that a node counts as notified of it 4 s after SIGHUP is \
                 not checked"
            }
            MissingData::ByteTransferTime => {
                "when bytes arrived and left: requests are timed from when the node read them, attempts from when it \
                 handed them to a connection, answers from when it decided on them"
            }
            MissingData::StatedDeadlines => "the deadlines that attempts state (no `deadline` lines)",
            MissingData::DisconnectTime => {
                "when a node read that a client had closed its connection (no `departed` lines): disconnects are timed \
                 from when the node had handled them, so the time of an attempt after the disconnect is a lower bound"
            }
            MissingData::DroppedRequests => {
                "whether the node itself closed the connection of a pending request (no `dropped` lines): such a \
                 request looks like a client disconnect or an open request"
            }
            MissingData::ReadinessTime => {
                "when a process was launched and first answered PING (no `ready` lines): readiness is measured from \
                 the first line of its trace to the first line that lists a ready server"
            }
            MissingData::ProcessEndCause => {
                "why a process ended (no `terminate` or `exit` lines): requests that were open at its end are undetermined"
            }
        })
    }
}
