//! As much of HTTP/1.1 as the stand-ins and the clients speak, written apart from the gateway's.

use std::collections::HashMap;
use std::future::Future;
use std::io;
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;

/// A head longer than this is none.
const MAX_HEAD_BYTES: usize = 64 * 1024;

/// Something that bytes are read from through a buffer.
pub trait Buffered {
    /// What has been read and not been used.
    fn buffer(&mut self) -> &mut Vec<u8>;
    /// Reads more; 0 at the end.
    fn fill(&mut self) -> impl Future<Output = io::Result<usize>> + Send;
}

/// The head of a message.
#[derive(Debug)]
pub struct Head {
    /// Its first line.
    pub line: String,
    /// Its fields, by their names in small letters.
    pub fields: HashMap<String, String>,
}

impl Head {
    /// A field's value.
    pub fn field(&self, name: &str) -> Option<&str> {
        self.fields.get(name).map(String::as_str)
    }

    /// A request's target.
    pub fn target(&self) -> &str {
        self.line.split(' ').nth(1).unwrap_or_default()
    }

    /// An answer's status; 0 where it has none.
    pub fn status(&self) -> u16 {
        self.line.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }
}

/// A value in the query of a target.
pub fn query_value<'a>(target: &'a str, name: &str) -> Option<&'a str> {
    let (_, query) = target.split_once('?')?;
    query.split('&').filter_map(|pair| pair.split_once('=')).find(|(n, _)| *n == name).map(|(_, v)| v)
}

fn malformed(what: &'static str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, what)
}

/// Where the stream ended.
fn ended() -> io::Error {
    io::ErrorKind::UnexpectedEof.into()
}

async fn more<S: Buffered>(from: &mut S) -> io::Result<()> {
    if from.fill().await? == 0 {
        return Err(ended());
    }
    Ok(())
}

/// Reads a head; `None` where the stream ends before its first byte.
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
            return Err(malformed("no end of the head"));
        }
        more(from).await?;
    };
    let bytes: Vec<u8> = from.buffer().drain(..length).collect();
    let text = String::from_utf8(bytes).map_err(|_| malformed("head"))?;
    let mut lines = text.split("\r\n");
    let line = lines.next().unwrap_or_default().to_owned();
    let fields = lines.filter_map(|l| l.split_once(':'));
    let fields = fields.map(|(n, v)| (n.to_ascii_lowercase(), v.trim().to_owned())).collect();
    Ok(Some(Head { line, fields }))
}

/// A body as far as it is looked at: its length and its beginning.
#[derive(Debug, Default)]
pub struct BodySeen {
    /// Its length in bytes.
    pub length: u64,
    /// Its first bytes.
    pub beginning: Vec<u8>,
}

/// Bytes of a body's beginning that are kept.
const BEGINNING: usize = 16;

impl BodySeen {
    fn take(&mut self, bytes: &[u8]) {
        self.length += bytes.len() as u64;
        let room = BEGINNING.saturating_sub(self.beginning.len());
        self.beginning.extend_from_slice(&bytes[..bytes.len().min(room)]);
    }
}

async fn read_exactly<S: Buffered>(from: &mut S, mut left: u64, seen: &mut BodySeen) -> io::Result<()> {
    while left > 0 {
        if from.buffer().is_empty() {
            more(from).await?;
        }
        let buffer = from.buffer();
        let n = buffer.len().min(usize::try_from(left).unwrap_or(usize::MAX));
        seen.take(&buffer[..n]);
        buffer.drain(..n);
        left -= n as u64;
    }
    Ok(())
}

async fn read_line<S: Buffered>(from: &mut S) -> io::Result<String> {
    loop {
        if let Some(at) = from.buffer().iter().position(|b| *b == b'\n') {
            let line: Vec<u8> = from.buffer().drain(..=at).collect();
            return String::from_utf8(line).map(|l| l.trim().to_owned()).map_err(|_| malformed("line"));
        }
        more(from).await?;
    }
}

async fn read_chunks<S: Buffered>(from: &mut S, seen: &mut BodySeen) -> io::Result<()> {
    loop {
        let line = read_line(from).await?;
        let size = line.split(';').next().unwrap_or_default();
        let size = u64::from_str_radix(size.trim(), 16).map_err(|_| malformed("chunk"))?;
        if size == 0 {
            while !read_line(from).await?.is_empty() {}
            return Ok(());
        }
        read_exactly(from, size, seen).await?;
        read_line(from).await?;
    }
}

/// Reads a body to its end; one without a length goes to the end of the stream where `to_end` allows it.
pub async fn read_body<S: Buffered>(from: &mut S, head: &Head, to_end: bool) -> io::Result<BodySeen> {
    let mut seen = BodySeen::default();
    let length = head.field("content-length").and_then(|v| v.parse().ok());
    if head.field("transfer-encoding").is_some() {
        read_chunks(from, &mut seen).await?;
    } else if let Some(length) = length {
        read_exactly(from, length, &mut seen).await?;
    } else if to_end {
        loop {
            let bytes = std::mem::take(from.buffer());
            seen.take(&bytes);
            if from.fill().await? == 0 {
                break;
            }
        }
    }
    Ok(seen)
}

/// A plain connection with a buffer.
pub struct PlainStream {
    /// The connection.
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl PlainStream {
    /// Nothing has been read from it yet.
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
