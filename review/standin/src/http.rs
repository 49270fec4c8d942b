//! Messages of HTTP/1.1 over a blocking connection.

use std::io::BufRead;
use std::io::BufReader;
use std::io::Error;
use std::io::ErrorKind;
use std::io::Read;
use std::io::Result;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;

/// A request or a response.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Message {
    /// The first line: method, path and version, or version and status.
    pub start: String,
    /// Names in lower case, with their values.
    pub headers: Vec<(String, String)>,
    /// The body.
    pub body: Vec<u8>,
}

impl Message {
    /// Creates a message without headers; its length is added when it is written.
    pub fn new(start: impl Into<String>, body: impl Into<Vec<u8>>) -> Self {
        Self {
            start: start.into(),
            headers: Vec::new(),
            body: body.into(),
        }
    }

    /// Adds a header.
    pub fn with(mut self, name: &str, value: impl ToString) -> Self {
        self.headers.push((name.to_owned(), value.to_string()));
        self
    }

    /// Returns the first value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(known, _)| known == name);
        found.map(|(_, value)| value.as_str())
    }

    /// Returns the status of a response; 0 if there is none.
    pub fn status(&self) -> u16 {
        let status = self.start.split(' ').nth(1);
        status.and_then(|text| text.parse().ok()).unwrap_or(0)
    }

    /// Returns the target of a request.
    pub fn target(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or_default()
    }

    /// Returns the bytes on the wire.
    pub fn bytes(&self) -> Vec<u8> {
        let mut text = format!("{}\r\n", self.start);
        for (name, value) in &self.headers {
            text.push_str(&format!("{name}: {value}\r\n"));
        }
        text.push_str(&format!("content-length: {}\r\n\r\n", self.body.len()));
        let mut bytes = text.into_bytes();
        bytes.extend_from_slice(&self.body);
        bytes
    }
}

/// A connection of a server or of a caller.
#[derive(Debug)]
pub struct Connection {
    reader: BufReader<TcpStream>,
}

impl Connection {
    /// Wraps an accepted connection.
    pub fn new(stream: TcpStream) -> Self {
        // Only makes small messages leave sooner.
        let _ = stream.set_nodelay(true);
        Self {
            reader: BufReader::new(stream),
        }
    }

    /// Opens a connection, whose reads fail after `timeout`.
    pub fn open(address: SocketAddr, timeout: Duration) -> Result<Self> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        stream.set_read_timeout(Some(timeout))?;
        Ok(Self::new(stream))
    }

    /// Reads a message; none if the peer closed the connection before its first byte.
    pub fn read(&mut self) -> Result<Option<Message>> {
        let Some(start) = self.line()? else {
            return Ok(None);
        };
        let mut message = Message::new(start, Vec::new());
        loop {
            let line = self.line()?.ok_or(ErrorKind::UnexpectedEof)?;
            if line.is_empty() {
                break;
            }
            let (name, value) = line.split_once(':').ok_or(ErrorKind::InvalidData)?;
            let name = name.trim().to_ascii_lowercase();
            message.headers.push((name, value.trim().to_owned()));
        }
        let length = message.header("content-length");
        let length = length.map_or(Ok(0), str::parse).map_err(Error::other)?;
        message.body.resize(length, 0);
        self.reader.read_exact(&mut message.body)?;
        Ok(Some(message))
    }

    fn line(&mut self) -> Result<Option<String>> {
        let mut line = String::new();
        match self.reader.read_line(&mut line)? {
            0 => Ok(None),
            _ => Ok(Some(line.trim_end().to_owned())),
        }
    }

    /// Writes a message.
    pub fn write(&mut self, message: &Message) -> Result<()> {
        self.reader.get_mut().write_all(&message.bytes())
    }

    /// Sends a request and reads its response.
    pub fn exchange(&mut self, request: &Message) -> Result<Message> {
        self.write(request)?;
        self.read()?.ok_or_else(|| ErrorKind::UnexpectedEof.into())
    }
}
