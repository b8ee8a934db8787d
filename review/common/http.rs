//! HTTP/1.1 as the stand-ins speak it, and clients.

use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use super::ms;

/// A head of an HTTP message: its first line and its headers, with names in lower case.
pub struct Head {
    pub line: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    pub fn get(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(other, _)| other == name);
        found.map(|(_, value)| value.as_str())
    }

    /// Path and query of a request.
    pub fn path(&self) -> &str {
        self.line.split(' ').nth(1).unwrap_or("")
    }

    /// Status of a response.
    pub fn status(&self) -> u16 {
        let status = self.line.split(' ').nth(1);
        status.and_then(|text| text.parse().ok()).unwrap_or(0)
    }
}

/// Reads a head; `None` if the connection ends before it begins.
pub fn read_head(reader: &mut impl BufRead) -> io::Result<Option<Head>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    let first = line.trim_end().to_owned();
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            return Ok(Some(Head {
                line: first,
                headers,
            }));
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
        }
    }
}

/// Reads a body that has a length or is chunked.
pub fn read_body(reader: &mut impl BufRead, head: &Head) -> io::Result<Vec<u8>> {
    if let Some(length) = head.get("content-length") {
        let mut body = vec![0; length.parse().map_err(|_| io::ErrorKind::InvalidData)?];
        reader.read_exact(&mut body)?;
        return Ok(body);
    }
    let mut body = Vec::new();
    if head.get("transfer-encoding") != Some("chunked") {
        return Ok(body);
    }
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let size = usize::from_str_radix(line.trim().split(';').next().unwrap_or(""), 16);
        let size = size.map_err(|_| io::ErrorKind::InvalidData)?;
        let mut piece = vec![0; size + 2];
        reader.read_exact(&mut piece)?;
        if size == 0 {
            return Ok(body);
        }
        body.extend_from_slice(&piece[..size]);
    }
}

/// What a client got.
#[derive(Debug)]
pub struct Answer {
    pub status: u16,
    pub sealed: bool,
    pub body: Vec<u8>,
}

/// Sends a request on a new connection and reads the answer.
pub fn request(
    entry: SocketAddr,
    method: &str,
    path: &str,
    id: &str,
    key: &str,
    deadline: Duration,
) -> io::Result<Answer> {
    let mut stream = TcpStream::connect_timeout(&entry, ms(1000))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(deadline))?;
    stream.write_all(request_text(method, path, id, key, deadline).as_bytes())?;
    let mut reader = BufReader::new(stream);
    let head = read_head(&mut reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
    let body = read_body(&mut reader, &head)?;
    Ok(Answer {
        status: head.status(),
        sealed: head.get("x-response-seal").is_some(),
        body,
    })
}

pub fn request_text(method: &str, path: &str, id: &str, key: &str, deadline: Duration) -> String {
    let ms = deadline.as_millis();
    format!(
        "{method} {path} HTTP/1.1\r\nHost: desk.example\r\nX-Attempt-Id: {id}\r\nX-Deadline-Ms: {ms}\r\nAuthorization: Bearer {key}\r\nContent-Length: 0\r\n\r\n"
    )
}
