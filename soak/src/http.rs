//! The subset of HTTP/1.1 that the stand-ins and the clients use. It shares no code with the gateway, so that a fault
//! in the gateway's parser cannot hide behind the same fault here.

use std::collections::HashMap;
use std::future::Future;
use std::io;
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;

/// Longer heads are rejected as malformed.
const MAX_HEAD_BYTES: usize = 64 * 1024;

/// A stream of bytes that is read through a buffer.
pub trait Buffered {
    /// The bytes that were read and are not yet consumed.
    fn buffer(&mut self) -> &mut Vec<u8>;
    /// Reads more bytes into the buffer and returns their number; 0 at the end of the stream.
    fn fill(&mut self) -> impl Future<Output = io::Result<usize>> + Send;
}

/// The head of a request or a response.
#[derive(Debug)]
pub struct Head {
    /// The request line or the status line.
    pub start_line: String,
    /// The header fields by their names in lower case.
    pub fields: HashMap<String, String>,
}

impl Head {
    /// Returns the value of a header field; `name` is in lower case.
    pub fn field(&self, name: &str) -> Option<&str> {
        self.fields.get(name).map(String::as_str)
    }

    /// Returns the target of a request; empty if the request line has none.
    pub fn target(&self) -> &str {
        self.start_line.split(' ').nth(1).unwrap_or_default()
    }

    /// Returns the status of a response; 0 if the status line has no valid one.
    pub fn status(&self) -> u16 {
        self.start_line.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }
}

/// Returns the value of a key in the query of a request target.
pub fn query_value<'a>(target: &'a str, name: &str) -> Option<&'a str> {
    let (_, query) = target.split_once('?')?;
    query
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .find(|(key, _)| *key == name)
        .map(|(_, value)| value)
}

fn malformed(what: &'static str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, what)
}

/// The error for a stream that ended in the middle of a message.
fn unexpected_eof() -> io::Error {
    io::ErrorKind::UnexpectedEof.into()
}

/// Reads more bytes; fails with `UnexpectedEof` at the end of the stream.
async fn fill_or_eof<S: Buffered>(from: &mut S) -> io::Result<()> {
    if from.fill().await? == 0 {
        return Err(unexpected_eof());
    }
    Ok(())
}

/// Reads a head; `None` if the stream ends before its first byte.
///
/// Fails on an error of the stream, if the stream ends within the head, and if the head is too long or not UTF-8.
pub async fn read_head<S: Buffered>(from: &mut S) -> io::Result<Option<Head>> {
    while from.buffer().is_empty() {
        if from.fill().await? == 0 {
            return Ok(None);
        }
    }
    let length = loop {
        if let Some(at) = from.buffer().windows(4).position(|w| w == b"\r\n\r\n") {
            break at + 4;
        }
        if from.buffer().len() > MAX_HEAD_BYTES {
            return Err(malformed("the head is too long"));
        }
        fill_or_eof(from).await?;
    };
    let bytes: Vec<u8> = from.buffer().drain(..length).collect();
    let text = String::from_utf8(bytes).map_err(|_| malformed("the head is not UTF-8"))?;
    let mut lines = text.split("\r\n");
    let start_line = lines.next().unwrap_or_default().to_owned();
    let fields = lines.filter_map(|l| l.split_once(':'));
    let fields = fields.map(|(n, v)| (n.to_ascii_lowercase(), v.trim().to_owned())).collect();
    Ok(Some(Head { start_line, fields }))
}

/// The parts of a body that are inspected: its length and its first bytes.
#[derive(Debug, Default)]
pub struct BodySummary {
    /// The length in bytes.
    pub length: u64,
    /// The first bytes, at most 16.
    pub prefix: Vec<u8>,
}

/// The number of bytes of a body that a summary keeps.
const PREFIX_BYTES: usize = 16;

impl BodySummary {
    /// Adds the next bytes of the body.
    fn add(&mut self, bytes: &[u8]) {
        self.length += bytes.len() as u64;
        let missing = PREFIX_BYTES.saturating_sub(self.prefix.len());
        self.prefix.extend_from_slice(&bytes[..bytes.len().min(missing)]);
    }
}

async fn read_exactly<S: Buffered>(
    from: &mut S,
    mut remaining: u64,
    summary: &mut BodySummary,
) -> io::Result<()> {
    while remaining > 0 {
        if from.buffer().is_empty() {
            fill_or_eof(from).await?;
        }
        let buffer = from.buffer();
        let n = buffer.len().min(usize::try_from(remaining).unwrap_or(usize::MAX));
        summary.add(&buffer[..n]);
        buffer.drain(..n);
        remaining -= n as u64;
    }
    Ok(())
}

async fn read_line<S: Buffered>(from: &mut S) -> io::Result<String> {
    loop {
        if let Some(at) = from.buffer().iter().position(|b| *b == b'\n') {
            let line: Vec<u8> = from.buffer().drain(..=at).collect();
            return String::from_utf8(line)
                .map(|l| l.trim().to_owned())
                .map_err(|_| malformed("a line of the chunked body is not UTF-8"));
        }
        fill_or_eof(from).await?;
    }
}

async fn read_chunks<S: Buffered>(from: &mut S, summary: &mut BodySummary) -> io::Result<()> {
    loop {
        let line = read_line(from).await?;
        let size = line.split(';').next().unwrap_or_default();
        let size = u64::from_str_radix(size.trim(), 16).map_err(|_| malformed("invalid chunk size"))?;
        if size == 0 {
            while !read_line(from).await?.is_empty() {}
            return Ok(());
        }
        read_exactly(from, size, summary).await?;
        read_line(from).await?;
    }
}

/// Reads a body to its end. A body without a length ends with the stream if `until_eof` is set, else it is empty.
pub async fn read_body<S: Buffered>(from: &mut S, head: &Head, until_eof: bool) -> io::Result<BodySummary> {
    let mut summary = BodySummary::default();
    let length = head.field("content-length").and_then(|v| v.parse().ok());
    if head.field("transfer-encoding").is_some() {
        read_chunks(from, &mut summary).await?;
    } else if let Some(length) = length {
        read_exactly(from, length, &mut summary).await?;
    } else if until_eof {
        loop {
            let bytes = std::mem::take(from.buffer());
            summary.add(&bytes);
            if from.fill().await? == 0 {
                break;
            }
        }
    }
    Ok(summary)
}

/// A TCP connection with a read buffer.
pub struct PlainStream {
    /// The TCP connection.
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl PlainStream {
    /// Creates a stream with an empty buffer.
    pub fn new(stream: TcpStream) -> Self {
        PlainStream { stream, buffer: Vec::new() }
    }
}

impl Buffered for PlainStream {
    fn buffer(&mut self) -> &mut Vec<u8> {
        &mut self.buffer
    }

    async fn fill(&mut self) -> io::Result<usize> {
        self.stream.read_buf(&mut self.buffer).await
    }
}
