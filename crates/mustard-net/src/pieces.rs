//! Bytes that arrive bit by bit, held in pieces of one size.

use ntex::util::{Bytes, BytesMut};

/// The size of a piece, in bytes.
const PIECE_BYTES: usize = 64 * 1024;

/// The bytes that have arrived so far.
///
/// A buffer that grows would be copied into ever larger ones, which leave memory of all sizes behind.
#[derive(Debug, Default)]
pub struct Pieces {
    full: Vec<BytesMut>,
    last: BytesMut,
    len: usize,
}

impl Pieces {
    /// Returns the number of bytes.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Returns whether nothing has arrived.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Adds bytes at the end.
    pub fn push(&mut self, mut bytes: &[u8]) {
        self.len += bytes.len();
        while !bytes.is_empty() {
            if self.last.len() == PIECE_BYTES {
                let next = BytesMut::with_capacity(PIECE_BYTES);
                self.full.push(std::mem::replace(&mut self.last, next));
            }
            let count = bytes.len().min(PIECE_BYTES - self.last.len());
            self.last.extend_from_slice(&bytes[..count]);
            bytes = &bytes[count..];
        }
    }

    /// Returns all bytes in one buffer.
    pub fn join(self) -> Bytes {
        if self.full.is_empty() {
            return self.last.freeze();
        }
        let mut bytes = BytesMut::with_capacity(self.len);
        for piece in self.full {
            bytes.extend_from_slice(&piece);
        }
        bytes.extend_from_slice(&self.last);
        bytes.freeze()
    }
}
