//! How the nodes of a run differ from those of a deployment: they may hedge, or lack a safeguard on purpose, so that tests
//! can show that the invariants notice.

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

/// What all nodes of a run do otherwise than the scenario's deployment says.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct NodeOptions {
    /// They may have two attempts of a request in flight at once.
    pub hedging: bool,
    /// What they lack or do wrong.
    pub defect: Option<Defect>,
}

impl NodeOptions {
    /// The settings that a node with these options works by.
    pub(super) fn apply(self, mut settings: Settings) -> Settings {
        settings.may_hedge |= self.hedging;
        if self.defect == Some(Defect::NoSlowStart) {
            settings.cold_capacity_share = 1.0;
        }
        settings
    }
}
