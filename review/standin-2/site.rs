//! A small deployment on loopback: the store with a configuration, plain servers, gateway processes.

use std::fs;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::net::{Conn, Head, free_port, listen};
use crate::store::Store;

pub const HOST: &str = "site.example";
pub const KEY: &str = "key-of-the-tenant";
pub const TENANT: &str = "tenant-one";
/// The key of another tenant, which an operator may take away.
pub const OTHER_KEY: &str = "key-of-the-other-tenant";
/// The service of plain servers.
pub const DESK: &str = "desk";

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

pub const SIGTERM: i32 = 15;
const SIGKILL: i32 = 9;

/// What the case prints and what `record.txt` holds.
#[derive(Clone)]
pub struct Record {
    lines: Arc<Mutex<Vec<String>>>,
    path: PathBuf,
    started: Instant,
}

impl Record {
    pub fn new(path: PathBuf) -> Self {
        Record {
            lines: Arc::default(),
            path,
            started: Instant::now(),
        }
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let at = self.started.elapsed().as_secs_f64();
        let line = format!("{at:8.3} s  {}", text.as_ref());
        println!("{line}");
        self.lines.lock().unwrap().push(line);
    }

    /// Writes the record and returns the exit code of a case.
    pub fn finish(&self, verdict: Verdict) -> i32 {
        let (code, text) = match verdict {
            Verdict::Held(text) => (0, format!("held: {text}")),
            Verdict::Broken(text) => (1, format!("broken: {text}")),
            Verdict::NotRun(text) => (2, format!("not run: {text}")),
        };
        self.line(text);
        let mut lines = self.lines.lock().unwrap().join("\n");
        lines.push('\n');
        if let Err(e) = fs::write(&self.path, lines) {
            println!("the record can't be written: {e}");
            return 2;
        }
        code
    }
}

/// The result of a case.
pub enum Verdict {
    Held(String),
    Broken(String),
    NotRun(String),
}

/// A route of the configuration.
pub struct Route {
    pub prefix: &'static str,
    pub kind: &'static str,
    pub service: &'static str,
    pub timeout_ms: u32,
    pub max_attempts: u32,
    pub resumable: bool,
}

/// Writes the configuration as the operator does, with the keys of two tenants.
pub fn put_config(store: &Store, version: u64, routes: &[Route]) {
    write_config(store, version, routes, &format!("\"{OTHER_KEY}\""));
}

/// Writes the configuration without the other tenant's key.
pub fn revoke_other(store: &Store, version: u64, routes: &[Route]) {
    write_config(store, version, routes, "");
}

fn write_config(store: &Store, version: u64, routes: &[Route], other_keys: &str) {
    let routes: Vec<String> = routes
        .iter()
        .enumerate()
        .map(|(i, r)| {
            format!(
                "{{\"name\":\"r-{i}\",\"host\":\"{HOST}\",\"prefix\":\"{}\",\"kind\":\"{}\",\
                 \"timeout_ms\":{},\"target_latency_ms\":500,\"priority\":1,\"service\":\"{}\",\
                 \"max_attempts\":{},\"public\":false,\"resumable\":{},\"target_gap_ms\":200}}",
                r.prefix, r.kind, r.timeout_ms, r.service, r.max_attempts, r.resumable
            )
        })
        .collect();
    let config = format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{{\"name\":\"{DESK}\",\
         \"health_path\":\"/health\",\"max_conns\":100,\"protocol\":\"h1\",\"tls\":false}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\
         \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\
         \"tenants\":[{{\"name\":\"{TENANT}\",\"api_keys\":[\"{KEY}\"],\"priority\":1}},\
         {{\"name\":\"tenant-two\",\"api_keys\":[{other_keys}],\"priority\":1}}]}}",
        routes.join(",")
    );
    store.put("op", "config", &config);
}

/// A request that a server received.
pub struct Received {
    pub head: Head,
    pub conn: Conn,
    pub server: String,
}

/// Starts a plain server and registers it. `run` handles requests; health checks are answered here, and a
/// request for another instance with 421.
pub fn start_server(
    store: &Store,
    id: &str,
    born: u64,
    run: impl Fn(Received) + Send + Sync + 'static,
) -> SocketAddr {
    let own_id = id.to_owned();
    let addr = listen(move |mut conn| {
        let Ok(head) = conn.read_head() else { return };
        let expected = head.get("expect-instance").unwrap_or(&own_id);
        if expected != own_id {
            let _ = conn.send(
                format!(
                    "HTTP/1.1 421 Misdirected Request\r\nInstance-Id: {own_id}\r\nContent-Length: 0\r\n\
                     Connection: close\r\n\r\n"
                )
                .as_bytes(),
            );
            return;
        }
        if head.target() == ("GET", "/health") {
            let _ = conn.send(
                format!(
                    "HTTP/1.1 200 OK\r\nInstance-Id: {own_id}\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
                )
                .as_bytes(),
            );
            return;
        }
        run(Received {
            head,
            conn,
            server: own_id.clone(),
        });
    });
    let row = format!(
        "{{\"service\":\"{DESK}\",\"address\":\"{addr}\",\"zone\":\"zone-a\",\"version\":\"v1\",\"slots\":6,\
         \"state\":\"ready\",\"warmup_ms\":0,\"born\":{born},\"seq\":1}}"
    );
    store.put("servers", id, &row);
    addr
}

/// The ids of the gateway processes that run.
static RUNNING: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends the case and its processes after a time, so that none is left if the case hangs.
pub fn end_after(limit: Duration) {
    std::thread::spawn(move || {
        std::thread::sleep(limit);
        for pid in RUNNING.lock().unwrap().iter() {
            // SAFETY: a signal to a child that wasn't waited for yet.
            unsafe { kill(*pid as i32, SIGKILL) };
        }
        println!("not run: the case took too long");
        std::process::exit(2);
    });
}

/// A gateway process; it is ended when this is dropped.
pub struct Gateway {
    child: Child,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    folder: PathBuf,
}

impl Gateway {
    /// Starts the program of the deploy file with the settings of a front machine.
    pub fn start(store: &Store, name: &str) -> Result<Self, String> {
        let program = PathBuf::from("target/release/mustard-gateway");
        if !program.exists() {
            return Err("target/release/mustard-gateway isn't built".to_owned());
        }
        let folder =
            std::env::temp_dir().join(format!("mustard-review-{}-{name}", std::process::id()));
        fs::create_dir_all(&folder).map_err(|e| e.to_string())?;
        let (front, ready, control) = (free_port(), free_port(), free_port());
        let (peer, metrics) = (free_port(), free_port());
        let settings = format!(
            "{{\"node\":\"{name}\",\"role\":\"gateway\",\"machine_class\":\"front\",\"serves\":[\"front\",\"control\"],\
             \"ip\":\"127.0.0.1\",\"zone\":\"zone-a\",\"region\":\"region\",\"zones\":{{\"zone-a\":\"region\"}},\
             \"listen\":{{\"front\":\"127.0.0.1:{front}\",\"ready\":\"127.0.0.1:{ready}\",\"control\":\"127.0.0.1:{control}\"}},\
             \"port_range\":[{peer},{peer}],\"seeds\":[\"127.0.0.1:{control}\"],\"bootstrap\":true,\"fault_counted\":false,\
             \"limits\":{{\"cpu_share\":0.19,\"cores\":1,\"memory_mb\":260,\"max_fds\":4100,\"link_mbps\":1000.0,\"disk_mb\":0}},\
             \"data_dir\":null,\"discovery\":\"platform\",\"entry\":\"vip\",\"heartbeat_ms\":1200,\
             \"contracts\":[\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"engine\",\"stream\",\"tenants\",\"platform\",\"layers\"],\
             \"tolerate\":{{\"machines\":1,\"zones\":0,\"regions\":0}},\
             \"bounds\":{{\"seed_lag_s\":3,\"reuse_after_s\":2,\"contact_ms\":3000,\"ack_ms\":4000,\"catch_up_s\":4,\
             \"drain_ms\":2000,\"grace_s\":8,\"loss_slack_ms\":200,\"config_ms\":2000,\"rollback_slack_ms\":250,\
             \"max_skew_ms\":5000,\"strict_revoke\":false,\"revoke_ms\":5000,\"retry_ratio\":0.2,\"retry_window_s\":10,\
             \"retry_slack\":198,\"recover_s\":12,\"iteration_ms\":120,\"retry_after_s\":0,\"stall_ms\":2500,\"require_fence\":true}},\
             \"platform\":{{\"address\":\"{}\",\"form\":\"table\",\"writes_per_s\":400,\"reads_per_s\":2000,\
             \"txn_timeout_ms\":3.0,\"part_writes_s\":300,\"row_bytes\":65536,\"across\":true,\"history_retention_s\":20,\
             \"blob_bytes\":8388608,\"blob_ms\":25.0,\"blob_mb_s\":80.0}}}}",
            store.addr
        );
        let path = folder.join("settings.json");
        fs::write(&path, settings).map_err(|e| e.to_string())?;
        let log = fs::File::create(folder.join("log.txt")).map_err(|e| e.to_string())?;
        // The port of metrics is the only one that the settings don't name.
        let child = Command::new(program)
            .args(["--metrics-port", &metrics.to_string()])
            .env("MUSTARDFIELD_BOOT", &path)
            .stdin(Stdio::null())
            .stdout(log.try_clone().map_err(|e| e.to_string())?)
            .stderr(log)
            .spawn()
            .map_err(|e| e.to_string())?;
        RUNNING.lock().unwrap().push(child.id());
        let loopback = |port| SocketAddr::from(([127, 0, 0, 1], port));
        let gateway = Gateway {
            child,
            front: loopback(front),
            ready: loopback(ready),
            folder,
        };
        let until = Instant::now() + Duration::from_secs(10);
        while Instant::now() < until {
            if gateway.is_ready() {
                return Ok(gateway);
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        Err("the gateway doesn't get ready".to_owned())
    }

    /// Asks for readiness as the platform does.
    pub fn is_ready(&self) -> bool {
        let Ok(mut conn) = Conn::connect(self.ready) else {
            return false;
        };
        let _ = conn.send(b"GET /v1/ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n");
        conn.read_head().is_ok_and(|h| h.status() == 200)
    }

    pub fn signal(&self, number: i32) {
        // SAFETY: a signal to a child that wasn't waited for yet.
        unsafe { kill(self.child.id() as i32, number) };
    }

    /// Waits up to `limit` for the end of the process and returns its exit code.
    pub fn wait(&mut self, limit: Duration) -> Option<i32> {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            if let Ok(Some(status)) = self.child.try_wait() {
                return Some(status.code().unwrap_or(-1));
            }
            std::thread::sleep(Duration::from_millis(5));
        }
        None
    }
}

impl Drop for Gateway {
    fn drop(&mut self) {
        RUNNING
            .lock()
            .unwrap()
            .retain(|pid| *pid != self.child.id());
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = fs::remove_dir_all(&self.folder);
    }
}

/// Returns the head of a requester's request.
pub fn request_head(method: &str, path: &str, id: &str, budget_ms: u32, body: usize) -> String {
    request_head_with(method, path, id, budget_ms, body, KEY)
}

/// Returns the head of a request with a key.
pub fn request_head_with(
    method: &str,
    path: &str,
    id: &str,
    budget_ms: u32,
    body: usize,
    key: &str,
) -> String {
    let length = if body > 0 || method != "GET" {
        format!("Content-Length: {body}\r\n")
    } else {
        String::new()
    };
    format!(
        "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: {id}\r\nTime-Budget-Ms: {budget_ms}\r\n\
         Authorization: Bearer {key}\r\n{length}\r\n"
    )
}

/// Returns the head of a server's answer to a request; `rest` are further header lines.
pub fn answer_head(status: u16, request: &Head, server: &str, rest: &str) -> String {
    let id = request.get("attempt-id").unwrap_or("");
    format!(
        "HTTP/1.1 {status} -\r\nAttempt-Id: {id}\r\nResponse-Seal: seal.{server}.{id}\r\n{rest}\r\n"
    )
}

/// Waits until the store's rows have reached the gateways.
pub fn settle() {
    std::thread::sleep(Duration::from_millis(1500));
}
