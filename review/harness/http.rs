//! HTTP/1.1 over blocking sockets, as far as the stand-ins need it.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// A request or a response.
#[derive(Debug, Default, Clone)]
pub struct Message {
    /// First line, split at spaces.
    pub first: Vec<String>,
    /// Names in lower case, and values.
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> &str {
        let mut found = self.headers.iter().filter(|(known, _)| known == name);
        found.next().map_or("", |(_, value)| value.as_str())
    }

    pub fn method(&self) -> &str {
        self.first.first().map_or("", String::as_str)
    }

    /// Path and query of a request.
    pub fn target(&self) -> &str {
        self.first.get(1).map_or("", String::as_str)
    }

    /// Status of a response.
    pub fn status(&self) -> u16 {
        self.first.get(1).and_then(|status| status.parse().ok()).unwrap_or(0)
    }

    /// Value of a query parameter.
    pub fn query(&self, name: &str) -> Option<&str> {
        let (_, query) = self.target().split_once('?')?;
        query.split('&').find_map(|pair| {
            let (key, value) = pair.split_once('=')?;
            (key == name).then_some(value)
        })
    }

    pub fn path(&self) -> &str {
        self.target().split('?').next().unwrap_or("")
    }

    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

/// A connection with bytes that were read ahead.
pub struct Conn {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Conn {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self { stream, buffer: Vec::new() }
    }

    pub fn connect(address: SocketAddr, timeout: Duration) -> Option<Self> {
        let stream = TcpStream::connect_timeout(&address, timeout).ok()?;
        let _ = stream.set_read_timeout(Some(timeout));
        Some(Self::new(stream))
    }

    fn fill(&mut self) -> Option<()> {
        let mut chunk = [0; 16_384];
        match self.stream.read(&mut chunk) {
            Ok(0) | Err(_) => None,
            Ok(length) => {
                self.buffer.extend_from_slice(&chunk[..length]);
                Some(())
            }
        }
    }

    fn take(&mut self, length: usize) -> Option<Vec<u8>> {
        while self.buffer.len() < length {
            self.fill()?;
        }
        Some(self.buffer.drain(..length).collect())
    }

    fn line(&mut self) -> Option<String> {
        loop {
            if let Some(at) = self.buffer.windows(2).position(|pair| pair == b"\r\n") {
                let line: Vec<u8> = self.buffer.drain(..at + 2).collect();
                return Some(String::from_utf8_lossy(&line[..at]).into_owned());
            }
            self.fill()?;
        }
    }

    /// Reads first line and headers.
    pub fn read_head(&mut self) -> Option<Message> {
        let first = self.line()?;
        let mut message = Message {
            first: first.split(' ').map(str::to_string).collect(),
            ..Message::default()
        };
        loop {
            let line = self.line()?;
            if line.is_empty() {
                return Some(message);
            }
            let (name, value) = line.split_once(':')?;
            let header = (name.trim().to_lowercase(), value.trim().to_string());
            message.headers.push(header);
        }
    }

    /// Reads a whole message; `None` if the connection ends before.
    pub fn read(&mut self) -> Option<Message> {
        let message = self.read_head()?;
        self.read_body(message)
    }

    /// Reads the body that a head announces.
    pub fn read_body(&mut self, head: Message) -> Option<Message> {
        let mut message = head;
        if message.header("transfer-encoding").contains("chunked") {
            loop {
                let size = usize::from_str_radix(self.line()?.trim(), 16).ok()?;
                let chunk = self.take(size)?;
                message.body.extend_from_slice(&chunk);
                self.line()?;
                if size == 0 {
                    break;
                }
            }
        } else if let Ok(length) = message.header("content-length").parse() {
            message.body = self.take(length)?;
        }
        Some(message)
    }

    pub fn send(&mut self, text: &str) -> bool {
        self.stream.write_all(text.as_bytes()).is_ok()
    }

    /// Sends a response with a length.
    pub fn answer(&mut self, status: u16, headers: &[(&str, &str)], body: &str) -> bool {
        let mut head = format!("HTTP/1.1 {status} x\r\nContent-Length: {}\r\n", body.len());
        for (name, value) in headers {
            head.push_str(&format!("{name}: {value}\r\n"));
        }
        head.push_str("\r\n");
        head.push_str(body);
        self.send(&head)
    }
}
