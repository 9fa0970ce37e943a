//! A client whose body looks like further requests, on a connection that it keeps.

use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::thread;
use std::time::Duration;

/// The pause before each piece of the body, which makes it arrive by itself.
const PIECE_PAUSE: Duration = Duration::from_millis(12);
/// The segment before which an upload stalls: head, size of the chunk and some pieces were sent.
const STALL_SEGMENT: usize = 5;
/// How long the client waits for further answers after the last one.
const QUIET_TIME: Duration = Duration::from_millis(700);
/// How long it waits for the first answer.
const ANSWER_TIME: Duration = Duration::from_secs(20);

/// How a body is framed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// With a length.
    Length,
    /// As a single chunk.
    OneChunk,
    /// Each piece as a chunk.
    Chunks,
}

impl Framing {
    /// All of them.
    pub const ALL: [Framing; 3] = [Framing::Length, Framing::OneChunk, Framing::Chunks];
}

/// A request whose body consists of pieces that arrive one by one.
#[derive(Clone, Debug)]
pub struct Upload {
    head: String,
    pieces: Vec<String>,
    framing: Framing,
    next: Option<String>,
    is_joined: bool,
    stall: Duration,
}

/// What a client received on a connection.
#[derive(Clone, Debug)]
pub struct Received {
    /// The status of each final answer, in order.
    pub statuses: Vec<u16>,
    /// All that was received.
    pub text: String,
    /// Whether the connection was reset.
    pub is_reset: bool,
}

impl Upload {
    /// Creates an upload; `head` has the request line and the headers, each with the end of its line, without those
    /// that frame the body.
    pub fn new(head: impl Into<String>, pieces: Vec<String>, framing: Framing) -> Self {
        Upload {
            head: head.into(),
            pieces,
            framing,
            next: None,
            is_joined: false,
            stall: Duration::ZERO,
        }
    }

    /// Sends another request once the body is complete.
    #[must_use]
    pub fn then(mut self, next: impl Into<String>) -> Self {
        self.next = Some(next.into());
        self
    }

    /// Sends nothing for a time after the first pieces of the body.
    #[must_use]
    pub fn stalling(mut self, time: Duration) -> Self {
        self.stall = time;
        self
    }

    /// Sends everything in one piece.
    #[must_use]
    pub fn joined(mut self) -> Self {
        self.is_joined = true;
        self
    }

    fn segments(&self) -> Vec<String> {
        let total: usize = self.pieces.iter().map(String::len).sum();
        let framing = match self.framing {
            Framing::Length => format!("content-length: {total}\r\n\r\n"),
            _ => "transfer-encoding: chunked\r\n\r\n".to_owned(),
        };
        let mut list = vec![format!("{}{framing}", self.head)];
        if self.framing == Framing::OneChunk {
            list.push(format!("{total:x}\r\n"));
        }
        for piece in &self.pieces {
            list.push(match self.framing {
                Framing::Chunks => format!("{:x}\r\n{piece}\r\n", piece.len()),
                _ => piece.clone(),
            });
        }
        match self.framing {
            Framing::Length => {}
            Framing::OneChunk => list.push("\r\n0\r\n\r\n".to_owned()),
            Framing::Chunks => list.push("0\r\n\r\n".to_owned()),
        }
        list.extend(self.next.clone());
        if self.is_joined {
            list = vec![list.concat()];
        }
        list
    }

    /// Sends the upload over a connection of its own and reads answers until no more come.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection can't be opened.
    pub fn send(&self, to: SocketAddr) -> std::io::Result<Received> {
        let mut stream = TcpStream::connect(to)?;
        stream.set_nodelay(true)?;
        let reader = stream.try_clone()?;
        let reading = thread::spawn(move || read_answers(reader));
        for (number, segment) in self.segments().into_iter().enumerate() {
            thread::sleep(PIECE_PAUSE);
            if number == STALL_SEGMENT {
                thread::sleep(self.stall);
            }
            // The receiver may have closed the connection after its answer.
            if stream.write_all(segment.as_bytes()).is_err() {
                break;
            }
        }
        let received = reading.join().unwrap_or_else(|_| Received::nothing());
        // The receiver may be gone already.
        let _ = stream.shutdown(Shutdown::Both);
        Ok(received)
    }
}

impl Received {
    fn nothing() -> Self {
        Received {
            statuses: Vec::new(),
            text: String::new(),
            is_reset: true,
        }
    }

    /// Returns whether an answer announced the end of the connection.
    pub fn announces_close(&self) -> bool {
        self.text
            .to_ascii_lowercase()
            .contains("\r\nconnection: close\r\n")
    }
}

fn read_answers(mut stream: TcpStream) -> Received {
    let mut bytes = Vec::new();
    let mut is_reset = false;
    loop {
        let limit = if bytes.is_empty() {
            ANSWER_TIME
        } else {
            QUIET_TIME
        };
        if stream.set_read_timeout(Some(limit)).is_err() {
            break;
        }
        let mut buffer = [0; 4_096];
        match stream.read(&mut buffer) {
            Ok(0) => break,
            Ok(count) => bytes.extend_from_slice(&buffer[..count]),
            Err(e) => {
                is_reset = e.kind() == ErrorKind::ConnectionReset;
                break;
            }
        }
    }
    let text = String::from_utf8_lossy(&bytes).into_owned();
    let statuses = text.split("HTTP/1.1 ").skip(1);
    let statuses = statuses.filter_map(|answer| answer.get(..3)?.parse().ok());
    Received {
        statuses: statuses.filter(|status| *status != 100).collect(),
        text,
        is_reset,
    }
}
