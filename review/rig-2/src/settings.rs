//! The settings and limits that nodes get: those of `lapjaras-verseny`, as the wire page shows them.

use std::net::SocketAddr;

/// What differs between the cases.
pub struct Settings {
    pub nodes: usize,
    pub sockets: usize,
    pub memory_mb: usize,
}

impl Settings {
    /// The configuration file of a node. `known` is the list as the node had it last.
    pub fn config(
        &self,
        number: usize,
        listen: SocketAddr,
        discovery: SocketAddr,
        known: &str,
    ) -> String {
        format!(
            r#"{{"name":"n{number}","listen":"{listen}","discovery":"{discovery}","seed":"8c1f30d27a5be96{number:x}",
 "limits":{{"cores":1.0,"memory_mb":{memory},"sockets":{sockets}}},
 "known":{known},
 "settings":{settings}}}
"#,
            memory = self.memory_mb,
            sockets = self.sockets,
            settings = self.json(number),
        )
    }

    fn json(&self, number: usize) -> String {
        let class = |name: &str, deadline: u64, aim: u64, gain: f64, effect: &str, window: u64| {
            format!(
                r#"{{"deadlineUs":{deadline},"dedupScope":"all","dedupWindowUs":{window},"effect":"{effect}","gain":{gain:.1},"goalTimeUs":{aim},"lateValue":0.0,"name":"{name}","streamed":false}}"#
            )
        };
        let classes = [
            class("lookup", 600_000, 300_000, 3.0, "pure", 5_000_000),
            class(
                "result-report",
                1_000_000,
                300_000,
                10.0,
                "token",
                2_000_000,
            ),
            class(
                "entry-fee",
                2_500_000,
                600_000,
                2.0,
                "side_effect",
                5_000_000,
            ),
        ]
        .join(",");
        format!(
            r#"{{"balancers":{nodes},"classes":[{classes}],
 "clientHabits":{{"marksRetry":false}},"countedBy":"work","discovery":"ask","family":"cache",
 "goal":{{"whole":0.55,"worstClass":0.35,"worstTenant":0.0,"worstWindow":0.1}},
 "guarantees":{{"askWithinUs":10000000,"coldShare":0.12,"coldUs":24000000,"drainGraceUs":500000,"fallMultiple":2.5,"graceToAnswerUs":20000,"tipAfterUs":2000000}},
 "limits":{{"connectTimeoutUs":120000,"cpuUsPerRequest":0.0,"cpuUsPerS":500000,"idleCloseUs":10000000,"maxAttempts":4,"maxOpen":20000,"maxRetryAfterUs":1200000,"mayCancel":true,"mayDuplicate":true,"multiplex":128,"peers":false,"probes":true,"retryAfter":false}},
 "machineTypes":["standard","small","origin"],"me":{number},"overShareWorth":0.1,"periodUs":5000,
 "prices":{{"connection":0.0,"crossZone":0.03,"discovery":0.0,"handshake":0.02,"lateFail":0.12,"moves":0.0,"origin":0.0,"peer":0.0,"probe":0.01,"waste":0.029}},
 "realms":[],"report":{{"fields":["queue","eps","x0"],"via":"piggyback"}},
 "specifics":{{"mode":"aside","notes":"","originFallMultiple":0.0,"originFallUs":3000000,"originKind":2,"reportX0":"share of hits, lately","reportX1":"fetches out"}},
 "stage":0,"tiers":["tabla-cache"],"weightSource":"silent","zone":0,"zones":["budapest"]}}"#,
            nodes = self.nodes,
        )
    }
}
