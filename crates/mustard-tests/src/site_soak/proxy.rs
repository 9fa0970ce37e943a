//! A loopback proxy that harms the connections through it.

use std::io::{Read, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicU8, Ordering};
use std::thread;
use std::time::Duration;

use crate::errors::Result;

/// How long a delayed piece waits.
const DELAY: Duration = Duration::from_millis(60);
/// How often a held connection looks whether it may go on.
const POLL: Duration = Duration::from_millis(5);
const CHUNK: usize = 16 * 1024;

/// What a proxy does to its connections, old ones and new ones.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub(super) enum Harm {
    /// Nothing.
    None = 0,
    /// Each piece waits for a while.
    Delay = 1,
    /// Connections are reset.
    Reset = 2,
    /// Nothing gets through to the server.
    CutTo = 3,
    /// Nothing gets through from the server.
    CutFrom = 4,
    /// Nothing gets through.
    Silence = 5,
}

impl Harm {
    /// All that do harm.
    pub(super) const ALL: [Harm; 5] = [
        Harm::Delay,
        Harm::Reset,
        Harm::CutTo,
        Harm::CutFrom,
        Harm::Silence,
    ];

    fn from_code(code: u8) -> Self {
        let found = Harm::ALL.into_iter().find(|h| *h as u8 == code);
        found.unwrap_or(Harm::None)
    }

    fn holds(self, to_server: bool) -> bool {
        match self {
            Harm::Silence => true,
            Harm::CutTo => to_server,
            Harm::CutFrom => !to_server,
            Harm::None | Harm::Delay | Harm::Reset => false,
        }
    }
}

/// A proxy before one server.
#[derive(Clone, Debug)]
pub(super) struct Proxy {
    addr: SocketAddr,
    harm: Arc<AtomicU8>,
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
            harm: Arc::new(AtomicU8::new(Harm::None as u8)),
        };
        let harm = Arc::clone(&proxy.harm);
        thread::spawn(move || {
            for client in listener.incoming().flatten() {
                let harm = Arc::clone(&harm);
                thread::spawn(move || carry(client, target, &harm));
            }
        });
        Ok(proxy)
    }

    /// Returns the address that clients are to use.
    pub(super) fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Sets what happens to connections from now on.
    pub(super) fn set(&self, harm: Harm) {
        self.harm.store(harm as u8, Ordering::Relaxed);
    }
}

/// Carries one connection in both directions until either side ends it.
fn carry(client: TcpStream, target: SocketAddr, harm: &Arc<AtomicU8>) {
    let Ok(server) = TcpStream::connect(target) else {
        return;
    };
    let (Ok(from_client), Ok(from_server)) = (client.try_clone(), server.try_clone()) else {
        return;
    };
    let back_harm = Arc::clone(harm);
    let back = thread::spawn(move || pump(from_server, client, false, &back_harm));
    pump(from_client, server, true, harm);
    let _ = back.join();
}

fn pump(mut from: TcpStream, mut to: TcpStream, to_server: bool, harm: &AtomicU8) {
    let mut buffer = [0; CHUNK];
    loop {
        let count = from.read(&mut buffer).unwrap_or(0);
        if !allowed(to_server, harm) || count == 0 || to.write_all(&buffer[..count]).is_err() {
            break;
        }
    }
    // The other direction's read ends with it.
    let _ = from.shutdown(Shutdown::Both);
    let _ = to.shutdown(Shutdown::Both);
}

/// Waits as long as the harm demands; tells whether the connection may go on.
fn allowed(to_server: bool, harm: &AtomicU8) -> bool {
    let now = || Harm::from_code(harm.load(Ordering::Relaxed));
    if now() == Harm::Delay {
        thread::sleep(DELAY);
    }
    while now().holds(to_server) {
        thread::sleep(POLL);
    }
    now() != Harm::Reset
}
