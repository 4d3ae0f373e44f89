//! A small blocking HTTP/1.1 implementation: enough for the stand-ins, and raw enough to
//! misbehave on purpose.

use std::io::{self, Read, Write};
use std::net::TcpStream;
use std::time::Duration;

/// A message head with its body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// First line.
    pub start: String,
    /// Header names in lower case, and values.
    pub headers: Vec<(String, String)>,
    /// Body.
    pub body: Vec<u8>,
    /// Whether the body ended as its framing announced.
    pub is_whole: bool,
}

impl Message {
    /// Returns a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(known, _)| known == name);
        found.map(|(_, value)| value.as_str())
    }

    /// Returns the method of a request.
    pub fn method(&self) -> &str {
        self.start.split(' ').next().unwrap_or_default()
    }

    /// Returns the target of a request.
    pub fn target(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or_default()
    }

    /// Returns the status of a response, 0 if there is none.
    pub fn status(&self) -> u16 {
        let text = self.start.split(' ').nth(1).unwrap_or_default();
        text.parse().unwrap_or(0)
    }

    /// Returns the body as text.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// A connection with what was read ahead.
pub struct Conn {
    /// Its socket.
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Conn {
    /// Wraps a socket.
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self {
            stream,
            buffer: Vec::new(),
        }
    }

    /// Sets the longest time that one read takes.
    pub fn set_timeout(&self, timeout: Option<Duration>) {
        let _ = self.stream.set_read_timeout(timeout);
    }

    fn fill(&mut self) -> io::Result<usize> {
        let mut chunk = [0; 16 << 10];
        let count = self.stream.read(&mut chunk)?;
        self.buffer.extend_from_slice(&chunk[..count]);
        Ok(count)
    }

    fn line(&mut self) -> io::Result<Option<String>> {
        loop {
            if let Some(end) = self.buffer.iter().position(|byte| *byte == b'\n') {
                let line: Vec<u8> = self.buffer.drain(..=end).collect();
                return Ok(Some(String::from_utf8_lossy(&line).trim_end().to_owned()));
            }
            if self.fill()? == 0 {
                return Ok(None);
            }
        }
    }

    fn exactly(&mut self, count: usize) -> io::Result<(Vec<u8>, bool)> {
        while self.buffer.len() < count {
            if self.fill()? == 0 {
                return Ok((std::mem::take(&mut self.buffer), false));
            }
        }
        Ok((self.buffer.drain(..count).collect(), true))
    }

    /// Reads a request or a response; `None` if the connection ended before it.
    pub fn read(&mut self, is_response: bool) -> io::Result<Option<Message>> {
        let Some(start) = self.line()? else {
            return Ok(None);
        };
        let mut message = Message {
            start,
            ..Message::default()
        };
        loop {
            let Some(line) = self.line()? else {
                return Ok(None);
            };
            if line.is_empty() {
                break;
            }
            if let Some((name, value)) = line.split_once(':') {
                let name = name.trim().to_ascii_lowercase();
                message.headers.push((name, value.trim().to_owned()));
            }
        }
        self.read_body(&mut message, is_response)?;
        Ok(Some(message))
    }

    fn read_body(&mut self, message: &mut Message, is_response: bool) -> io::Result<()> {
        let is_chunked = message.header("transfer-encoding").is_some();
        let length = message.header("content-length").and_then(|text| text.parse().ok());
        if is_chunked {
            loop {
                let Ok(Some(line)) = self.line() else {
                    return Ok(());
                };
                let size = usize::from_str_radix(line.trim(), 16).unwrap_or(0);
                let (bytes, whole) = match self.exactly(size + 2) {
                    Ok(read) => read,
                    Err(_) => return Ok(()),
                };
                if !whole {
                    message.body.extend_from_slice(&bytes);
                    return Ok(());
                }
                message.body.extend_from_slice(&bytes[..size]);
                if size == 0 {
                    message.is_whole = true;
                    return Ok(());
                }
            }
        }
        if let Some(length) = length {
            let read = self.exactly(length);
            let (bytes, whole) = read.unwrap_or_default();
            message.body = bytes;
            message.is_whole = whole;
            return Ok(());
        }
        if is_response && message.status() >= 200 {
            loop {
                match self.fill() {
                    Ok(0) => {
                        message.is_whole = true;
                        break;
                    }
                    Ok(_) => {}
                    Err(_) => break,
                }
            }
            message.body = std::mem::take(&mut self.buffer);
            return Ok(());
        }
        message.is_whole = true;
        Ok(())
    }

    /// Writes bytes.
    pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    /// Writes one chunk of a body.
    pub fn chunk(&mut self, bytes: &[u8]) -> io::Result<()> {
        let mut framed = format!("{:x}\r\n", bytes.len()).into_bytes();
        framed.extend_from_slice(bytes);
        framed.extend_from_slice(b"\r\n");
        self.write(&framed)
    }
}

/// Builds a response with a length.
pub fn response(status: &str, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut text = format!("HTTP/1.1 {status}\r\n");
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// Builds a request.
pub fn request(method: &str, target: &str, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut text = format!("{method} {target} HTTP/1.1\r\n");
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    if !body.is_empty() || method == "POST" {
        text.push_str(&format!("Content-Length: {}\r\n", body.len()));
    }
    text.push_str("\r\n");
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}
