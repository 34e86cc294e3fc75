//! A codec for RESP2 in both directions: the commands of clients and the replies of cache servers.
//!
//! Available decoders recurse without a limit on depth and accept any stated length. This one limits both: the input of
//! a peer must neither overflow the stack nor make the router reserve memory. [`frame`] finds the end of a command or
//! reply while its bytes arrive; here complete ones are parsed.

pub mod frame;

use std::ops::Range;

use bytes::{BufMut, Bytes, BytesMut};
use thiserror::Error;

use frame::{FrameKind, FrameScanner};

/// The longest value, in bytes.
pub const MAX_VALUE_BYTES: usize = 64 * 1024;
/// The longest command, in bytes: a value, and more than the other arguments may take. Without this limit a client
/// could make the router buffer a value for each argument of a command that is rejected in the end.
pub const MAX_COMMAND_BYTES: usize = MAX_VALUE_BYTES + 4 * 1024;
/// The longest reply of a server, in bytes: a value, and more than what a server reports beside it.
pub const MAX_REPLY_BYTES: usize = MAX_VALUE_BYTES + 8 * 1024;
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
    /// A reply of more than [`MAX_REPLY_BYTES`].
    #[error("reply too long")]
    ReplyTooLong,
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
    let Some(length) = FrameScanner::new(FrameKind::Command).scan(buffer)? else {
        return Ok(None);
    };
    parse_command(&buffer.split_to(length).freeze()).map(Some)
}

/// Parses a complete command. Its arguments share the memory of the command.
///
/// # Errors
///
/// If it is not a command.
pub fn parse_command(command: &Bytes) -> Result<Vec<Bytes>, RespError> {
    let arguments = Parser::new(command).command()?;
    let slices = arguments
        .into_iter()
        .map(|argument| command.slice(argument));
    Ok(slices.collect())
}

/// Removes one complete reply from the front of a buffer; `None` while it is incomplete.
///
/// # Errors
///
/// If the input is not a reply or exceeds a limit. The buffer is then unchanged.
pub fn take_value(buffer: &mut BytesMut) -> Result<Option<Value>, RespError> {
    take_value_with(&mut FrameScanner::new(FrameKind::Reply), buffer)
}

/// As [`take_value`], for a buffer whose front has been scanned by `scanner` as far as it knows it.
///
/// # Errors
///
/// As [`take_value`].
pub fn take_value_with(
    scanner: &mut FrameScanner,
    buffer: &mut BytesMut,
) -> Result<Option<Value>, RespError> {
    let Some(length) = scanner.scan(buffer)? else {
        return Ok(None);
    };
    scanner.restart();
    let reply = buffer.split_to(length).freeze();
    Parser::new(&reply).value().map(Some)
}

/// Parses the elements of a complete frame, whose types and nesting the [`FrameScanner`] has checked.
struct Parser<'a> {
    frame: &'a Bytes,
    position: usize,
}

impl<'a> Parser<'a> {
    fn new(frame: &'a Bytes) -> Self {
        Parser { frame, position: 0 }
    }

    /// The type of the next element, which is its first byte.
    fn peek_type(&self) -> Option<u8> {
        self.frame.get(self.position).copied()
    }

    /// The content of a line after its first byte, without its terminator.
    fn line(&mut self) -> Result<Range<usize>, RespError> {
        let length = self.frame[self.position..]
            .windows(LINE_END.len())
            .position(|pair| pair == LINE_END)
            .ok_or(RespError::LineTooLong)?;
        let content = self.position + 1..self.position + length;
        self.position += length + LINE_END.len();
        Ok(content)
    }

    /// A line that states a length; `None` for a null.
    fn length(&mut self) -> Result<Option<usize>, RespError> {
        let line = self.line()?;
        let text = &self.frame[line];
        if text == b"-1" {
            return Ok(None);
        }
        parse_length(text).map(Some).ok_or(RespError::InvalidLength)
    }

    /// The range of the content of a bulk string; `None` for a null.
    fn bulk_string(&mut self) -> Result<Option<Range<usize>>, RespError> {
        let Some(length) = self.length()? else {
            return Ok(None);
        };
        let content = self.position..self.position + length;
        self.position = content.end + LINE_END.len();
        Ok(Some(content))
    }

    /// The ranges of the arguments of a command.
    fn command(&mut self) -> Result<Vec<Range<usize>>, RespError> {
        let count = self.length()?.unwrap_or(0);
        let mut arguments = Vec::with_capacity(count);
        for _ in 0..count {
            arguments.push(self.bulk_string()?.ok_or(RespError::NullInCommand)?);
        }
        Ok(arguments)
    }

    /// A reply. Its strings share the memory of the frame.
    fn value(&mut self) -> Result<Value, RespError> {
        match self.peek_type() {
            Some(b'$') => {
                let content = self.bulk_string()?;
                Ok(Value::BulkString(
                    content.map(|range| self.frame.slice(range)),
                ))
            }
            Some(b'*') => self.array(),
            Some(b'+') => Ok(Value::SimpleString(self.text()?)),
            Some(b'-') => Ok(Value::Error(self.text()?)),
            Some(b':') => {
                let number = parse_integer(&self.text()?).ok_or(RespError::InvalidInteger)?;
                Ok(Value::Integer(number))
            }
            _ => Err(RespError::UnexpectedType),
        }
    }

    fn array(&mut self) -> Result<Value, RespError> {
        let count = self.length()?.unwrap_or(0);
        let mut elements = Vec::with_capacity(count);
        for _ in 0..count {
            elements.push(self.value()?);
        }
        Ok(Value::Array(elements))
    }

    /// The content of a line.
    fn text(&mut self) -> Result<Bytes, RespError> {
        let line = self.line()?;
        Ok(self.frame.slice(line))
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
    put_bulk_string_start(out, value.len());
    out.put_slice(value);
    put_bulk_string_end(out);
}

/// Appends what precedes the content of a bulk string of this length.
pub fn put_bulk_string_start(out: &mut BytesMut, length: usize) {
    out.put_slice(format!("${length}\r\n").as_bytes());
}

/// Appends what follows the content of a bulk string.
pub fn put_bulk_string_end(out: &mut BytesMut) {
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
