//! Decodes chunked bodies.
//!
//! The decoder consumes each byte once and keeps none of the framing. The work for a body is proportional to its bytes,
//! whatever the sizes of its chunks and of the reads, and the bytes that carry no content are limited.

use bytes::{Buf, BytesMut};

use super::HttpError;

/// The most bytes of a body that carry no content: more than a value of the maximum size in chunks of a byte needs.
const MAX_FRAMING_BYTES: usize = 2 * 1024 * 1024;
/// The most digits of a chunk size.
const MAX_SIZE_DIGITS: u32 = 15;
const HEX_RADIX: u32 = 16;

/// What the decoder expects next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Expected {
    /// The digits of a chunk size, of which so many have been read.
    Size { digits: u32 },
    /// White space between the size and an extension or the line end.
    Padding,
    /// The rest of an extension, which is ignored.
    Extension,
    /// The second byte of the line end after a size.
    SizeLineFeed,
    /// Content of the chunk.
    Content,
    /// The first byte of the line end after the content.
    ContentCarriageReturn,
    /// The second byte of the line end after the content.
    ContentLineFeed,
    /// Nothing: the body has ended. Trailers are not read, as the connection is closed after a chunked body.
    End,
}

/// Decodes a chunked body incrementally, whatever the size of each read.
pub struct ChunkDecoder {
    expected: Expected,
    /// Size of the current chunk, or how many bytes of its content have not been decoded yet.
    remaining: usize,
    /// How many bytes have been decoded that carry no content.
    framing_bytes: usize,
}

impl Default for ChunkDecoder {
    fn default() -> Self {
        ChunkDecoder {
            expected: Expected::Size { digits: 0 },
            remaining: 0,
            framing_bytes: 0,
        }
    }
}

impl ChunkDecoder {
    /// Moves the body's content from `input` to `body`; `true` once the body has ended.
    ///
    /// # Errors
    ///
    /// If a chunk has no valid size or does not end where its size says, or the framing takes too many bytes.
    pub fn decode(&mut self, input: &mut BytesMut, body: &mut BytesMut) -> Result<bool, HttpError> {
        let mut position = 0;
        while self.expected != Expected::End
            && let Some(&byte) = input.get(position)
        {
            match self.expected {
                Expected::Content => position += self.copy_content(&input[position..], body),
                Expected::Extension if !is_line_end(byte) => {
                    position += self.skip_extension(&input[position..]);
                }
                expected => {
                    self.expected = self.next_expected(expected, byte)?;
                    position += 1;
                    self.framing_bytes += 1;
                }
            }
        }
        input.advance(position);
        if self.framing_bytes > MAX_FRAMING_BYTES {
            return Err(HttpError::TooMuchFraming);
        }
        Ok(self.expected == Expected::End)
    }

    /// Copies the available part of the current chunk's content, and returns its length.
    fn copy_content(&mut self, input: &[u8], body: &mut BytesMut) -> usize {
        let count = self.remaining.min(input.len());
        body.extend_from_slice(&input[..count]);
        self.remaining -= count;
        if self.remaining == 0 {
            self.expected = Expected::ContentCarriageReturn;
        }
        count
    }

    /// Skips the available part of an extension, and returns its length.
    fn skip_extension(&mut self, input: &[u8]) -> usize {
        let end = input.iter().position(|byte| is_line_end(*byte));
        let length = end.unwrap_or(input.len());
        self.framing_bytes += length;
        length
    }

    /// Handles a byte of the framing, other than the text of an extension.
    fn next_expected(&mut self, expected: Expected, byte: u8) -> Result<Expected, HttpError> {
        match (expected, byte) {
            (Expected::Size { digits: 1.. } | Expected::Padding, b'\r')
            | (Expected::Extension, b'\r') => Ok(Expected::SizeLineFeed),
            (Expected::Size { digits: 1.. } | Expected::Padding, b';') => Ok(Expected::Extension),
            (Expected::Size { digits: 1.. } | Expected::Padding, b' ' | b'\t') => {
                Ok(Expected::Padding)
            }
            (Expected::Size { digits }, byte) => self.add_size_digit(digits, byte),
            (Expected::SizeLineFeed, b'\n') if self.remaining == 0 => Ok(Expected::End),
            (Expected::SizeLineFeed, b'\n') => Ok(Expected::Content),
            (Expected::ContentCarriageReturn, b'\r') => Ok(Expected::ContentLineFeed),
            (Expected::ContentLineFeed, b'\n') => Ok(Expected::Size { digits: 0 }),
            _ => Err(HttpError::InvalidChunk),
        }
    }

    fn add_size_digit(&mut self, digits: u32, byte: u8) -> Result<Expected, HttpError> {
        let digit = char::from(byte)
            .to_digit(HEX_RADIX)
            .filter(|_| digits < MAX_SIZE_DIGITS)
            .ok_or(HttpError::InvalidChunk)?;
        // A digit always fits in a usize, and 15 digits do not overflow the 64 bits of the supported machines.
        self.remaining = self.remaining * HEX_RADIX as usize + digit as usize;
        Ok(Expected::Size { digits: digits + 1 })
    }
}

/// Whether a byte may only come at the end of a line.
fn is_line_end(byte: u8) -> bool {
    matches!(byte, b'\r' | b'\n')
}
