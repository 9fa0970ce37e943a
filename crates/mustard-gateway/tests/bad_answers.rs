//! Servers and other gateways whose answers to the gateway's own calls are none in the protocol.
//!
//! All tests guard against taking them for answers: a report for that of a live server, an order for one that was
//! carried out, a message for one that was heard.

#![allow(clippy::unwrap_used)]

use std::fmt::Debug;
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use mustard_adapter::NodeSettings;
use mustard_core::deployment::ServerKey;
use mustard_fakes::site::{Site, SiteOptions};
use mustard_gateway::app::{App, StopFlag};
use mustard_gateway::fleet::ServerProcess;
use mustard_gateway::peer_codec;
use mustard_gateway::peers::PATH;
use mustard_gateway::placement::{CallKind, call_health, fetch_report, send_order};
use mustard_net::shutdown::RequestGate;
use mustard_net::{CallError, ClientLimits, Result};
use mustard_policy::hedge;
use mustard_tests::bad_answers::{BODY, bad_answers_with, sound_answers, start_server};

const LIMIT: Duration = Duration::from_secs(5);
const HEADERS: &str = "content-type: application/json\r\n";
const REPORT: &str = r#"{"busy":false,"seq":1,"layers":[{"from":0,"to":8,"version":1}]}"#;
const MOVE_ORDER: &[u8] = br#"{"op":"repath"}"#;

/// Creates the state of a gateway that doesn't run.
async fn new_app() -> Rc<App> {
    let site = Site::start(SiteOptions::default()).unwrap();
    let text = site.settings(Ipv4Addr::LOCALHOST, [1, 2, 3], &[]);
    App::new(
        NodeSettings::decode(text.to_string().as_bytes()).unwrap(),
        slog::Logger::root(slog::Discard, slog::o!()),
        RequestGate::new(),
        Arc::<StopFlag>::default(),
        hedge::Settings::default(),
        ClientLimits::default(),
    )
    .await
}

fn server_at(addr: SocketAddr) -> ServerProcess {
    ServerProcess {
        key: ServerKey::from_index(0),
        addr,
        id: "server-0".to_owned(),
        started_ms: 1,
    }
}

/// Expects that a call takes the sound answer with `body`, and none of the bad ones.
async fn expect_lost<T: Debug>(body: &str, call: impl AsyncFn(SocketAddr) -> Result<T>) {
    let sound = format!(
        "HTTP/1.1 200 OK\r\n{HEADERS}content-length: {}\r\n\r\n{body}",
        body.len()
    );
    let taken = call(start_server(sound.into_bytes()).unwrap()).await;
    assert!(taken.is_ok(), "{taken:?}");
    for bad in bad_answers_with(HEADERS, body) {
        let answer = call(bad.start_server().unwrap()).await;
        let is_lost = matches!(answer, Err(CallError::Lost(_)));
        assert!(is_lost, "{}: {answer:?}", bad.what);
    }
}

#[ntex::test]
async fn fetch_report_bad_answers() {
    let app = new_app().await;
    for kind in [CallKind::Pooled, CallKind::Unpooled] {
        let fetch = async |addr| fetch_report(&app, &server_at(addr), kind, LIMIT).await;
        expect_lost(REPORT, fetch).await;
    }
}

#[ntex::test]
async fn call_health_bad_answers() {
    let app = new_app().await;
    let call = async |addr| call_health(&app, addr, "/health", LIMIT).await;
    expect_lost(BODY, call).await;
}

/// Orders to hold layers and to move a stream differ in their body only.
#[ntex::test]
async fn send_order_bad_answers() {
    let app = new_app().await;
    let send = async |addr| send_order(&app, &server_at(addr), MOVE_ORDER.to_vec()).await;
    expect_lost(BODY, send).await;
}

#[ntex::test]
async fn send_message_bad_answers() {
    let app = new_app().await;
    let bodies = (vec![1], vec![2]);
    let send = async |addr| peer_codec::send(&app, addr, PATH, &bodies).await;
    expect_lost(BODY, send).await;
}

/// The forms of sound answers that other readers take are taken for a health check too.
#[ntex::test]
async fn call_health_sound_answers() {
    let app = new_app().await;
    for sound in sound_answers(HEADERS) {
        let addr = start_server(sound.clone().into_bytes()).unwrap();
        let answer = call_health(&app, addr, "/health", LIMIT).await;
        assert_eq!(answer.unwrap().body, BODY.as_bytes(), "{sound:?}");
    }
}
