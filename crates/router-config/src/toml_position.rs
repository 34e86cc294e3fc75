//! Where a key stands in a TOML text, so that an error can name the line and column.

use std::fmt::{self, Display, Formatter};
use std::ops::Range;

use toml_edit::{Document, Item};

/// A place in a text. It prints as `LINE:COLUMN`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Position {
    /// Line, from 1.
    pub line: usize,
    /// Column in characters, from 1.
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

/// A text value in a TOML text, with the position of its key.
#[derive(Debug)]
pub(crate) struct TextValue {
    pub(crate) value: String,
    pub(crate) position: Position,
}

/// A syntax error in a TOML text.
#[derive(Debug)]
pub(crate) struct SyntaxError {
    pub(crate) position: Position,
    pub(crate) message: String,
}

/// The position of a key, or of the innermost table on the way to it that is written in the text.
pub(crate) fn position_of(text: &str, path: &[String]) -> Option<Position> {
    let document = Document::parse(text).ok()?;
    let mut item: &Item = document.as_item();
    let mut found: Option<Range<usize>> = None;
    for name in path {
        // A [[table]] by its number: what is found in it is nearer than its own header.
        if let Some(tables) = item.as_array_of_tables() {
            let Some(table) = name.parse().ok().and_then(|number| tables.get(number)) else {
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
        // A table that is written with dots has no span of its own: its key's is the best there is.
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
        let number = name.parse::<usize>().ok();
        item = item.and_then(|item| match (item.as_array_of_tables(), number) {
            // A key in one of the tables counts as found with the table: that is as near as it gets.
            (Some(tables), Some(number)) => tables.get(number).map(|_| item),
            (Some(tables), None) => tables.iter().find_map(|table| table.get(name)),
            (None, _) => item.as_table_like().and_then(|table| table.get(name)),
        });
    }
    item.is_some()
}

/// A text value at the top level of a TOML text.
pub(crate) fn text_value(text: &str, name: &str) -> Option<TextValue> {
    let document = Document::parse(text).ok()?;
    let (key, item) = document.get_key_value(name)?;
    let start = key.span().map_or(0, |span| span.start);
    Some(TextValue {
        value: item.as_str()?.to_string(),
        position: Position::of_byte(text, start),
    })
}

/// The first syntax error of a TOML text, if it has one.
pub(crate) fn syntax_error(text: &str) -> Option<SyntaxError> {
    let error = Document::parse(text).err()?;
    let start = error.span().map_or(0, |span| span.start);
    Some(SyntaxError {
        position: Position::of_byte(text, start),
        message: error.message().replace('\n', ", "),
    })
}
