//! HTTP/1.1 messages on blocking sockets, as much as the stand-ins need.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// A request or a response: its first line, headers with names in lower case, and the body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self
            .headers
            .iter()
            .find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn method(&self) -> &str {
        self.first.split(' ').next().unwrap_or_default()
    }

    pub fn target(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or_default()
    }

    pub fn status(&self) -> u16 {
        self.target().parse().unwrap_or(0)
    }
}

/// Reads messages from a connection; bytes that follow a message stay for the next one.
pub struct Reader {
    pub stream: TcpStream,
    pending: Vec<u8>,
}

impl Reader {
    pub fn new(stream: TcpStream) -> Self {
        Self {
            stream,
            pending: Vec::new(),
        }
    }

    fn fill(&mut self) -> io::Result<usize> {
        let mut buffer = [0_u8; 65_536];
        let count = self.stream.read(&mut buffer)?;
        self.pending.extend_from_slice(&buffer[..count]);
        Ok(count)
    }

    /// Reads the head of the next message; `None` if the connection has ended before it.
    pub fn head(&mut self) -> io::Result<Option<Message>> {
        let end = loop {
            if let Some(at) = self
                .pending
                .windows(4)
                .position(|bytes| bytes == b"\r\n\r\n")
            {
                break at;
            }
            if self.fill()? == 0 {
                if self.pending.is_empty() {
                    return Ok(None);
                }
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        };
        let head = String::from_utf8_lossy(&self.pending[..end]).into_owned();
        self.pending.drain(..end + 4);
        let mut lines = head.split("\r\n");
        let first = lines.next().unwrap_or_default().to_owned();
        let headers = lines
            .filter_map(|line| line.split_once(':'))
            .map(|(name, value)| (name.trim().to_ascii_lowercase(), value.trim().to_owned()))
            .collect();
        Ok(Some(Message {
            first,
            headers,
            body: Vec::new(),
        }))
    }

    /// Reads the next message with its body, which has a length.
    pub fn message(&mut self) -> io::Result<Option<Message>> {
        let Some(mut message) = self.head()? else {
            return Ok(None);
        };
        let length: usize = message
            .header("content-length")
            .and_then(|l| l.parse().ok())
            .unwrap_or(0);
        message.body = self.body(length, |_| {})?;
        Ok(Some(message))
    }

    /// Reads `length` bytes; `on_read` is called with the number read so far before each read.
    pub fn body(&mut self, length: usize, mut on_read: impl FnMut(usize)) -> io::Result<Vec<u8>> {
        while self.pending.len() < length {
            on_read(self.pending.len());
            if self.fill()? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(self.pending.drain(..length).collect())
    }

    pub fn pending(&self) -> usize {
        self.pending.len()
    }
}

/// Writes a response.
pub fn respond(
    stream: &mut TcpStream,
    status: u16,
    headers: &[(&str, &str)],
    body: &[u8],
) -> io::Result<()> {
    let mut head = format!("HTTP/1.1 {status} S\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str("\r\n");
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)
}

/// Encodes a request.
pub fn request_bytes(method: &str, path: &str, headers: &[(&str, String)], body: &[u8]) -> Vec<u8> {
    let mut head = format!(
        "{method} {path} HTTP/1.1\r\nContent-Length: {}\r\n",
        body.len()
    );
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str("\r\n");
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// Sends a request on a new connection and reads the response within `limit`.
pub fn call(address: SocketAddr, bytes: &[u8], limit: Duration) -> io::Result<Message> {
    let until = Instant::now() + limit;
    let stream = TcpStream::connect_timeout(&address, limit.min(Duration::from_secs(1)))?;
    stream.set_nodelay(true)?;
    let left = until
        .saturating_duration_since(Instant::now())
        .max(Duration::from_millis(1));
    stream.set_read_timeout(Some(left))?;
    let mut reader = Reader::new(stream);
    reader.stream.write_all(bytes)?;
    reader
        .message()?
        .ok_or_else(|| io::ErrorKind::UnexpectedEof.into())
}
