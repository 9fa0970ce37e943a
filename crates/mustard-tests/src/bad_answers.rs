//! Answers that are none in the protocol, for every reader of answers.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::thread;

/// The body of the answers; a reader that takes one of them for an answer returns it or a part of it.
pub const BODY: &str = "odd";

/// An answer, and what is wrong with it.
#[derive(Clone, Debug)]
pub struct BadAnswer {
    /// What is wrong.
    pub what: String,
    /// The bytes of head and body.
    pub bytes: Vec<u8>,
}

/// Starts a server that reads a request on each connection, writes `answer` and closes the connection.
///
/// # Errors
///
/// Returns an error if no port can be opened.
pub fn start_server(answer: Vec<u8>) -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let addr = listener.local_addr()?;
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            // The client may be gone.
            if stream.read(&mut [0; 4_096]).is_ok() {
                let _ = stream.write_all(&answer);
            }
        }
    });
    Ok(addr)
}

fn bad(what: &str, bytes: impl Into<Vec<u8>>) -> BadAnswer {
    BadAnswer {
        what: what.to_owned(),
        bytes: bytes.into(),
    }
}

/// Returns answers whose status line is none.
fn bad_status_lines(headers: &str) -> Vec<BadAnswer> {
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
    ];
    let answer = |line: &&str| {
        bad(
            line,
            format!("{line}\r\n{headers}content-length: 3\r\n\r\n{BODY}"),
        )
    };
    lines.iter().map(answer).collect()
}

/// Returns answers with a header that is none.
fn bad_headers(headers: &str) -> Vec<BadAnswer> {
    let lines: [&[u8]; 20] = [
        b"x y: 1",
        b"x : 1",
        b"x\t: 1",
        b"x\x01y: 1",
        b"x\x00y: 1",
        b"x\x7fy: 1",
        b"x\xe9y: 1",
        b"x\ry: 1",
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
        let begin = format!("HTTP/1.1 {status}\r\n{headers}content-length: 3\r\n");
        let bytes = [begin.as_bytes(), line, b"\r\n\r\n", BODY.as_bytes()].concat();
        bad(&format!("{status}, {}", line.escape_ascii()), bytes)
    };
    let statuses = ["200 OK", "500 Failed"];
    let pairs = statuses
        .iter()
        .flat_map(|s| lines.iter().map(move |l| (*s, *l)));
    pairs.map(|(status, line)| answer(status, line)).collect()
}

/// Returns answers whose length can't be told.
fn bad_framing(headers: &str) -> Vec<BadAnswer> {
    let chunk = "3\r\nodd\r\n0\r\n\r\n";
    let cases = [
        ("content-length: 3\r\ncontent-length: 2", BODY),
        ("content-length: 2\r\ncontent-length: 3", BODY),
        ("content-length: 3, 2", BODY),
        ("content-length: +3", BODY),
        ("content-length: -3", BODY),
        ("content-length: 0x3", BODY),
        ("content-length: 3x", BODY),
        ("content-length: 3 3", BODY),
        ("content-length: three", BODY),
        ("content-length:", BODY),
        ("content-length: 99999999999999999999", BODY),
        ("content-length: 3\r\ntransfer-encoding: chunked", chunk),
        ("transfer-encoding: chunked\r\ncontent-length: 13", chunk),
        ("transfer-encoding: chunked\r\ncontent-length: 3", chunk),
        ("transfer-encoding : chunked", chunk),
        ("transfer-encoding: gzip", BODY),
        ("transfer-encoding: gzip, chunked", chunk),
        ("transfer-encoding: chunked, gzip", chunk),
        ("transfer-encoding: chunked, chunked", chunk),
        (
            "transfer-encoding: chunked\r\ntransfer-encoding: chunked",
            chunk,
        ),
        ("transfer-encoding: xchunked", chunk),
        ("transfer-encoding: identity", BODY),
        ("transfer-encoding:", chunk),
        ("transfer-encoding: chunked", "+3\r\nodd\r\n0\r\n\r\n"),
        ("transfer-encoding: chunked", "-3\r\nodd\r\n0\r\n\r\n"),
        ("transfer-encoding: chunked", "0x3\r\nodd\r\n0\r\n\r\n"),
        ("transfer-encoding: chunked", "x\r\nodd\r\n0\r\n\r\n"),
        ("transfer-encoding: chunked", "\r\nodd\r\n0\r\n\r\n"),
        ("transfer-encoding: chunked", ";x\r\nodd\r\n0\r\n\r\n"),
        ("transfer-encoding: chunked", "3\r\noddx\r\n0\r\n\r\n"),
        ("transfer-encoding: chunked", "3\r\nodd0\r\n\r\n"),
        ("transfer-encoding: chunked", "3 3\r\nodd\r\n0\r\n\r\n"),
        (
            "transfer-encoding: chunked",
            "11111111111111111\r\nodd\r\n0\r\n\r\n",
        ),
    ];
    let answer = |(framing, body): &(&str, &str)| {
        let what = format!("{framing:?} {body:?}");
        bad(
            &what,
            format!("HTTP/1.1 200 OK\r\n{headers}{framing}\r\n\r\n{body}"),
        )
    };
    let mut answers: Vec<_> = cases.iter().map(answer).collect();
    let old = format!("HTTP/1.0 200 OK\r\n{headers}transfer-encoding: chunked\r\n\r\n{chunk}");
    answers.push(bad("chunks in HTTP/1.0", old));
    answers
}

/// Returns answers that end before their body or their head does.
fn bad_ends(headers: &str) -> Vec<BadAnswer> {
    let cases = [
        ("nothing", String::new()),
        ("a part of a status line", "HTTP/1.1 20".to_owned()),
        (
            "a part of a head",
            format!("HTTP/1.1 200 OK\r\n{headers}content-le"),
        ),
        (
            "no empty line",
            format!("HTTP/1.1 200 OK\r\n{headers}content-length: 0\r\n"),
        ),
        (
            "an interim answer only",
            "HTTP/1.1 100 Continue\r\n\r\n".to_owned(),
        ),
        (
            "a part of a body",
            format!("HTTP/1.1 200 OK\r\n{headers}content-length: 4\r\n\r\n{BODY}"),
        ),
        (
            "a part of a chunk",
            format!("HTTP/1.1 200 OK\r\n{headers}transfer-encoding: chunked\r\n\r\n4\r\n{BODY}"),
        ),
        (
            "no last chunk",
            format!(
                "HTTP/1.1 200 OK\r\n{headers}transfer-encoding: chunked\r\n\r\n3\r\n{BODY}\r\n"
            ),
        ),
        (
            "no end after the last chunk",
            format!(
                "HTTP/1.1 200 OK\r\n{headers}transfer-encoding: chunked\r\n\r\n3\r\n{BODY}\r\n0\r\n"
            ),
        ),
    ];
    cases
        .into_iter()
        .map(|(what, bytes)| bad(what, bytes))
        .collect()
}

/// Returns answers that no reader may take for one; each has `headers`, lines with their ends, where it has headers.
/// The connection is closed after them.
pub fn bad_answers(headers: &str) -> Vec<BadAnswer> {
    let mut answers = bad_status_lines(headers);
    answers.extend(bad_headers(headers));
    answers.extend(bad_framing(headers));
    answers.extend(bad_ends(headers));
    answers
}

/// Returns answers with [`BODY`] that every reader takes.
pub fn sound_answers(headers: &str) -> Vec<String> {
    let chunk = format!("3;x=y\r\n{BODY}\r\n0\r\nt: 1\r\n\r\n");
    vec![
        format!("HTTP/1.1 200 OK\r\n{headers}content-length: 3\r\n\r\n{BODY}"),
        format!("HTTP/1.1 200 OK\r\n{headers}Content-Length: 3\r\ncontent-length: 3\r\n\r\n{BODY}"),
        format!("HTTP/1.1 200 \r\n{headers}content-length:3\r\n\r\n{BODY}"),
        format!("HTTP/1.1 200\r\n{headers}content-length: 3 \r\n\r\n{BODY}"),
        format!("HTTP/1.1 200 OK\r\n{headers}transfer-encoding: Chunked\r\n\r\n{chunk}"),
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
