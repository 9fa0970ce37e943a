//! The catalogue in force at this process.

use std::sync::Arc;
use std::time::Duration;

use arc_swap::ArcSwap;
use tokio::time::{Instant, sleep};

use mustard_core::catalogue::{Catalogue, Snapshot, Versioned};
use mustard_core::ids::Seq;
use mustard_net::Process;
use mustard_platform::http::HttpService;
use mustard_platform::table::Table;

const PREFIX: &str = "cat/entry/";
const PAGE: usize = 500;
const POLL: Duration = Duration::from_millis(20);

/// The catalogue in force, read without a lock.
pub struct Store {
    process: Arc<Process>,
    current: ArcSwap<Catalogue>,
}

impl Store {
    /// Creates an empty catalogue.
    pub fn new(process: Arc<Process>) -> Self {
        Store {
            process,
            current: ArcSwap::default(),
        }
    }

    /// Returns the catalogue in force.
    pub fn current(&self) -> Arc<Catalogue> {
        self.current.load_full()
    }

    /// Reads the whole catalogue from the table.
    pub async fn load(&self, table: &HttpService) -> mustard_platform::Result<()> {
        let mut state = Snapshot::default();
        let mut after = String::new();
        loop {
            let scan = table.scan(PREFIX, &after, PAGE).await?;
            for row in scan.rows {
                let name = row.key.trim_start_matches(PREFIX).to_owned();
                if let Ok(version) = serde_json::from_str::<Versioned>(&row.value) {
                    state.seq = state.seq.max(version.seq);
                    state.entries.insert(name, version);
                }
                after = row.key;
            }
            if !scan.more {
                break;
            }
        }
        self.adopt(state);
        Ok(())
    }

    fn adopt(&self, state: Snapshot) {
        let mut next = Catalogue::clone(&self.current());
        if next.adopt(state) {
            self.process.observe(self.process.tick(), next.seq());
            self.current.store(Arc::new(next));
        }
    }

    /// Waits until a change is in force; tells whether it is.
    pub async fn wait_for(&self, seq: Seq, limit: Duration) -> bool {
        let end = Instant::now() + limit;
        while self.current().seq() < seq {
            if Instant::now() >= end {
                return false;
            }
            sleep(POLL).await;
        }
        true
    }
}
