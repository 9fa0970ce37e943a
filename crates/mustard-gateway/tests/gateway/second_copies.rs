//! The choice among plain servers, and second copies of slow requests, over real sockets.

use std::fs::File;
use std::path::PathBuf;
use std::process::Command;
use std::time::{Duration, Instant};

use mustard_fakes::site::{ServerFault, Site, SiteOptions};
use mustard_tests::site_soak::stream_text;

use super::harness::{Caller, Gateway, wait_until};
use super::{start_ready, start_site, start_stream, wait_for_paths};

/// The time before each event of the streams of a slow site.
const EVENT_INTERVAL: Duration = Duration::from_millis(800);

/// The log of a gateway in a file that is removed at the end.
struct LogFile(PathBuf);

impl LogFile {
    fn new(name: &str) -> Self {
        let name = format!("mustard-second-copies-{}-{name}.log", std::process::id());
        LogFile(std::env::temp_dir().join(name))
    }

    /// Returns the lines about second copies of a request.
    fn copy_lines(&self, id: &str) -> Vec<String> {
        let text = std::fs::read_to_string(&self.0).unwrap();
        let lines = text
            .lines()
            .filter(|l| l.contains("hedge: ") && l.contains(id));
        lines.map(str::to_owned).collect()
    }
}

impl Drop for LogFile {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.0);
    }
}

/// Starts a site whose streams send their first event late, and a gateway with options.
async fn start_slow_site(options: &[&str], log: &LogFile) -> (Site, Gateway, Caller) {
    let site_options = SiteOptions {
        event_interval: EVENT_INTERVAL,
        events: 3,
        ..SiteOptions::default()
    };
    let site = start_site(site_options.clone());
    let caller = Caller::new().await;
    let file = File::create(&log.0).unwrap();
    let gateway = Gateway::start_with(&site, &caller, options, file).await;
    wait_for_paths(&site_options, &site, &gateway, &caller).await;
    (site, gateway, caller)
}

/// Sends requests at once so that the gateway, which starts without any, has earned second copies.
async fn earn_copies(gateway: &Gateway, path: &'static str, count: usize) {
    let to = gateway.caller_addr;
    let requests: Vec<_> = (0..count)
        .map(|i| {
            tokio::task::spawn_local(async move {
                let caller = Caller::new().await;
                caller.request_at(to, path, &format!("earn-{i}")).await
            })
        })
        .collect();
    for request in requests {
        let answer = request.await.unwrap().unwrap();
        assert_eq!((answer.status, answer.complete), (200, true));
    }
}

/// Returns the servers that received a request, in the order of its copies.
fn servers_of(site: &Site, id: &str) -> Vec<usize> {
    let ledger = site.ledger();
    let sent = ledger.requests.iter().filter(|r| r.id == id);
    sent.map(|r| r.server).collect()
}

/// The most requests of a server, as a multiple of the mean over servers; from the requirements.
const MAX_SPREAD: f64 = 1.3;

/// Returns the requests that each plain server of a site received.
fn plain_requests(site: &Site, options: &SiteOptions) -> Vec<usize> {
    let first: usize = options.servers.iter().sum();
    let ledger = site.ledger();
    (first..first + options.plain_servers)
        .map(|i| ledger.requests.iter().filter(|r| r.server == i).count())
        .collect()
}

/// Guards against all requests going to one server while the others are idle: requests that don't overlap
/// are ties.
#[ntex::test]
async fn choose_server_sequential_requests() {
    let options = SiteOptions {
        plain_servers: 6,
        ..SiteOptions::default()
    };
    let (site, gateway, caller) = start_ready(options.clone()).await;
    for i in 0..300 {
        let id = format!("calm-{i}");
        let answer = caller.request(&gateway, "/status/x", &id).await.unwrap();
        assert_eq!(answer.status, 200);
    }
    let counts = plain_requests(&site, &options);
    // Every second server is in the gateway's own failure domain, which is preferred.
    let near: Vec<usize> = counts.iter().copied().step_by(2).collect();
    let mean = near.iter().sum::<usize>() as f64 / near.len() as f64;
    // On a busy machine a slow request may be sent to the other domain a second time.
    let far: usize = counts.iter().skip(1).step_by(2).sum();
    assert!(far <= 15, "{counts:?}");
    let most = *near.iter().max().unwrap() as f64;
    assert!(most <= MAX_SPREAD * mean, "{counts:?}");
}

/// Guards against a call that waits for a server which accepts it and never answers: a second copy is sent
/// to the other server after half of the target of 500 ms, as too few times are measured.
#[ntex::test]
async fn send_hedged_silent_server() {
    let options = SiteOptions::default();
    let (site, gateway, caller) = start_ready(options).await;
    earn_copies(&gateway, "/status/x", 25).await;
    site.set_fault(6, ServerFault::Silent);
    let begun = Instant::now();
    let answer = caller.request(&gateway, "/status/x", "slow-1").await;
    let took = begun.elapsed();
    assert_eq!(answer.unwrap().status, 200);
    assert!(took >= Duration::from_millis(250), "{took:?}");
    // Far below the time limit of the route, after which the call would fail.
    assert!(took < Duration::from_millis(2_000), "{took:?}");
    assert_eq!(site.ledger().runs["slow-1"], 1);
}

/// Guards against an answer that says that nothing ran, after a server may have run the call and another one
/// refused it.
#[ntex::test]
async fn merge_results_lost_and_refused() {
    let options = SiteOptions::default();
    let (site, gateway, caller) = start_ready(options).await;
    site.set_fault(6, ServerFault::LosesAnswers);
    site.set_fault(7, ServerFault::TurnsAway(Duration::from_secs(2)));
    let answer = caller.request(&gateway, "/status/x", "lost-1").await;
    assert_eq!(site.ledger().runs.get("lost-1"), Some(&1));
    assert_eq!(answer.unwrap().status, 502);
}

/// Guards against limits that are out of range being taken silently at a start.
#[test]
fn check_bad_limits() {
    let cases = [
        (["--hedge-share", "0.3"].as_slice(), "--hedge-share is 0.3"),
        (&["--hedge-rate", "-1"], "--hedge-rate is -1"),
        (
            &["--hedge-share", "0", "--hedge-streams"],
            "--hedge-streams has no effect",
        ),
    ];
    for (options, message) in cases {
        let output = Command::new(env!("CARGO_BIN_EXE_mustard-gateway"))
            .args(options)
            .arg("--check")
            .output()
            .unwrap();
        assert_eq!(output.status.code(), Some(2), "{options:?}");
        let text = String::from_utf8(output.stderr).unwrap();
        assert!(text.contains(message), "{options:?}: {text}");
    }
}

/// Guards against the second copy of a stream disturbing the first one, or going on after that has begun. The
/// head of the response arrives at once and the first event after 800 ms; the copy is sent after half of the
/// target of 500 ms.
#[ntex::test]
async fn send_copies_late_first_event() {
    let log = LogFile::new("late");
    let (site, gateway, caller) =
        start_slow_site(&["--hedge-streams", "--hedge-share", "0.2"], &log).await;
    earn_copies(&gateway, "/draft/x", 12).await;
    let cancelled = site.ledger().cancelled;
    let answer = caller.request(&gateway, "/draft/x", "late-1").await;
    let answer = answer.unwrap();
    assert_eq!((answer.status, answer.complete), (200, true));
    assert_eq!(answer.text, stream_text("late-1", 3));
    let servers = servers_of(&site, "late-1");
    assert_eq!(servers.len(), 2, "{servers:?}");
    // Servers 0 to 2 are in one failure domain, the others in the other one.
    assert_ne!(servers[0] / 3, servers[1] / 3, "{servers:?}");
    wait_until("a cancelled copy", || {
        site.ledger().cancelled == cancelled + 1
    })
    .await;
    let lines = log.copy_lines("late-1");
    assert!(
        lines.iter().any(|l| l.contains(r#""second_won":false"#)),
        "{lines:?}"
    );
}

/// Guards against second copies of streams where operators didn't enable them.
#[ntex::test]
async fn send_copies_not_enabled() {
    let log = LogFile::new("disabled");
    let (site, gateway, caller) = start_slow_site(&[], &log).await;
    let answer = caller.request(&gateway, "/draft/x", "late-2").await;
    assert_eq!(answer.unwrap().text, stream_text("late-2", 3));
    assert_eq!(site.ledger().runs["late-2"], 1);
    assert_eq!(site.ledger().cancelled, 0);
    assert_eq!(log.copy_lines("late-2"), Vec::<String>::new());
}

/// Guards against a stream that waits for its first event at a server which has stopped, while its second copy
/// has begun.
#[ntex::test]
async fn send_copies_stopped_server() {
    let log = LogFile::new("stopped");
    let (site, gateway, _caller) =
        start_slow_site(&["--hedge-streams", "--hedge-share", "0.2"], &log).await;
    earn_copies(&gateway, "/draft/x", 12).await;
    // It returns about 150 ms after the servers got the request.
    let stream = start_stream(&site, &gateway, "late-3").await;
    let first = servers_of(&site, "late-3")[0];
    site.set_fault(first, ServerFault::Silent);
    let answer = stream.await.unwrap().unwrap();
    assert_eq!((answer.status, answer.complete), (200, true));
    assert_eq!(answer.text, stream_text("late-3", 3));
    let servers = servers_of(&site, "late-3");
    assert_eq!(servers.len(), 2, "{servers:?}");
    let lines = log.copy_lines("late-3");
    assert!(
        lines.iter().any(|l| l.contains(r#""second_won":true"#)),
        "{lines:?}"
    );
}
