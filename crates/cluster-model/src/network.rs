//! The network between zones: message delays, cut links and damaged answers. A message that is sent over a cut link is
//! lost, and neither the sender nor the receiver is notified.

use std::collections::BTreeSet;

use rand::Rng;

use crate::{Micros, RandomStream};

/// A zone, by its index in the scenario.
pub type Zone = u8;

/// Delays and losses of the network. Delays are one-way, in microseconds.
#[derive(Debug, Clone, PartialEq)]
pub struct NetworkConfig {
    /// Delay within a zone.
    pub same_zone: Micros,
    /// Delay between zones.
    pub cross_zone: Micros,
    /// Maximum random extra delay of a message, as a fraction of its base delay.
    pub jitter: f64,
    /// Fraction of messages that are lost.
    pub loss: f64,
}

impl Default for NetworkConfig {
    fn default() -> Self {
        NetworkConfig {
            same_zone: 200,
            cross_zone: 4_000,
            jitter: 0.2,
            loss: 0.0,
        }
    }
}

/// Fractions of answers that do not arrive as they were sent. All other answers arrive intact.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct AnswerFaults {
    /// Nothing arrives, and the connection stays open.
    pub lost: f64,
    /// The bytes that arrive differ from the bytes that were sent.
    pub corrupted: f64,
    /// Nothing arrives, and the connection is reset.
    pub reset: f64,
}

/// How an answer arrives.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Delivery {
    /// The answer arrives as it was sent.
    Complete,
    /// Nothing arrives, and the connection stays open.
    Lost,
    /// The bytes that arrive differ from the bytes that were sent.
    Corrupted,
    /// Nothing arrives, and the connection is reset.
    Reset,
}

/// A link between two zones, in one direction.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Link {
    from: Zone,
    to: Zone,
}

/// The network between all zones.
#[derive(Debug, Clone, Default)]
pub struct Network {
    config: NetworkConfig,
    answer_faults: AnswerFaults,
    cut_links: BTreeSet<Link>,
}

impl Network {
    /// Creates a network without cut links or damaged answers.
    pub fn new(config: NetworkConfig) -> Self {
        Network {
            config,
            answer_faults: AnswerFaults::default(),
            cut_links: BTreeSet::new(),
        }
    }

    /// Cuts or restores the link from one zone to another, in that direction only.
    pub fn set_cut(&mut self, from: Zone, to: Zone, cut: bool) {
        let link = Link { from, to };
        if cut {
            self.cut_links.insert(link);
        } else {
            self.cut_links.remove(&link);
        }
    }

    /// Cuts or restores all links between a zone and the other zones, in both directions. `zones` is the number of
    /// zones.
    pub fn set_isolated(&mut self, zone: Zone, zones: Zone, isolated: bool) {
        for other in (0..zones).filter(|other| *other != zone) {
            self.set_cut(zone, other, isolated);
            self.set_cut(other, zone, isolated);
        }
    }

    /// Whether the link from one zone to another is not cut.
    pub fn is_open(&self, from: Zone, to: Zone) -> bool {
        !self.cut_links.contains(&Link { from, to })
    }

    /// Sets the fractions of answers that arrive damaged from now on.
    pub fn set_answer_faults(&mut self, faults: AnswerFaults) {
        self.answer_faults = faults;
    }

    /// Draws how one answer arrives.
    pub fn draw_delivery(&self, random: &mut RandomStream) -> Delivery {
        let AnswerFaults {
            lost,
            corrupted,
            reset,
        } = self.answer_faults;
        match random.random::<f64>() {
            draw if draw < lost => Delivery::Lost,
            draw if draw < lost + corrupted => Delivery::Corrupted,
            draw if draw < lost + corrupted + reset => Delivery::Reset,
            _ => Delivery::Complete,
        }
    }

    /// Draws how long a message takes, in microseconds; `None` if it never arrives.
    pub fn transit_time(&self, from: Zone, to: Zone, random: &mut RandomStream) -> Option<Micros> {
        let base = if from == to {
            self.config.same_zone
        } else {
            self.config.cross_zone
        };
        // Both values are drawn even if the link is cut, so that a cut does not shift later draws.
        let jitter = random.random::<f64>();
        let loss = random.random::<f64>();
        let arrives = self.is_open(from, to) && loss >= self.config.loss;
        arrives.then(|| (base as f64 * (1.0 + self.config.jitter * jitter)).round() as Micros)
    }
}
