//! The layers of a configuration: defaults, file, environment, flags, each of which overrides those before it. An
//! error says in which layer the value stands, for a file in which line, and what would be accepted.

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

/// How alike a known key or value must be to one that was written to be suggested, from 0 to 1 (Jaro similarity).
const SUGGESTION_SIMILARITY: f64 = 0.7;
/// What a layer of one environment variable is called, before the variable's name.
const VARIABLE_LAYER: &str = "variable ";
/// What a layer of one flag is called, before the flag's key.
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
    /// The layers that this process was started with: the file that `CACHE_ROUTER_CONFIG` names, if any, and the
    /// variables beside it.
    pub fn from_env() -> Layers {
        // A name that is not Unicode cannot be one of ours.
        Layers::default().variables(std::env::vars_os().filter_map(|(name, value)| {
            Some((
                name.into_string().ok()?,
                value.to_string_lossy().into_owned(),
            ))
        }))
    }

    /// Adds the variables of an environment, by name and value. Those that do not belong to the configuration are
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

    /// Sets the file, in place of one that a variable names.
    pub fn file(mut self, path: impl Into<PathBuf>) -> Layers {
        self.file = Some(path.into());
        self
    }

    /// Adds a flag: a key with dots, and its value as it would stand in the file, or a text without quotes.
    pub fn flag(mut self, key: &str, value: &str) -> Layers {
        self.flags.push(Flag {
            key: key.into(),
            value: value.into(),
        });
        self
    }

    /// Reads all layers.
    ///
    /// # Errors
    /// Where the file cannot be read or any layer holds what the schema does not allow.
    pub fn read(&self) -> Result<Config, ConfigError> {
        let defaults = Figment::from(Serialized::defaults(Config::default()));
        let loaded = self.load(Vec::new())?;
        let mut config: Config = loaded.extract(defaults, Config::first_invalid_value)?;
        config.log.deprecated_variables = self.environment.deprecated();
        Ok(config)
    }

    /// Reads the file, if there is one.
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

/// Reads a file of the caller's own schema, with the same errors, and without the environment. A file may name
/// another that it is based on by the key `base`, a path beside it: what it does not set is taken from there. `set`
/// holds keys with dots and values that override the file's. `first_invalid_value` returns the first value that has
/// the right type and is still not acceptable: its key with dots, and what would be accepted.
///
/// # Errors
/// Where a file cannot be read, is based on itself, or holds what the schema does not allow.
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
            layers.flag(key, value)
        });
    let loaded = layers.load(bases)?;
    loaded.extract(Figment::new(), |found| {
        first_invalid_value(found).map(Into::into)
    })
}

/// Layers whose files have been read.
struct LoadedLayers<'a> {
    file: Option<TomlFile>,
    /// The files that the file is based on, the nearest first.
    bases: Vec<TomlFile>,
    environment: &'a Environment,
    flags: &'a [Flag],
}

impl LoadedLayers<'_> {
    /// Merges all layers over some defaults into a schema, and rejects the first value that is not acceptable.
    fn extract<T: DeserializeOwned>(
        &self,
        defaults: Figment,
        first_invalid_value: impl Fn(&T) -> Option<InvalidValue>,
    ) -> Result<T, ConfigError> {
        let merged = self.merge(defaults);
        let found: T = merged.extract().map_err(|error| self.rejected(&error))?;
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

    /// The error for a value that the schema does not take.
    fn rejected(&self, error: &figment::Error) -> ConfigError {
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
            Kind::InvalidType(actual, wanted) | Kind::InvalidValue(actual, wanted) => {
                format!("found {actual}: write {wanted}")
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

    /// Where a key is set, given the name of the layer that holds it as far as it is known.
    fn source_of(&self, layer: Option<String>, path: &[String]) -> ValueSource {
        let key = path.join(".");
        let layer = layer.unwrap_or_default();
        if let Some(name) = layer.strip_prefix(VARIABLE_LAYER) {
            return ValueSource::Variable(name.into());
        }
        // An unknown key comes without a layer: it is the last layer that holds it.
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

/// The names that would be accepted in place of one that was not, with the likeliest.
fn alternatives(name: &str, known: &[&str]) -> String {
    let similarity = |known: &&&str| (strsim::jaro(name, known) * 1e6) as u64;
    let suggestion = known
        .iter()
        .max_by_key(similarity)
        .filter(|nearest| strsim::jaro(name, nearest) > SUGGESTION_SIMILARITY)
        .map_or(String::new(), |nearest| {
            format!("; did you mean {nearest:?}?")
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
        let parsed: Value = self.value.parse().unwrap_or_else(|never| match never {});
        let nested = figment::util::nest(self.key, parsed);
        Ok(Map::from([(
            Profile::Default,
            nested.into_dict().unwrap_or_default(),
        )]))
    }
}
