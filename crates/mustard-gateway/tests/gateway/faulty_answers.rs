//! Servers whose answers don't belong where they arrive, and rows of other writers among those of the servers.

use std::time::Duration;

use mustard_fakes::site::{ServerFault, SiteOptions};
use mustard_tests::site_soak::stream_text;

use super::harness::wait_until;
use super::{EVENT_COUNT, PROPAGATION_LIMIT, first_server, start_ready, start_stream};

const MODEL_SERVERS: usize = 6;
const PLAIN_SERVERS: std::ops::Range<usize> = 6..8;

/// Guards against a refusal that a server writes twice being taken for the answer to a later request, which
/// the server runs: its caller would be told that it hasn't run, and it would run at a second server.
#[ntex::test]
async fn refuses_twice() {
    let (site, gateway, caller) = start_ready(SiteOptions::default()).await;
    for n in 0..30 {
        // One server in turn refuses twice, and both serve the request that follows.
        for (fault, name) in [
            (ServerFault::RefusesTwice, "refused"),
            (ServerFault::None, "later"),
        ] {
            for server in PLAIN_SERVERS {
                site.set_fault(server, fault);
            }
            for path in ["/book/x", "/status/x"] {
                let id = format!("{name}-{n}{}", path.replace('/', "-"));
                let answer = caller.request(&gateway, path, &id).await.unwrap();
                let runs = site.ledger().runs.get(&id).copied().unwrap_or(0);
                match answer.status {
                    200 => assert_eq!(runs, 1, "{id}"),
                    503 => assert_eq!(runs, 0, "{id} was refused and has run"),
                    other => panic!("{id}: {other}"),
                }
            }
        }
        // Refusals keep a server out of use for a moment.
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    let later = site
        .ledger()
        .runs
        .keys()
        .filter(|id| id.starts_with("later"))
        .count();
    assert!(later > 20, "{later} requests ran after refusals");
}

/// Guards against the text of an error in the middle of a stream that broke off, or a stream that ends as if it
/// were complete, when the next server answers with an error.
#[ntex::test]
async fn resume_answered_with_error() {
    for status in [500, 503, 404, 400, 200] {
        let (site, gateway, _caller) = start_ready(SiteOptions::default()).await;
        let stream = start_stream(&site, &gateway, "broken").await;
        let first = first_server(&site, "broken");
        for server in (0..MODEL_SERVERS).filter(|s| *s != first) {
            site.set_fault(server, ServerFault::AnswersText(status));
        }
        site.set_fault(first, ServerFault::ResetsConnections);
        let answer = stream.await.unwrap().unwrap();
        let whole = stream_text("broken", EVENT_COUNT);
        assert_eq!(answer.status, 200);
        assert!(!answer.complete, "status {status}: {}", answer.text);
        assert!(
            whole.starts_with(&answer.text),
            "status {status}: {}",
            answer.text
        );
        assert!(answer.text.len() < whole.len());
        wait_until("a second run", || site.ledger().runs["broken"] == 2).await;
    }
}

/// Returns rows that no server writes.
fn odd_rows() -> Vec<Vec<u8>> {
    let row = |field: &str, value: &str| {
        let mut fields = vec![
            ("service", r#""models""#),
            ("address", r#""127.0.0.9:9""#),
            ("zone", r#""d0""#),
            ("version", r#""v1""#),
            ("slots", "64"),
            ("state", r#""ready""#),
            ("warmup_ms", "0"),
            ("seq", "1"),
            ("born", "1"),
            ("kind", r#""card""#),
            ("layers", r#"[{"from":0,"to":4,"version":1}]"#),
        ];
        fields.retain(|(name, _)| *name != field);
        fields.push((field, value));
        let fields: Vec<String> = fields.iter().map(|(n, v)| format!("{n:?}:{v}")).collect();
        format!("{{{}}}", fields.join(",")).into_bytes()
    };
    let nested = "[".repeat(20_000) + &"]".repeat(20_000);
    let objects = r#"{"a":"#.repeat(10_000) + "1" + &"}".repeat(10_000);
    let mut rows = vec![
        row("note", &nested),
        row("note", &objects),
        row("layers", &nested),
        row("layers", &objects),
        nested.clone().into_bytes(),
        objects.clone().into_bytes(),
        "[".repeat(60_000).into_bytes(),
        b"null".to_vec(),
        vec![0xff; 300],
        Vec::new(),
        row("layers", r#"[{"from":4294967295,"to":4294967296}]"#),
        row(
            "layers",
            r#"[{"from":0,"to":4294967295,"version":18446744073709551615}]"#,
        ),
        row("layers", r#"[{"from":4294967294,"to":4294967295}]"#),
        row("layers", r#"[{"from":9,"to":2}]"#),
    ];
    for number in [
        "1e400",
        "-1e400",
        "1e308",
        "-1",
        "99999999999999999999999999",
        "18446744073709551615",
    ] {
        for field in ["slots", "warmup_ms", "born"] {
            rows.push(row(field, number));
        }
    }
    for address in [
        "127.0.0.9:65536",
        "127.0.0.9:-1",
        "127.0.0.9:0",
        "127.0.0.9",
        "[::1]:99999",
        "0.0.0.0:1",
    ] {
        rows.push(row("address", &format!("{address:?}")));
    }
    rows
}

/// Guards against rows of another writer that end a gateway, or keep it from following the rows of the
/// servers.
#[ntex::test]
async fn odd_rows_among_servers() {
    let (site, gateway, caller) = start_ready(SiteOptions::default()).await;
    for (n, row) in odd_rows().iter().enumerate() {
        site.write_raw_row(&format!("odd-{n}"), row);
        // The row comes as a change of the table, and each is the last one for a moment.
        tokio::time::sleep(Duration::from_millis(60)).await;
        let id = format!("beside-{n}");
        let answer = caller.request(&gateway, "/status/x", &id).await;
        let text = String::from_utf8_lossy(&row[..row.len().min(200)]).into_owned();
        assert_eq!(answer.map(|a| a.status), Some(200), "row {text}");
    }
    // Servers that leave are still noticed, and streams are served beside all of the rows.
    site.delete_row(PLAIN_SERVERS.start);
    tokio::time::sleep(PROPAGATION_LIMIT).await;
    for n in 0..10 {
        let id = format!("left-{n}");
        let answer = caller.request(&gateway, "/status/x", &id).await.unwrap();
        assert_eq!(answer.status, 200);
        let servers: Vec<usize> = (site.ledger().requests.iter())
            .filter(|r| r.id == id)
            .map(|r| r.server)
            .collect();
        assert_eq!(servers, [PLAIN_SERVERS.start + 1], "{id}");
    }
    let served = async {
        while caller
            .request(&gateway, "/draft/x", "draft")
            .await
            .is_none_or(|a| (a.status, a.complete) != (200, true))
        {
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
    };
    tokio::time::timeout(Duration::from_secs(5), served)
        .await
        .unwrap();
    // A gateway that starts reads all of them at once.
    let (late, late_caller) = {
        let caller = super::harness::Caller::new().await;
        (
            super::harness::Gateway::start_ready(&site, &caller).await,
            caller,
        )
    };
    let answer = late_caller.request(&late, "/status/x", "late").await;
    assert_eq!(answer.map(|a| a.status), Some(200));
}
