//! Parses `KEY=VALUE` arguments, which override the value of a key in a file.

/// A value for a dotted key, written as in the file.
#[derive(Debug, Clone)]
pub struct Assignment {
    /// The key.
    pub key: String,
    /// Its value.
    pub value: String,
}

/// Parses `KEY=VALUE`.
pub fn parse_assignment(text: &str) -> Result<Assignment, &'static str> {
    match text.split_once('=') {
        Some((key, value)) if !key.is_empty() => Ok(Assignment {
            key: key.into(),
            value: value.into(),
        }),
        _ => Err("write KEY=VALUE, such as log.level=debug"),
    }
}
