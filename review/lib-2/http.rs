//! A small HTTP/1.1 reader and writer for stand-ins.

use std::io::{self, Read, Write};
use std::net::TcpStream;

/// Head of a request or a response.
#[derive(Debug, Clone, Default)]
pub struct Head {
    /// Method and target of a request, or the status of a response.
    pub first: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    pub fn get(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn target(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or_default()
    }

    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or_default()
    }

    /// Value of a parameter of the query.
    pub fn query(&self, name: &str) -> Option<String> {
        let query = self.target().split_once('?')?.1;
        let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.filter(|(key, _)| *key == name).map(|(_, value)| value.to_owned()).next()
    }
}

/// Buffered reader of a connection.
pub struct Reader {
    stream: TcpStream,
    buffer: Vec<u8>,
}

impl Reader {
    pub fn new(stream: &TcpStream) -> io::Result<Self> {
        Ok(Self { stream: stream.try_clone()?, buffer: Vec::new() })
    }

    fn fill(&mut self) -> io::Result<usize> {
        let mut chunk = [0; 16 * 1024];
        let size = self.stream.read(&mut chunk)?;
        self.buffer.extend_from_slice(&chunk[..size]);
        Ok(size)
    }

    /// Reads a head; none if the connection has ended before its first byte.
    pub fn head(&mut self) -> io::Result<Option<Head>> {
        loop {
            if let Some(at) = self.buffer.windows(4).position(|found| found == b"\r\n\r\n") {
                let rest = self.buffer.split_off(at + 4);
                let text = String::from_utf8_lossy(&self.buffer[..at]).into_owned();
                self.buffer = rest;
                let mut lines = text.split("\r\n");
                let first = lines.next().unwrap_or_default().to_owned();
                let pair = |line: &str| {
                    let (name, value) = line.split_once(':')?;
                    Some((name.trim().to_owned(), value.trim().to_owned()))
                };
                return Ok(Some(Head { first, headers: lines.filter_map(pair).collect() }));
            }
            if self.fill()? == 0 {
                return if self.buffer.is_empty() { Ok(None) } else { Err(ended()) };
            }
        }
    }

    pub fn exact(&mut self, size: usize) -> io::Result<Vec<u8>> {
        while self.buffer.len() < size {
            if self.fill()? == 0 {
                return Err(ended());
            }
        }
        let rest = self.buffer.split_off(size);
        Ok(std::mem::replace(&mut self.buffer, rest))
    }

    fn line(&mut self) -> io::Result<String> {
        loop {
            if let Some(at) = self.buffer.windows(2).position(|found| found == b"\r\n") {
                let line = self.exact(at + 2)?;
                return Ok(String::from_utf8_lossy(&line[..at]).into_owned());
            }
            if self.fill()? == 0 {
                return Err(ended());
            }
        }
    }

    /// Reads a chunk; empty if it is the last one.
    pub fn chunk(&mut self) -> io::Result<Vec<u8>> {
        let line = self.line()?;
        let size = line.split(';').next().unwrap_or_default().trim();
        let size = usize::from_str_radix(size, 16).map_err(|_| ended())?;
        let data = self.exact(size)?;
        self.exact(2)?;
        Ok(data)
    }

    pub fn is_chunked(head: &Head) -> bool {
        head.get("transfer-encoding").is_some_and(|text| text.eq_ignore_ascii_case("chunked"))
    }

    /// Reads a body with a length or in chunks, whole.
    pub fn body(&mut self, head: &Head) -> io::Result<Vec<u8>> {
        if !Self::is_chunked(head) {
            let size = head.get("content-length").and_then(|text| text.parse().ok());
            return self.exact(size.unwrap_or(0));
        }
        let mut body = Vec::new();
        loop {
            let chunk = self.chunk()?;
            if chunk.is_empty() {
                return Ok(body);
            }
            body.extend(chunk);
        }
    }

    /// Whether the other side has closed or reset the connection.
    pub fn has_left(&self) -> bool {
        if self.stream.set_nonblocking(true).is_err() {
            return true;
        }
        let found = self.stream.peek(&mut [0]);
        let _blocking = self.stream.set_nonblocking(false);
        match found {
            Ok(size) => size == 0,
            Err(error) => error.kind() != io::ErrorKind::WouldBlock,
        }
    }
}

fn ended() -> io::Error {
    io::Error::new(io::ErrorKind::UnexpectedEof, "connection ended amid a message")
}

/// Writes a message with a body of known length.
pub fn write(
    stream: &mut TcpStream,
    first: &str,
    headers: &[(&str, String)],
    body: &[u8],
) -> io::Result<()> {
    let mut text = format!("{first}\r\n");
    headers.iter().for_each(|(name, value)| text += &format!("{name}: {value}\r\n"));
    text += &format!("Content-Length: {}\r\n\r\n", body.len());
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)
}

pub fn write_chunk(stream: &mut TcpStream, data: &[u8]) -> io::Result<()> {
    let mut bytes = format!("{:x}\r\n", data.len()).into_bytes();
    bytes.extend_from_slice(data);
    bytes.extend_from_slice(b"\r\n");
    stream.write_all(&bytes)
}
