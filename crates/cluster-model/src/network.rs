//! The network between zones: how long a message takes, and which ways are cut. A cut says nothing to anyone: what is
//! sent into it is gone.

use std::collections::BTreeSet;

use rand::Rng;

use crate::{Chance, Micros};

/// A zone, by its place in the scenario.
pub type Zone = u8;

/// What the network is like, all times in microseconds one way.
#[derive(Debug, Clone, PartialEq)]
pub struct Spec {
    /// Within a zone.
    pub same: Micros,
    /// Between zones.
    pub cross: Micros,
    /// Each message takes up to this part of that more, by chance.
    pub jitter: f64,
    /// Part of the messages that are lost.
    pub lost: f64,
}

impl Default for Spec {
    fn default() -> Self {
        Spec {
            same: 200,
            cross: 4_000,
            jitter: 0.2,
            lost: 0.0,
        }
    }
}

/// Parts of the answers that do not come as they were sent. What is left of 1 comes whole.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Breaks {
    /// Nothing comes, and the connection stays.
    pub lost: f64,
    /// Something else comes than was sent.
    pub spoilt: f64,
    /// The connection is reset instead.
    pub reset: f64,
}

/// What becomes of an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fate {
    /// It comes as it was sent.
    Whole,
    /// Nothing comes, and the connection stays.
    Lost,
    /// Something else comes than was sent.
    Spoilt,
    /// The connection is reset instead.
    Reset,
}

/// The network.
#[derive(Debug, Clone, Default)]
pub struct Network {
    spec: Spec,
    breaks: Breaks,
    /// Ways that are cut, each in one direction.
    cut: BTreeSet<(Zone, Zone)>,
}

impl Network {
    /// One without cuts.
    pub fn new(spec: Spec) -> Self {
        Network {
            spec,
            breaks: Breaks::default(),
            cut: BTreeSet::new(),
        }
    }

    /// Cuts or mends the way from one zone to another, in that direction only.
    pub fn cut(&mut self, from: Zone, to: Zone, cut: bool) {
        if cut {
            self.cut.insert((from, to));
        } else {
            self.cut.remove(&(from, to));
        }
    }

    /// Cuts a zone off from all others, or mends it, both ways.
    pub fn isolate(&mut self, zone: Zone, zones: Zone, cut: bool) {
        for other in (0..zones).filter(|other| *other != zone) {
            self.cut(zone, other, cut);
            self.cut(other, zone, cut);
        }
    }

    /// Whether a way is open.
    pub fn open(&self, from: Zone, to: Zone) -> bool {
        !self.cut.contains(&(from, to))
    }

    /// From now on these parts of the answers break.
    pub fn break_answers(&mut self, breaks: Breaks) {
        self.breaks = breaks;
    }

    /// What becomes of an answer.
    pub fn fate(&self, chance: &mut Chance) -> Fate {
        let Breaks {
            lost,
            spoilt,
            reset,
        } = self.breaks;
        match chance.random::<f64>() {
            draw if draw < lost => Fate::Lost,
            draw if draw < lost + spoilt => Fate::Spoilt,
            draw if draw < lost + spoilt + reset => Fate::Reset,
            _ => Fate::Whole,
        }
    }

    /// How long a message takes, `None` where it never comes.
    pub fn carry(&self, from: Zone, to: Zone, chance: &mut Chance) -> Option<Micros> {
        let base = if from == to {
            self.spec.same
        } else {
            self.spec.cross
        };
        // Drawn in any case, so that a cut does not shift the chance of what comes after it.
        let (jitter, lost) = (chance.random::<f64>(), chance.random::<f64>());
        let there = self.open(from, to) && lost >= self.spec.lost;
        there.then(|| (base as f64 * (1.0 + self.spec.jitter * jitter)).round() as Micros)
    }
}
