//! The layers of a configuration: defaults, file, environment, flags, each over those before it. An error says which
//! layer a value stands in, for a file the line, and what would do instead.

use std::fmt::{self, Display, Formatter};
use std::io::Read;
use std::path::{Path, PathBuf};

use figment::error::Kind;
use figment::providers::{Format as _, Serialized, Toml};
use figment::value::{Dict, Map, Value};
use figment::{Figment, Metadata, Profile, Provider};
use serde::de::DeserializeOwned;

use crate::locate;
use crate::schema::Config;

/// The variables of the environment that belong to the configuration: `CACHE_ROUTER_LOG__LEVEL` is `log.level`.
const PREFIX: &str = "CACHE_ROUTER_";
/// The variable that names the file; it is no key.
const FILE: &str = "CACHE_ROUTER_CONFIG";
/// The longest file. A configuration is a page or two.
const MAX_FILE: u64 = 1024 * 1024;

/// Where a value comes from.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Place {
    /// A file, with line and column where they are known.
    File(PathBuf, Option<(usize, usize)>),
    /// A variable of the environment.
    Variable(String),
    /// A flag, with its key.
    Flag(String),
    /// The defaults: a fault of the program's own.
    Defaults,
}

impl Display for Place {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self {
            Place::File(path, Some((line, column))) => {
                write!(f, "{}:{line}:{column}", path.display())
            }
            Place::File(path, None) => write!(f, "{}", path.display()),
            Place::Variable(name) => write!(f, "variable {name}"),
            Place::Flag(key) => write!(f, "--set {key}"),
            Place::Defaults => write!(f, "defaults"),
        }
    }
}

/// Why a configuration is refused. Nothing of it is used then.
#[derive(Debug, thiserror::Error)]
pub enum ConfigError {
    /// The file can't be read.
    #[error("cannot read {}: {source}", path.display())]
    Unreadable {
        /// Which.
        path: PathBuf,
        /// What the system said.
        source: std::io::Error,
    },
    /// The file is no configuration at all.
    #[error("{}: {why}", path.display())]
    NoText {
        /// Which.
        path: PathBuf,
        /// What it is instead.
        why: &'static str,
    },
    /// A value, a key or the text itself is wrong.
    #[error("{place}: {what}")]
    Wrong {
        /// Where.
        place: Place,
        /// What was found, and what would do.
        what: String,
    },
}

/// The layers of a configuration.
#[derive(Debug, Clone, Default)]
pub struct Layers {
    file: Option<PathBuf>,
    /// What the file is based on, the nearest first.
    bases: Vec<(PathBuf, String)>,
    variables: Vec<(String, String)>,
    flags: Vec<(String, String)>,
}

impl Layers {
    /// The layers that this process was started with: the file that `CACHE_ROUTER_CONFIG` names, if any, and the
    /// variables beside it.
    pub fn from_env() -> Layers {
        // What is not Unicode can't be one of our keys.
        Layers::default().variables(std::env::vars_os().filter_map(|(name, value)| {
            Some((
                name.into_string().ok()?,
                value.to_string_lossy().into_owned(),
            ))
        }))
    }

    /// With the variables of an environment.
    pub fn variables(mut self, all: impl IntoIterator<Item = (String, String)>) -> Layers {
        for (name, value) in all {
            if name == FILE {
                self.file = Some(value)
                    .filter(|value| !value.is_empty())
                    .map(PathBuf::from);
            } else if name.starts_with(PREFIX) {
                self.variables.push((name, value));
            }
        }
        self
    }

    /// With a file, in place of one that a variable names.
    pub fn file(mut self, path: impl Into<PathBuf>) -> Layers {
        self.file = Some(path.into());
        self
    }

    /// With a flag: a key with dots, and its value as it would stand in the file, or a text without quotes.
    pub fn flag(mut self, key: &str, value: &str) -> Layers {
        self.flags.push((key.into(), value.into()));
        self
    }

    /// Reads all layers.
    ///
    /// # Errors
    /// Where the file can't be read or any layer holds what the schema does not allow.
    pub fn read(&self) -> Result<Config, ConfigError> {
        self.extract(
            Figment::from(Serialized::defaults(Config::default())),
            Config::impossible,
        )
    }

    /// Reads all layers over some defaults into a schema, and asks it for a value that is impossible.
    fn extract<T: DeserializeOwned>(
        &self,
        defaults: Figment,
        impossible: impl Fn(&T) -> Option<(String, String)>,
    ) -> Result<T, ConfigError> {
        let text = self.file.as_deref().map(read_file).transpose()?;
        let file = self.file.as_deref().zip(text.as_deref());
        if let Some((path, text)) = file
            && let Some((at, what)) = locate::fault(text)
        {
            let place = Place::File(path.into(), Some(at));
            return Err(ConfigError::Wrong {
                place,
                what: format!("not TOML: {what}"),
            });
        }
        let mut layers = defaults;
        for (_, text) in self.bases.iter().rev() {
            layers = layers.merge(Toml::string(text));
        }
        if let Some((_, text)) = file {
            layers = layers.merge(Toml::string(text));
        }
        let key = |name: &str| name[PREFIX.len()..].to_ascii_lowercase().replace("__", ".");
        for (name, value) in &self.variables {
            layers = layers.merge(Pair {
                source: format!("variable {name}"),
                key: key(name),
                value,
            });
        }
        for (key, value) in &self.flags {
            layers = layers.merge(Pair {
                source: format!("--set {key}"),
                key: key.clone(),
                value,
            });
        }
        let found: T = layers.extract().map_err(|e| self.wrong(&e, file))?;
        match impossible(&found) {
            None => Ok(found),
            Some((key, what)) => {
                let path: Vec<String> = key.split('.').map(str::to_string).collect();
                let source = layers
                    .find_metadata(&key)
                    .map(|found| found.name.to_string());
                Err(ConfigError::Wrong {
                    place: self.place(source, &path, file),
                    what: format!("{key}: {what}"),
                })
            }
        }
    }

    fn wrong(&self, error: &figment::Error, file: Option<(&Path, &str)>) -> ConfigError {
        let mut path = error.path.clone();
        let what = match &error.kind {
            Kind::UnknownField(name, known) => {
                if path.last() != Some(name) {
                    path.push(name.clone());
                }
                format!("there is no such key{}", instead(name, known))
            }
            Kind::UnknownVariant(name, known) => format!("found {name:?}{}", instead(name, known)),
            Kind::InvalidType(actual, wanted) | Kind::InvalidValue(actual, wanted) => {
                format!("found {actual}: write {wanted}")
            }
            other => other.to_string(),
        };
        let source = error.metadata.as_ref().map(|found| found.name.to_string());
        let place = self.place(source, &path, file);
        ConfigError::Wrong {
            place,
            what: format!("{}: {what}", path.join(".")),
        }
    }

    /// The place of a key in the layer that a name of a source tells.
    fn place(&self, source: Option<String>, path: &[String], file: Option<(&Path, &str)>) -> Place {
        let key = path.join(".");
        let source = source.unwrap_or_default();
        if let Some(name) = source.strip_prefix("variable ") {
            return Place::Variable(name.into());
        }
        // An unknown key has no source of its own: the last layer that holds it is the one.
        if source.starts_with("--set ") || self.flags.iter().any(|(name, _)| *name == key) {
            return Place::Flag(key);
        }
        let variable = format!("{PREFIX}{}", key.to_ascii_uppercase().replace('.', "__"));
        if self.variables.iter().any(|(name, _)| *name == variable) {
            return Place::Variable(variable);
        }
        let bases = self
            .bases
            .iter()
            .map(|(path, text)| (path.as_path(), text.as_str()));
        let holds = |(_, text): &(&Path, &str)| locate::holds(text, path);
        match file.into_iter().chain(bases).find(holds).or(file) {
            Some((file, text)) => Place::File(file.into(), locate::key(text, path)),
            None => Place::Defaults,
        }
    }
}

/// Reads a file of a schema of the caller's own, with the same errors, and without the environment. A file may name
/// another that it is based on by the key `base`, a path beside it: what it does not set is as it is there. `set` holds
/// keys with dots and values over the file's. `impossible` tells the first value that is of the right kind and yet
/// impossible: its key with dots, and what would do.
///
/// # Errors
/// Where a file can't be read, is based on itself, or holds what the schema does not allow.
pub fn read_toml<T: DeserializeOwned>(
    path: &Path,
    set: &[(String, String)],
    impossible: impl Fn(&T) -> Option<(String, String)>,
) -> Result<T, ConfigError> {
    let bases = bases(path)?;
    let layers = Layers {
        bases,
        flags: set.to_vec(),
        ..Layers::default().file(path)
    };
    layers.extract(Figment::new(), impossible)
}

/// The files that one is based on, the nearest first.
fn bases(path: &Path) -> Result<Vec<(PathBuf, String)>, ConfigError> {
    let mut seen = vec![path.to_path_buf()];
    let mut bases = Vec::new();
    let mut text = read_file(path)?;
    while let Some((base, at)) = locate::text(&text, "base") {
        let from = seen.last().map_or(path, PathBuf::as_path).to_path_buf();
        let base = from.parent().unwrap_or(Path::new("")).join(base);
        let same = |other: &PathBuf| other.canonicalize().ok() == base.canonicalize().ok();
        let wrong = |what| ConfigError::Wrong {
            place: Place::File(from.clone(), Some(at)),
            what,
        };
        if base.exists() && seen.iter().any(same) {
            return Err(wrong(format!(
                "base: {} is based on itself: name another or none",
                base.display()
            )));
        }
        text = read_file(&base).map_err(|e| wrong(format!("base: {e}")))?;
        if let Some((at, what)) = locate::fault(&text) {
            let place = Place::File(base, Some(at));
            return Err(ConfigError::Wrong {
                place,
                what: format!("not TOML: {what}"),
            });
        }
        seen.push(base.clone());
        bases.push((base, text.clone()));
    }
    Ok(bases)
}

/// What could have been meant.
fn instead(name: &str, known: &[&str]) -> String {
    let alike = |known: &&&str| (strsim::jaro(name, known) * 1e6) as u64;
    let near = known
        .iter()
        .max_by_key(alike)
        .filter(|near| strsim::jaro(name, near) > 0.7);
    let meant = near.map_or(String::new(), |near| format!("; did you mean {near:?}?"));
    format!("; there are {}{meant}", known.join(", "))
}

fn read_file(path: &Path) -> Result<String, ConfigError> {
    let unreadable = |source| ConfigError::Unreadable {
        path: path.into(),
        source,
    };
    let mut bytes = Vec::new();
    let file = std::fs::File::open(path).map_err(unreadable)?;
    file.take(MAX_FILE + 1)
        .read_to_end(&mut bytes)
        .map_err(unreadable)?;
    let no_text = |why| ConfigError::NoText {
        path: path.into(),
        why,
    };
    if bytes.len() as u64 > MAX_FILE {
        return Err(no_text("longer than 1 MiB, which no configuration is"));
    }
    String::from_utf8(bytes).map_err(|_| no_text("not UTF-8 text"))
}

/// A layer of one key.
struct Pair<'a> {
    source: String,
    key: String,
    value: &'a str,
}

impl Provider for Pair<'_> {
    fn metadata(&self) -> Metadata {
        Metadata::named(self.source.clone())
    }

    fn data(&self) -> Result<Map<Profile, Dict>, figment::Error> {
        let parsed: Value = self.value.parse().unwrap_or_else(|never| match never {});
        let nested = figment::util::nest(&self.key, parsed);
        Ok(Map::from([(
            Profile::Default,
            nested.into_dict().unwrap_or_default(),
        )]))
    }
}
