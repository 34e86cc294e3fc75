//! The configuration that the platform gives the router: the file that `$ROUTER_CONFIG` names and the variables beside
//! it, read into typed values. Anything unusable in it is an error at the start, never a default.

use std::net::SocketAddr;

use routing_policy::settings::{self, Deployment, SettingsError};
use serde::Deserialize;
use serde_json::value::RawValue;
use thiserror::Error;
use xxhash_rust::xxh3::xxh3_64;

use crate::message::EndpointListUpdate;

/// Path of the configuration file.
const CONFIG_VARIABLE: &str = "ROUTER_CONFIG";
/// Address that takes the place of the file's `listen`.
const LISTEN_VARIABLE: &str = "ROUTER_LISTEN";
/// Address that takes the place of the file's `discovery`.
const DISCOVERY_VARIABLE: &str = "ROUTER_DISCOVERY";

/// Fewer sockets than this leave none for clients and servers beside the router's own.
const MIN_SOCKETS: usize = 32;
/// The most sockets, whatever the file says, and the number where it says nothing.
const MAX_SOCKETS: usize = 1024;

/// What the router is told at its start.
pub struct Config {
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Where discovery is reached.
    pub discovery: SocketAddr,
    /// Seed of the policy's random numbers.
    pub seed: u64,
    /// The most sockets that the process may hold, all counted.
    pub max_sockets: usize,
    /// The endpoint list that the router had when it last ran; empty if there is none.
    pub cached_list: EndpointListUpdate,
    /// The settings of the deployment.
    pub deployment: Deployment,
}

/// Why a configuration can't be used.
#[derive(Debug, Error)]
pub enum ConfigError {
    /// A required environment variable is not set.
    #[error("{name} is not set")]
    UnsetVariable {
        /// Its name.
        name: &'static str,
    },
    /// The file can't be read.
    #[error("cannot read {path}: {source}; check the path in `$ROUTER_CONFIG` and who may read it")]
    Unreadable {
        /// Path of the file.
        path: String,
        /// What the system says.
        source: std::io::Error,
    },
    /// The file is not JSON, or not in the form of a configuration.
    #[error("{path} is no configuration: {source}; write it whole, as JSON")]
    Malformed {
        /// Path of the file.
        path: String,
        /// What is wrong, and where in the file.
        source: serde_json::Error,
    },
    /// A field is missing or has an unusable value.
    #[error("unusable {name} in the configuration: {value:?}")]
    InvalidField {
        /// Its name.
        name: &'static str,
        /// Its value; empty if it is missing.
        value: String,
    },
    /// The settings can't be used.
    #[error("{source} ({path})")]
    Settings {
        /// Path of the file.
        path: String,
        /// What is wrong with them.
        source: SettingsError,
    },
    /// The settings name no class of requests: no request could be served.
    #[error("the settings name no class of requests ({path})")]
    NoClass {
        /// Path of the file.
        path: String,
    },
}

impl ConfigError {
    /// Whether the file may be usable in a moment: it cannot be read, or is cut off or no JSON, as a file that is just
    /// being written. A file that is whole stays as it is.
    pub fn may_pass(&self) -> bool {
        match self {
            ConfigError::Unreadable { .. } => true,
            ConfigError::Malformed { source, .. } => source.is_eof() || source.is_syntax(),
            ConfigError::UnsetVariable { .. }
            | ConfigError::InvalidField { .. }
            | ConfigError::Settings { .. }
            | ConfigError::NoClass { .. } => false,
        }
    }
}

/// The configuration file. Its keys are the platform's.
#[derive(Deserialize, Default)]
#[serde(default)]
struct ConfigFile {
    listen: String,
    discovery: String,
    seed: String,
    limits: Limits,
    #[serde(rename = "known")]
    cached_list: Option<EndpointListUpdate>,
    settings: Option<Box<RawValue>>,
}

#[derive(Deserialize)]
#[serde(default)]
struct Limits {
    sockets: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            sockets: MAX_SOCKETS,
        }
    }
}

/// Reads the address of discovery from the configuration file. The variable beside it is not used, since it is as old
/// as the process.
///
/// # Errors
///
/// If the file can't be read or names no usable address.
pub fn read_discovery_address() -> Result<SocketAddr, ConfigError> {
    let path = config_path()?;
    parse_address("discovery", ConfigFile::read(&path)?.discovery)
}

impl Config {
    /// Reads the configuration that the environment names.
    ///
    /// # Errors
    ///
    /// If it can't be read or any part of it is unusable.
    pub fn from_env() -> Result<Config, ConfigError> {
        let path = config_path()?;
        let file = ConfigFile::read(&path)?;
        let deployment = read_deployment(file.settings, path)?;
        if file.limits.sockets < MIN_SOCKETS {
            return Err(ConfigError::InvalidField {
                name: "limits.sockets",
                value: file.limits.sockets.to_string(),
            });
        }
        let listen = variable(LISTEN_VARIABLE).unwrap_or(file.listen);
        let discovery = variable(DISCOVERY_VARIABLE).unwrap_or(file.discovery);
        Ok(Config {
            listen: parse_address("listen", listen)?,
            discovery: parse_address("discovery", discovery)?,
            seed: parse_seed(&file.seed),
            max_sockets: file.limits.sockets.min(MAX_SOCKETS),
            cached_list: file.cached_list.unwrap_or_default(),
            deployment,
        })
    }
}

impl ConfigFile {
    fn read(path: &str) -> Result<ConfigFile, ConfigError> {
        let text = std::fs::read(path).map_err(|source| ConfigError::Unreadable {
            path: path.to_owned(),
            source,
        })?;
        serde_json::from_slice(&text).map_err(|source| ConfigError::Malformed {
            path: path.to_owned(),
            source,
        })
    }
}

fn config_path() -> Result<String, ConfigError> {
    variable(CONFIG_VARIABLE).ok_or(ConfigError::UnsetVariable {
        name: CONFIG_VARIABLE,
    })
}

/// An environment variable; one that is empty counts as not set.
fn variable(name: &str) -> Option<String> {
    std::env::var(name).ok().filter(|value| !value.is_empty())
}

fn read_deployment(
    settings: Option<Box<RawValue>>,
    path: String,
) -> Result<Deployment, ConfigError> {
    let Some(settings) = settings else {
        return Err(ConfigError::InvalidField {
            name: "settings",
            value: String::new(),
        });
    };
    let deployment = match settings::read(settings.get().as_bytes()) {
        Ok(deployment) => deployment,
        Err(source) => return Err(ConfigError::Settings { path, source }),
    };
    if deployment.classes.is_empty() {
        return Err(ConfigError::NoClass { path });
    }
    Ok(deployment)
}

fn parse_address(name: &'static str, value: String) -> Result<SocketAddr, ConfigError> {
    value
        .parse()
        .map_err(|_| ConfigError::InvalidField { name, value })
}

/// The seed as a hexadecimal number; the hash of any other text.
fn parse_seed(text: &str) -> u64 {
    u64::from_str_radix(text, 16).unwrap_or_else(|_| xxh3_64(text.as_bytes()))
}
