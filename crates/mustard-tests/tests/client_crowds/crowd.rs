//! Clients that hold on to connections, and the footprint of the process that they press.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use rustix::process::{Resource, Rlimit, getrlimit, setrlimit};
use socket2::{Domain, Socket, Type};

use mustard_tests::wait::WAIT_LIMIT;

/// The memory of the smallest machine that runs a process of the system, in bytes.
pub(crate) const SMALLEST_MACHINE: u64 = 160_000_000;
/// How long a client tries to send; only clients that the process no longer reads need so long.
const SEND_LIMIT: Duration = Duration::from_secs(10);
const CONNECT_LIMIT: Duration = Duration::from_secs(2);

static CROWD_LOCK: Mutex<()> = Mutex::new(());

/// Lets one crowd run at a time.
pub(crate) fn lock_crowds() -> MutexGuard<'static, ()> {
    CROWD_LOCK.lock().unwrap_or_else(PoisonError::into_inner)
}

/// What follows the head of a request, in the order of sending.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Body {
    /// Announced with `announced` bytes, of which `sent` follow in pieces of `piece` bytes.
    Length {
        announced: u64,
        sent: usize,
        piece: usize,
    },
    /// Chunks of `chunk` bytes, `sent` bytes in all, without the last chunk.
    Chunks { chunk: usize, sent: usize },
    /// One chunk whose extension has `sent` bytes and no end.
    Extension { sent: usize },
    /// A complete chunked body and a trailer section of `sent` bytes that has no end.
    Trailers { sent: usize },
}

impl Body {
    /// A body of `size` bytes of which all but the last one follow at once.
    pub(crate) fn just_short(size: usize) -> Self {
        Body::in_pieces(size, size)
    }

    /// A body of `size` bytes of which all but the last one follow in pieces.
    pub(crate) fn in_pieces(size: usize, piece: usize) -> Self {
        Body::Length {
            announced: size as u64,
            sent: size - 1,
            piece,
        }
    }

    /// Returns the header that says how the body is framed.
    fn framing(self) -> String {
        match self {
            Body::Length { announced, .. } => format!("content-length: {announced}\r\n"),
            _ => "transfer-encoding: chunked\r\n".to_owned(),
        }
    }

    /// Sends the body; returns an error if the receiver stops reading or closes the connection.
    fn send(self, stream: &mut TcpStream) -> std::io::Result<()> {
        match self {
            Body::Length { sent, piece, .. } => send_repeated(stream, &vec![b'x'; piece], sent),
            Body::Chunks { chunk, sent } => {
                let mut one = format!("{chunk:x}\r\n").into_bytes();
                one.resize(one.len() + chunk, b'x');
                one.extend_from_slice(b"\r\n");
                let count = sent.div_ceil(chunk);
                // Many small chunks go out with one write.
                let batch = one.repeat((16_384 / one.len()).clamp(1, count));
                send_repeated(stream, &batch, count * one.len())
            }
            Body::Extension { sent } => {
                stream.write_all(b"1;")?;
                send_repeated(stream, &[b'e'; 16_384], sent)
            }
            Body::Trailers { sent } => {
                stream.write_all(b"1\r\nx\r\n0\r\n")?;
                send_repeated(stream, &b"trailer: x\r\n".repeat(1_024), sent)
            }
        }
    }
}

/// Sends `total` bytes that repeat `piece`.
fn send_repeated(stream: &mut TcpStream, piece: &[u8], total: usize) -> std::io::Result<()> {
    let until = Instant::now() + SEND_LIMIT;
    let mut left = total;
    while left > 0 {
        if Instant::now() > until {
            return Err(std::io::ErrorKind::TimedOut.into());
        }
        let count = left.min(piece.len());
        stream.write_all(&piece[..count])?;
        left -= count;
    }
    Ok(())
}

/// The head of a request without the header that frames its body, and how often it is sent with it.
#[derive(Clone, Debug)]
pub(crate) struct Sent {
    /// The request line and the headers, without the empty line.
    pub(crate) head: String,
    pub(crate) body: Body,
    /// Complete requests with bodies of so many bytes that go out first on the same connection.
    pub(crate) pipelined: (usize, usize),
}

impl Sent {
    pub(crate) fn new(head: &str, body: Body) -> Self {
        Sent {
            head: head.to_owned(),
            body,
            pipelined: (0, 0),
        }
    }

    fn send(&self, stream: &mut TcpStream) -> std::io::Result<()> {
        let (count, size) = self.pipelined;
        for _ in 0..count {
            let head = format!("{}content-length: {size}\r\n\r\n", self.head);
            stream.write_all(head.as_bytes())?;
            send_repeated(stream, &vec![b'x'; size], size)?;
        }
        let head = format!("{}{}\r\n", self.head, self.body.framing());
        stream.write_all(head.as_bytes())?;
        self.body.send(stream)
    }
}

/// Connections of clients that have sent what they had and keep them open.
pub(crate) struct Crowd {
    _streams: Vec<TcpStream>,
}

impl Crowd {
    /// Connects `count` clients that send `request` at the same time, and waits until each has sent all of it
    /// or can't go on. Ids in the head that read `{id}` differ.
    pub(crate) fn send(to: SocketAddr, count: usize, request: &Sent) -> Self {
        let clients: Vec<_> = (0..count)
            .map(|n| {
                let mut request = request.clone();
                request.head = request.head.replace("{id}", &format!("crowd-{n}"));
                thread::spawn(move || {
                    let mut stream = connect(to)?;
                    // A receiver may refuse the request before it has read it all.
                    let _ = request.send(&mut stream);
                    Some(stream)
                })
            })
            .collect();
        let streams = clients.into_iter().filter_map(|c| c.join().unwrap());
        Crowd {
            _streams: streams.collect(),
        }
    }

    /// Connects `count` clients, one after the other, each of which sends `bytes`.
    pub(crate) fn connect(to: SocketAddr, count: usize, bytes: &[u8]) -> Self {
        let client = |_| {
            let mut stream = connect(to)?;
            let _ = stream.write_all(bytes);
            Some(stream)
        };
        Crowd {
            _streams: (0..count).filter_map(client).collect(),
        }
    }
}

/// Connects a client that sends `bytes` again and again until the receiver takes no more, and reads nothing.
pub(crate) fn flood(to: SocketAddr, bytes: &[u8]) -> Option<TcpStream> {
    let socket = Socket::new(Domain::for_address(to), Type::STREAM, None).unwrap();
    // The receiver soon has to hold the answers.
    socket.set_recv_buffer_size(4_096).unwrap();
    socket.connect_timeout(&to.into(), CONNECT_LIMIT).ok()?;
    let mut stream = TcpStream::from(socket);
    stream.set_nonblocking(true).unwrap();
    while stream.write(bytes).is_ok_and(|count| count > 0) {}
    Some(stream)
}

/// Waits until the answer on a connection has begun, and reads none of it; the connection may be closed instead.
pub(crate) fn wait_for_answer(stream: &TcpStream) {
    stream.set_read_timeout(Some(WAIT_LIMIT)).unwrap();
    let _ = stream.peek(&mut [0; 16]);
}

fn connect(to: SocketAddr) -> Option<TcpStream> {
    let stream = TcpStream::connect_timeout(&to, CONNECT_LIMIT).ok()?;
    stream.set_write_timeout(Some(SEND_LIMIT)).unwrap();
    Some(stream)
}

/// Returns the highest resident memory of a process so far, in bytes.
pub(crate) fn peak_memory(pid: u32) -> u64 {
    memory_of(pid, "VmHWM:")
}

/// Returns the resident memory of a process, in bytes.
pub(crate) fn resident_memory(pid: u32) -> u64 {
    memory_of(pid, "VmRSS:")
}

fn memory_of(pid: u32, field: &str) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap();
    let line = status.lines().find_map(|l| l.strip_prefix(field));
    let kib = line.and_then(|l| l.split_whitespace().next()?.parse::<u64>().ok());
    kib.unwrap() * 1_024
}

/// Returns the bytes that connections to a port of this machine have received and that their process hasn't read.
pub(crate) fn unread_bytes(port: u16) -> u64 {
    const ESTABLISHED: &str = "01";
    let table = std::fs::read_to_string("/proc/net/tcp").unwrap();
    let unread = table.lines().skip(1).filter_map(|line| {
        let fields: Vec<&str> = line.split_whitespace().collect();
        let (_, local_port) = fields[1].split_once(':')?;
        let is_meant = fields[3] == ESTABLISHED && local_port == format!("{port:04X}");
        let (_, queued) = fields[4].split_once(':')?;
        is_meant.then(|| u64::from_str_radix(queued, 16).unwrap())
    });
    unread.sum()
}

/// Returns the number of open descriptors of a process.
pub(crate) fn open_descriptors(pid: u32) -> usize {
    let dir: PathBuf = format!("/proc/{pid}/fd").into();
    std::fs::read_dir(dir).unwrap().count()
}

/// Lowers the limit on descriptors for the processes that are started until it is dropped.
pub(crate) struct LowDescriptors {
    before: Rlimit,
}

impl LowDescriptors {
    pub(crate) fn set(limit: u64) -> Self {
        let before = getrlimit(Resource::Nofile);
        let current = Some(limit);
        setrlimit(Resource::Nofile, Rlimit { current, ..before }).unwrap();
        LowDescriptors { before }
    }
}

impl Drop for LowDescriptors {
    fn drop(&mut self) {
        setrlimit(Resource::Nofile, self.before).unwrap();
    }
}

/// The part of its descriptors that a process gives to clients; the rest is for connections of its own.
pub(crate) const CLIENT_SHARE: f64 = 0.75;

/// Checks that a crowd of connections leaves descriptors to the process.
pub(crate) fn assert_descriptors_left(pid: u32, limit: u64) {
    let open = open_descriptors(pid);
    println!("{open} descriptors beside the crowd");
    assert!(
        open as f64 <= CLIENT_SHARE * limit as f64,
        "{open} descriptors"
    );
}

/// Returns a whole request: a body with a length, or in chunks of the given size.
pub(crate) fn frame_whole(head: &str, body: &[u8], chunk: Option<usize>) -> Vec<u8> {
    let Some(size) = chunk else {
        let mut bytes = format!("{head}content-length: {}\r\n\r\n", body.len()).into_bytes();
        bytes.extend_from_slice(body);
        return bytes;
    };
    let mut bytes = format!("{head}transfer-encoding: chunked\r\n\r\n").into_bytes();
    for part in body.chunks(size) {
        bytes.extend_from_slice(format!("{:x}\r\n", part.len()).as_bytes());
        bytes.extend_from_slice(part);
        bytes.extend_from_slice(b"\r\n");
    }
    bytes.extend_from_slice(b"0\r\n\r\n");
    bytes
}

/// Sends bytes and returns the beginning of the answer.
pub(crate) fn send_whole(to: SocketAddr, bytes: &[u8]) -> String {
    let mut stream = TcpStream::connect(to).unwrap();
    stream.set_read_timeout(Some(WAIT_LIMIT)).unwrap();
    stream.write_all(bytes).unwrap();
    let mut buffer = [0; 256];
    let count = stream.read(&mut buffer).unwrap();
    String::from_utf8_lossy(&buffer[..count]).into_owned()
}
