//! RESP2 for the stand-ins: commands as arrays of bulk strings, and answers.

use std::io::{self, BufRead, Read};

fn line(reader: &mut impl BufRead) -> io::Result<Option<String>> {
    let mut text = String::new();
    if reader.read_line(&mut text)? == 0 {
        return Ok(None);
    }
    if !text.ends_with("\r\n") {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    text.truncate(text.len() - 2);
    Ok(Some(text))
}

fn bulk(reader: &mut impl Read, length: usize) -> io::Result<Vec<u8>> {
    let mut bytes = vec![0; length + 2];
    reader.read_exact(&mut bytes)?;
    bytes.truncate(length);
    Ok(bytes)
}

/// Reads a command; `None` at the end of the connection.
pub fn read_command(reader: &mut impl BufRead) -> io::Result<Option<Vec<Vec<u8>>>> {
    let Some(head) = line(reader)? else {
        return Ok(None);
    };
    let bad = || io::Error::other("not a command");
    let count: usize = head
        .strip_prefix('*')
        .and_then(|n| n.parse().ok())
        .ok_or_else(bad)?;
    let mut words = Vec::new();
    for _ in 0..count {
        let head = line(reader)?.ok_or_else(bad)?;
        let length = head
            .strip_prefix('$')
            .and_then(|n| n.parse().ok())
            .ok_or_else(bad)?;
        words.push(bulk(reader, length)?);
    }
    Ok(Some(words))
}

/// An answer as a client takes it.
#[derive(Debug, Clone, PartialEq)]
pub enum Answer {
    /// A bulk string that is not null.
    Served(Vec<u8>),
    /// `-BUSY`.
    Refused,
    /// Anything else.
    Failed(String),
}

/// Reads an answer; `None` at the end of the connection.
pub fn read_answer(reader: &mut impl BufRead) -> io::Result<Option<Answer>> {
    let Some(head) = line(reader)? else {
        return Ok(None);
    };
    if let Some(length) = head.strip_prefix('$')
        && let Ok(length) = length.parse()
    {
        return Ok(Some(Answer::Served(bulk(reader, length)?)));
    }
    if head.starts_with("-BUSY") {
        return Ok(Some(Answer::Refused));
    }
    Ok(Some(Answer::Failed(head)))
}

pub fn command(words: &[&[u8]]) -> Vec<u8> {
    let mut out = format!("*{}\r\n", words.len()).into_bytes();
    for word in words {
        out.extend_from_slice(format!("${}\r\n", word.len()).as_bytes());
        out.extend_from_slice(word);
        out.extend_from_slice(b"\r\n");
    }
    out
}

/// The answer of a cache server: value or null, how it went, no load report.
pub fn server_answer(value: Option<&[u8]>) -> Vec<u8> {
    let mut out = b"*3\r\n".to_vec();
    match value {
        Some(value) => {
            out.extend_from_slice(format!("${}\r\n", value.len()).as_bytes());
            out.extend_from_slice(value);
            out.extend_from_slice(b"\r\n$3\r\nhit\r\n");
        }
        None => out.extend_from_slice(b"$-1\r\n$4\r\nmiss\r\n"),
    }
    out.extend_from_slice(b"$-1\r\n");
    out
}
