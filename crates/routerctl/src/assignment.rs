//! `KEY=VALUE` on the command line: another value for a key of a file.

/// Another value for a dotted key, as it would stand in the file.
#[derive(Debug, Clone)]
pub struct Assignment {
    /// The key.
    pub key: String,
    /// Its value.
    pub value: String,
}

/// Reads `KEY=VALUE`.
pub fn parse_assignment(text: &str) -> Result<Assignment, &'static str> {
    match text.split_once('=') {
        Some((key, value)) if !key.is_empty() => Ok(Assignment {
            key: key.into(),
            value: value.into(),
        }),
        _ => Err("write KEY=VALUE, such as log.level=debug"),
    }
}
