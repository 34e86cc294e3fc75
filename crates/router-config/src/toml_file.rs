//! Reading of configuration files: checks of their size, encoding and syntax, and the files that a file is based on.

use std::io::Read;
use std::path::{Path, PathBuf};

use crate::error::{ConfigError, ValueSource};
use crate::toml_position::{self, Position};

/// Maximum size of a file in bytes. Real configurations are far smaller, one or two pages.
const MAX_FILE_BYTES: u64 = 1024 * 1024;
/// The key that names the file that a file is based on.
const BASE_KEY: &str = "base";

/// A configuration file that was read.
#[derive(Debug, Clone)]
pub(crate) struct TomlFile {
    pub(crate) path: PathBuf,
    pub(crate) text: String,
}

impl TomlFile {
    /// Reads a file as UTF-8 text. Does not check its syntax.
    pub(crate) fn read(path: &Path) -> Result<TomlFile, ConfigError> {
        let unreadable = |source| ConfigError::Unreadable {
            path: path.into(),
            source,
        };
        let mut bytes = Vec::new();
        let file = std::fs::File::open(path).map_err(unreadable)?;
        file.take(MAX_FILE_BYTES + 1)
            .read_to_end(&mut bytes)
            .map_err(unreadable)?;
        let invalid_file = |reason| ConfigError::InvalidFile {
            path: path.into(),
            reason,
        };
        if bytes.len() as u64 > MAX_FILE_BYTES {
            return Err(invalid_file(
                "longer than 1 MiB, the maximum size of a configuration file",
            ));
        }
        let text = String::from_utf8(bytes).map_err(|_| invalid_file("not UTF-8 text"))?;
        Ok(TomlFile {
            path: path.into(),
            text,
        })
    }

    /// Returns an error if the text is not valid TOML.
    pub(crate) fn check_syntax(&self) -> Result<(), ConfigError> {
        match toml_position::syntax_error(&self.text) {
            None => Ok(()),
            Some(error) => {
                Err(self.invalid(error.position, format!("not TOML: {}", error.message)))
            }
        }
    }

    /// Whether the file sets a key.
    pub(crate) fn has_key(&self, path: &[String]) -> bool {
        toml_position::has_key(&self.text, path)
    }

    /// The source of a key that the file sets, with its position if known.
    pub(crate) fn source_of(&self, path: &[String]) -> ValueSource {
        ValueSource::File {
            path: self.path.clone(),
            position: toml_position::position_of(&self.text, path),
        }
    }

    fn invalid(&self, position: Position, message: String) -> ConfigError {
        ConfigError::Invalid {
            value_source: ValueSource::File {
                path: self.path.clone(),
                position: Some(position),
            },
            message,
        }
    }
}

/// Reads the base of a file, then the base of that base, and so on.
pub(crate) fn read_bases(path: &Path) -> Result<Vec<TomlFile>, ConfigError> {
    let mut chain = vec![TomlFile::read(path)?];
    while let Some(base) = read_base(&chain)? {
        chain.push(base);
    }
    chain.remove(0);
    Ok(chain)
}

/// Reads the base of the last file of a chain, if it names one.
fn read_base(chain: &[TomlFile]) -> Result<Option<TomlFile>, ConfigError> {
    let Some(file) = chain.last() else {
        return Ok(None);
    };
    let Some(named_base) = toml_position::string_value(&file.text, BASE_KEY) else {
        return Ok(None);
    };
    let folder = file.path.parent().unwrap_or(Path::new(""));
    let path = folder.join(named_base.value);
    let is_base = |other: &TomlFile| other.path.canonicalize().ok() == path.canonicalize().ok();
    if path.exists() && chain.iter().any(is_base) {
        let message = format!(
            "base: {} is based on itself: name another or none",
            path.display()
        );
        return Err(file.invalid(named_base.position, message));
    }
    let base = TomlFile::read(&path)
        .map_err(|error| file.invalid(named_base.position, format!("base: {error}")))?;
    base.check_syntax()?;
    Ok(Some(base))
}
