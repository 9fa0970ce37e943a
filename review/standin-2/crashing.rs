//! Plain servers that crash when they begin to run certain reads, and are back after some seconds.

use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::net::Conn;
use crate::site::{DESK, Record, answer_head, request_head};
use crate::store::Store;

/// How long a server that crashed is away.
const DOWN: Duration = Duration::from_millis(2_500);
/// After so many missed heartbeats of 1.2 s the store removes the entry of a server.
const SILENCE: Duration = Duration::from_millis(3_600);
/// How long a server that leaves goes on serving: `drain_ms` and a little longer.
const DRAIN: Duration = Duration::from_millis(2_500);

/// What the servers saw.
#[derive(Default)]
pub struct Seen {
    /// The ends of servers.
    pub crashes: Vec<Instant>,
    /// The arrivals of reads that crash servers, with their ids.
    pub arrivals: Vec<(Instant, String)>,
}

/// A server that can crash; its threads share this.
pub struct Server {
    number: usize,
    /// The version of its software.
    version: &'static str,
    /// The end of the paths of reads that crash it.
    poison: Option<&'static str>,
    addr: SocketAddr,
    store: Store,
    record: Record,
    seen: Arc<Mutex<Seen>>,
    /// The connections of the process that runs; none while it is away.
    open: Mutex<Option<Vec<TcpStream>>>,
    /// Counts the starts.
    boot: Mutex<u64>,
}

impl Server {
    /// Starts a server.
    pub fn start(
        number: usize,
        (version, poison): (&'static str, Option<&'static str>),
        store: &Store,
        record: &Record,
        seen: &Arc<Mutex<Seen>>,
    ) -> Result<Arc<Self>, String> {
        let listener = TcpListener::bind("127.0.0.1:0").map_err(|e| e.to_string())?;
        let server = Arc::new(Server {
            number,
            version,
            poison,
            addr: listener.local_addr().map_err(|e| e.to_string())?,
            store: store.clone(),
            record: record.clone(),
            seen: Arc::clone(seen),
            open: Mutex::new(None),
            boot: Mutex::new(0),
        });
        server.boot(listener);
        Ok(server)
    }

    fn id(&self, boot: u64) -> String {
        format!("i-{}-{boot}", self.number)
    }

    fn register(&self, boot: u64, state: &str) {
        let row = format!(
            "{{\"service\":\"{DESK}\",\"address\":\"{}\",\"zone\":\"zone-a\",\"version\":\"{}\",\
             \"slots\":6,\"state\":\"{state}\",\"warmup_ms\":0,\"born\":{},\"seq\":1}}",
            self.addr,
            self.version,
            1_700_000_000_000 + boot * 1_000
        );
        self.store.put("servers", &self.id(boot), &row);
    }

    /// Leaves as planned: the server says that it is draining, goes on serving, and ends.
    pub fn leave(self: &Arc<Self>) {
        let boot = *self.boot.lock().unwrap();
        self.record
            .line(format!("server {} is draining", self.id(boot)));
        self.register(boot, "draining");
        thread::sleep(DRAIN);
        self.open.lock().unwrap().take();
        drop(TcpStream::connect(self.addr));
        self.store.remove("servers", &self.id(boot));
        self.record
            .line(format!("server {} has left", self.id(boot)));
    }

    /// Starts the process: it listens and registers itself under a new id.
    fn boot(self: &Arc<Self>, listener: TcpListener) {
        let boot = {
            let mut boot = self.boot.lock().unwrap();
            *boot += 1;
            *boot
        };
        *self.open.lock().unwrap() = Some(Vec::new());
        self.register(boot, "ready");
        let server = Arc::clone(self);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                match (server.open.lock().unwrap().as_mut(), stream.try_clone()) {
                    (Some(open), Ok(clone)) => open.push(clone),
                    // The process has ended; dropping the listener closes the port.
                    _ => return,
                }
                let server = Arc::clone(&server);
                thread::spawn(move || server.serve(Conn::new(stream), boot));
            }
        });
    }

    /// Ends the process: its connections are closed and nothing listens; later it starts again.
    fn crash(self: &Arc<Self>, boot: u64) {
        let Some(open) = self.open.lock().unwrap().take() else {
            return;
        };
        for stream in open {
            let _ = stream.shutdown(Shutdown::Both);
        }
        // Wakes the thread that accepts, which then closes the port.
        drop(TcpStream::connect(self.addr));
        self.seen.lock().unwrap().crashes.push(Instant::now());
        self.record
            .line(format!("server {} crashes", self.id(boot)));
        let server = Arc::clone(self);
        thread::spawn(move || {
            thread::sleep(DOWN);
            let listener = loop {
                match TcpListener::bind(server.addr) {
                    Ok(listener) => break listener,
                    Err(_) => thread::sleep(Duration::from_millis(20)),
                }
            };
            server.boot(listener);
            thread::sleep(SILENCE - DOWN);
            server.store.remove("servers", &server.id(boot));
        });
    }

    fn serve(self: &Arc<Self>, mut conn: Conn, boot: u64) {
        let Ok(head) = conn.read_head() else { return };
        let id = self.id(boot);
        if head.get("expect-instance").is_some_and(|e| e != id) {
            let text = format!(
                "HTTP/1.1 421 Misdirected Request\r\nInstance-Id: {id}\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
            );
            let _ = conn.send(text.as_bytes());
            return;
        }
        let (_, path) = head.target();
        if path == "/health" {
            let text = format!(
                "HTTP/1.1 200 OK\r\nInstance-Id: {id}\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
            );
            let _ = conn.send(text.as_bytes());
            return;
        }
        if self.poison.is_some_and(|end| path.ends_with(end)) {
            let request = head.get("attempt-id").unwrap_or("").to_owned();
            self.record
                .line(format!("server {id} begins to run read {request}"));
            let arrival = (Instant::now(), request);
            self.seen.lock().unwrap().arrivals.push(arrival);
            thread::sleep(Duration::from_millis(5));
            self.crash(boot);
            return;
        }
        thread::sleep(Duration::from_millis(10));
        let rest = "Content-Length: 4\r\nConnection: close\r\n";
        let _ = conn.send(answer_head(200, &head, &id, rest).as_bytes());
        let _ = conn.send(b"list");
    }
}

/// Sends a read on a channel of its own; returns the status, 0 without an answer, and the size of the body.
pub fn read(front: SocketAddr, path: &str, id: &str) -> (u16, usize) {
    let answer = Conn::connect(front).and_then(|mut conn| {
        conn.stream.set_read_timeout(Some(Duration::from_secs(3)))?;
        conn.send(request_head("GET", path, id, 1500, 0).as_bytes())?;
        let head = conn.read_head()?;
        let body = conn.read_up_to(head.length().unwrap_or(0)).0;
        Ok((head.status(), body.len()))
    });
    answer.unwrap_or_default()
}
