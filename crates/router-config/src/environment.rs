//! Environment variables that set configuration keys, with the current and the deprecated prefix.

/// Prefix of the variables that set a key: `CACHE_ROUTER_LOG__LEVEL` sets `log.level`.
const PREFIX: &str = "CACHE_ROUTER_";
/// Prefix of earlier releases. Variables with it are still read, so that a deployment can be upgraded before its
/// variables are renamed.
const DEPRECATED_PREFIX: &str = "SPARDEAL_";
/// Suffix of the variable that names the configuration file. This variable sets no key.
const FILE_SUFFIX: &str = "CONFIG";

/// Which of the two prefixes a variable has.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Prefix {
    Deprecated,
    Current,
}

impl Prefix {
    /// If both prefixes set the same key, the later one takes precedence.
    const LOWEST_PRECEDENCE_FIRST: [Prefix; 2] = [Prefix::Deprecated, Prefix::Current];

    fn text(self) -> &'static str {
        match self {
            Prefix::Deprecated => DEPRECATED_PREFIX,
            Prefix::Current => PREFIX,
        }
    }
}

/// An environment variable that sets a key.
#[derive(Debug, Clone)]
pub(crate) struct KeyVariable {
    prefix: Prefix,
    /// The full name, as it was set.
    pub(crate) name: String,
    /// The dotted key that the variable sets.
    pub(crate) key: String,
    /// The value, as it was set.
    pub(crate) value: String,
}

/// The environment variable that names the configuration file.
#[derive(Debug, Clone)]
struct FileVariable {
    prefix: Prefix,
    path: String,
}

/// The environment variables that belong to the configuration.
#[derive(Debug, Clone, Default)]
pub(crate) struct Environment {
    key_variables: Vec<KeyVariable>,
    file_variables: Vec<FileVariable>,
}

impl Environment {
    /// Adds a variable if it belongs to the configuration, and ignores it otherwise.
    pub(crate) fn add(&mut self, name: String, value: String) {
        let with_prefix = |prefix: &Prefix| name.starts_with(prefix.text());
        let Some(prefix) = Prefix::LOWEST_PRECEDENCE_FIRST
            .into_iter()
            .find(with_prefix)
        else {
            return;
        };
        let suffix = &name[prefix.text().len()..];
        if suffix == FILE_SUFFIX {
            self.file_variables.push(FileVariable {
                prefix,
                path: value,
            });
            return;
        }
        let key = suffix.to_ascii_lowercase().replace("__", ".");
        self.key_variables.push(KeyVariable {
            prefix,
            name,
            key,
            value,
        });
    }

    /// The variables that set keys. Each variable overrides the previous ones.
    pub(crate) fn key_variables(&self) -> impl DoubleEndedIterator<Item = &KeyVariable> {
        let with_prefix = |prefix| {
            let variables = self.key_variables.iter();
            variables.filter(move |variable| variable.prefix == prefix)
        };
        Prefix::LOWEST_PRECEDENCE_FIRST
            .into_iter()
            .flat_map(with_prefix)
    }

    /// The variable that takes effect for a key.
    pub(crate) fn variable_for(&self, key: &str) -> Option<&KeyVariable> {
        self.key_variables()
            .rev()
            .find(|variable| variable.key == key)
    }

    /// The configuration file that the environment names, if any. An empty variable names no file.
    pub(crate) fn file(&self) -> Option<&str> {
        let with_prefix = |prefix| {
            let mut variables = self.file_variables.iter().rev();
            variables.find(|variable| variable.prefix == prefix)
        };
        let variable = Prefix::LOWEST_PRECEDENCE_FIRST
            .into_iter()
            .rev()
            .find_map(with_prefix)?;
        Some(variable.path.as_str()).filter(|path| !path.is_empty())
    }

    /// The variables with the deprecated prefix.
    pub(crate) fn deprecated(&self) -> DeprecatedVariables {
        let key_variables = self.key_variables.iter();
        let deprecated_keys =
            key_variables.filter(|variable| variable.prefix == Prefix::Deprecated);
        let mut file_variables = self.file_variables.iter();
        let file = file_variables
            .find(|variable| variable.prefix == Prefix::Deprecated)
            .map(|_| DeprecatedVariable::with_suffix(FILE_SUFFIX));
        let keys = deprecated_keys.map(|variable| {
            DeprecatedVariable::with_suffix(&variable.name[DEPRECATED_PREFIX.len()..])
        });
        let mut variables: Vec<DeprecatedVariable> = file.into_iter().chain(keys).collect();
        // The order of environment variables is arbitrary. Sorting makes the warning the same on each start.
        variables.sort();
        DeprecatedVariables { variables }
    }
}

/// An environment variable that was set with the deprecated prefix.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct DeprecatedVariable {
    /// The full name, as it was set.
    pub name: String,
    /// The name to use instead.
    pub replacement: String,
}

impl DeprecatedVariable {
    fn with_suffix(suffix: &str) -> DeprecatedVariable {
        DeprecatedVariable {
            name: format!("{DEPRECATED_PREFIX}{suffix}"),
            replacement: format!("{PREFIX}{suffix}"),
        }
    }
}

/// All environment variables that were set with the deprecated prefix. One warning lists all of them.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct DeprecatedVariables {
    variables: Vec<DeprecatedVariable>,
}

impl DeprecatedVariables {
    /// The variables, sorted by name.
    pub fn variables(&self) -> &[DeprecatedVariable] {
        &self.variables
    }

    /// A one-line warning with each variable and its replacement, or `None` if no deprecated variable is set.
    pub fn warning(&self) -> Option<String> {
        if self.variables.is_empty() {
            return None;
        }
        let renames: Vec<String> = self
            .variables
            .iter()
            .map(|variable| format!("{} instead of {}", variable.replacement, variable.name))
            .collect();
        Some(format!(
            "deprecated environment variables are set: use {}",
            renames.join(", ")
        ))
    }

    /// Logs one warning if a deprecated variable is set. [`crate::logging::init`] calls this.
    pub fn log_warning(&self) {
        if self.variables.is_empty() {
            return;
        }
        let names: Vec<&str> = self
            .variables
            .iter()
            .map(|variable| variable.name.as_str())
            .collect();
        let replacements: Vec<&str> = self
            .variables
            .iter()
            .map(|variable| variable.replacement.as_str())
            .collect();
        tracing::warn!(
            deprecated = names.join(", "),
            replacement = replacements.join(", "),
            "deprecated environment variables are set"
        );
    }
}
