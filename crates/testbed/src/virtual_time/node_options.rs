//! Deviations of a run's nodes from its deployment: they may hedge, or deliberately lack a safeguard, so that tests can
//! show that the invariants detect it.

use routing_policy::Settings;

/// A deliberate defect of all nodes of a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Defect {
    /// Nodes treat servers that have just started as warm.
    NoSlowStart,
    /// Nodes continue with requests whose clients have closed their connections.
    IgnoresClosedClients,
    /// Each attempt states to its server the remaining time that the request had on arrival, not what is left of it.
    SendsOriginalDeadline,
    /// During a shutdown, nodes do not answer open requests before the platform may kill them.
    NoFinalAnswersOnShutdown,
    /// Nodes answer only with values: they do not send rejections or failures.
    NoRejectionsOrFailures,
    /// Nodes ignore updates of the endpoint list.
    IgnoresEndpointList,
}

/// Deviations of all nodes of a run from the scenario's deployment.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct NodeOptions {
    /// Whether nodes may have two attempts of a request in flight at once.
    pub hedging: bool,
    /// The defect of the nodes, if they have one.
    pub defect: Option<Defect>,
}

impl NodeOptions {
    /// Applies the options to the settings of a node.
    pub(super) fn apply(self, mut settings: Settings) -> Settings {
        settings.may_hedge |= self.hedging;
        if self.defect == Some(Defect::NoSlowStart) {
            settings.cold_capacity_share = 1.0;
        }
        settings
    }
}
