//! Services of the platform whose answers are none in the protocol.
//!
//! Guards against taking them for answers: whether the call was carried out stays in doubt.
#![allow(clippy::unwrap_used)]

use std::rc::Rc;
use std::time::Duration;

use mustard_net::http::new_client;
use mustard_platform::PlatformError;
use mustard_platform::http::HttpService;
use mustard_platform::object::ObjectStore;
use mustard_platform::table::{Table, Txn};
use mustard_platform::vms::VmList;
use mustard_tests::bad_answers::bad_answers;

#[ntex::test]
async fn send_bad_answers() {
    for bad in bad_answers("server: x\r\n") {
        let addr = bad.start_server().unwrap();
        let limit = Duration::from_secs(5);
        let service = HttpService::new(Rc::new(new_client()), addr, limit, "table");
        let results = [
            service.commit(Txn::default()).await.map(drop),
            service.scan("", "", 10).await.map(drop),
            service.get("key").await.map(drop),
            service.put("key", Vec::new()).await,
            service.changes(0).await.map(drop),
        ];
        for result in results {
            let is_doubtful = matches!(result, Err(PlatformError::InDoubt { .. }));
            assert!(is_doubtful, "{}: {result:?}", bad.what);
        }
    }
}
