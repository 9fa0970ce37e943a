//! Counts messages and the bytes of their bodies by path, so that the metrics tell control traffic
//! from the traffic of requests.

/// Counts a message or an answer that this process sent.
pub fn count_sent(path: &'static str, bytes: usize) {
    count_message(path, "out", bytes);
}

/// Counts a message or an answer that this process received.
pub fn count_received(path: &'static str, bytes: usize) {
    count_message(path, "in", bytes);
}

fn count_message(path: &'static str, direction: &'static str, bytes: usize) {
    let labels = [("path", path), ("direction", direction)];
    metrics::counter!("mustard_message_bytes_total", &labels).increment(bytes as u64);
    metrics::counter!("mustard_messages_total", &labels).increment(1);
}
