//! A gateway process in front of a stand-in site, and a caller.

use std::fs::File;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use ntex::http::Method;
use ntex::http::header::{HeaderName, HeaderValue};
use ntex::util::Bytes;

use mustard_fakes::site::{API_KEY, HOST, SEGMENTS_HEADER, Site};
use mustard_net::forward::{ForwardedRequest, forward_request};
use mustard_tests::ports::free_port;

/// The time limit for a gateway to become ready or exit, on a busy machine.
const READY_LIMIT: Duration = Duration::from_secs(20);
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// The time limit for a connection to a gateway.
const CONNECT_LIMIT: Duration = Duration::from_secs(5);
/// Twice the time budget that callers send.
const ANSWER_LIMIT: Duration = Duration::from_secs(14);

/// A gateway process; dropping this kills the process.
pub(crate) struct Gateway {
    child: Child,
    settings: PathBuf,
    pub(crate) caller_addr: SocketAddr,
    pub(crate) ready_addr: SocketAddr,
    pub(crate) peer_addr: SocketAddr,
}

impl Drop for Gateway {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.settings);
    }
}

/// Returns a port that is free on every address that the tests use.
pub(crate) fn new_port() -> u16 {
    free_port().unwrap()
}

impl Gateway {
    /// Starts a gateway on an address of its own.
    pub(crate) fn start(site: &Site, ip: Ipv4Addr, peer_port: u16, seeds: &[Ipv4Addr]) -> Self {
        // Nobody reads this pipe, so each test also shows that logging never blocks the gateway.
        Gateway::spawn(site, ip, peer_port, seeds, Stdio::piped())
    }

    /// Starts a gateway that can't reach the store.
    pub(crate) fn start_without_store(
        site: &Site,
        ip: Ipv4Addr,
        peer_port: u16,
        seeds: &[Ipv4Addr],
    ) -> Self {
        let ports = [new_port(), new_port(), peer_port];
        let mut settings = site.settings(ip, ports, seeds);
        let nobody = SocketAddr::from((Ipv4Addr::LOCALHOST, new_port()));
        settings["platform"]["address"] = nobody.to_string().into();
        Gateway::spawn_with(&settings.to_string(), ip, ports, Stdio::piped(), &[])
    }

    /// Starts a gateway with its log in a file.
    pub(crate) fn spawn(
        site: &Site,
        ip: Ipv4Addr,
        peer_port: u16,
        seeds: &[Ipv4Addr],
        log: Stdio,
    ) -> Self {
        let ports = [new_port(), new_port(), peer_port];
        let text = site.settings(ip, ports, seeds).to_string();
        Gateway::spawn_with(&text, ip, ports, log, &[])
    }

    fn spawn_with(text: &str, ip: Ipv4Addr, ports: [u16; 3], log: Stdio, options: &[&str]) -> Self {
        let name = format!(
            "mustard-gateway-{}-{ip}-{}.json",
            std::process::id(),
            ports[0]
        );
        let settings = std::env::temp_dir().join(name);
        std::fs::write(&settings, text).unwrap();
        let metrics_port: &[&str] = if options.contains(&"--metrics-port") {
            &[]
        } else {
            &["--metrics-port", "0"]
        };
        let child = Command::new(env!("CARGO_BIN_EXE_mustard-gateway"))
            .args(metrics_port)
            .args(options)
            .env("MUSTARDFIELD_BOOT", &settings)
            .stdout(log)
            .spawn()
            .unwrap();
        Gateway {
            child,
            settings,
            caller_addr: SocketAddr::from((ip, ports[0])),
            ready_addr: SocketAddr::from((ip, ports[1])),
            peer_addr: SocketAddr::from((ip, ports[2])),
        }
    }

    /// Starts the only gateway of a site and waits until it serves.
    pub(crate) async fn start_ready(site: &Site, caller: &Caller) -> Self {
        let ip = Ipv4Addr::LOCALHOST;
        let gateway = Gateway::start(site, ip, new_port(), &[]);
        gateway.wait_ready(caller).await;
        gateway
    }

    /// Starts the only gateway of a site with further command-line options and its log in a file, and waits
    /// until it serves.
    pub(crate) async fn start_with(
        site: &Site,
        caller: &Caller,
        options: &[&str],
        log: File,
    ) -> Self {
        let ip = Ipv4Addr::LOCALHOST;
        let ports = [new_port(), new_port(), new_port()];
        let text = site.settings(ip, ports, &[]).to_string();
        let gateway = Gateway::spawn_with(&text, ip, ports, Stdio::from(log), options);
        gateway.wait_ready(caller).await;
        gateway
    }

    /// Starts the only gateway of a site with its log in a file, and waits until it serves.
    pub(crate) async fn start_logged(site: &Site, caller: &Caller, log: File) -> Self {
        let ip = Ipv4Addr::LOCALHOST;
        let gateway = Gateway::spawn(site, ip, new_port(), &[], Stdio::from(log));
        gateway.wait_ready(caller).await;
        gateway
    }

    /// Waits until the gateway reports that it is ready.
    pub(crate) async fn wait_ready(&self, caller: &Caller) {
        let until = Instant::now() + READY_LIMIT;
        while !self.is_ready(caller).await {
            assert!(Instant::now() < until, "the gateway doesn't become ready");
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    pub(crate) async fn is_ready(&self, caller: &Caller) -> bool {
        let answer = caller.send(self.ready_addr, "GET", "/v1/ready", &[]).await;
        answer.is_some_and(|a| a.status == 200)
    }

    pub(crate) fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Waits until the process exits, and returns its exit code.
    pub(crate) async fn wait_exit(&mut self) -> Option<i32> {
        let until = Instant::now() + READY_LIMIT;
        loop {
            if let Some(status) = self.child.try_wait().unwrap() {
                return status.code();
            }
            assert!(Instant::now() < until, "the process doesn't exit");
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }
}

/// An answer as a caller receives it.
#[derive(Debug)]
pub(crate) struct Answer {
    pub(crate) status: u16,
    pub(crate) has_retry_after: bool,
    /// The header `Retry-After`, in seconds.
    pub(crate) retry_after: Option<f64>,
    pub(crate) text: String,
    /// Whether the body arrived completely.
    pub(crate) complete: bool,
}

/// The text that the body of each request starts with.
pub(crate) const BODY_PREFIX: &str = "prompt-of-a-caller";

/// A caller that sends requests to gateways.
pub(crate) struct Caller;

impl Caller {
    pub(crate) async fn new() -> Self {
        Caller
    }

    /// Sends a request with the given headers; returns `None` if no answer began to arrive.
    ///
    /// Panics if the answer isn't complete or broken off twice the time budget after the request.
    pub(crate) async fn send(
        &self,
        to: SocketAddr,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
    ) -> Option<Answer> {
        let body = format!("{BODY_PREFIX} of {path}");
        self.send_body(to, method, path, headers, body).await
    }

    /// Sends a request with the given headers and body, as [`Caller::send`] does.
    pub(crate) async fn send_body(
        &self,
        to: SocketAddr,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: String,
    ) -> Option<Answer> {
        let answer = self.send_without_limit(to, method, path, headers, body);
        let answer = tokio::time::timeout(ANSWER_LIMIT, answer).await;
        answer.unwrap_or_else(|_| panic!("{method} {path} {headers:?}: the gateway leaves it open"))
    }

    async fn send_without_limit(
        &self,
        to: SocketAddr,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: String,
    ) -> Option<Answer> {
        let mut list = vec![(
            HeaderName::from_static("host"),
            HeaderValue::from_static(HOST),
        )];
        for (name, value) in headers {
            let name = HeaderName::try_from(*name).unwrap();
            list.push((name, HeaderValue::from_str(value).unwrap()));
        }
        let request = ForwardedRequest {
            to,
            method: Method::try_from(method).unwrap(),
            path: path.to_owned(),
            headers: list,
            body: Bytes::from(body),
        };
        let mut answer = match forward_request(&request, CONNECT_LIMIT).await {
            Ok(answer) => answer,
            Err(e) => {
                println!("{method} {path}: {e}");
                return None;
            }
        };
        let mut bytes = Vec::new();
        let complete = loop {
            match answer.body.next_chunk().await {
                Ok(Some(chunk)) => bytes.extend_from_slice(&chunk),
                Ok(None) => break true,
                Err(_) => break false,
            }
        };
        let retry_after = answer.headers.get("retry-after");
        Some(Answer {
            retry_after: retry_after.and_then(|v| v.to_str().ok()?.parse().ok()),
            status: answer.status,
            has_retry_after: answer.headers.contains_key("retry-after"),
            text: String::from_utf8(bytes).unwrap(),
            complete,
        })
    }

    /// Sends a request with the customer's key.
    pub(crate) async fn request(&self, gateway: &Gateway, path: &str, id: &str) -> Option<Answer> {
        self.request_at(gateway.caller_addr, path, id).await
    }

    /// Sends a request with the customer's key to the gateway at an address.
    pub(crate) async fn request_at(&self, to: SocketAddr, path: &str, id: &str) -> Option<Answer> {
        self.request_within(to, path, id, "7000").await
    }

    /// Sends a request with the customer's key and a time budget in milliseconds.
    pub(crate) async fn request_within(
        &self,
        to: SocketAddr,
        path: &str,
        id: &str,
        budget_ms: &str,
    ) -> Option<Answer> {
        let key = format!("Bearer {API_KEY}");
        let method = if path.starts_with("/status/") {
            "GET"
        } else {
            "POST"
        };
        let headers = [
            ("attempt-id", id),
            ("authorization", key.as_str()),
            ("time-budget-ms", budget_ms),
            ("token-count", "100,80"),
        ];
        self.send(to, method, path, &headers).await
    }
}

/// Sends a draft whose prompt consists of the listed segments to the gateway at an address; the path
/// ends with `name`, and the body is that of the path.
pub(crate) async fn draft_with_segments(
    caller: &Caller,
    to: SocketAddr,
    id: &str,
    name: &str,
    segments: &str,
) -> Option<Answer> {
    let key = format!("Bearer {API_KEY}");
    let headers = [
        ("attempt-id", id),
        ("authorization", key.as_str()),
        ("time-budget-ms", "7000"),
        ("token-count", "100,80"),
        (SEGMENTS_HEADER, segments),
    ];
    let path = format!("/draft/{name}");
    caller.send(to, "POST", &path, &headers).await
}

/// Waits until a condition holds; `what` names it in the failure message.
pub(crate) async fn wait_until(what: &str, mut condition: impl FnMut() -> bool) {
    let until = Instant::now() + READY_LIMIT;
    while !condition() {
        assert!(Instant::now() < until, "timed out waiting for {what}");
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}
