//! A gateway process before a stand-in site, and a caller.

use std::fs::File;
use std::future::poll_fn;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use ntex::client::Client;
use ntex::http::Method;
use ntex::http::header::{HeaderName, HeaderValue};
use ntex::util::Bytes;

use mustard_fakes::site::{HOST, KEY, Site};
use mustard_net::http::{Passed, new_client, pass_on};
use mustard_tests::ports::free_port;

/// The time within which a gateway becomes ready on a busy machine.
const READY_LIMIT: Duration = Duration::from_secs(20);
const POLL: Duration = Duration::from_millis(20);

/// A gateway process; dropping it ends the process.
pub(crate) struct Gateway {
    child: Child,
    settings: PathBuf,
    pub(crate) callers: SocketAddr,
    pub(crate) ready: SocketAddr,
}

impl Drop for Gateway {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.settings);
    }
}

/// Returns a port that is free on each of the addresses that the tests use.
pub(crate) fn port() -> u16 {
    free_port().unwrap()
}

impl Gateway {
    /// Starts a gateway on an address of its own.
    pub(crate) fn start(site: &Site, ip: Ipv4Addr, peer_port: u16, seeds: &[Ipv4Addr]) -> Self {
        // Nobody reads this pipe, so each test also shows that logs hold nothing up.
        Gateway::spawn(site, ip, peer_port, seeds, Stdio::piped())
    }

    fn spawn(site: &Site, ip: Ipv4Addr, peer_port: u16, seeds: &[Ipv4Addr], log: Stdio) -> Self {
        let ports = [port(), port(), peer_port];
        let text = site.settings(ip, ports, seeds).to_string();
        let name = format!(
            "mustard-gateway-{}-{ip}-{}.json",
            std::process::id(),
            ports[0]
        );
        let settings = std::env::temp_dir().join(name);
        std::fs::write(&settings, text).unwrap();
        let child = Command::new(env!("CARGO_BIN_EXE_mustard-gateway"))
            .args(["--metrics-port", "0"])
            .env("MUSTARDFIELD_BOOT", &settings)
            .stdout(log)
            .spawn()
            .unwrap();
        Gateway {
            child,
            settings,
            callers: SocketAddr::from((ip, ports[0])),
            ready: SocketAddr::from((ip, ports[1])),
        }
    }

    /// Starts the only gateway of a site and waits until it serves.
    pub(crate) async fn ready(site: &Site, caller: &Caller) -> Self {
        let ip = Ipv4Addr::LOCALHOST;
        let gateway = Gateway::start(site, ip, port(), &[]);
        gateway.wait_ready(caller).await;
        gateway
    }

    /// Starts the only gateway of a site with its log in a file, and waits until it serves.
    pub(crate) async fn logged(site: &Site, caller: &Caller, log: File) -> Self {
        let ip = Ipv4Addr::LOCALHOST;
        let gateway = Gateway::spawn(site, ip, port(), &[], Stdio::from(log));
        gateway.wait_ready(caller).await;
        gateway
    }

    /// Waits until the gateway says that it is ready.
    pub(crate) async fn wait_ready(&self, caller: &Caller) {
        let until = Instant::now() + READY_LIMIT;
        while !self.is_ready(caller).await {
            assert!(Instant::now() < until, "the gateway doesn't become ready");
            tokio::time::sleep(POLL).await;
        }
    }

    pub(crate) async fn is_ready(&self, caller: &Caller) -> bool {
        let answer = caller.call(self.ready, "GET", "/v1/ready", &[]).await;
        answer.is_some_and(|a| a.status == 200)
    }

    pub(crate) fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Waits for the end of the process and returns its exit code.
    pub(crate) async fn wait_end(&mut self) -> Option<i32> {
        let until = Instant::now() + READY_LIMIT;
        loop {
            if let Some(status) = self.child.try_wait().unwrap() {
                return status.code();
            }
            assert!(Instant::now() < until, "the process doesn't end");
            tokio::time::sleep(POLL).await;
        }
    }
}

/// An answer as a caller sees it.
#[derive(Debug)]
pub(crate) struct Answer {
    pub(crate) status: u16,
    pub(crate) retry_after: bool,
    pub(crate) text: String,
    /// Whether the body came to its stated end.
    pub(crate) whole: bool,
}

/// What the body of each request starts with.
pub(crate) const PROMPT: &str = "prompt-of-a-caller";

/// Sends requests.
pub(crate) struct Caller {
    client: Client,
}

impl Caller {
    pub(crate) async fn new() -> Self {
        Caller {
            client: new_client().await,
        }
    }

    /// Sends a request with headers of its own; none if no head of an answer came.
    pub(crate) async fn call(
        &self,
        to: SocketAddr,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
    ) -> Option<Answer> {
        let mut list = vec![(
            HeaderName::from_static("host"),
            HeaderValue::from_static(HOST),
        )];
        for (name, value) in headers {
            let name = HeaderName::try_from(*name).unwrap();
            list.push((name, HeaderValue::from_str(value).unwrap()));
        }
        let passed = Passed {
            to,
            method: Method::try_from(method).unwrap(),
            path: path.to_owned(),
            headers: list,
            body: Bytes::from(format!("{PROMPT} of {path}")),
        };
        let answer = match pass_on(&self.client, passed).await {
            Ok(answer) => answer,
            Err(e) => {
                println!("{method} {path}: {e}");
                return None;
            }
        };
        let mut payload = answer.take_payload();
        let mut bytes = Vec::new();
        let mut whole = true;
        while let Some(chunk) = poll_fn(|cx| payload.poll_recv(cx)).await {
            match chunk {
                Ok(chunk) => bytes.extend_from_slice(&chunk),
                Err(_) => {
                    whole = false;
                    break;
                }
            }
        }
        Some(Answer {
            status: answer.status().as_u16(),
            retry_after: answer.headers().contains_key("retry-after"),
            text: String::from_utf8(bytes).unwrap(),
            whole,
        })
    }

    /// Sends a request of the customer.
    pub(crate) async fn ask(&self, gateway: &Gateway, path: &str, id: &str) -> Option<Answer> {
        let key = format!("Bearer {KEY}");
        let method = if path.starts_with("/status/") {
            "GET"
        } else {
            "POST"
        };
        let headers = [
            ("attempt-id", id),
            ("authorization", key.as_str()),
            ("time-budget-ms", "7000"),
            ("token-count", "100,80"),
        ];
        self.call(gateway.callers, method, path, &headers).await
    }
}

/// Waits until something holds.
pub(crate) async fn wait_until(what: &str, mut holds: impl FnMut() -> bool) {
    let until = Instant::now() + READY_LIMIT;
    while !holds() {
        assert!(Instant::now() < until, "{what} doesn't come about");
        tokio::time::sleep(POLL).await;
    }
}
