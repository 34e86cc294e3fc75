//! The layers of a configuration: defaults, file, environment variables and flags. Each layer overrides the previous
//! ones. An error states the layer that sets the value, the line if that layer is a file, and the accepted values.

use std::path::{Path, PathBuf};

use figment::error::Kind;
use figment::providers::{Format as _, Serialized, Toml};
use figment::value::{Dict, Map, Value};
use figment::{Figment, Metadata, Profile, Provider};
use serde::de::DeserializeOwned;

use crate::environment::Environment;
use crate::error::{ConfigError, InvalidValue, ValueSource};
use crate::schema::Config;
use crate::toml_file::{self, TomlFile};

/// Minimum Jaro similarity, from 0 to 1, at which a known key or value is suggested in place of an unknown one.
const SUGGESTION_SIMILARITY: f64 = 0.7;
/// Prefix of the name of a layer that holds one environment variable. The variable's name follows.
const VARIABLE_LAYER: &str = "variable ";
/// Prefix of the name of a layer that holds one flag. The flag's key follows.
const FLAG_LAYER: &str = "--set ";

/// A command line flag that sets a key.
#[derive(Debug, Clone)]
struct Flag {
    key: String,
    value: String,
}

/// The layers of a configuration.
#[derive(Debug, Clone, Default)]
pub struct Layers {
    file: Option<PathBuf>,
    environment: Environment,
    flags: Vec<Flag>,
}

impl Layers {
    /// Creates the layers of this process: the file that `CACHE_ROUTER_CONFIG` names, if any, and the other variables
    /// of the environment.
    pub fn from_env() -> Layers {
        // The names of all configuration variables are Unicode, so other names are ignored.
        Layers::default().variables(std::env::vars_os().filter_map(|(name, value)| {
            Some((
                name.into_string().ok()?,
                value.to_string_lossy().into_owned(),
            ))
        }))
    }

    /// Adds environment variables, given by name and value. Variables that do not belong to the configuration are
    /// ignored.
    pub fn variables(mut self, all: impl IntoIterator<Item = (String, String)>) -> Layers {
        for (name, value) in all {
            self.environment.add(name, value);
        }
        if let Some(path) = self.environment.file() {
            self.file = Some(path.into());
        }
        self
    }

    /// Sets the file. It replaces a file that a variable names.
    pub fn file(mut self, path: impl Into<PathBuf>) -> Layers {
        self.file = Some(path.into());
        self
    }

    /// Adds a flag: a dotted key, and its value in TOML syntax or as a string without quotes.
    pub fn override_key(mut self, key: &str, value: &str) -> Layers {
        self.flags.push(Flag {
            key: key.into(),
            value: value.into(),
        });
        self
    }

    /// Reads and merges all layers.
    ///
    /// # Errors
    /// If the file cannot be read, or if a layer has a key or a value that the schema does not allow.
    pub fn read(&self) -> Result<Config, ConfigError> {
        let defaults = Figment::from(Serialized::defaults(Config::default()));
        let loaded = self.load(Vec::new())?;
        let mut config: Config = loaded.extract(defaults, Config::first_invalid_value)?;
        config.log.deprecated_variables = self.environment.deprecated();
        Ok(config)
    }

    /// Reads the file, if one is set, and checks its syntax.
    fn load(&self, bases: Vec<TomlFile>) -> Result<LoadedLayers<'_>, ConfigError> {
        let file = self.file.as_deref().map(TomlFile::read).transpose()?;
        if let Some(file) = &file {
            file.check_syntax()?;
        }
        Ok(LoadedLayers {
            file,
            bases,
            environment: &self.environment,
            flags: &self.flags,
        })
    }
}

/// Reads a file with a schema of the caller. Errors have the same form as those of [`Layers::read`]. Environment
/// variables are not read.
///
/// The key `base` of a file may name another file, by a path relative to the file's own folder. Keys that the file does
/// not set are taken from its base. `set` holds dotted keys and values that override those of the file.
/// `first_invalid_value` returns the first value that has the right type but is not acceptable: its dotted key, and the
/// accepted values.
///
/// # Errors
/// If a file cannot be read, is based on itself, or has a key or a value that the schema does not allow.
pub fn read_toml<T, I>(
    path: &Path,
    set: &[(String, String)],
    first_invalid_value: impl Fn(&T) -> Option<I>,
) -> Result<T, ConfigError>
where
    T: DeserializeOwned,
    I: Into<InvalidValue>,
{
    let bases = toml_file::read_bases(path)?;
    let layers = set
        .iter()
        .fold(Layers::default().file(path), |layers, (key, value)| {
            layers.override_key(key, value)
        });
    let loaded = layers.load(bases)?;
    loaded.extract(Figment::new(), |found| {
        first_invalid_value(found).map(Into::into)
    })
}

/// Layers whose files have been read.
struct LoadedLayers<'a> {
    file: Option<TomlFile>,
    /// The direct base of the file, then the base of that base, and so on.
    bases: Vec<TomlFile>,
    environment: &'a Environment,
    flags: &'a [Flag],
}

impl LoadedLayers<'_> {
    /// Merges all layers over the defaults, converts the result to a schema, and rejects the first unacceptable value.
    fn extract<T: DeserializeOwned>(
        &self,
        defaults: Figment,
        first_invalid_value: impl Fn(&T) -> Option<InvalidValue>,
    ) -> Result<T, ConfigError> {
        let merged = self.merge(defaults);
        let found: T = merged
            .extract()
            .map_err(|error| self.schema_error(&error))?;
        let Some(invalid) = first_invalid_value(&found) else {
            return Ok(found);
        };
        let path: Vec<String> = invalid.key.split('.').map(str::to_string).collect();
        let layer = merged
            .find_metadata(&invalid.key)
            .map(|metadata| metadata.name.to_string());
        Err(ConfigError::Invalid {
            value_source: self.source_of(layer, &path),
            message: format!("{}: {}", invalid.key, invalid.message),
        })
    }

    fn merge(&self, defaults: Figment) -> Figment {
        let mut merged = defaults;
        for file in self.bases.iter().rev().chain(&self.file) {
            merged = merged.merge(Toml::string(&file.text));
        }
        for variable in self.environment.key_variables() {
            merged = merged.merge(KeyLayer {
                name: format!("{VARIABLE_LAYER}{}", variable.name),
                key: &variable.key,
                value: &variable.value,
            });
        }
        for flag in self.flags {
            merged = merged.merge(KeyLayer {
                name: format!("{FLAG_LAYER}{}", flag.key),
                key: &flag.key,
                value: &flag.value,
            });
        }
        merged
    }

    /// The error for a key or a value that the schema does not allow.
    fn schema_error(&self, error: &figment::Error) -> ConfigError {
        let mut path = error.path.clone();
        let problem = match &error.kind {
            Kind::UnknownField(name, known) => {
                if path.last() != Some(name) {
                    path.push(name.clone());
                }
                format!("there is no such key{}", alternatives(name, known))
            }
            Kind::UnknownVariant(name, known) => {
                format!("found {name:?}{}", alternatives(name, known))
            }
            Kind::InvalidType(actual, expected) | Kind::InvalidValue(actual, expected) => {
                format!("found {actual}: write {expected}")
            }
            other => other.to_string(),
        };
        let layer = error
            .metadata
            .as_ref()
            .map(|metadata| metadata.name.to_string());
        ConfigError::Invalid {
            value_source: self.source_of(layer, &path),
            message: format!("{}: {problem}", path.join(".")),
        }
    }

    /// Returns where a key is set, given the name of the layer that sets it if that is known.
    fn source_of(&self, layer: Option<String>, path: &[String]) -> ValueSource {
        let key = path.join(".");
        let layer = layer.unwrap_or_default();
        if let Some(name) = layer.strip_prefix(VARIABLE_LAYER) {
            return ValueSource::Variable(name.into());
        }
        // The error for an unknown key names no layer, so the last layer that sets the key is reported.
        if layer.starts_with(FLAG_LAYER) || self.flags.iter().any(|flag| flag.key == key) {
            return ValueSource::Flag(key);
        }
        if let Some(variable) = self.environment.variable_for(&key) {
            return ValueSource::Variable(variable.name.clone());
        }
        let mut files = self.file.iter().chain(&self.bases);
        match files.find(|file| file.has_key(path)).or(self.file.as_ref()) {
            Some(file) => file.source_of(path),
            None => ValueSource::Defaults,
        }
    }
}

/// Describes the accepted names in place of an unknown one, and suggests the most similar.
fn alternatives(name: &str, known: &[&str]) -> String {
    let similarity = |known: &&&str| (strsim::jaro(name, known) * 1e6) as u64;
    let suggestion = known
        .iter()
        .max_by_key(similarity)
        .filter(|most_similar| strsim::jaro(name, most_similar) > SUGGESTION_SIMILARITY)
        .map_or(String::new(), |most_similar| {
            format!("; did you mean {most_similar:?}?")
        });
    format!("; there are {}{suggestion}", known.join(", "))
}

/// A layer that sets one key.
struct KeyLayer<'a> {
    name: String,
    key: &'a str,
    value: &'a str,
}

impl Provider for KeyLayer<'_> {
    fn metadata(&self) -> Metadata {
        Metadata::named(self.name.clone())
    }

    fn data(&self) -> Result<Map<Profile, Dict>, figment::Error> {
        let parsed: Value = self
            .value
            .parse()
            .unwrap_or_else(|infallible| match infallible {});
        let nested = figment::util::nest(self.key, parsed);
        Ok(Map::from([(
            Profile::Default,
            nested.into_dict().unwrap_or_default(),
        )]))
    }
}
