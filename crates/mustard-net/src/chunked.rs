//! Decodes bodies in the chunked transfer coding (RFC 9112, section 7.1).

use ntex::util::{Bytes, BytesMut};

use crate::errors::{CallError, Result};

/// The longest line with the size of a chunk, extensions included, and the longest trailer section.
const MAX_LINE_BYTES: usize = 4 * 1024;

/// A decoder of one body.
#[derive(Debug, Default)]
pub(crate) struct ChunkedDecoder {
    state: State,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum State {
    /// Before the line with a chunk's size.
    #[default]
    Size,
    /// So many bytes of a chunk are left.
    Data(u64),
    /// Before the end of the line after a chunk.
    DataEnd,
    /// After the last chunk; so many bytes of trailers were read.
    Trailers(usize),
    /// After the body.
    End,
}

impl ChunkedDecoder {
    /// Returns whether the body has ended.
    pub(crate) fn is_over(&self) -> bool {
        self.state == State::End
    }

    /// Removes and returns the next piece of the body, empty at its end; `None` if more bytes are
    /// needed.
    ///
    /// # Errors
    ///
    /// Returns an error if the bytes aren't a chunked body, or a line is too long.
    pub(crate) fn decode(&mut self, buffer: &mut BytesMut) -> Result<Option<Bytes>> {
        loop {
            match self.state {
                State::Size => {
                    let Some(line) = take_line(buffer)? else {
                        return Ok(None);
                    };
                    self.state = match parse_size(&line)? {
                        0 => State::Trailers(0),
                        size => State::Data(size),
                    };
                }
                State::Data(_) if buffer.is_empty() => return Ok(None),
                State::Data(left) => {
                    let count = left.min(buffer.len() as u64);
                    self.state = match left - count {
                        0 => State::DataEnd,
                        left => State::Data(left),
                    };
                    return Ok(Some(buffer.split_to(count as usize)));
                }
                State::DataEnd => {
                    let Some(line) = take_line(buffer)? else {
                        return Ok(None);
                    };
                    if !line.is_empty() {
                        return Err(malformed("a chunk is longer than its size"));
                    }
                    self.state = State::Size;
                }
                State::Trailers(read) => {
                    let Some(line) = take_line(buffer)? else {
                        return Ok(None);
                    };
                    let read = read + line.len();
                    if read > MAX_LINE_BYTES {
                        return Err(malformed("the trailers are too long"));
                    }
                    self.state = if line.is_empty() {
                        State::End
                    } else {
                        check_trailer(&line)?;
                        State::Trailers(read)
                    };
                }
                State::End => return Ok(Some(Bytes::new())),
            }
        }
    }
}

/// Removes and returns a line without its end; `None` if it is incomplete.
fn take_line(buffer: &mut BytesMut) -> Result<Option<Bytes>> {
    let Some(end) = buffer.iter().position(|b| *b == b'\n') else {
        return if buffer.len() > MAX_LINE_BYTES {
            Err(malformed("a line is too long"))
        } else {
            Ok(None)
        };
    };
    let line = buffer.split_to(end + 1);
    let Some(line) = line.strip_suffix(b"\r\n") else {
        return Err(malformed("a line doesn't end with CR LF"));
    };
    if line.len() > MAX_LINE_BYTES {
        return Err(malformed("a line is too long"));
    }
    Ok(Some(Bytes::copy_from_slice(line)))
}

/// Checks that a line of the trailers, which are otherwise ignored, is a header.
fn check_trailer(line: &[u8]) -> Result<()> {
    let mut list = [httparse::EMPTY_HEADER; 1];
    let section = [line, b"\r\n\r\n"].concat();
    match httparse::parse_headers(&section, &mut list) {
        Ok(httparse::Status::Complete(_)) => Ok(()),
        _ => Err(malformed("a trailer isn't a header")),
    }
}

fn parse_size(line: &[u8]) -> Result<u64> {
    let is_control = |b: &u8| b.is_ascii_control() && *b != b'\t';
    if line.iter().any(is_control) {
        return Err(malformed("a control byte in the line of a chunk"));
    }
    let digits = line.split(|b| *b == b';').next().unwrap_or_default();
    let text = std::str::from_utf8(digits).unwrap_or_default();
    let text = text.trim_end_matches([' ', '\t']);
    let is_hex = !text.is_empty() && text.bytes().all(|b| b.is_ascii_hexdigit());
    let size = u64::from_str_radix(text, 16);
    size.ok()
        .filter(|_| is_hex)
        .ok_or_else(|| malformed("the size of a chunk isn't a number"))
}

fn malformed(what: &str) -> CallError {
    CallError::Lost(what.to_owned())
}
