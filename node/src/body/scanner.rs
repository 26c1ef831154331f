//! Finding the end of a message body in the bytes of a connection.

/// How the end of a body is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyFraming {
    /// By its length in bytes.
    Length(u64),
    /// By a last, empty chunk.
    Chunked,
}

/// The position within a chunked body. Lines end with CRLF alone, as the HTTP library has it: where two readers of a body
/// took different bytes for its end, one would wait for a rest that the other one does not expect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ChunkPosition {
    /// In the hexadecimal digits of a chunk's size; no `value` before the first one.
    Size { value: Option<u64> },
    /// In white space behind the digits.
    SizeSpace { value: u64 },
    /// In the extensions of a chunk.
    Extension { value: u64 },
    /// Before the line feed that ends the line of a chunk's size.
    SizeLineFeed { value: u64 },
    /// In the data of a chunk.
    Data { left: u64 },
    /// Before the carriage return behind a chunk's data.
    DataCarriageReturn,
    /// Before the line feed behind a chunk's data.
    DataLineFeed,
    /// At the beginning of a line of the trailer section, which an empty line ends.
    TrailerStart,
    /// Within a line of the trailer section.
    TrailerLine,
    /// Before the line feed that ends a line of the trailer section.
    TrailerLineFeed,
    /// Before the last byte.
    LastLineFeed,
    /// Behind the last byte.
    End,
    /// The bytes are no chunked body, so that its end is not known.
    Malformed,
}

impl ChunkPosition {
    /// Moves over as many bytes as one step takes, at least one, and returns their number. `bytes` must not be empty.
    fn step(&mut self, bytes: &[u8]) -> usize {
        if let Self::Data { left } = *self {
            let taken = left.min(bytes.len() as u64);
            *self = if left == taken { Self::DataCarriageReturn } else { Self::Data { left: left - taken } };
            return taken as usize;
        }
        *self = self.after(bytes[0]);
        1
    }

    /// The position after `byte`, which is not in the data of a chunk.
    fn after(self, byte: u8) -> Self {
        match (self, byte) {
            (Self::Size { value }, byte) => Self::after_size(value, byte),
            (Self::SizeSpace { value }, byte) => Self::after_digits(value, byte),
            (Self::Extension { value }, b'\r') => Self::SizeLineFeed { value },
            (Self::Extension { .. }, b'\n') => Self::Malformed,
            (Self::Extension { .. }, _) => self,
            (Self::SizeLineFeed { value: 0 }, b'\n') => Self::TrailerStart,
            (Self::SizeLineFeed { value }, b'\n') => Self::Data { left: value },
            (Self::DataCarriageReturn, b'\r') => Self::DataLineFeed,
            (Self::DataLineFeed, b'\n') => Self::Size { value: None },
            (Self::TrailerStart, b'\r') => Self::LastLineFeed,
            (Self::TrailerLine, b'\r') => Self::TrailerLineFeed,
            (Self::TrailerStart | Self::TrailerLine, _) => Self::TrailerLine,
            (Self::TrailerLineFeed, b'\n') => Self::TrailerStart,
            (Self::LastLineFeed, b'\n') => Self::End,
            (Self::End, _) => Self::End,
            _ => Self::Malformed,
        }
    }

    /// The position after `byte`, which is another digit of a chunk's size or follows its digits.
    fn after_size(value: Option<u64>, byte: u8) -> Self {
        match (char::from(byte).to_digit(16), value) {
            (Some(digit), _) => Self::add_digit(value.unwrap_or_default(), digit),
            (None, Some(value)) => Self::after_digits(value, byte),
            (None, None) => Self::Malformed,
        }
    }

    /// The position after another `digit` of a chunk's size, which was `value` before it.
    fn add_digit(value: u64, digit: u32) -> Self {
        let shifted = value.checked_mul(16);
        shifted.map_or(Self::Malformed, |shifted| Self::Size { value: Some(shifted | u64::from(digit)) })
    }

    /// The position after `byte`, which follows the digits of a chunk's size.
    fn after_digits(value: u64, byte: u8) -> Self {
        match byte {
            b' ' | b'\t' => Self::SizeSpace { value },
            b';' => Self::Extension { value },
            b'\r' => Self::SizeLineFeed { value },
            _ => Self::Malformed,
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
