//! When zones were cut off from the others. Bytes that a cut holds back arrive after it, so that an attempt may have
//! been sent long before it arrives.

use std::collections::BTreeMap;

use cluster_model::Micros;
use cluster_model::network::Zone;

/// What a cut has held back arrives within this time of its end, in microseconds.
const BACKLOG_DRAIN: Micros = 500_000;

/// The latest cut of a zone.
#[derive(Debug, Clone, Copy)]
struct Cut {
    began_at: Micros,
    /// In the far future while the cut lasts.
    healed_at: Micros,
}

/// The latest cut of each zone.
#[derive(Debug, Default)]
pub(super) struct ZoneCuts {
    latest: BTreeMap<Zone, Cut>,
}

impl ZoneCuts {
    /// A zone is cut off from the others.
    pub(super) fn begin(&mut self, now: Micros, zone: Zone) {
        let cut = Cut {
            began_at: now,
            healed_at: Micros::MAX - BACKLOG_DRAIN,
        };
        self.latest.insert(zone, cut);
    }

    /// A zone is reached again.
    pub(super) fn heal(&mut self, now: Micros, zone: Zone) {
        let cut = self.latest.entry(zone).or_insert(Cut {
            began_at: now,
            healed_at: now,
        });
        cut.healed_at = now;
    }

    /// The earliest time that an attempt between zones may have been sent, where it arrived now after the usual delay
    /// since `sent_at`, for a request that began at `begun_at`.
    pub(super) fn earliest_send(
        &self,
        now: Micros,
        zones: [Zone; 2],
        sent_at: Micros,
        begun_at: Micros,
    ) -> Micros {
        let cuts = zones.iter().filter_map(|zone| self.latest.get(zone));
        cuts.filter(|cut| now < cut.healed_at + BACKLOG_DRAIN)
            .fold(sent_at, |sent_at, cut| {
                sent_at.min(begun_at.max(cut.began_at))
            })
    }
}
