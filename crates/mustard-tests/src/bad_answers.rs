//! Answers that are none in the protocol, for every reader of answers.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::thread;
use std::time::Duration;

use socket2::SockRef;

/// The body of the answers, unless a reader needs one that it can decode. A reader that takes one of them for an answer
/// returns it or a part of it.
pub const BODY: &str = "odd";

/// An answer, and what is wrong with it.
#[derive(Clone, Debug)]
pub struct BadAnswer {
    /// What is wrong.
    pub what: String,
    /// The bytes of head and body.
    pub bytes: Vec<u8>,
    /// Whether the connection is reset after them, rather than closed.
    pub is_reset: bool,
}

impl BadAnswer {
    /// Starts a server that gives this answer to each request.
    ///
    /// # Errors
    ///
    /// As for [`start_server`].
    pub fn start_server(&self) -> std::io::Result<SocketAddr> {
        start_ending_server(self.bytes.clone(), self.is_reset)
    }
}

/// Starts a server that reads a request on each connection, writes `answer` and closes the connection.
///
/// # Errors
///
/// Returns an error if no port can be opened.
pub fn start_server(answer: Vec<u8>) -> std::io::Result<SocketAddr> {
    start_ending_server(answer, false)
}

fn start_ending_server(answer: Vec<u8>, is_reset: bool) -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let addr = listener.local_addr()?;
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            // The client may be gone.
            if stream.read(&mut [0; 4_096]).is_ok() {
                let _ = stream.write_all(&answer);
            }
            if is_reset {
                let _ = SockRef::from(&stream).set_linger(Some(Duration::ZERO));
            }
        }
    });
    Ok(addr)
}

fn bad(what: &str, bytes: impl Into<Vec<u8>>) -> BadAnswer {
    BadAnswer {
        what: what.to_owned(),
        bytes: bytes.into(),
        is_reset: false,
    }
}

/// Returns answers whose status line is none.
fn bad_status_lines(headers: &str, body: &str) -> Vec<BadAnswer> {
    let lines = [
        "HTTP/1.1 000 Zero",
        "HTTP/1.1 001 One",
        "HTTP/1.1 099 Below",
        "HTTP/1.1 600 Above",
        "HTTP/1.1 999 Above",
        "HTTP/1.1 20 Short",
        "HTTP/1.1 2000 Long",
        "HTTP/1.1 2x0 Letter",
        "HTTP/1.1 -20 Sign",
        "HTTP/1.1  OK",
        "HTTP/1.1 101 Switching Protocols",
        "HTTP/2.0 200 OK",
        "HTTP/1.2 200 OK",
        "HTTP/0.9 200 OK",
        "HTTP/1.1200 OK",
        "http/1.1 200 OK",
        "ICY 200 OK",
        "\r\nHTTP/1.1 200 OK",
        " HTTP/1.1 200 OK",
        "HTTP/1.1 200 O\x01K",
        "HTTP/1.1 200 OK\nx: 1",
    ];
    let answer = |line: &&str| {
        bad(
            line,
            format!(
                "{line}\r\n{headers}content-length: {}\r\n\r\n{body}",
                body.len()
            ),
        )
    };
    lines.iter().map(answer).collect()
}

/// Returns answers with a header that is none.
fn bad_headers(headers: &str, body: &str) -> Vec<BadAnswer> {
    let lines: [&[u8]; 24] = [
        b"x y: 1",
        b"x : 1",
        b"x\t: 1",
        b"x\x01y: 1",
        b"x\x00y: 1",
        b"x\x7fy: 1",
        b"x\xe9y: 1",
        b"x\ry: 1",
        b"\ny: 1",
        b"x\ny: 1",
        b"\n",
        b"x: a\ny: 1",
        b"x(y): 1",
        b"x/y: 1",
        b": 1",
        b" x: 1",
        b"x: 1\r\n folded",
        b"x: 1\r\n\tfolded",
        b"x: a\x00b",
        b"x: a\rb",
        b"x: a\x01b",
        b"x: a\x7fb",
        b"no colon",
        b"content-length : 1",
    ];
    let answer = |status: &str, line: &[u8]| {
        let len = body.len();
        let begin = format!("HTTP/1.1 {status}\r\n{headers}content-length: {len}\r\n");
        let bytes = [begin.as_bytes(), line, b"\r\n\r\n", body.as_bytes()].concat();
        bad(&format!("{status}, {}", line.escape_ascii()), bytes)
    };
    let statuses = ["200 OK", "500 Failed"];
    let pairs = statuses
        .iter()
        .flat_map(|s| lines.iter().map(move |l| (*s, *l)));
    pairs.map(|(status, line)| answer(status, line)).collect()
}

/// Fills in the body and its length: `<n>`, one less: `<less>`, or in hexadecimal: `<hex>`.
fn fill(text: &str, body: &str) -> String {
    let len = body.len();
    text.replace("<n>", &len.to_string())
        .replace("<less>", &(len - 1).to_string())
        .replace("<hex>", &format!("{len:x}"))
        .replace("<body>", body)
}

/// Returns answers whose length can't be told.
fn bad_framing(headers: &str, body: &str) -> Vec<BadAnswer> {
    const CHUNKED: &str = "transfer-encoding: chunked";
    const CHUNK: &str = "<hex>\r\n<body>\r\n0\r\n\r\n";
    let cases = [
        ("content-length: <n>\r\ncontent-length: <less>", "<body>"),
        ("content-length: <less>\r\ncontent-length: <n>", "<body>"),
        ("content-length: <n>, <less>", "<body>"),
        ("content-length: +<n>", "<body>"),
        ("content-length: -<n>", "<body>"),
        ("content-length: 0x<hex>", "<body>"),
        ("content-length: <n>x", "<body>"),
        ("content-length: <n> <n>", "<body>"),
        ("content-length: three", "<body>"),
        ("content-length:", "<body>"),
        ("content-length: 99999999999999999999", "<body>"),
        ("content-length: <n>\r\ntransfer-encoding: chunked", CHUNK),
        ("transfer-encoding: chunked\r\ncontent-length: 13", CHUNK),
        ("transfer-encoding: chunked\r\ncontent-length: <n>", CHUNK),
        ("transfer-encoding : chunked", CHUNK),
        ("transfer-encoding: gzip", "<body>"),
        ("transfer-encoding: gzip, chunked", CHUNK),
        ("transfer-encoding: chunked, gzip", CHUNK),
        ("transfer-encoding: chunked, chunked", CHUNK),
        (
            "transfer-encoding: chunked\r\ntransfer-encoding: chunked",
            CHUNK,
        ),
        ("transfer-encoding: xchunked", CHUNK),
        ("transfer-encoding: identity", "<body>"),
        ("transfer-encoding:", CHUNK),
        (CHUNKED, "+<hex>\r\n<body>\r\n0\r\n\r\n"),
        (CHUNKED, "-<hex>\r\n<body>\r\n0\r\n\r\n"),
        (CHUNKED, "0x<hex>\r\n<body>\r\n0\r\n\r\n"),
        (CHUNKED, "x\r\n<body>\r\n0\r\n\r\n"),
        (CHUNKED, "\r\n<body>\r\n0\r\n\r\n"),
        (CHUNKED, ";x\r\n<body>\r\n0\r\n\r\n"),
        (CHUNKED, "<hex>\r\n<body>x\r\n0\r\n\r\n"),
        (CHUNKED, "<hex>\r\n<body>0\r\n\r\n"),
        (CHUNKED, "<hex> <hex>\r\n<body>\r\n0\r\n\r\n"),
        (CHUNKED, "11111111111111111\r\n<body>\r\n0\r\n\r\n"),
        (CHUNKED, "<hex>\r\r\n<body>\r\n0\r\n\r\n"),
        (CHUNKED, "<hex>\x0b\r\n<body>\r\n0\r\n\r\n"),
        (CHUNKED, "<hex>\u{a0}\r\n<body>\r\n0\r\n\r\n"),
        (CHUNKED, "<hex>;x=\x00\r\n<body>\r\n0\r\n\r\n"),
        (CHUNKED, "<hex>;x\ry\r\n<body>\r\n0\r\n\r\n"),
        (CHUNKED, "<hex>\n<body>\r\n0\r\n\r\n"),
        (CHUNKED, "<hex>\r\n<body>\r\n0\r\nt u: 1\r\n\r\n"),
        (CHUNKED, "<hex>\r\n<body>\r\n0\r\nt : 1\r\n\r\n"),
        (CHUNKED, "<hex>\r\n<body>\r\n0\r\nt\x01: 1\r\n\r\n"),
        (CHUNKED, "<hex>\r\n<body>\r\n0\r\nt: \x00\r\n\r\n"),
        (CHUNKED, "<hex>\r\n<body>\r\n0\r\nno colon\r\n\r\n"),
        (
            CHUNKED,
            "<hex>\r\n<body>\r\n0\r\nHTTP/1.1 200 OK\r\nx: 1\r\n\r\n",
        ),
    ];
    let answer = |(framing, text): &(&str, &str)| {
        let what = format!("{framing:?} {text:?}");
        let (framing, text) = (fill(framing, body), fill(text, body));
        bad(
            &what,
            format!("HTTP/1.1 200 OK\r\n{headers}{framing}\r\n\r\n{text}"),
        )
    };
    let mut answers: Vec<_> = cases.iter().map(answer).collect();
    // An answer that has no body states its framing like others.
    for status in ["204 No Content", "304 Not Modified", "103 Early Hints"] {
        let both = format!("content-length: 0\r\n{CHUNKED}\r\n\r\n");
        let bytes = format!("HTTP/1.1 {status}\r\n{headers}{both}");
        answers.push(bad(&format!("{status}, length and chunks"), bytes));
    }
    let chunk = fill(CHUNK, body);
    let old = format!("HTTP/1.0 200 OK\r\n{headers}{CHUNKED}\r\n\r\n{chunk}");
    answers.push(bad("chunks in HTTP/1.0", old));
    answers
}

/// Returns answers that end before their body or their head does.
fn bad_ends(headers: &str, body: &str) -> Vec<BadAnswer> {
    let head = format!("HTTP/1.1 200 OK\r\n{headers}");
    let old_head = format!("HTTP/1.0 200 OK\r\n{headers}");
    let more = body.len() + 1;
    let chunked = format!("{head}transfer-encoding: chunked\r\n\r\n");
    let chunk = fill("<hex>\r\n<body>\r\n", body);
    let cut_off = [
        ("nothing", String::new()),
        ("a part of a status line", "HTTP/1.1 20".to_owned()),
        ("a part of a head", format!("{head}content-le")),
        ("no empty line", format!("{head}content-length: 0\r\n")),
        (
            "an interim answer only",
            "HTTP/1.1 100 Continue\r\n\r\n".to_owned(),
        ),
        (
            "a part of a body",
            format!("{head}content-length: {more}\r\n\r\n{body}"),
        ),
        ("a part of a chunk", format!("{chunked}{more:x}\r\n{body}")),
        ("no last chunk", format!("{chunked}{chunk}")),
        (
            "no end after the last chunk",
            format!("{chunked}{chunk}0\r\n"),
        ),
        (
            "no end after the trailers",
            format!("{chunked}{chunk}0\r\nt: 1\r\n"),
        ),
    ];
    // Only the end of the connection says that these are whole.
    let unframed = [
        ("no length", format!("{head}\r\n{body}")),
        ("no length in HTTP/1.0", format!("{old_head}\r\n{body}")),
        ("no length and no body", format!("{head}\r\n")),
    ];
    let closed = cut_off.iter().map(|(what, bytes)| (what, bytes, false));
    let all = cut_off.iter().chain(&unframed);
    let reset = all.map(|(what, bytes)| (what, bytes, true));
    closed
        .chain(reset)
        .map(|(what, bytes, is_reset)| BadAnswer {
            what: format!("{what}, reset: {is_reset}"),
            bytes: bytes.clone().into_bytes(),
            is_reset,
        })
        .collect()
}

/// Returns answers that no reader may take for one; each has `headers`, lines with their ends, where it has headers.
/// The connection is closed or reset after them.
pub fn bad_answers(headers: &str) -> Vec<BadAnswer> {
    bad_answers_with(headers, BODY)
}

/// The same with another body, which isn't empty.
pub fn bad_answers_with(headers: &str, body: &str) -> Vec<BadAnswer> {
    let mut answers = bad_status_lines(headers, body);
    answers.extend(bad_headers(headers, body));
    answers.extend(bad_framing(headers, body));
    answers.extend(bad_ends(headers, body));
    answers
}

/// Returns answers with [`BODY`] that every reader takes.
pub fn sound_answers(headers: &str) -> Vec<String> {
    let chunk = format!("3 ;x=\"y\tz\"\r\n{BODY}\r\n0\r\nt: 1\r\nu:\r\n\r\n");
    vec![
        format!("HTTP/1.1 200 OK\r\n{headers}content-length: 3\r\n\r\n{BODY}"),
        format!("HTTP/1.1 200 OK\r\n{headers}Content-Length: 3\r\ncontent-length: 3\r\n\r\n{BODY}"),
        format!("HTTP/1.1 200 \r\n{headers}content-length:3\r\n\r\n{BODY}"),
        format!("HTTP/1.1 200\r\n{headers}content-length: 3 \r\n\r\n{BODY}"),
        format!("HTTP/1.1 200 OK\r\n{headers}transfer-encoding: Chunked\r\n\r\n{chunk}"),
        format!("HTTP/1.1 200 OK\r\n{headers}\r\n{BODY}"),
        format!("HTTP/1.0 200 OK\r\n{headers}content-length: 3\r\n\r\n{BODY}"),
        format!(
            "HTTP/1.1 200 OK\r\n{headers}x-empty:\r\nx!#$%&'*+-.^_`|~1: a\tb\r\ncontent-length: 3\r\n\r\n{BODY}"
        ),
        format!(
            "HTTP/1.1 103 Early Hints\r\nlink: x\r\n\r\nHTTP/1.1 200 OK\r\n{headers}content-length: 3\r\n\r\n{BODY}"
        ),
        format!("HTTP/1.1 299 Odd\r\n{headers}content-length: 3\r\n\r\n{BODY}"),
        format!("HTTP/1.1 599 Odd\r\n{headers}content-length: 3\r\n\r\n{BODY}"),
    ]
}
