//! The session with the simulator: one reply per batch, until the input ends between two batches.

use std::io::{ErrorKind, Read, Write};

use crate::error::AdapterError;
use crate::events::{BATCH_HEADER_SIZE, BatchBody, BatchHeader};
use crate::host::PolicyHost;

/// Answers batches until the input ends. Each reply is flushed before the next batch is read.
///
/// # Errors
/// Returns an error if the input is truncated or malformed, or if reading or writing fails. No part of the
/// reply to a malformed batch is written.
pub fn serve(input: &mut impl Read, output: &mut impl Write) -> Result<(), AdapterError> {
    let mut host = PolicyHost::default();
    let mut header_bytes = [0u8; BATCH_HEADER_SIZE];
    let mut body = Vec::new();
    let mut frame = Vec::new();
    while read_header(input, &mut header_bytes)? {
        let header = BatchHeader::decode(&header_bytes)?;
        read_body(input, header, &mut body)?;
        host.handle_batch(header, BatchBody::new(&body, header.records), &mut frame)?;
        output
            .write_all(&frame)
            .and_then(|()| output.flush())
            .map_err(AdapterError::Output)?;
    }
    Ok(())
}

/// Reads a header. Returns `false` if the input ended before its first byte.
fn read_header(input: &mut impl Read, buffer: &mut [u8]) -> Result<bool, AdapterError> {
    let mut received = 0;
    while received < buffer.len() {
        match input.read(&mut buffer[received..]) {
            Ok(0) if received == 0 => return Ok(false),
            Ok(0) => return Err(AdapterError::TruncatedHeader),
            Ok(count) => received += count,
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            Err(error) => return Err(AdapterError::Input(error)),
        }
    }
    Ok(true)
}

fn read_body(
    input: &mut impl Read,
    header: BatchHeader,
    body: &mut Vec<u8>,
) -> Result<(), AdapterError> {
    body.clear();
    // Reads through `take`, so that a wrong length in the header does not cause a large allocation.
    let received = input
        .by_ref()
        .take(header.length as u64)
        .read_to_end(body)
        .map_err(AdapterError::Input)?;
    if received < header.length {
        return Err(AdapterError::TruncatedBody {
            batch: header.number,
            received,
        });
    }
    Ok(())
}
