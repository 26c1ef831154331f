//! Finding the end of a message body in the bytes of a connection.

/// How the end of a body is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyFraming {
    /// By its length in bytes.
    Length(u64),
    /// By a last, empty chunk.
    Chunked,
}

/// The position within a chunked body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ChunkPosition {
    /// In the hexadecimal digits of a chunk's size; no `value` before the first one.
    Size { value: Option<u64> },
    /// Behind the digits, in the rest of the line.
    SizeLineRest { value: u64 },
    /// In the data of a chunk, or in the line end behind it.
    Data { left: u64 },
    /// In the trailer section, which an empty line ends.
    Trailer { line_is_empty: bool },
    /// Behind the last byte.
    End,
    /// The bytes are no chunked body, so that its end is not known.
    Malformed,
}

/// The length of the line end behind a chunk's data.
const LINE_END_BYTES: u64 = 2;

impl ChunkPosition {
    /// Moves over as many bytes as one step takes, at least one, and returns their number. `bytes` must not be empty.
    fn step(&mut self, bytes: &[u8]) -> usize {
        let byte = bytes[0];
        *self = match *self {
            Self::Data { left } => {
                let taken = left.min(bytes.len() as u64);
                let next = Self::Size { value: None };
                *self = if left == taken { next } else { Self::Data { left: left - taken } };
                return taken as usize;
            }
            Self::Size { value } => match (char::from(byte).to_digit(16), value) {
                (Some(digit), _) => Self::add_digit(value.unwrap_or_default(), digit),
                (None, Some(value)) => Self::SizeLineRest { value }.after_size(byte),
                (None, None) => Self::Malformed,
            },
            Self::SizeLineRest { .. } => self.after_size(byte),
            Self::Trailer { line_is_empty: true } if byte == b'\n' => Self::End,
            Self::Trailer { line_is_empty } => {
                Self::Trailer { line_is_empty: byte == b'\n' || (line_is_empty && byte == b'\r') }
            }
            Self::End | Self::Malformed => *self,
        };
        1
    }

    /// The position after another `digit` of a chunk's size, which was `value` before it.
    fn add_digit(value: u64, digit: u32) -> Self {
        let shifted = value.checked_mul(16);
        shifted.map_or(Self::Malformed, |shifted| Self::Size { value: Some(shifted | u64::from(digit)) })
    }

    /// The position after `byte`, which follows the digits of a chunk's size.
    fn after_size(self, byte: u8) -> Self {
        match self {
            Self::SizeLineRest { value: 0 } if byte == b'\n' => Self::Trailer { line_is_empty: true },
            Self::SizeLineRest { value } if byte == b'\n' => {
                value.checked_add(LINE_END_BYTES).map_or(Self::Malformed, |left| Self::Data { left })
            }
            unchanged => unchanged,
        }
    }
}

/// Scans the bytes of a body for its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyScanner {
    /// A body of which this number of bytes is left.
    Length(u64),
    /// A chunked body.
    Chunked(ChunkedScanner),
}

/// Scans the bytes of a chunked body for its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ChunkedScanner(ChunkPosition);

impl BodyScanner {
    /// Creates a scanner at the beginning of a body.
    pub fn new(framing: BodyFraming) -> Self {
        match framing {
            BodyFraming::Length(bytes) => BodyScanner::Length(bytes),
            BodyFraming::Chunked => BodyScanner::Chunked(ChunkedScanner(ChunkPosition::Size { value: None })),
        }
    }

    /// Scans the next bytes of the connection and returns those that follow the body.
    pub fn scan<'a>(&mut self, mut bytes: &'a [u8]) -> &'a [u8] {
        match self {
            BodyScanner::Length(left) => {
                let taken = (*left).min(bytes.len() as u64);
                *left -= taken;
                &bytes[taken as usize..]
            }
            BodyScanner::Chunked(ChunkedScanner(position)) => {
                while !bytes.is_empty() && *position != ChunkPosition::End {
                    bytes = &bytes[position.step(bytes)..];
                }
                bytes
            }
        }
    }

    /// Whether the end of the body has been scanned.
    pub fn is_complete(&self) -> bool {
        matches!(self, BodyScanner::Length(0) | BodyScanner::Chunked(ChunkedScanner(ChunkPosition::End)))
    }
}
