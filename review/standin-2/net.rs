//! HTTP/1.1 on blocking sockets, as far as the stand-ins need it.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::sync::Arc;
use std::thread;

unsafe extern "C" {
    fn setsockopt(fd: i32, level: i32, name: i32, value: *const i32, size: u32) -> i32;
}

/// A request or response head: the first line and the headers, names in lower case.
#[derive(Clone, Debug, Default)]
pub struct Head {
    pub first: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    pub fn get(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(n, _)| n == name);
        found.map(|(_, v)| v.as_str())
    }

    /// Returns the method and the path of a request.
    pub fn target(&self) -> (&str, &str) {
        let mut words = self.first.split(' ');
        (words.next().unwrap_or(""), words.next().unwrap_or(""))
    }

    /// Returns the status of a response, 0 if there is none.
    pub fn status(&self) -> u16 {
        let word = self.first.split(' ').nth(1);
        word.and_then(|w| w.parse().ok()).unwrap_or(0)
    }

    pub fn length(&self) -> Option<usize> {
        self.get("content-length")?.trim().parse().ok()
    }
}

/// A connection with what was read beyond the last message.
pub struct Conn {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Conn {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Conn {
            stream,
            buffer: Vec::new(),
        }
    }

    /// Limits what the system holds of received bytes.
    pub fn limit_receive_buffer(&self, bytes: i32) {
        const SOL_SOCKET: i32 = 1;
        const SO_RCVBUF: i32 = 8;
        let size = size_of::<i32>() as u32;
        // SAFETY: the descriptor is open, and the value is an integer of the given size.
        unsafe { setsockopt(self.stream.as_raw_fd(), SOL_SOCKET, SO_RCVBUF, &bytes, size) };
    }

    pub fn connect(to: SocketAddr) -> io::Result<Self> {
        Ok(Conn::new(TcpStream::connect(to)?))
    }

    pub fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    /// Reads a head; an error of kind `UnexpectedEof` means that the connection was closed before it.
    pub fn read_head(&mut self) -> io::Result<Head> {
        loop {
            if let Some(end) = find(&self.buffer, b"\r\n\r\n") {
                let text = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
                self.buffer.drain(..end + 4);
                let mut lines = text.split("\r\n");
                let first = lines.next().unwrap_or("").to_owned();
                let headers = lines.filter_map(|l| l.split_once(':'));
                let headers = headers.map(|(n, v)| (n.to_ascii_lowercase(), v.trim().to_owned()));
                return Ok(Head {
                    first,
                    headers: headers.collect(),
                });
            }
            if self.fill(64 * 1024)? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }

    /// Reads up to `count` bytes; fewer at the end of the connection, with the error that ended it.
    pub fn read_up_to(&mut self, count: usize) -> (Vec<u8>, io::Result<()>) {
        while self.buffer.len() < count {
            match self.fill(64 * 1024) {
                Ok(0) => return (std::mem::take(&mut self.buffer), Ok(())),
                Ok(_) => {}
                Err(e) => return (std::mem::take(&mut self.buffer), Err(e)),
            }
        }
        (self.buffer.drain(..count).collect(), Ok(()))
    }

    /// Reads what is there, at most about `limit` bytes; 0 at the end of the connection.
    pub fn fill(&mut self, limit: usize) -> io::Result<usize> {
        let mut bytes = vec![0; limit];
        let count = self.stream.read(&mut bytes)?;
        self.buffer.extend_from_slice(&bytes[..count]);
        Ok(count)
    }

    /// Takes what was read and not used.
    pub fn take(&mut self) -> Vec<u8> {
        std::mem::take(&mut self.buffer)
    }
}

fn find(bytes: &[u8], what: &[u8]) -> Option<usize> {
    bytes.windows(what.len()).position(|w| w == what)
}

/// Listens on a free loopback port and handles each connection on a thread of its own.
pub fn listen(handle: impl Fn(Conn) + Send + Sync + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a loopback port");
    let addr = listener.local_addr().expect("the port's address");
    let handle = Arc::new(handle);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = Arc::clone(&handle);
            thread::spawn(move || handle(Conn::new(stream)));
        }
    });
    addr
}

/// Returns a free port.
pub fn free_port() -> u16 {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a loopback port");
    listener.local_addr().expect("the port's address").port()
}
