//! Backend servers whose answers are none in the protocol.
//!
//! Guards against taking them for the answer of an engine, or passing them on as that of a plain service.
#![allow(clippy::unwrap_used)]

use std::rc::Rc;

use mustard_backend::BackendError;
use mustard_backend::engine::Engine;
use mustard_backend::http::HttpBackend;
use mustard_backend::service::{PlainService, ServiceCall};
use mustard_net::http::new_client;
use mustard_tests::bad_answers::bad_answers;

#[ntex::test]
async fn call_bad_answers() {
    for bad in bad_answers("server: x\r\n") {
        let addr = bad.start_server().unwrap();
        let (client, unpooled) = (Rc::new(new_client()), Rc::new(new_client()));
        let server = HttpBackend::new(client, unpooled, addr);
        let call = ServiceCall {
            method: "POST".into(),
            path: "/pages/1".into(),
            content_type: "text/plain".into(),
            reference: None,
            body: b"x".to_vec(),
            timeout_ms: 5_000,
        };
        let results = [
            server.call(call).await.map(drop),
            server.lookup("r").await.map(drop),
            server.load().await.map(drop),
            server.loaded_layers().await.map(drop),
        ];
        for result in results {
            let is_broken = matches!(result, Err(BackendError::ConnectionBroken(_)));
            assert!(is_broken, "{}: {result:?}", bad.what);
        }
    }
}
