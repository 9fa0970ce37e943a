//! Stand-ins for the platform's store and for backend servers, on loopback, with the standard library only.

use std::collections::BTreeMap;
use std::fs::File;
use std::io::{Read, Write};
use std::net::{IpAddr, Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// The interval of a server's heartbeats, as in the settings of a small deployment.
pub const HEARTBEAT: Duration = Duration::from_millis(1_200);
/// The store removes the row of a server after this time without a heartbeat.
pub const SILENCE: Duration = Duration::from_millis(3_600);
/// The kinds of cards and how many layers of 1,750 MB fit on them: 80,000 MB and 14,400 MB.
const LARGE_CARD: (&str, u32) = ("card", 45);
const T4: (&str, u32) = ("t4", 8);
/// `load_s` of the model: the time to load all layers.
pub const LOAD: Duration = Duration::from_secs(14);
/// The host of all routes.
pub const HOST: &str = "ficu95.example";
/// The key of the only tenant.
pub const KEY: &str = "n2ctnfzs989anu6wsjnb";

/// A JSON value; objects keep the order of their fields.
#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Object(Vec<(String, Json)>),
}

impl Json {
    pub fn get(&self, name: &str) -> &Json {
        match self {
            Json::Object(fields) => {
                let field = fields.iter().find(|(n, _)| n == name);
                field.map_or(&Json::Null, |(_, v)| v)
            }
            _ => &Json::Null,
        }
    }

    pub fn text(&self) -> &str {
        match self {
            Json::Text(text) => text,
            _ => "",
        }
    }

    pub fn number(&self) -> u64 {
        match self {
            Json::Number(n) => *n as u64,
            _ => 0,
        }
    }

    pub fn list(&self) -> &[Json] {
        match self {
            Json::List(list) => list,
            _ => &[],
        }
    }

    /// Parses a value; what can't be parsed is `Null`.
    pub fn parse(text: &str) -> Json {
        let mut rest = text.as_bytes();
        parse_value(&mut rest).unwrap_or(Json::Null)
    }
}

fn skip_space(rest: &mut &[u8]) {
    while let [b' ' | b'\n' | b'\r' | b'\t', tail @ ..] = rest {
        *rest = tail;
    }
}

fn expect(rest: &mut &[u8], byte: u8) -> Option<()> {
    skip_space(rest);
    if rest.first() != Some(&byte) {
        return None;
    }
    *rest = &rest[1..];
    Some(())
}

fn parse_value(rest: &mut &[u8]) -> Option<Json> {
    skip_space(rest);
    for (word, value) in [
        ("null", Json::Null),
        ("true", Json::Bool(true)),
        ("false", Json::Bool(false)),
    ] {
        if let Some(tail) = rest.strip_prefix(word.as_bytes()) {
            *rest = tail;
            return Some(value);
        }
    }
    match rest.first()? {
        b'"' => parse_text(rest).map(Json::Text),
        b'[' => {
            expect(rest, b'[')?;
            let mut list = Vec::new();
            while expect(rest, b']').is_none() {
                list.push(parse_value(rest)?);
                let _ = expect(rest, b',');
            }
            Some(Json::List(list))
        }
        b'{' => {
            expect(rest, b'{')?;
            let mut fields = Vec::new();
            while expect(rest, b'}').is_none() {
                skip_space(rest);
                let name = parse_text(rest)?;
                expect(rest, b':')?;
                fields.push((name, parse_value(rest)?));
                let _ = expect(rest, b',');
            }
            Some(Json::Object(fields))
        }
        _ => {
            let end = rest.iter().position(|b| !b"+-.eE0123456789".contains(b));
            let (number, tail) = rest.split_at(end.unwrap_or(rest.len()));
            *rest = tail;
            std::str::from_utf8(number)
                .ok()?
                .parse()
                .ok()
                .map(Json::Number)
        }
    }
}

fn parse_text(rest: &mut &[u8]) -> Option<String> {
    expect(rest, b'"')?;
    let mut out = Vec::new();
    loop {
        let (&byte, tail) = rest.split_first()?;
        *rest = tail;
        match byte {
            b'"' => return String::from_utf8(out).ok(),
            b'\\' => {
                let (&escaped, tail) = rest.split_first()?;
                *rest = tail;
                match escaped {
                    b'n' => out.push(b'\n'),
                    b't' => out.push(b'\t'),
                    b'r' => out.push(b'\r'),
                    b'u' => {
                        let code = std::str::from_utf8(rest.get(..4)?).ok()?;
                        let code = u32::from_str_radix(code, 16).ok()?;
                        *rest = &rest[4..];
                        let mut buffer = [0; 4];
                        let text = char::from_u32(code)?.encode_utf8(&mut buffer);
                        out.extend_from_slice(text.as_bytes());
                    }
                    other => out.push(other),
                }
            }
            other => out.push(other),
        }
    }
}

const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

fn encode_base64(bytes: &[u8]) -> String {
    let mut out = String::new();
    for group in bytes.chunks(3) {
        let byte = |i: usize| u32::from(group.get(i).copied().unwrap_or(0));
        let bits = byte(0) << 16 | byte(1) << 8 | byte(2);
        for i in 0..4 {
            let digit = DIGITS[(bits >> (18 - 6 * i)) as usize & 63];
            out.push(if i <= group.len() { digit as char } else { '=' });
        }
    }
    out
}

fn decode_base64(text: &str) -> Vec<u8> {
    let (mut out, mut bits, mut count) = (Vec::new(), 0u32, 0);
    for byte in text.bytes().filter(|b| *b != b'=') {
        let Some(digit) = DIGITS.iter().position(|d| *d == byte) else {
            continue;
        };
        bits = bits << 6 | digit as u32;
        count += 6;
        if count >= 8 {
            count -= 8;
            out.push((bits >> count) as u8);
        }
    }
    out
}

fn decode_percent(text: &str) -> String {
    let bytes = text.as_bytes();
    let (mut out, mut i) = (Vec::new(), 0);
    while i < bytes.len() {
        let hex = bytes
            .get(i + 1..i + 3)
            .and_then(|h| std::str::from_utf8(h).ok());
        let hex = hex.and_then(|h| u8::from_str_radix(h, 16).ok());
        match (bytes[i], hex) {
            (b'%', Some(byte)) => {
                out.push(byte);
                i += 3;
            }
            (other, _) => {
                out.push(other);
                i += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// A request as it was received.
#[derive(Clone, Debug, Default)]
pub struct Request {
    pub method: String,
    pub path: String,
    pub query: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> &str {
        let found = self.headers.iter().find(|(n, _)| n == name);
        found.map_or("", |(_, v)| v)
    }

    fn param(&self, name: &str) -> String {
        let pairs = self.query.split('&').filter_map(|p| p.split_once('='));
        let found = pairs.into_iter().find(|(n, _)| *n == name);
        found.map(|(_, v)| decode_percent(v)).unwrap_or_default()
    }

    /// Reads a request; `None` at the end of the connection. `buffer` holds what was read beyond it.
    pub fn read(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<Request> {
        let end = loop {
            if let Some(at) = buffer.windows(4).position(|w| w == b"\r\n\r\n") {
                break at + 4;
            }
            read_some(stream, buffer)?;
        };
        let head = String::from_utf8_lossy(&buffer[..end]).into_owned();
        buffer.drain(..end);
        let mut lines = head.split("\r\n");
        let mut first = lines.next()?.split(' ');
        let (method, target) = (first.next()?.to_owned(), first.next()?.to_owned());
        let (path, query) = target.split_once('?').unwrap_or((&target, ""));
        let headers: Vec<(String, String)> = lines
            .filter_map(|l| l.split_once(':'))
            .map(|(n, v)| (n.to_ascii_lowercase(), v.trim().to_owned()))
            .collect();
        let mut request = Request {
            method,
            path: path.to_owned(),
            query: query.to_owned(),
            headers,
            body: Vec::new(),
        };
        let length: usize = request.header("content-length").parse().unwrap_or(0);
        while buffer.len() < length {
            read_some(stream, buffer)?;
        }
        request.body = buffer.drain(..length).collect();
        Some(request)
    }
}

pub fn read_some(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> Option<()> {
    let mut bytes = [0; 16 * 1024];
    match stream.read(&mut bytes) {
        Ok(count) if count > 0 => {
            buffer.extend_from_slice(&bytes[..count]);
            Some(())
        }
        _ => None,
    }
}

/// Writes a response with a length.
pub fn respond(stream: &mut TcpStream, status: u16, headers: &str, body: &[u8]) -> Option<()> {
    let head = format!(
        "HTTP/1.1 {status} X\r\n{headers}Content-Length: {}\r\n\r\n",
        body.len()
    );
    let bytes = [head.as_bytes(), body].concat();
    stream.write_all(&bytes).ok()
}

struct Row {
    value: Option<Vec<u8>>,
    version: u64,
}

/// The rows of the platform's store by table and key.
#[derive(Default)]
struct Rows {
    rows: BTreeMap<(String, String), Row>,
    version: u64,
    /// When each server wrote its row last.
    beats: BTreeMap<String, Instant>,
}

impl Rows {
    fn put(&mut self, table: &str, key: &str, value: Option<Vec<u8>>) {
        self.version += 1;
        let row = Row {
            value,
            version: self.version,
        };
        self.rows.insert((table.to_owned(), key.to_owned()), row);
    }

    fn body(&self, wanted: impl Fn(&str, &str, &Row) -> bool, by_version: bool) -> (usize, String) {
        let rows = self.rows.iter();
        let mut rows: Vec<_> = rows.filter(|((t, k), r)| wanted(t, k, r)).collect();
        if by_version {
            rows.sort_by_key(|(_, r)| r.version);
        }
        let encode = |((table, key), row): &(&(String, String), &Row)| match &row.value {
            Some(value) => format!(
                r#"{{"table":"{table}","part":"","key":"{key}","value":"{}","resource_version":{}}}"#,
                encode_base64(value),
                row.version
            ),
            None => format!(
                r#"{{"table":"{table}","part":"","key":"{key}","deleted":true,"resource_version":{}}}"#,
                row.version
            ),
        };
        let list: Vec<String> = rows.iter().map(encode).collect();
        let text = format!(
            r#"{{"rows":[{}],"has_more":false,"resource_version":{},"server_time_ms":1}}"#,
            list.join(","),
            self.version
        );
        (list.len(), text)
    }

    fn live_version(&self, table: &str, key: &str) -> u64 {
        let row = self.rows.get(&(table.to_owned(), key.to_owned()));
        row.filter(|r| r.value.is_some()).map_or(0, |r| r.version)
    }
}

/// The platform's store.
#[derive(Clone)]
pub struct Store {
    rows: Arc<(Mutex<Rows>, Condvar)>,
    pub addr: SocketAddr,
}

impl Store {
    pub fn start() -> Store {
        let listener = bind(0);
        let store = Store {
            addr: listener.local_addr().unwrap(),
            rows: Arc::default(),
        };
        let serving = store.clone();
        serve(listener, Arc::default(), move |stream, request| {
            serving.answer(stream, request)
        });
        let expiring = store.clone();
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(Duration::from_millis(20));
                expiring.expire();
            }
        });
        store
    }

    fn lock(&self) -> MutexGuard<'_, Rows> {
        self.rows.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Writes or removes a row.
    pub fn put(&self, table: &str, key: &str, value: Option<&str>) {
        let mut rows = self.lock();
        rows.put(table, key, value.map(|v| v.as_bytes().to_vec()));
        if table == "servers" {
            match value {
                Some(_) => rows.beats.insert(key.to_owned(), Instant::now()),
                None => rows.beats.remove(key),
            };
        }
        drop(rows);
        self.rows.1.notify_all();
    }

    /// Records a heartbeat that changes nothing else in the row.
    fn beat(&self, key: &str) {
        let mut rows = self.lock();
        if let Some(at) = rows.beats.get_mut(key) {
            *at = Instant::now();
        }
    }

    /// Tells whether a row exists.
    pub fn has(&self, table: &str, key: &str) -> bool {
        self.lock().live_version(table, key) > 0
    }

    fn expire(&self) {
        let mut rows = self.lock();
        let beats = rows.beats.iter();
        let silent: Vec<String> = beats
            .filter(|(_, at)| at.elapsed() >= SILENCE)
            .map(|(k, _)| k.clone())
            .collect();
        for key in &silent {
            rows.beats.remove(key);
            rows.put("servers", key, None);
        }
        drop(rows);
        if !silent.is_empty() {
            self.rows.1.notify_all();
        }
    }

    fn answer(&self, stream: &mut TcpStream, request: Request) -> Option<()> {
        let table = request.param("table");
        let (status, body) = match request.path.as_str() {
            "/v1/rows-get" => {
                let (from, to) = (request.param("from"), request.param("to"));
                let rows = self.lock();
                let wanted = |t: &str, k: &str, r: &Row| {
                    let in_range = k >= from.as_str() && (to.is_empty() || k < to.as_str());
                    t == table && in_range && r.value.is_some()
                };
                (200, rows.body(wanted, false).1)
            }
            "/v1/rows-feed" => {
                let since: u64 = request.param("since_rev").parse().unwrap_or(0);
                let wait: u64 = request.param("wait_ms").parse().unwrap_or(0);
                let until = Instant::now() + Duration::from_millis(wait);
                let mut rows = self.lock();
                loop {
                    let wanted = |t: &str, _: &str, r: &Row| t == table && r.version > since;
                    let (count, body) = rows.body(wanted, true);
                    let left = until.saturating_duration_since(Instant::now());
                    if count > 0 || left.is_zero() {
                        break (200, body);
                    }
                    let woken = self.rows.1.wait_timeout(rows, left);
                    rows = woken.unwrap_or_else(PoisonError::into_inner).0;
                }
            }
            "/v1/rows-tx" => self.commit(&Json::parse(&String::from_utf8_lossy(&request.body))),
            _ => (404, "{}".to_owned()),
        };
        let headers = "Content-Type: application/json\r\nStore-Era: 1\r\n";
        respond(stream, status, headers, body.as_bytes())
    }

    fn commit(&self, txn: &Json) -> (u16, String) {
        let mut rows = self.lock();
        let is_stale = |c: &Json| {
            let version = rows.live_version(c.get("table").text(), c.get("key").text());
            version != c.get("resource_version").number()
        };
        let checks = txn.get("precondition").list();
        if checks.iter().any(is_stale) {
            let is_checked = |t: &str, k: &str, r: &Row| {
                let is_same = |c: &Json| c.get("table").text() == t && c.get("key").text() == k;
                r.value.is_some() && checks.iter().any(is_same)
            };
            return (412, rows.body(is_checked, false).1);
        }
        for row in txn.get("set_keys").list() {
            let value = decode_base64(row.get("value").text());
            rows.put(row.get("table").text(), row.get("key").text(), Some(value));
        }
        for row in txn.get("remove").list() {
            rows.put(row.get("table").text(), row.get("key").text(), None);
        }
        let body = rows.body(|_, _, _| false, false).1;
        drop(rows);
        self.rows.1.notify_all();
        (200, body)
    }
}

/// The next port that is tried for a listener. Ports for connections begin above these, so that none of them
/// takes the port of a server that is away for a time.
static NEXT_PORT: AtomicUsize = AtomicUsize::new(0);
const PORTS: std::ops::Range<usize> = 20_000..32_000;

/// Opens a listener on a loopback port; 0 chooses a free one.
pub fn bind(port: u16) -> TcpListener {
    if port != 0 {
        return TcpListener::bind((Ipv4Addr::LOCALHOST, port)).expect("the port is free");
    }
    loop {
        // Runs at the same time begin at different ports.
        let next = NEXT_PORT.fetch_add(1, Ordering::SeqCst) + 97 * std::process::id() as usize;
        let port = PORTS.start + next % PORTS.len();
        if let Ok(listener) = TcpListener::bind((Ipv4Addr::LOCALHOST, port as u16)) {
            return listener;
        }
    }
}

/// Returns a free loopback port.
pub fn free_port() -> u16 {
    bind(0).local_addr().unwrap().port()
}

/// Serves connections until `ended` is set: then the listener and all connections are closed.
pub fn serve<F>(listener: TcpListener, ended: Arc<AtomicBool>, answer: F)
where
    F: Fn(&mut TcpStream, Request) -> Option<()> + Send + Sync + 'static,
{
    let answer = Arc::new(answer);
    let open: Arc<Mutex<Vec<TcpStream>>> = Arc::default();
    listener.set_nonblocking(true).unwrap();
    std::thread::spawn(move || {
        while !ended.load(Ordering::SeqCst) {
            let Ok((mut stream, _)) = listener.accept() else {
                std::thread::sleep(Duration::from_millis(1));
                continue;
            };
            stream.set_nonblocking(false).unwrap();
            stream.set_nodelay(true).unwrap();
            open.lock().unwrap().push(stream.try_clone().unwrap());
            let answer = Arc::clone(&answer);
            std::thread::spawn(move || {
                let mut buffer = Vec::new();
                while let Some(request) = Request::read(&mut stream, &mut buffer) {
                    if answer(&mut stream, request).is_none() {
                        break;
                    }
                }
                let _ = stream.shutdown(Shutdown::Both);
            });
        }
        for stream in open.lock().unwrap().iter() {
            let _ = stream.shutdown(Shutdown::Both);
        }
    });
}

/// The record of a case: what was sent, run and answered, with the time since the start.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    started: Instant,
}

impl Record {
    pub fn create(path: &std::path::Path) -> Record {
        Record {
            file: Arc::new(Mutex::new(
                File::create(path).expect("the record can be written"),
            )),
            started: Instant::now(),
        }
    }

    pub fn note(&self, line: impl AsRef<str>) {
        let at = self.started.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap_or_else(PoisonError::into_inner);
        let _ = writeln!(file, "{at:8.3} s  {}", line.as_ref());
    }
}

/// Returns the current Unix time in milliseconds.
pub fn unix_ms() -> u128 {
    let now = std::time::SystemTime::now();
    now.duration_since(std::time::UNIX_EPOCH)
        .unwrap()
        .as_millis()
}

/// One run of a request at a server.
#[derive(Clone, Debug)]
pub struct Run {
    pub request: String,
    pub server: String,
    pub service: String,
}

/// How a server answers requests of callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Behavior {
    /// Runs them and answers whole.
    Sound,
    /// Fails every second one with status 500, whole.
    Fails,
    /// Fails every second one with the same answer, whose body never follows while the channel stays open.
    FailsAndStops,
}

/// What a server holds and has been ordered.
struct State {
    /// The layers of a model server; empty if it holds none.
    layers: (u32, u32),
    /// The number of orders that it has accepted.
    orders: u64,
    fence: u64,
    busy: bool,
    /// An order that it can't carry out, as its memory doesn't hold so many layers.
    excess: Option<(u32, u32)>,
}

/// A backend server: a model server with a range of layers, or a plain one.
#[derive(Clone)]
pub struct Server {
    pub id: String,
    pub service: String,
    pub addr: SocketAddr,
    pub born: u128,
    /// Whether it runs layers of the model; a plain server doesn't.
    is_model: bool,
    /// The name of its card, and how many layers of the model fit there.
    card: (&'static str, u32),
    state: Arc<Mutex<State>>,
    pub behavior: Arc<Mutex<Behavior>>,
    pub ended: Arc<AtomicBool>,
    /// The runs at all servers.
    pub runs: Arc<Mutex<Vec<Run>>>,
    /// The number of requests that this server has run.
    count: Arc<AtomicUsize>,
    /// The number of events of a stream, and the time before each.
    pub events: (u64, Duration),
    store: Store,
    record: Record,
}

impl Server {
    /// Starts a server that isn't registered yet.
    pub fn start_unlisted(
        store: &Store,
        record: &Record,
        runs: &Arc<Mutex<Vec<Run>>>,
        (id, service, port): (&str, &str, u16),
        layers: Option<(u32, u32)>,
    ) -> Server {
        let listener = bind(port);
        let server = Server {
            id: id.to_owned(),
            service: service.to_owned(),
            addr: listener.local_addr().unwrap(),
            born: unix_ms(),
            is_model: layers.is_some(),
            card: if service == "archive-pool" {
                T4
            } else {
                LARGE_CARD
            },
            state: Arc::new(Mutex::new(State {
                layers: layers.unwrap_or_default(),
                orders: 0,
                fence: 0,
                busy: false,
                excess: None,
            })),
            store: store.clone(),
            behavior: Arc::new(Mutex::new(Behavior::Sound)),
            ended: Arc::default(),
            runs: Arc::clone(runs),
            count: Arc::default(),
            events: (20, Duration::from_millis(20)),
            record: record.clone(),
        };
        let serving = server.clone();
        serve(
            listener,
            Arc::clone(&server.ended),
            move |stream, request| serving.answer(stream, &request),
        );
        record.note(format!("server {id} ({service}) starts at {}", server.addr));
        server
    }

    /// Starts a server and registers it in the store.
    pub fn start(
        store: &Store,
        record: &Record,
        runs: &Arc<Mutex<Vec<Run>>>,
        names: (&str, &str, u16),
        layers: Option<(u32, u32)>,
    ) -> Server {
        let server = Server::start_unlisted(store, record, runs, names, layers);
        server.register();
        server
    }

    /// Writes the server's row, and sends its heartbeats from now on.
    pub fn register(&self) {
        self.write_row();
        let beating = self.clone();
        std::thread::spawn(move || {
            while !beating.ended.load(Ordering::SeqCst) {
                beating.store.beat(&beating.id);
                std::thread::sleep(HEARTBEAT / 10);
            }
        });
    }

    /// Returns the layers that the server was ordered to hold although they don't fit there.
    pub fn excess(&self) -> Option<(u32, u32)> {
        self.state.lock().unwrap().excess
    }

    /// Ends the server for good, without a word to the store.
    pub fn crash(&self) {
        self.ended.store(true, Ordering::SeqCst);
        self.record
            .note(format!("server {} is lost for good", self.id));
    }

    pub fn behave(&self, behavior: Behavior) {
        *self.behavior.lock().unwrap() = behavior;
    }

    fn write_row(&self) {
        self.store.put("servers", &self.id, Some(&self.row()));
    }

    /// Returns the layers that the server holds, as in its row and its report.
    fn layers_json(&self) -> String {
        match self.state.lock().unwrap().layers {
            (0, 0) => "[]".to_owned(),
            (from, to) => format!(r#"[{{"from":{from},"to":{to},"version":1}}]"#),
        }
    }

    fn row(&self) -> String {
        let layers = if self.is_model {
            format!(
                r#","kind":"{}","layers":{}"#,
                self.card.0,
                self.layers_json()
            )
        } else {
            String::new()
        };
        format!(
            r#"{{"service":"{}","address":"{}","zone":"ga-north-a","version":"v1","slots":192,"state":"ready","warmup_ms":0,"seq":1,"born":{}{layers}}}"#,
            self.service, self.addr, self.born
        )
    }

    /// Handles an order to hold other layers, which are there after the load time.
    fn place(&self, order: &Json) -> u16 {
        let (from, to) = (
            order.get("from").number() as u32,
            order.get("to").number() as u32,
        );
        let fence = order.get("fence").number();
        let mut state = self.state.lock().unwrap();
        if order.get("op").text() != "place" {
            return 404;
        }
        if fence < state.fence {
            return 412;
        }
        state.fence = fence;
        if state.busy || order.get("precondition").number() != state.orders {
            return 409;
        }
        state.orders += 1;
        if to - from > self.card.1 {
            state.excess = Some((from, to));
            drop(state);
            self.record.note(format!(
                "server {} of {} is ordered to hold {} layers; {} fit on its card",
                self.id,
                self.service,
                to - from,
                self.card.1
            ));
            self.crash();
            return 202;
        }
        state.busy = true;
        state.layers = (0, 0);
        let loading = self.clone();
        std::thread::spawn(move || {
            loading.write_row();
            std::thread::sleep(LOAD.mul_f64(f64::from(to - from) / 80.0));
            let mut state = loading.state.lock().unwrap();
            state.layers = (from, to);
            state.busy = false;
            drop(state);
            loading
                .record
                .note(format!("server {} holds layers {from}-{to}", loading.id));
            loading.write_row();
        });
        202
    }

    fn answer(&self, stream: &mut TcpStream, request: &Request) -> Option<()> {
        match (request.method.as_str(), request.path.as_str()) {
            ("GET", "/health") => {
                let id = format!("Instance-Id: {}\r\n", self.id);
                respond(stream, 200, &id, b"")
            }
            ("GET", "/v1/report") if self.is_model => {
                let layers = self.layers_json();
                let (busy, orders) = {
                    let state = self.state.lock().unwrap();
                    (state.busy, state.orders)
                };
                let report = format!(
                    r#"{{"stage":"combined","models":[],"busy":{busy},"seq":{orders},"born":{},"queued":0,"in_flight":0,"kv_in_use":0,"kv_total":8000000,"active_handles":0,"pace":1.0,"kind":"{}","layers":{layers},"stalled":[]}}"#,
                    self.born, self.card.0
                );
                let kind = "Content-Type: application/json\r\n";
                respond(stream, 200, kind, report.as_bytes())
            }
            ("POST", "/v1/order") if self.is_model => {
                let text = String::from_utf8_lossy(&request.body);
                let status = self.place(&Json::parse(&text));
                self.record.note(format!(
                    "server {} answers the order {text} with {status}",
                    self.id
                ));
                respond(stream, status, "Content-Type: application/json\r\n", b"{}")
            }
            _ => self.run(stream, request),
        }
    }

    /// Returns whether the server holds its part of a path, which begins at it.
    fn holds_part(&self, path: &str) -> bool {
        let first = path.split(',').next().unwrap_or_default();
        let (from, to) = self.state.lock().unwrap().layers;
        let part = first.split_once('=').and_then(|(addr, part)| {
            let (first, end) = part.split_once('-')?;
            Some((addr, first.parse::<u32>().ok()?, end.parse::<u32>().ok()?))
        });
        part.is_some_and(|(addr, first, end)| {
            addr == self.addr.to_string() && from <= first && first < end && end <= to
        })
    }

    /// Runs a request of a caller, unless it has no id or expects another server.
    fn run(&self, stream: &mut TcpStream, request: &Request) -> Option<()> {
        let id = request.header("attempt-id").to_owned();
        let own = format!("Attempt-Id: {id}\r\n");
        if id.is_empty() {
            return respond(stream, 400, "Not-Executed: 1\r\n", b"");
        }
        let expected = request.header("expect-instance");
        self.record.note(format!(
            "request {id} reaches server {} ({}): {} {} Expect-Instance {expected} Hop-Count {}",
            self.id,
            self.service,
            request.method,
            request.path,
            request.header("hop-count"),
        ));
        if !expected.is_empty() && expected != self.id {
            let other = format!("{own}Instance-Id: {}\r\nNot-Executed: 1\r\n", self.id);
            return respond(stream, 421, &other, b"");
        }
        if self.is_model && !self.holds_part(request.header("hop-count")) {
            return respond(
                stream,
                421,
                &format!("{own}Not-Executed: 1\r\nAt-Server: {}\r\n", self.addr),
                b"",
            );
        }
        self.runs.lock().unwrap().push(Run {
            request: id.clone(),
            server: self.id.clone(),
            service: self.service.clone(),
        });
        let sealed = format!("{own}Response-Seal: seal-of-{id}-at-{}\r\n", self.id);
        let is_even = self.count.fetch_add(1, Ordering::SeqCst) % 2 == 0;
        let behavior = *self.behavior.lock().unwrap();
        match behavior {
            Behavior::Fails | Behavior::FailsAndStops if !is_even => {}
            Behavior::Fails => {
                self.record
                    .note(format!("server {} answers {id} with 500", self.id));
                return respond(stream, 500, &sealed, b"{\"error\":\"out of order\"}");
            }
            Behavior::FailsAndStops => {
                self.record.note(format!(
                    "server {} answers {id} with 500; the body doesn't follow, the channel stays open",
                    self.id
                ));
                let head = format!("HTTP/1.1 500 X\r\n{sealed}Content-Length: 24\r\n\r\n");
                stream.write_all(head.as_bytes()).ok()?;
                let mut rest = Vec::new();
                while read_some(stream, &mut rest).is_some() {}
                self.record.note(format!(
                    "the channel of {id} to server {} is closed",
                    self.id
                ));
                return None;
            }
            Behavior::Sound => {}
        }
        if !self.is_model {
            std::thread::sleep(Duration::from_millis(15));
            let body = format!("answer to {id} of {}", self.service);
            return respond(stream, 200, &sealed, body.as_bytes());
        }
        let head = format!(
            "HTTP/1.1 200 OK\r\n{sealed}Content-Type: text/event-stream\r\nWeight-Versions: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
        );
        stream.write_all(head.as_bytes()).ok()?;
        let after: u64 = request.header("last-event-id").parse().unwrap_or(0);
        for event in after + 1..=self.events.0 {
            std::thread::sleep(self.events.1);
            let text = format!("id: {event}\ndata: piece {event} of {id}\n\n");
            let chunk = format!("{:x}\r\n{text}\r\n", text.len());
            stream.write_all(chunk.as_bytes()).ok()?;
        }
        stream.write_all(b"0\r\n\r\n").ok()
    }
}

/// Returns the configuration: two stream routes to the model, drafts that may be resumed and letters that
/// may not, and a booking and a status route to the desk; on demand, a second pool of model servers.
pub fn config(version: u32, stream_timeout_ms: u32, has_archive: bool) -> String {
    let route = |name: &str, kind: &str, service: &str, timeout: u32, attempts: u32| {
        let is_stream = kind == "stream";
        let is_resumable = name == "draft";
        let gap = if is_stream {
            r#","target_gap_ms":200"#
        } else {
            ""
        };
        let target = if is_stream { 500 } else { 100 };
        format!(
            r#"{{"name":"r-{name}","host":"{HOST}","prefix":"/{name}/","kind":"{kind}","timeout_ms":{timeout},"target_latency_ms":{target},"priority":1,"service":"{service}","max_attempts":{attempts},"public":false,"sticky":{is_stream},"resumable":{is_resumable}{gap}}}"#
        )
    };
    let routes = [
        route("draft", "stream", "caption-pool", stream_timeout_ms, 2),
        route("letter", "stream", "caption-pool", stream_timeout_ms, 1),
        route("book", "non_idempotent", "placement-desk", 800, 1),
        route("status", "idempotent", "placement-desk", 800, 2),
    ];
    let engine = r#""engine":{"slots":192,"kv_capacity":100000,"kv_token_bytes":459000,"link_mbps":480000.0,"stride":2,"models":[{"name":"daka510000","pace":1.0,"load_s":14.0,"warm_s":1.0}],"step_ms":0.85,"per_seq_ms":0.00297,"context_per_k":0.00398,"read_per_s":252000.0,"pairs_per_m":0.129,"chunk":512,"report_lag_ms":200.0,"loads_per_s":0.0,"loads_at_once":6,"delays":[],"usual":{"prompt":772,"answer":154},"layers":80,"layer_mb":1750.0,"act_bytes":22900,"pipe_mbps":7900.0,"kinds":[{"name":"card","mb":80000.0,"pace":3.1,"read_factor":3.2},{"name":"t4","mb":14400.0,"pace":15.0,"read_factor":15.0}]}"#;
    let archive = if has_archive {
        format!(
            r#",{{"name":"archive-pool","health_path":"/health","max_conns":1128,"protocol":"h1","tls":false,{engine}}}"#
        )
    } else {
        String::new()
    };
    format!(
        r#"{{"version":{version},"routes":[{}],"services":[{{"name":"caption-pool","health_path":"/health","max_conns":1128,"protocol":"h1","tls":false,{engine}}}{archive},{{"name":"placement-desk","health_path":"/health","max_conns":100,"protocol":"h1","tls":false}}],"limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}},"tenants":[{{"name":"hule930","api_keys":["{KEY}"],"priority":1}}]}}"#,
        routes.join(",")
    )
}

/// A gateway process; it is killed when this is dropped.
pub struct Gateway {
    child: std::process::Child,
    settings: std::path::PathBuf,
    metrics: u16,
    pub front: SocketAddr,
    pub ready: SocketAddr,
}

impl Drop for Gateway {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.settings);
    }
}

fn spawn(settings: &std::path::Path, metrics: u16) -> std::process::Child {
    let child = std::process::Command::new("target/release/mustard-gateway")
        .args(["--metrics-port", &metrics.to_string()])
        .env("MUSTARDFIELD_BOOT", settings)
        .stdout(std::process::Stdio::null())
        .spawn();
    child.expect("the gateway can be started")
}

impl Gateway {
    /// Starts the program of the deploy file with the settings of a small deployment.
    pub fn start(store: &Store, name: &str) -> Gateway {
        let ip = IpAddr::V4(Ipv4Addr::LOCALHOST);
        let at = || SocketAddr::new(ip, free_port());
        let (front, ready, control) = (at(), at(), at());
        let (peers, metrics) = (free_port(), free_port());
        let text = format!(
            r#"{{"node":"{name}","role":"gateway","machine_class":"front","serves":["front","control"],"ip":"{ip}","zone":"ga-north-a","region":"ga-north","zones":{{"ga-north-a":"ga-north"}},"listen":{{"front":"{front}","ready":"{ready}","control":"{control}"}},"port_range":[{peers},{}],"seeds":["{control}"],"bootstrap":true,"fault_counted":false,"limits":{{"cpu_share":0.19,"cores":1,"memory_mb":260,"max_fds":4100,"link_mbps":1000.0,"disk_mb":0}},"data_dir":null,"discovery":"platform","entry":"vip","heartbeat_ms":1200,"contracts":["base","drain","config","cost","retry","recover","engine","stream","tenants","platform","layers"],"tolerate":{{"machines":1,"zones":0,"regions":0}},"bounds":{{"seed_lag_s":3,"reuse_after_s":2,"contact_ms":3000,"ack_ms":4000,"catch_up_s":4,"drain_ms":2000,"grace_s":8,"loss_slack_ms":200,"config_ms":2000,"rollback_slack_ms":250,"max_skew_ms":5000,"strict_revoke":false,"revoke_ms":5000,"retry_ratio":0.2,"retry_window_s":10,"retry_slack":198,"recover_s":12,"iteration_ms":120,"retry_after_s":0,"stall_ms":2500,"require_fence":true}},"platform":{{"address":"{}","form":"table","writes_per_s":400,"reads_per_s":2000,"txn_timeout_ms":3.0,"part_writes_s":300,"row_bytes":65536,"across":true,"history_retention_s":20,"blob_bytes":8388608,"blob_ms":25.0,"blob_mb_s":80.0}}}}"#,
            peers.saturating_add(15),
            store.addr
        );
        let settings =
            std::env::temp_dir().join(format!("review-{}-{name}.json", std::process::id()));
        std::fs::write(&settings, text).expect("the settings can be written");
        Gateway {
            child: spawn(&settings, metrics),
            settings,
            metrics,
            front,
            ready,
        }
    }

    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Starts the process again with the same settings.
    pub fn start_again(&mut self) {
        self.child = spawn(&self.settings, self.metrics);
    }

    /// Waits until the gateway says that it is ready; tells whether it did within 20 s.
    pub fn wait_ready(&self) -> bool {
        let until = Instant::now() + Duration::from_secs(20);
        while Instant::now() < until {
            let answer = call(
                self.ready,
                "GET /v1/ready HTTP/1.1\r\nHost: x\r\n\r\n",
                Duration::from_secs(1),
            );
            if answer.status == 200 {
                return true;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        false
    }
}

/// What a caller received.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    /// 0 if no head arrived.
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// Whether the answer arrived whole.
    pub whole: bool,
    /// Whether the channel was closed.
    pub closed: bool,
    pub took: Duration,
}

impl Answer {
    pub fn header(&self, name: &str) -> &str {
        let found = self.headers.iter().find(|(n, _)| n == name);
        found.map_or("", |(_, v)| v)
    }

    pub fn summary(&self) -> String {
        if self.status == 0 {
            let end = if self.closed {
                "the channel is closed"
            } else {
                "nothing"
            };
            return format!("no answer after {:.3} s: {end}", self.took.as_secs_f64());
        }
        format!(
            "status {} after {:.3} s, {}, seal {:?}",
            self.status,
            self.took.as_secs_f64(),
            if self.whole { "whole" } else { "not whole" },
            self.header("response-seal")
        )
    }
}

/// Sends a request on a new channel and reads the answer for `limit` at most.
pub fn call(to: SocketAddr, text: &str, limit: Duration) -> Answer {
    let began = Instant::now();
    let mut answer = Answer::default();
    if let Ok(mut stream) = TcpStream::connect(to) {
        let _ = stream.set_nodelay(true);
        if stream.write_all(text.as_bytes()).is_ok() {
            answer = read_answer(&mut stream, began, limit);
        }
    }
    answer.took = began.elapsed();
    answer
}

pub fn read_answer(stream: &mut TcpStream, began: Instant, limit: Duration) -> Answer {
    let mut answer = Answer::default();
    let mut bytes = Vec::new();
    let mut body_at = None;
    loop {
        if body_at.is_none()
            && let Some(at) = bytes.windows(4).position(|w| w == b"\r\n\r\n")
        {
            let head = String::from_utf8_lossy(&bytes[..at]).into_owned();
            let mut lines = head.split("\r\n");
            let status = lines.next().and_then(|l| l.split(' ').nth(1)?.parse().ok());
            answer.status = status.unwrap_or(0);
            answer.headers = lines
                .filter_map(|l| l.split_once(':'))
                .map(|(n, v)| (n.to_ascii_lowercase(), v.trim().to_owned()))
                .collect();
            body_at = Some(at + 4);
        }
        if let Some(at) = body_at {
            let rest = &bytes[at..];
            let chunked = answer.header("transfer-encoding") == "chunked";
            let length: usize = answer.header("content-length").parse().unwrap_or(0);
            let is_whole = if chunked {
                rest.ends_with(b"0\r\n\r\n")
            } else {
                rest.len() >= length
            };
            answer.body = rest.to_vec();
            if is_whole {
                answer.whole = true;
                break;
            }
        }
        let left = (began + limit).saturating_duration_since(Instant::now());
        if left.is_zero() {
            break;
        }
        let _ = stream.set_read_timeout(Some(left));
        let mut buffer = [0; 16 * 1024];
        match stream.read(&mut buffer) {
            Ok(0) => {
                answer.closed = true;
                break;
            }
            Ok(count) => bytes.extend_from_slice(&buffer[..count]),
            Err(e)
                if matches!(
                    e.kind(),
                    std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut
                ) => {}
            Err(_) => {
                answer.closed = true;
                break;
            }
        }
    }
    answer.took = began.elapsed();
    answer
}

/// Returns a request for a draft, a stream that may be resumed.
pub fn draft(id: &str, budget_ms: u32) -> String {
    stream("draft", id, budget_ms)
}

/// Returns a request for a letter, a stream that may not be resumed.
pub fn letter(id: &str, budget_ms: u32) -> String {
    stream("letter", id, budget_ms)
}

fn stream(route: &str, id: &str, budget_ms: u32) -> String {
    let body = format!("{route} of {id}");
    format!(
        "POST /{route}/2f HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: {id}\r\nModel: daka510000\r\nToken-Count: 300,40\r\nPrompt-Prefix: 5c1e07a2:40,{id}:260\r\nTime-Budget-Ms: {budget_ms}\r\nAuthorization: Bearer {KEY}\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// Returns a request for a booking, which may run at most once.
pub fn booking(id: &str, budget_ms: u32) -> String {
    let body = format!("booking of {id}");
    format!(
        "POST /book/2f HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: {id}\r\nTime-Budget-Ms: {budget_ms}\r\nAuthorization: Bearer {KEY}\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// Returns a request for the status of a booking.
pub fn status_read(id: &str, budget_ms: u32) -> String {
    format!(
        "GET /status/{id} HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: {id}\r\nTime-Budget-Ms: {budget_ms}\r\nAuthorization: Bearer {KEY}\r\n\r\n"
    )
}
