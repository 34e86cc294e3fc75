//! Positions of keys and syntax errors in a TOML text, so that an error can state the line and the column.

use std::fmt::{self, Display, Formatter};
use std::ops::Range;

use toml_edit::{Document, Item};

/// A position in a text. Its `Display` form is `LINE:COLUMN`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Position {
    /// Line, starting at 1.
    pub line: usize,
    /// Column in characters, starting at 1.
    pub column: usize,
}

impl Position {
    /// The position of a byte offset in a text.
    fn of_byte(text: &str, byte: usize) -> Position {
        let before = &text[..text.floor_char_boundary(byte.min(text.len()))];
        let last_line = before.rsplit('\n').next().unwrap_or_default();
        Position {
            line: before.matches('\n').count() + 1,
            column: last_line.chars().count() + 1,
        }
    }
}

impl Display for Position {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}", self.line, self.column)
    }
}

/// A string in a TOML text, with the position of its key.
#[derive(Debug)]
pub(crate) struct StringValue {
    pub(crate) value: String,
    pub(crate) position: Position,
}

/// A syntax error in a TOML text.
#[derive(Debug)]
pub(crate) struct SyntaxError {
    pub(crate) position: Position,
    pub(crate) message: String,
}

/// The position of a key, or of the innermost table on its path that is written in the text.
pub(crate) fn position_of(text: &str, path: &[String]) -> Option<Position> {
    let document = Document::parse(text).ok()?;
    let mut item: &Item = document.as_item();
    let mut found: Option<Range<usize>> = None;
    for name in path {
        // An element of an array of tables, by its index. A key found inside it is more precise than the header.
        if let Some(tables) = item.as_array_of_tables() {
            let Some(table) = name.parse().ok().and_then(|index| tables.get(index)) else {
                break;
            };
            found = table.span().or(found);
            let Some((key, inner)) = path.last().and_then(|last| table.get_key_value(last)) else {
                break;
            };
            found = key.span().or_else(|| inner.span()).or(found);
            break;
        }
        let Some((key, inner)) = item
            .as_table_like()
            .and_then(|table| table.get_key_value(name))
        else {
            break;
        };
        // A table that is written as a dotted key has no span of its own, so the span of its key is used.
        found = key.span().or_else(|| inner.span()).or(found);
        item = inner;
    }
    found.map(|span| Position::of_byte(text, span.start))
}

/// Whether a text sets a key.
pub(crate) fn has_key(text: &str, path: &[String]) -> bool {
    let Ok(document) = Document::parse(text) else {
        return false;
    };
    let mut item: Option<&Item> = Some(document.as_item());
    for name in path {
        let index = name.parse::<usize>().ok();
        item = item.and_then(|item| match (item.as_array_of_tables(), index) {
            // If the array has an element of this index, the rest of the path is looked up in all elements.
            (Some(tables), Some(index)) => tables.get(index).map(|_| item),
            (Some(tables), None) => tables.iter().find_map(|table| table.get(name)),
            (None, _) => item.as_table_like().and_then(|table| table.get(name)),
        });
    }
    item.is_some()
}

/// Returns a string at the top level of a TOML text.
pub(crate) fn string_value(text: &str, name: &str) -> Option<StringValue> {
    let document = Document::parse(text).ok()?;
    let (key, item) = document.get_key_value(name)?;
    let start = key.span().map_or(0, |span| span.start);
    Some(StringValue {
        value: item.as_str()?.to_string(),
        position: Position::of_byte(text, start),
    })
}

/// The first syntax error of a TOML text, if any.
pub(crate) fn syntax_error(text: &str) -> Option<SyntaxError> {
    let error = Document::parse(text).err()?;
    let start = error.span().map_or(0, |span| span.start);
    Some(SyntaxError {
        position: Position::of_byte(text, start),
        message: error.message().replace('\n', ", "),
    })
}
