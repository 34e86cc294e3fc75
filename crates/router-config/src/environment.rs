//! The environment variables that set configuration keys.

/// Prefix of the variables that set a key: `CACHE_ROUTER_LOG__LEVEL` sets `log.level`.
const PREFIX: &str = "CACHE_ROUTER_";
/// What follows the prefix in the variable that names the configuration file; it sets no key.
const FILE_SUFFIX: &str = "CONFIG";

/// An environment variable that sets a key.
#[derive(Debug, Clone)]
pub(crate) struct KeyVariable {
    /// The name as the operator wrote it.
    pub(crate) name: String,
    /// The key that it sets, with dots.
    pub(crate) key: String,
    /// The value as the operator wrote it.
    pub(crate) value: String,
}

/// The variables of an environment that belong to the configuration.
#[derive(Debug, Clone, Default)]
pub(crate) struct Environment {
    key_variables: Vec<KeyVariable>,
    file: Option<String>,
}

impl Environment {
    /// Takes a variable if it belongs to the configuration, and ignores it otherwise.
    pub(crate) fn add(&mut self, name: String, value: String) {
        let Some(suffix) = name.strip_prefix(PREFIX) else {
            return;
        };
        if suffix == FILE_SUFFIX {
            self.file = Some(value);
            return;
        }
        let key = suffix.to_ascii_lowercase().replace("__", ".");
        self.key_variables.push(KeyVariable { name, key, value });
    }

    /// The variables that set keys, each to override those before it.
    pub(crate) fn key_variables(&self) -> impl DoubleEndedIterator<Item = &KeyVariable> {
        self.key_variables.iter()
    }

    /// The variable that takes effect for a key.
    pub(crate) fn variable_for(&self, key: &str) -> Option<&KeyVariable> {
        self.key_variables()
            .rev()
            .find(|variable| variable.key == key)
    }

    /// The configuration file that the environment names, if it names one. A variable set to nothing names none.
    pub(crate) fn file(&self) -> Option<&str> {
        self.file.as_deref().filter(|path| !path.is_empty())
    }
}
