//! Records when zones were isolated from the others. Bytes that are held back during the isolation arrive after it, so
//! an attempt may have been sent long before it arrives.

use std::collections::BTreeMap;

use cluster_model::Micros;
use cluster_model::network::Zone;

/// Bytes that were held back arrive within this time of the end of the isolation, in microseconds.
const BACKLOG_DRAIN_TIME: Micros = 500_000;

/// The latest isolation of a zone.
#[derive(Debug, Clone, Copy)]
struct Isolation {
    began_at: Micros,
    /// Far in the future while the zone is still isolated.
    healed_at: Micros,
}

/// The latest isolation of each zone.
#[derive(Debug, Default)]
pub(super) struct ZoneIsolations {
    latest: BTreeMap<Zone, Isolation>,
}

impl ZoneIsolations {
    /// A zone is isolated from the others.
    pub(super) fn begin(&mut self, now: Micros, zone: Zone) {
        let isolation = Isolation {
            began_at: now,
            healed_at: Micros::MAX - BACKLOG_DRAIN_TIME,
        };
        self.latest.insert(zone, isolation);
    }

    /// A zone can be reached again.
    pub(super) fn heal(&mut self, now: Micros, zone: Zone) {
        let isolation = self.latest.entry(zone).or_insert(Isolation {
            began_at: now,
            healed_at: now,
        });
        isolation.healed_at = now;
    }

    /// Returns the earliest time at which an attempt that arrives now may have been sent. `sent_at` is its arrival time
    /// minus the usual network delay, and `begun_at` is when its request began.
    pub(super) fn earliest_send(
        &self,
        now: Micros,
        zones: [Zone; 2],
        sent_at: Micros,
        begun_at: Micros,
    ) -> Micros {
        let isolations = zones.iter().filter_map(|zone| self.latest.get(zone));
        isolations
            .filter(|isolation| now < isolation.healed_at + BACKLOG_DRAIN_TIME)
            .fold(sent_at, |sent_at, isolation| {
                sent_at.min(begun_at.max(isolation.began_at))
            })
    }
}
