//! Where a key stands in a TOML text, so that an error can name the line.

use std::ops::Range;

use toml_edit::{Document, Item};

/// Line and column of a byte, both from 1.
pub fn line_and_column(text: &str, byte: usize) -> (usize, usize) {
    let before = &text[..text.floor_char_boundary(byte.min(text.len()))];
    let line = before.matches('\n').count() + 1;
    let column = before
        .rsplit('\n')
        .next()
        .unwrap_or_default()
        .chars()
        .count()
        + 1;
    (line, column)
}

/// Line and column of a key, or of the innermost table on the way to it that is written in the text.
pub fn key(text: &str, path: &[String]) -> Option<(usize, usize)> {
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
    found.map(|span| line_and_column(text, span.start))
}

/// Whether a text has a key.
pub fn holds(text: &str, path: &[String]) -> bool {
    let Ok(document) = Document::parse(text) else {
        return false;
    };
    let mut item: Option<&Item> = Some(document.as_item());
    for name in path {
        let number = name.parse::<usize>().ok();
        item = item.and_then(|item| match (item.as_array_of_tables(), number) {
            // A key inside of it is the table's own: as near as it gets.
            (Some(tables), Some(number)) => tables.get(number).map(|_| item),
            (Some(tables), None) => tables.iter().find_map(|table| table.get(name)),
            (None, _) => item.as_table_like().and_then(|table| table.get(name)),
        });
    }
    item.is_some()
}

/// A text at the top of a TOML text, with its line and column.
pub fn text(text: &str, name: &str) -> Option<(String, (usize, usize))> {
    let document = Document::parse(text).ok()?;
    let (key, item) = document.get_key_value(name)?;
    let start = key.span().map_or(0, |span| span.start);
    Some((item.as_str()?.to_string(), line_and_column(text, start)))
}

/// The text's fault as TOML, with its line and column.
pub fn fault(text: &str) -> Option<((usize, usize), String)> {
    let error = Document::parse(text).err()?;
    let start = error.span().map_or(0, |span| span.start);
    Some((
        line_and_column(text, start),
        error.message().replace('\n', ", "),
    ))
}
