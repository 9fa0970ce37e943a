//! Servers keep idle connections open for longer than clients reuse them.
#![allow(clippy::unwrap_used)]

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::Duration;

use mustard_tests::{Cluster, Plan};

/// Longer than the HTTP framework's default keep-alive, shorter than our clients' keep-alive.
const IDLE_TIME: Duration = Duration::from_secs(7);
const REQUEST: &[u8] = b"GET /healthz HTTP/1.1\r\nhost: x\r\n\r\n";

fn is_answered(stream: &mut TcpStream) -> bool {
    let mut answer = [0; 4096];
    stream.write_all(REQUEST).is_ok()
        && stream
            .read(&mut answer)
            .is_ok_and(|n| answer[..n].starts_with(b"HTTP/1.1"))
}

/// Guards against servers that close an idle connection which a client still reuses: the client
/// sends on a closed connection and can't know whether the call ran.
#[test]
fn connections_idle_stay_open() {
    let cluster = Cluster::start(&Plan::new().entries(1)).unwrap();
    let addrs: [SocketAddr; 3] = [
        cluster.entries[0].addr(),
        cluster.services[0].agent.addr(),
        cluster.services[0].server.addr(),
    ];
    let mut streams = addrs.map(|addr| TcpStream::connect(addr).unwrap());
    for stream in &mut streams {
        assert!(is_answered(stream));
    }
    thread::sleep(IDLE_TIME);
    for (stream, addr) in streams.iter_mut().zip(addrs) {
        assert!(is_answered(stream), "{addr} closed the connection");
    }
}
