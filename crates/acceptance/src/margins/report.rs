//! The margins of a run in words.

use std::fmt::{self, Display, Formatter};

use super::findings::{
    AnswerLateness, AttemptAfterDeparture, AttemptKind, Capacity, ClientDepartures, Gap,
    LostRequests, Margins, Notification, Readiness, SendAfterDrain, SlowStart, SlowStartWindow,
    StatedDeadlines,
};
use super::limits::{STATED_DEADLINE_SLACK, is_blamed_on_notified};
use super::table::{seconds, signed_seconds};

/// So many of the restarted servers are listed, the most loaded first.
const LISTED_SERVERS: usize = 10;

impl Display for Margins {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        for (kind, capacity) in &self.capacity {
            writeln!(f, "capacity of kind {kind}: {capacity}")?;
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
        writeln!(f, "client departure: {}", self.client_departures)?;
        if self.stated_deadlines.recorded > 0 {
            writeln!(f, "deadline: {}", self.stated_deadlines)?;
        }
        writeln!(f, "readiness: {}", self.readiness)?;
        writeln!(
            f,
            "requests by their end: {:?}; discovery: {} calls, {} failed",
            self.outcomes, self.discovery_calls.total, self.discovery_calls.failed
        )?;
        let broken = &self.broken_lines;
        if broken.count > 0 {
            writeln!(
                f,
                "{} lines of the traces are broken, the first: {}",
                broken.count, broken.first
            )?;
        }
        for gap in &self.gaps {
            writeln!(f, "not shown: {gap}")?;
        }
        Ok(())
    }
}

impl Display for Capacity {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let certainty = if self.seen_busy {
            "while full"
        } else {
            "at least, never seen full"
        };
        let rate = self.attempts_per_s;
        write!(
            f,
            "a warm server answers {rate:.1} attempts a second, {certainty}"
        )
    }
}

impl Display for SlowStart {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        for window in self.worst_windows.iter().take(LISTED_SERVERS) {
            writeln!(f, "slow start: {window}")?;
        }
        let others = self.worst_windows.len().saturating_sub(LISTED_SERVERS);
        if others > 0 {
            writeln!(
                f,
                "slow start: {others} more restarted servers, less loaded"
            )?;
        }
        if self.starts_of_unknown_capacity > 0 {
            writeln!(
                f,
                "slow start: {} restarted servers of kinds of which no warm server answered are left out",
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
            "server {} of kind {}: {} attempts of a budget of {:.1} in the window that ends {:.2} s after its start, \
             from {} nodes; {} of the attempts from the {} nodes that had been notified; {} answered",
            self.server,
            self.kind,
            self.attempts,
            self.budget,
            seconds(self.age),
            self.nodes,
            self.notified_attempts,
            self.notified_nodes,
            self.answered
        )?;
        if self.load() > 1.0 && is_blamed_on_notified(self.notified_attempts, self.attempts) {
            write!(f, "; over the budget")?;
        }
        Ok(())
    }
}

impl Display for SendAfterDrain {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let since = if self.in_own_list {
            "its list said so"
        } else {
            "it counts as notified"
        };
        write!(
            f,
            "node {} sends to server {} {:.3} s after {since}",
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
                "notification: node {} was notified {:.3} s after the first that a server is not ready",
                longest.node,
                seconds(longest.delay)
            )?;
        }
        if let Some(longest) = self.longest_after_start {
            writeln!(
                f,
                "notification: a later process of node {}, which counts as notified from its start, was notified after \
                 {:.3} s",
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
            "request {} {:.3} s after its deadline",
            self.client_name,
            signed_seconds(self.lateness_us)
        )
    }
}

impl Display for LostRequests {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{} never answered, {} answered too late, {} whose connection the node closed, {} open when their process \
             ended by itself, {} when it was killed in its shutdown; not shown whether lost: {} open at the end of a trace",
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

impl Display for ClientDepartures {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{} requests whose clients departed, {} attempts after it, {} of them too late (lost requests)",
            self.departures, self.attempts_after, self.lost
        )?;
        if let Some(latest) = &self.latest {
            write!(f, "; {latest}")?;
        }
        Ok(())
    }
}

impl Display for AttemptAfterDeparture {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "the latest a {} of request {} from node {} to server {}, {:.3} s after",
            self.kind,
            self.client_name,
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
            "{} attempts, {} state over {:.2} s more than is left",
            self.recorded,
            self.over_limit,
            seconds(STATED_DEADLINE_SLACK)
        )?;
        if let Some(worst) = &self.worst {
            write!(
                f,
                "; the most {:.3} s, attempt {} of request {} from node {}",
                signed_seconds(worst.excess_us),
                worst.attempt,
                worst.client_name,
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
            "{} of {} restarted processes late, {} ended or were recorded too short to tell",
            self.late, self.judged, self.undetermined
        )?;
        if let Some(slowest) = self.slowest {
            let how = if slowest.became_ready {
                "was ready after"
            } else {
                "was not ready for"
            };
            write!(
                f,
                "; the slowest, of node {}, {how} {:.3} s",
                slowest.node,
                seconds(slowest.delay)
            )?;
        }
        Ok(())
    }
}

impl Display for Gap {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Gap::WorkOfRequests => {
                "the work of a request: in slow start each attempt counts as one of mean work"
            }
            Gap::TimeAtDiscovery => {
                "when discovery had a change and could be reached: the first node to be notified stands for it, so \
                 delays are lower bounds"
            }
            Gap::Reconfiguration => {
                "when a new configuration came: that a change counts as notified 4 s after SIGHUP is not measured"
            }
            Gap::TimeOfBytes => {
                "when bytes came and went: requests count from when they were read, attempts from when their connection \
                 had them, answers from when they were decided"
            }
            Gap::StatedDeadlines => "the deadlines that attempts state (no `deadline` lines)",
            Gap::TimeOfDeparture => {
                "when a client's close was read (no `departed` lines): departures count from when the node had handled \
                 them, so lateness is a lower bound"
            }
            Gap::DroppedRequests => {
                "whether a node closed a connection under a request itself (no `dropped` lines): such a request looks \
                 like a client's departure, or open"
            }
            Gap::TimeOfReadiness => {
                "when a process was launched and first answered PING (no `ready` lines): readiness counts from the \
                 first line of its trace to its first ready server"
            }
            Gap::EndOfProcess => {
                "by what a process ended (no `terminate` or `exit` lines): what was open at its end is not judged"
            }
        })
    }
}
