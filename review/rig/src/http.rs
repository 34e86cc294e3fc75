//! HTTP/1.1, as much as the origin and discovery need.

use std::io::{self, BufRead};

use crate::resp::read_line;

pub struct Request {
    pub method: String,
    pub target: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> &str {
        self.headers
            .iter()
            .find(|(header, _)| header.eq_ignore_ascii_case(name))
            .map_or("", |(_, value)| value)
    }
}

/// Reads a whole request; `None` at the end of the connection.
pub fn read_request(input: &mut impl BufRead) -> io::Result<Option<Request>> {
    let Some(line) = read_line(input)? else {
        return Ok(None);
    };
    let mut words = line.split(' ');
    let mut request = Request {
        method: words.next().unwrap_or("").into(),
        target: words.next().unwrap_or("").into(),
        headers: Vec::new(),
        body: Vec::new(),
    };
    loop {
        let line = read_line(input)?.ok_or(io::ErrorKind::UnexpectedEof)?;
        if line.is_empty() {
            break;
        }
        if let Some((name, value)) = line.split_once(':') {
            request.headers.push((name.into(), value.trim().into()));
        }
    }
    let length = request.header("content-length").parse().unwrap_or(0);
    request.body = vec![0; length];
    input.read_exact(&mut request.body)?;
    Ok(Some(request))
}

pub fn response(status: &str, headers: &str, body: &[u8]) -> Vec<u8> {
    let mut out = format!(
        "HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n",
        body.len()
    )
    .into_bytes();
    out.extend_from_slice(body);
    out
}
