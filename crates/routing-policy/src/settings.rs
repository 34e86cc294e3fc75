//! Reads the settings of a deployment from the JSON form that the simulator's first message and the router's
//! configuration share. The `Wire` types have the keys of that form; this module maps them to the names used in
//! the code.

use serde::Deserialize;

use crate::interface::{
    DeduplicationScope, Idempotency, LoadField, Micros, RequestClass, Settings, Tenant,
};

/// A deployment: the settings of the policy, and the values that only the embedding program needs.
#[derive(Debug, Clone, PartialEq)]
pub struct Deployment {
    /// The settings of the policy.
    pub settings: Settings,
    /// Names of the classes, in the order of [`Settings::classes`].
    pub classes: Vec<String>,
    /// Names of the tenants, in the order of [`Settings::tenants`].
    pub tenants: Vec<String>,
    /// Names of the zones.
    pub zones: Vec<String>,
    /// Names of the machine kinds.
    pub kinds: Vec<String>,
    /// Names of the fields of a load report, in the order of [`Settings::load_fields`].
    pub load_report_names: Vec<String>,
    /// Time after which a connection that is not established has failed, in microseconds.
    pub connect_timeout: Micros,
    /// Time after which servers close an idle connection, in microseconds.
    pub server_idle_timeout: Micros,
    /// Requests that a router may have in flight at once.
    pub max_open: usize,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase", default)]
struct WireSettings {
    balancers: u32,
    me: u32,
    zone: u8,
    classes: Vec<WireClass>,
    realms: Vec<WireTenant>,
    zones: Vec<String>,
    machine_types: Vec<String>,
    discovery: String,
    specifics: WireSpecifics,
    limits: WireLimits,
    guarantees: WireGuarantees,
    prices: WirePrices,
    report: WireReport,
    weight_source: String,
    period_us: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase", default)]
struct WireClass {
    name: String,
    goal_time_us: f64,
    deadline_us: f64,
    gain: f64,
    late_value: f64,
    effect: String,
    dedup_scope: String,
    dedup_window_us: f64,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "camelCase", default)]
struct WireTenant {
    name: String,
    quota_per_s: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase", default)]
struct WireSpecifics {
    mode: String,
    origin_kind: i64,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase", default)]
struct WireLimits {
    max_attempts: u32,
    may_duplicate: bool,
    may_cancel: bool,
    probes: bool,
    peers: bool,
    retry_after: bool,
    max_retry_after_us: f64,
    connect_timeout_us: f64,
    idle_close_us: f64,
    max_open: usize,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase", default)]
struct WireGuarantees {
    ask_within_us: f64,
    cold_share: f64,
    cold_us: f64,
    drain_grace_us: f64,
    fall_multiple: f64,
    tip_after_us: f64,
}

#[derive(Deserialize, Default)]
#[serde(default)]
struct WirePrices {
    connection: f64,
    handshake: f64,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "camelCase", default)]
struct WireReport {
    fields: Vec<String>,
}

impl Default for WireSettings {
    fn default() -> Self {
        let base = Settings::default();
        WireSettings {
            balancers: base.router_count,
            me: base.router_index,
            zone: base.zone,
            classes: Vec::new(),
            realms: Vec::new(),
            zones: Vec::new(),
            machine_types: Vec::new(),
            discovery: "push".into(),
            specifics: WireSpecifics::default(),
            limits: WireLimits::default(),
            guarantees: WireGuarantees::default(),
            prices: WirePrices::default(),
            report: WireReport::default(),
            weight_source: "silent".into(),
            period_us: base.tick as f64,
        }
    }
}

impl Default for WireClass {
    fn default() -> Self {
        let base = RequestClass::default();
        WireClass {
            name: String::new(),
            goal_time_us: base.latency_objective as f64,
            deadline_us: base.deadline as f64,
            gain: base.priority_weight,
            late_value: base.late_weight_fraction,
            effect: "side_effect".into(),
            dedup_scope: "cell".into(),
            dedup_window_us: 0.0,
        }
    }
}

impl Default for WireSpecifics {
    fn default() -> Self {
        WireSpecifics {
            mode: "through".into(),
            origin_kind: -1,
        }
    }
}

impl Default for WireLimits {
    fn default() -> Self {
        WireLimits {
            max_attempts: Settings::default().max_attempts,
            may_duplicate: false,
            may_cancel: false,
            probes: false,
            peers: false,
            retry_after: false,
            max_retry_after_us: 0.0,
            connect_timeout_us: 250_000.0,
            idle_close_us: 15_000_000.0,
            max_open: 20_000,
        }
    }
}

impl Default for WireGuarantees {
    fn default() -> Self {
        let base = Settings::default();
        WireGuarantees {
            ask_within_us: base.notification_period as f64,
            cold_share: base.cold_capacity_share,
            cold_us: base.warm_up_period as f64,
            drain_grace_us: base.drain_grace as f64,
            fall_multiple: base.overload_multiple,
            tip_after_us: base.overload_window as f64,
        }
    }
}

/// Reasons why settings cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// They are not JSON, or a value has the wrong type.
    #[error("unreadable settings: {0}")]
    Malformed(#[from] serde_json::Error),
    /// A class names an effect that the protocol does not have.
    #[error(
        "unreadable settings: unknown effect {effect:?} of class {class:?}; use pure, token or side_effect"
    )]
    UnknownEffect {
        /// Name of the class.
        class: String,
        /// The effect that it names.
        effect: String,
    },
}

/// Reads settings from JSON. Missing keys get their defaults; unknown keys are ignored.
///
/// # Errors
/// If the text is not valid JSON of that form or a class has an unknown effect.
pub fn read(text: &[u8]) -> Result<Deployment, SettingsError> {
    let wire: WireSettings = serde_json::from_slice(text)?;
    Ok(Deployment {
        settings: policy_settings(&wire)?,
        classes: wire.classes.into_iter().map(|class| class.name).collect(),
        tenants: wire.realms.into_iter().map(|tenant| tenant.name).collect(),
        zones: wire.zones,
        kinds: wire.machine_types,
        load_report_names: wire.report.fields,
        connect_timeout: micros(wire.limits.connect_timeout_us),
        server_idle_timeout: micros(wire.limits.idle_close_us),
        max_open: wire.limits.max_open,
    })
}

fn policy_settings(wire: &WireSettings) -> Result<Settings, SettingsError> {
    let classes: Result<Vec<_>, _> = wire.classes.iter().map(request_class).collect();
    let tenant = |wire: &WireTenant| Tenant {
        quota_per_s: wire.quota_per_s,
    };
    let limits = &wire.limits;
    let guarantees = &wire.guarantees;
    Ok(Settings {
        router_count: wire.balancers,
        router_index: wire.me,
        zone: wire.zone,
        classes: classes?,
        tenants: wire.realms.iter().map(tenant).collect(),
        poll_discovery: wire.discovery == "ask",
        notification_period: micros(guarantees.ask_within_us),
        origin_kind: origin_kind(&wire.specifics),
        weights_are_sizes: matches!(wire.weight_source.as_str(), "nominal" | "rough"),
        weights_are_live: wire.weight_source == "live",
        load_fields: wire
            .report
            .fields
            .iter()
            .map(|name| load_field(name))
            .collect(),
        max_attempts: limits.max_attempts,
        may_hedge: limits.may_duplicate,
        may_cancel: limits.may_cancel,
        may_check_health: limits.probes,
        may_message_peers: limits.peers,
        connection_cost: wire.prices.connection,
        handshake_cost: wire.prices.handshake,
        max_retry_after: if limits.retry_after {
            micros(limits.max_retry_after_us)
        } else {
            0
        },
        tick: micros(wire.period_us),
        cold_capacity_share: guarantees.cold_share,
        warm_up_period: micros(guarantees.cold_us),
        overload_multiple: guarantees.fall_multiple,
        overload_window: micros(guarantees.tip_after_us),
        drain_grace: micros(guarantees.drain_grace_us),
    })
}

/// The machine kind of the origin, if cache servers do not fetch for themselves.
fn origin_kind(specifics: &WireSpecifics) -> Option<u16> {
    if specifics.mode == "aside" {
        u16::try_from(specifics.origin_kind).ok()
    } else {
        None
    }
}

fn request_class(wire: &WireClass) -> Result<RequestClass, SettingsError> {
    let scope = match wire.dedup_scope.as_str() {
        "all" => DeduplicationScope::All,
        "zone" => DeduplicationScope::Zone,
        _ => DeduplicationScope::Cell,
    };
    let idempotency = match wire.effect.as_str() {
        "pure" => Idempotency::Idempotent,
        "token" => Idempotency::Deduplicated {
            scope,
            window: micros(wire.dedup_window_us),
        },
        "side_effect" => Idempotency::NotIdempotent,
        other => {
            return Err(SettingsError::UnknownEffect {
                class: wire.name.clone(),
                effect: other.to_owned(),
            });
        }
    };
    Ok(RequestClass {
        latency_objective: micros(wire.goal_time_us),
        deadline: micros(wire.deadline_us),
        priority_weight: wire.gain,
        late_weight_fraction: wire.late_value,
        idempotency,
    })
}

fn load_field(name: &str) -> LoadField {
    match name {
        "rif" => LoadField::InFlight,
        "q" => LoadField::Queued,
        "busy" => LoadField::Busy,
        "lat_ms" => LoadField::ServiceMs,
        "rate" => LoadField::Rate,
        "fail_rate" => LoadField::ErrorRate,
        _ => LoadField::Other,
    }
}

/// Whole microseconds; a negative value or one that is not a number is 0.
fn micros(value: f64) -> Micros {
    value as Micros
}
