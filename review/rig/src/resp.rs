//! RESP2, as much as the protocol page uses: commands, and answers to them.

use std::io::{self, BufRead, Read};

/// Reads one command, an array of bulk strings; `None` at the end of the connection.
pub fn read_command(input: &mut impl BufRead) -> io::Result<Option<Vec<Vec<u8>>>> {
    let Some(line) = read_line(input)? else {
        return Ok(None);
    };
    let count: usize = line
        .strip_prefix('*')
        .and_then(|count| count.parse().ok())
        .ok_or(io::ErrorKind::InvalidData)?;
    let mut words = Vec::new();
    for _ in 0..count {
        words.push(read_bulk(input)?.ok_or(io::ErrorKind::InvalidData)?);
    }
    Ok(Some(words))
}

fn read_bulk(input: &mut impl BufRead) -> io::Result<Option<Vec<u8>>> {
    let line = read_line(input)?.ok_or(io::ErrorKind::UnexpectedEof)?;
    bulk_after(input, &line)
}

fn bulk_after(input: &mut impl BufRead, line: &str) -> io::Result<Option<Vec<u8>>> {
    let length: i64 = line
        .strip_prefix('$')
        .and_then(|length| length.parse().ok())
        .ok_or(io::ErrorKind::InvalidData)?;
    if length < 0 {
        return Ok(None);
    }
    let mut content = vec![0; length as usize + 2];
    input.read_exact(&mut content)?;
    content.truncate(length as usize);
    Ok(Some(content))
}

/// Reads a line without its end; `None` at the end of the connection.
pub fn read_line(input: &mut impl BufRead) -> io::Result<Option<String>> {
    let mut line = Vec::new();
    if input.take(64 * 1024).read_until(b'\n', &mut line)? == 0 {
        return Ok(None);
    }
    while matches!(line.last(), Some(b'\n' | b'\r')) {
        line.pop();
    }
    Ok(Some(String::from_utf8_lossy(&line).into_owned()))
}

/// A node's answer to a client.
#[derive(Debug, Clone, PartialEq)]
pub enum Answer {
    Served(Vec<u8>),
    Refused,
    Failed(String),
}

/// Reads a node's answer; `None` at the end of the connection.
pub fn read_answer(input: &mut impl BufRead) -> io::Result<Option<Answer>> {
    let Some(line) = read_line(input)? else {
        return Ok(None);
    };
    if line.starts_with('$') {
        let answer = match bulk_after(input, &line)? {
            Some(value) => Answer::Served(value),
            None => Answer::Failed("null".into()),
        };
        return Ok(Some(answer));
    }
    if line.starts_with("-BUSY") {
        return Ok(Some(Answer::Refused));
    }
    Ok(Some(Answer::Failed(line)))
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

/// A cache server's answer: the value, and that it was a hit.
pub fn hit(value: &[u8]) -> Vec<u8> {
    let mut out = format!("*3\r\n${}\r\n", value.len()).into_bytes();
    out.extend_from_slice(value);
    out.extend_from_slice(b"\r\n$3\r\nhit\r\n$-1\r\n");
    out
}

pub const MISS: &[u8] = b"*3\r\n$-1\r\n$4\r\nmiss\r\n$-1\r\n";
