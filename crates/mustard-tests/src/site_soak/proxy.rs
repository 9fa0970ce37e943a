//! A loopback proxy that injects network faults into its connections.

use std::io::{Read, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU8, Ordering};
use std::thread;
use std::time::Duration;

use socket2::SockRef;

use crate::errors::Result;

/// How long each delayed chunk waits.
const DELAY: Duration = Duration::from_millis(60);
/// How often a blocked connection checks whether the fault has ended.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
const BUFFER_BYTES: usize = 16 * 1024;

/// A fault that a proxy applies to all its connections, existing and new.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub(super) enum ProxyFault {
    /// No fault.
    None = 0,
    /// Each chunk is delayed.
    Delay = 1,
    /// Connections are reset at their next chunk.
    Reset = 2,
    /// Data to the server is held back.
    BlockToServer = 3,
    /// Data from the server is held back.
    BlockFromServer = 4,
    /// Data in both directions is held back.
    BlockBoth = 5,
}

impl ProxyFault {
    /// All faults except `None`.
    pub(super) const ALL: [ProxyFault; 5] = [
        ProxyFault::Delay,
        ProxyFault::Reset,
        ProxyFault::BlockToServer,
        ProxyFault::BlockFromServer,
        ProxyFault::BlockBoth,
    ];

    fn from_code(code: u8) -> Self {
        let found = ProxyFault::ALL.into_iter().find(|h| *h as u8 == code);
        found.unwrap_or(ProxyFault::None)
    }

    fn blocks(self, to_server: bool) -> bool {
        match self {
            ProxyFault::BlockBoth => true,
            ProxyFault::BlockToServer => to_server,
            ProxyFault::BlockFromServer => !to_server,
            ProxyFault::None | ProxyFault::Delay | ProxyFault::Reset => false,
        }
    }
}

/// A proxy in front of one server.
#[derive(Clone, Debug)]
pub(super) struct Proxy {
    addr: SocketAddr,
    fault: Arc<AtomicU8>,
}

impl Proxy {
    /// Starts a proxy on a free loopback port.
    ///
    /// # Errors
    ///
    /// Returns an error if no port can be opened.
    pub(super) fn start(target: SocketAddr) -> Result<Self> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
        let proxy = Proxy {
            addr: listener.local_addr()?,
            fault: Arc::new(AtomicU8::new(ProxyFault::None as u8)),
        };
        let fault = Arc::clone(&proxy.fault);
        thread::spawn(move || {
            for client in listener.incoming().flatten() {
                let fault = Arc::clone(&fault);
                thread::spawn(move || relay(client, target, &fault));
            }
        });
        Ok(proxy)
    }

    /// Returns the address that clients connect to.
    pub(super) fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Sets the fault of all connections from now on.
    pub(super) fn set_fault(&self, fault: ProxyFault) {
        self.fault.store(fault as u8, Ordering::Relaxed);
    }
}

/// Relays one connection in both directions until either side closes it.
fn relay(client: TcpStream, target: SocketAddr, fault: &Arc<AtomicU8>) {
    let Ok(server) = TcpStream::connect(target) else {
        return;
    };
    let (Ok(from_client), Ok(from_server)) = (client.try_clone(), server.try_clone()) else {
        return;
    };
    let back_fault = Arc::clone(fault);
    let is_reset = Arc::new(AtomicBool::new(false));
    let back_reset = Arc::clone(&is_reset);
    let back =
        thread::spawn(move || copy_bytes(from_server, client, false, &back_fault, &back_reset));
    copy_bytes(from_client, server, true, fault, &is_reset);
    let _ = back.join();
}

/// Copies bytes until either side closes the connection, or the fault resets it. A reset must not look
/// like an orderly end, which may be that of an answer.
fn copy_bytes(
    mut from: TcpStream,
    mut to: TcpStream,
    to_server: bool,
    fault: &AtomicU8,
    is_reset: &AtomicBool,
) {
    let mut buffer = [0; BUFFER_BYTES];
    loop {
        let count = from.read(&mut buffer).unwrap_or(0);
        if !apply_fault(to_server, fault) {
            is_reset.store(true, Ordering::Relaxed);
        }
        let ends = is_reset.load(Ordering::Relaxed) || count == 0;
        if ends || to.write_all(&buffer[..count]).is_err() {
            break;
        }
    }
    // The shutdown also ends the read of the other direction.
    let how = if is_reset.load(Ordering::Relaxed) {
        for stream in [&from, &to] {
            let _ = SockRef::from(stream).set_linger(Some(Duration::ZERO));
        }
        Shutdown::Read
    } else {
        Shutdown::Both
    };
    let _ = from.shutdown(how);
    let _ = to.shutdown(how);
}

/// Waits while the fault delays or blocks this direction; returns false if the connection is to be
/// closed.
fn apply_fault(to_server: bool, fault: &AtomicU8) -> bool {
    let current = || ProxyFault::from_code(fault.load(Ordering::Relaxed));
    if current() == ProxyFault::Delay {
        thread::sleep(DELAY);
    }
    while current().blocks(to_server) {
        thread::sleep(POLL_INTERVAL);
    }
    current() != ProxyFault::Reset
}
