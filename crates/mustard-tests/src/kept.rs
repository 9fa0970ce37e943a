//! A server that keeps its connections.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;

/// Starts a server that answers the requests on each connection with `answers`, one after the other and again and
/// again. Returns its address and the number of connections, which grows.
///
/// # Errors
///
/// Returns an error if no port can be opened.
pub fn start_keeping_server(
    answers: Vec<String>,
) -> std::io::Result<(SocketAddr, Arc<AtomicUsize>)> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let addr = listener.local_addr()?;
    let opened = Arc::<AtomicUsize>::default();
    let count = Arc::clone(&opened);
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            count.fetch_add(1, Ordering::SeqCst);
            let answers = answers.clone();
            thread::spawn(move || {
                for answer in answers.iter().cycle() {
                    let read = stream.read(&mut [0; 4_096]).unwrap_or(0);
                    if read == 0 || stream.write_all(answer.as_bytes()).is_err() {
                        return;
                    }
                }
            });
        }
    });
    Ok((addr, opened))
}
