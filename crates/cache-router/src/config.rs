//! The configuration that the platform provides: the file named by `$ROUTER_CONFIG`, and environment variables. They
//! are read into typed values. An unusable value is an error at startup and is never replaced by a default.

use std::net::SocketAddr;

use routing_policy::settings::{self, Deployment, SettingsError};
use serde::Deserialize;
use serde_json::value::RawValue;
use thiserror::Error;
use xxhash_rust::xxh3::xxh3_64;

use crate::message::EndpointListUpdate;

/// Environment variable with the path of the configuration file.
const CONFIG_VARIABLE: &str = "ROUTER_CONFIG";
/// Environment variable that overrides `listen` of the file.
const LISTEN_VARIABLE: &str = "ROUTER_LISTEN";
/// Environment variable that overrides `discovery` of the file.
const DISCOVERY_VARIABLE: &str = "ROUTER_DISCOVERY";

/// Minimum number of sockets. With fewer, none are left for clients and servers after the router's own.
const MIN_SOCKETS: usize = 32;
/// Maximum number of sockets, which is also the default.
const MAX_SOCKETS: usize = 1024;

/// Limit on the memory of the process if the file states none, in MiB: the least that a deployment gives.
const DEFAULT_MEMORY_MB: usize = 32;

/// The configuration of the router.
pub struct Config {
    /// Address on which the router listens for clients.
    pub listen: SocketAddr,
    /// Address of discovery.
    pub discovery: SocketAddr,
    /// Seed of the policy's random numbers.
    pub seed: u64,
    /// Maximum number of sockets of the process, for all purposes.
    pub max_sockets: usize,
    /// Limit on the memory of the process, in MiB.
    pub memory_mb: usize,
    /// The endpoint list from the router's previous run; empty if there is none.
    pub cached_list: EndpointListUpdate,
    /// The settings of the deployment.
    pub deployment: Deployment,
}

/// The reason why a configuration is unusable.
#[derive(Debug, Error)]
pub enum ConfigError {
    /// A required environment variable is not set.
    #[error("{name} is not set")]
    UnsetVariable {
        /// Its name.
        name: &'static str,
    },
    /// The file cannot be read.
    #[error("cannot read {path}: {source}; check the path in `$ROUTER_CONFIG` and who may read it")]
    Unreadable {
        /// Path of the file.
        path: String,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// The file is not JSON, or does not have the form of a configuration.
    #[error("{path} is not a valid configuration: {source}; write a complete JSON file")]
    Malformed {
        /// Path of the file.
        path: String,
        /// The error and its position in the file.
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
    /// The settings are unusable.
    #[error("{source} ({path})")]
    Settings {
        /// Path of the file.
        path: String,
        /// The cause.
        source: SettingsError,
    },
    /// The settings define no request class, so no request could be served.
    #[error("the settings name no class of requests ({path})")]
    NoClass {
        /// Path of the file.
        path: String,
    },
}

impl ConfigError {
    /// Returns whether the error may be transient: the file cannot be read, is truncated, or is not JSON, as may be the
    /// case while it is being written. Errors in a complete file are permanent.
    pub fn is_transient(&self) -> bool {
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

/// The configuration file. The platform defines its keys.
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
    memory_mb: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            sockets: MAX_SOCKETS,
            memory_mb: DEFAULT_MEMORY_MB,
        }
    }
}

/// Reads the address of discovery from the configuration file. The environment variable is not used, since its value
/// was set when the process started.
///
/// # Errors
///
/// If the file cannot be read or has no usable address.
pub fn read_discovery_address() -> Result<SocketAddr, ConfigError> {
    let path = config_path()?;
    parse_address("discovery", ConfigFile::read(&path)?.discovery)
}

impl Config {
    /// Reads the configuration that the environment names.
    ///
    /// # Errors
    ///
    /// If it cannot be read or any part of it is unusable.
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
        let listen = env_variable(LISTEN_VARIABLE).unwrap_or(file.listen);
        let discovery = env_variable(DISCOVERY_VARIABLE).unwrap_or(file.discovery);
        Ok(Config {
            listen: parse_address("listen", listen)?,
            discovery: parse_address("discovery", discovery)?,
            seed: parse_seed(&file.seed),
            max_sockets: file.limits.sockets.min(MAX_SOCKETS),
            memory_mb: file.limits.memory_mb,
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
    env_variable(CONFIG_VARIABLE).ok_or(ConfigError::UnsetVariable {
        name: CONFIG_VARIABLE,
    })
}

/// Returns the value of an environment variable; an empty one counts as not set.
fn env_variable(name: &str) -> Option<String> {
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

/// Parses the seed as a hexadecimal number. Any other text is hashed.
fn parse_seed(text: &str) -> u64 {
    u64::from_str_radix(text, 16).unwrap_or_else(|_| xxh3_64(text.as_bytes()))
}
