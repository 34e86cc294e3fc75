//! A codec for RESP2 in both directions: the commands of clients and the replies of cache servers.
//!
//! Available decoders recurse without a limit on depth and accept any stated length. This one limits both: the input of
//! a peer must neither overflow the stack nor make the router reserve memory.

use std::ops::Range;

use bytes::{BufMut, Bytes, BytesMut};
use thiserror::Error;

/// The longest value, in bytes.
pub const MAX_VALUE_BYTES: usize = 64 * 1024;
/// The longest command, in bytes: a value, and more than the other arguments may take. Without this limit a client
/// could make the router buffer a value for each argument of a command that is rejected in the end.
pub const MAX_COMMAND_BYTES: usize = MAX_VALUE_BYTES + 4 * 1024;
/// The maximum number of arguments of a command, and of elements of an array in a reply.
const MAX_ELEMENTS: usize = 16;
/// The longest line that states a length, in bytes: more than any number within the limits needs.
const MAX_LENGTH_LINE_BYTES: usize = 24;
/// The longest simple string, error or integer of a reply, in bytes.
const MAX_LINE_BYTES: usize = 4096;
/// The maximum nesting depth of arrays in a reply: a reply of a cache server is one flat array.
const MAX_DEPTH: u8 = 3;

const LINE_END: &[u8] = b"\r\n";

/// Input that is not RESP2, or exceeds a limit. The end of the command or reply is unknown, so the connection has to be
/// closed. The texts are part of the protocol, since they are sent to clients.
#[derive(Debug, PartialEq, Eq, Clone, Copy, Error)]
pub enum RespError {
    /// A command of more than [`MAX_COMMAND_BYTES`].
    #[error("command too long")]
    CommandTooLong,
    /// A line that exceeds its maximum length.
    #[error("line too long")]
    LineTooLong,
    /// A type that is not allowed at this position, or an array nested too deep.
    #[error("unexpected type")]
    UnexpectedType,
    /// A length that is not a plain decimal number.
    #[error("invalid length")]
    InvalidLength,
    /// A stated length or count above its limit.
    #[error("value or command too long")]
    LengthTooLarge,
    /// A bulk string that is not followed by a line end.
    #[error("bulk string not ended")]
    UnterminatedBulkString,
    /// A null among the arguments of a command.
    #[error("null in a command")]
    NullInCommand,
    /// An integer that is malformed or out of range.
    #[error("invalid number")]
    InvalidInteger,
}

/// A reply of a cache server.
#[derive(Debug, PartialEq, Clone)]
pub enum Value {
    /// A bulk string, or null.
    BulkString(Option<Bytes>),
    /// An array; a null array counts as empty.
    Array(Vec<Value>),
    /// A simple string.
    SimpleString(Bytes),
    /// An error.
    Error(Bytes),
    /// An integer.
    Integer(i64),
}

/// Removes one complete command, an array of bulk strings, from the front of a buffer; `None` while it is incomplete.
///
/// # Errors
///
/// If the input is not a command or exceeds a limit. The buffer is then unchanged.
pub fn take_command(buffer: &mut BytesMut) -> Result<Option<Vec<Bytes>>, RespError> {
    let mut scanner = Scanner::new(buffer);
    let arguments = match scanner.command() {
        Ok(arguments) => arguments,
        Err(ScanError::Malformed(error)) => return Err(error),
        Err(ScanError::Incomplete) if buffer.len() > MAX_COMMAND_BYTES => {
            return Err(RespError::CommandTooLong);
        }
        Err(ScanError::Incomplete) => return Ok(None),
    };
    let end = scanner.position;
    let command = buffer.split_to(end).freeze();
    Ok(Some(
        arguments
            .into_iter()
            .map(|argument| command.slice(argument))
            .collect(),
    ))
}

/// Removes one complete reply from the front of a buffer; `None` while it is incomplete.
///
/// # Errors
///
/// If the input is not a reply or exceeds a limit. The buffer is then unchanged.
pub fn take_value(buffer: &mut BytesMut) -> Result<Option<Value>, RespError> {
    let mut scanner = Scanner::new(buffer);
    let value = match scanner.value(0) {
        Ok(value) => value,
        Err(ScanError::Malformed(error)) => return Err(error),
        Err(ScanError::Incomplete) => return Ok(None),
    };
    let end = scanner.position;
    let _ = buffer.split_to(end);
    Ok(Some(value))
}

/// Why a scan stopped before the end of the element.
enum ScanError {
    /// More bytes are needed.
    Incomplete,
    /// The input is invalid, whatever bytes follow.
    Malformed(RespError),
}

impl From<RespError> for ScanError {
    fn from(error: RespError) -> Self {
        ScanError::Malformed(error)
    }
}

/// Parses elements at the front of a buffer without removing them. An incomplete element is parsed again from its start
/// when more bytes have arrived.
struct Scanner<'a> {
    bytes: &'a [u8],
    position: usize,
}

impl<'a> Scanner<'a> {
    fn new(bytes: &'a [u8]) -> Self {
        Scanner { bytes, position: 0 }
    }

    /// The type of the next element, which is its first byte.
    fn peek_type(&self) -> Result<u8, ScanError> {
        self.bytes
            .get(self.position)
            .copied()
            .ok_or(ScanError::Incomplete)
    }

    /// A line without its terminator.
    fn line(&mut self, max_length: usize) -> Result<&'a [u8], ScanError> {
        let rest = &self.bytes[self.position..];
        let end = rest
            .windows(LINE_END.len())
            .take(max_length + 1)
            .position(|pair| pair == LINE_END);
        match end {
            Some(end) => {
                self.position += end + LINE_END.len();
                Ok(&rest[..end])
            }
            None if rest.len() > max_length + 1 => Err(RespError::LineTooLong.into()),
            None => Err(ScanError::Incomplete),
        }
    }

    /// A line that consists of a type and a length; `None` for a null.
    fn length(&mut self, expected_type: u8, limit: usize) -> Result<Option<usize>, ScanError> {
        if self.peek_type()? != expected_type {
            return Err(RespError::UnexpectedType.into());
        }
        let text = &self.line(MAX_LENGTH_LINE_BYTES)?[1..];
        if text == b"-1" {
            return Ok(None);
        }
        let length = parse_length(text).ok_or(RespError::InvalidLength)?;
        if length > limit {
            return Err(RespError::LengthTooLarge.into());
        }
        Ok(Some(length))
    }

    /// The range of the content of a bulk string; `None` for a null.
    fn bulk_string(&mut self) -> Result<Option<Range<usize>>, ScanError> {
        let Some(length) = self.length(b'$', MAX_VALUE_BYTES)? else {
            return Ok(None);
        };
        let start = self.position;
        let end = start + length;
        let terminator = self
            .bytes
            .get(end..end + LINE_END.len())
            .ok_or(ScanError::Incomplete)?;
        if terminator != LINE_END {
            return Err(RespError::UnterminatedBulkString.into());
        }
        self.position = end + LINE_END.len();
        Ok(Some(start..end))
    }

    /// The ranges of the arguments of a command.
    fn command(&mut self) -> Result<Vec<Range<usize>>, ScanError> {
        let count = self.length(b'*', MAX_ELEMENTS)?.unwrap_or(0);
        let mut arguments = Vec::with_capacity(count);
        for _ in 0..count {
            arguments.push(self.bulk_string()?.ok_or(RespError::NullInCommand)?);
        }
        Ok(arguments)
    }

    /// A reply that is nested in `depth` arrays.
    fn value(&mut self, depth: u8) -> Result<Value, ScanError> {
        match self.peek_type()? {
            b'$' => {
                let content = self.bulk_string()?;
                let copy = |range| Bytes::copy_from_slice(&self.bytes[range]);
                Ok(Value::BulkString(content.map(copy)))
            }
            b'*' if depth < MAX_DEPTH => self.array(depth),
            b'+' => {
                let text = self.line_content()?;
                Ok(Value::SimpleString(Bytes::copy_from_slice(text)))
            }
            b'-' => {
                let text = self.line_content()?;
                Ok(Value::Error(Bytes::copy_from_slice(text)))
            }
            b':' => {
                let text = self.line_content()?;
                let number = parse_integer(text).ok_or(RespError::InvalidInteger)?;
                Ok(Value::Integer(number))
            }
            _ => Err(RespError::UnexpectedType.into()),
        }
    }

    fn array(&mut self, depth: u8) -> Result<Value, ScanError> {
        let count = self.length(b'*', MAX_ELEMENTS)?.unwrap_or(0);
        // Grows as elements are parsed: a stated count alone must not reserve memory.
        let mut elements = Vec::new();
        for _ in 0..count {
            elements.push(self.value(depth + 1)?);
        }
        Ok(Value::Array(elements))
    }

    /// The rest of a line after the type.
    fn line_content(&mut self) -> Result<&'a [u8], ScanError> {
        Ok(&self.line(MAX_LINE_BYTES)?[1..])
    }
}

/// Parses a length in RESP2: decimal digits only.
fn parse_length(text: &[u8]) -> Option<usize> {
    if text.is_empty() || !text.iter().all(u8::is_ascii_digit) {
        return None;
    }
    std::str::from_utf8(text).ok()?.parse().ok()
}

fn parse_integer(text: &[u8]) -> Option<i64> {
    std::str::from_utf8(text).ok()?.parse().ok()
}

/// Appends a bulk string.
pub fn put_bulk_string(out: &mut BytesMut, value: &[u8]) {
    out.put_slice(format!("${}\r\n", value.len()).as_bytes());
    out.put_slice(value);
    out.put_slice(LINE_END);
}

/// Encodes a command with the given arguments, of which the first is its name.
pub fn encode_command(arguments: &[&[u8]]) -> Bytes {
    /// The most that the length line and the terminator add to an argument, in bytes.
    const FRAMING_BYTES: usize = 16;
    let content_size = arguments
        .iter()
        .map(|argument| argument.len() + FRAMING_BYTES)
        .sum::<usize>();
    let mut out = BytesMut::with_capacity(content_size + FRAMING_BYTES);
    out.put_slice(format!("*{}\r\n", arguments.len()).as_bytes());
    for argument in arguments {
        put_bulk_string(&mut out, argument);
    }
    out.freeze()
}
