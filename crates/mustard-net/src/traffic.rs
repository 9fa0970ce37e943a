//! Counts the bytes of message bodies by path, so that control traffic is told from work.

/// Counts a message that this process sent, or its answer to one.
pub fn count_out(path: &'static str, bytes: usize) {
    count(path, "out", bytes);
}

/// Counts a message that this process received, or the answer to its own.
pub fn count_in(path: &'static str, bytes: usize) {
    count(path, "in", bytes);
}

fn count(path: &'static str, direction: &'static str, bytes: usize) {
    let labels = [("path", path), ("direction", direction)];
    metrics::counter!("mustard_message_bytes_total", &labels).increment(bytes as u64);
    metrics::counter!("mustard_messages_total", &labels).increment(1);
}
