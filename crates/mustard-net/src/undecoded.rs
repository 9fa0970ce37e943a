//! Limits what a connection holds below the HTTP decoder, which keeps incomplete lines without a limit.

use ntex::io::FilterBuf;

use crate::server::MAX_HEADER_BYTES;

/// The most bytes that may wait to be decoded. Only an incomplete head or an endless line of a chunk exceeds
/// it: reading pauses long before, while the bytes of a body or of further messages wait.
pub(crate) const MAX_UNDECODED: usize = 2 * MAX_HEADER_BYTES;

/// Passes received bytes on to the decoder and returns the number of those that wait for it.
pub(crate) fn pass_received(buf: &FilterBuf<'_>) -> usize {
    buf.with_read_buffers(|received, undecoded| {
        if let Some(received) = received {
            if undecoded.is_empty() {
                std::mem::swap(received, undecoded);
            } else {
                undecoded.extend_from_slice(received);
                received.clear();
            }
        }
        undecoded.len()
    })
}

/// Passes written bytes on to the connection and returns the number of those that wait to be sent.
pub(crate) fn pass_written(buf: &FilterBuf<'_>) -> usize {
    buf.with_write_buffers(|written, unsent| {
        // Appending fills pages up with short answers, where moving would leave a page to each of them.
        while let Some(page) = written.take() {
            unsent.append(page);
        }
        unsent.len()
    })
}
