//! Nodes that lack a safeguard on purpose, so that tests can show that the invariants notice.

use routing_policy::Settings;

/// What all nodes of a run lack or do wrong.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Defect {
    /// They take servers that have just started for warm ones.
    NoSlowStart,
    /// They go on with requests whose clients have closed their connections.
    IgnoresClosedClients,
    /// Each attempt tells its server the time that its class's clients wait in all.
    TellsWholeDeadline,
    /// When they are told to shut down they leave requests with a late deadline open.
    NoAnswersBeforeExit,
    /// They neither reject requests nor let them fail.
    AnswersOnlyWithValues,
    /// They ignore what the endpoint list tells them.
    IgnoresEndpointList,
}

impl Defect {
    /// The settings that a node with this defect works by.
    pub(super) fn apply(self, settings: Settings) -> Settings {
        match self {
            Defect::NoSlowStart => Settings {
                cold_capacity_share: 1.0,
                ..settings
            },
            _ => settings,
        }
    }
}
