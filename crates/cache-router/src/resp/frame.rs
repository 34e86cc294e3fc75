//! Finds the end of a command or reply in bytes that arrive in pieces.
//!
//! The scanner remembers how far it has come, so that each byte is examined once, whatever the sizes of the reads: the
//! work for a peer is proportional to the bytes that it sends.

use super::{
    LINE_END, MAX_COMMAND_BYTES, MAX_DEPTH, MAX_ELEMENTS, MAX_LENGTH_LINE_BYTES, MAX_LINE_BYTES,
    MAX_REPLY_BYTES, MAX_VALUE_BYTES, RespError, parse_length,
};

/// What a frame holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FrameKind {
    /// A command of a client: an array of bulk strings.
    Command,
    /// A reply of a server.
    Reply,
}

impl FrameKind {
    fn max_bytes(self) -> usize {
        match self {
            FrameKind::Command => MAX_COMMAND_BYTES,
            FrameKind::Reply => MAX_REPLY_BYTES,
        }
    }

    fn too_long(self) -> RespError {
        match self {
            FrameKind::Command => RespError::CommandTooLong,
            FrameKind::Reply => RespError::ReplyTooLong,
        }
    }
}

/// What the scanner expects next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Expected {
    /// The first line of an element.
    Element,
    /// The content of a bulk string, of which this many bytes are missing.
    Content { missing: usize },
    /// The line end after the content of a bulk string.
    ContentEnd,
}

/// Scans one frame after the other.
pub struct FrameScanner {
    kind: FrameKind,
    expected: Expected,
    /// How many elements are missing in the frame, and in each array in it that has begun.
    missing_elements: Vec<usize>,
    /// How many bytes at the front of the buffer have been scanned.
    position: usize,
    /// How many bytes after `position` are known not to hold the end of the line.
    searched: usize,
    /// How many bytes of the frame have been scanned and removed from the buffer.
    removed: usize,
}

impl FrameScanner {
    /// Creates a scanner that is at the start of a frame.
    pub fn new(kind: FrameKind) -> Self {
        FrameScanner {
            kind,
            expected: Expected::Element,
            missing_elements: vec![1],
            position: 0,
            searched: 0,
            removed: 0,
        }
    }

    /// Continues with the bytes that have been appended to the buffer. Returns the length of the frame in the buffer
    /// once it is complete; `None` before that.
    ///
    /// # Errors
    ///
    /// If the bytes are not a frame of this kind, or it exceeds a limit. The scanner can't be used any more then.
    pub fn scan(&mut self, buffer: &[u8]) -> Result<Option<usize>, RespError> {
        while !self.missing_elements.is_empty() {
            let has_advanced = match self.expected {
                Expected::Element => self.scan_element(buffer)?,
                Expected::Content { missing } => self.scan_content(buffer, missing),
                Expected::ContentEnd => self.scan_content_end(buffer)?,
            };
            if !has_advanced {
                return Ok(None);
            }
        }
        Ok(Some(self.position))
    }

    /// How many bytes are certainly missing until the frame is complete, as far as known.
    pub fn missing_bytes(&self) -> usize {
        match self.expected {
            Expected::Element => 1,
            Expected::Content { missing } => missing + LINE_END.len(),
            Expected::ContentEnd => LINE_END.len(),
        }
    }

    /// Whether any part of the frame has been scanned.
    pub fn has_begun(&self) -> bool {
        self.position + self.removed + self.searched > 0
    }

    /// Takes note that the scanned bytes are removed from the front of the buffer, and returns their number. The rest
    /// of the frame can be scanned without them.
    pub fn remove_scanned(&mut self) -> usize {
        let count = std::mem::take(&mut self.position);
        self.removed += count;
        count
    }

    /// Starts the next frame at the front of the buffer.
    pub fn restart(&mut self) {
        self.missing_elements.clear();
        self.missing_elements.push(1);
        self.expected = Expected::Element;
        self.position = 0;
        self.searched = 0;
        self.removed = 0;
    }

    /// Scans the first line of an element; `false` while it is incomplete.
    fn scan_element(&mut self, buffer: &[u8]) -> Result<bool, RespError> {
        let Some(&element_type) = buffer.get(self.position) else {
            return Ok(false);
        };
        let max_length = self.check_type(element_type)?;
        let Some(line) = self.find_line(buffer, max_length)? else {
            return Ok(false);
        };
        match element_type {
            b'*' => self.begin_array(parse_count(line, MAX_ELEMENTS)?.unwrap_or(0))?,
            b'$' => self.begin_bulk_string(parse_count(line, MAX_VALUE_BYTES)?)?,
            _ => self.end_element(),
        }
        Ok(true)
    }

    /// Checks that an element of this type may be next. Returns the maximum length of its first line.
    fn check_type(&self, element_type: u8) -> Result<usize, RespError> {
        // The frame itself counts as the outermost array.
        let depth = self.missing_elements.len() - 1;
        let is_allowed = match self.kind {
            FrameKind::Command => element_type == [b'*', b'$'][depth],
            FrameKind::Reply => match element_type {
                b'*' => depth < usize::from(MAX_DEPTH),
                b'$' | b'+' | b'-' | b':' => true,
                _ => false,
            },
        };
        if !is_allowed {
            return Err(RespError::UnexpectedType);
        }
        Ok(match element_type {
            b'*' | b'$' => MAX_LENGTH_LINE_BYTES,
            _ => MAX_LINE_BYTES,
        })
    }

    /// Finds the line at the current position and moves behind it; `None` while it is incomplete.
    fn find_line<'a>(
        &mut self,
        buffer: &'a [u8],
        max_length: usize,
    ) -> Result<Option<&'a [u8]>, RespError> {
        let rest = &buffer[self.position..];
        let found = rest[self.searched..]
            .windows(LINE_END.len())
            .position(|pair| pair == LINE_END)
            .map(|offset| self.searched + offset);
        let length = found.unwrap_or(rest.len() - usize::from(rest.ends_with(b"\r")));
        if length > max_length {
            return Err(RespError::LineTooLong);
        }
        let Some(length) = found else {
            // The last byte may be the first one of the line end.
            self.searched = rest.len().saturating_sub(1);
            return Ok(None);
        };
        self.searched = 0;
        self.position += length + LINE_END.len();
        self.check_length(0)?;
        Ok(Some(&rest[..length]))
    }

    /// Checks that the frame stays within its limit if this many bytes follow.
    fn check_length(&self, following: usize) -> Result<(), RespError> {
        if self.removed + self.position + following > self.kind.max_bytes() {
            return Err(self.kind.too_long());
        }
        Ok(())
    }

    fn begin_array(&mut self, count: usize) -> Result<(), RespError> {
        if count == 0 {
            self.end_element();
        } else {
            self.missing_elements.push(count);
        }
        Ok(())
    }

    fn begin_bulk_string(&mut self, length: Option<usize>) -> Result<(), RespError> {
        let Some(missing) = length else {
            if self.kind == FrameKind::Command {
                return Err(RespError::NullInCommand);
            }
            self.end_element();
            return Ok(());
        };
        self.check_length(missing + LINE_END.len())?;
        self.expected = Expected::Content { missing };
        Ok(())
    }

    /// Scans the available content of a bulk string; `false` while it is incomplete.
    fn scan_content(&mut self, buffer: &[u8], missing: usize) -> bool {
        let available = missing.min(buffer.len() - self.position);
        self.position += available;
        self.expected = match missing - available {
            0 => Expected::ContentEnd,
            missing => Expected::Content { missing },
        };
        self.expected == Expected::ContentEnd
    }

    /// Scans the line end after the content of a bulk string; `false` while it is incomplete.
    fn scan_content_end(&mut self, buffer: &[u8]) -> Result<bool, RespError> {
        let Some(end) = buffer.get(self.position..self.position + LINE_END.len()) else {
            return Ok(false);
        };
        if end != LINE_END {
            return Err(RespError::UnterminatedBulkString);
        }
        self.position += LINE_END.len();
        self.expected = Expected::Element;
        self.end_element();
        Ok(true)
    }

    /// Counts a complete element, which may complete the arrays that hold it.
    fn end_element(&mut self) {
        while let Some(missing) = self.missing_elements.last_mut() {
            *missing -= 1;
            if *missing > 0 {
                return;
            }
            self.missing_elements.pop();
        }
    }
}

/// Parses the count in the first line of an array or bulk string; `None` for a null.
fn parse_count(line: &[u8], limit: usize) -> Result<Option<usize>, RespError> {
    let text = &line[1..];
    if text == b"-1" {
        return Ok(None);
    }
    let count = parse_length(text).ok_or(RespError::InvalidLength)?;
    if count > limit {
        return Err(RespError::LengthTooLarge);
    }
    Ok(Some(count))
}
