//! A cluster of nodes with a shared table in memory, connections that can be cut, and pushes that
//! wait in transit.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use mustard_catalogue::{
    AcceptedChange, CatalogueStore, Peers, Proposal, SyncOptions, Syncer, Writer, peer_requests,
};
use mustard_core::catalogue::{Catalogue, Change, Class, Entry, Limits, Op, Snapshot, Target};
use mustard_core::ids::{Revision, Seq};
use mustard_fakes::memory::{MemObjects, MemTable};
use mustard_net::{CallError, Process};
use mustard_platform::table::{CommitOutcome, Row, ScanPage, Table, Txn};
use mustard_platform::{PlatformError, Result as PlatformResult};
use mustard_proto::catalogue::{PullAnswer, PullChanges, PushAnswer, PushChanges};

/// The longest time for which a node starts new work without a confirmation.
pub(crate) const UNCONFIRMED_LIMIT: Duration = Duration::from_secs(10);

/// The connection of one node to the table.
#[derive(Clone)]
pub(crate) struct NodeTable {
    table: MemTable,
    cut: Rc<Cell<bool>>,
}

impl NodeTable {
    fn check_connection(&self) -> PlatformResult<()> {
        if self.cut.get() {
            return Err(PlatformError::Unavailable {
                service: "table",
                retry_ms: 100,
            });
        }
        Ok(())
    }
}

impl Table for NodeTable {
    async fn commit(&self, txn: Txn) -> PlatformResult<CommitOutcome> {
        self.check_connection()?;
        self.table.commit(txn).await
    }

    async fn read(&self, keys: &[String]) -> PlatformResult<Vec<Row>> {
        self.check_connection()?;
        self.table.read(keys).await
    }

    async fn scan(&self, prefix: &str, after: &str, limit: usize) -> PlatformResult<ScanPage> {
        self.check_connection()?;
        self.table.scan(prefix, after, limit).await
    }
}

/// The network between the nodes.
#[derive(Default)]
pub(crate) struct Network {
    stores: RefCell<Vec<Arc<CatalogueStore>>>,
    cut_nodes: RefCell<Vec<bool>>,
    pub(crate) in_transit: RefCell<Vec<(usize, PushChanges)>>,
}

/// The peers of one node; pushes stay in transit until the test delivers them.
pub(crate) struct NodePeers {
    index: usize,
    network: Rc<Network>,
}

impl NodePeers {
    fn connect(&self, to: usize) -> std::result::Result<Arc<CatalogueStore>, CallError> {
        let cut_nodes = self.network.cut_nodes.borrow();
        if cut_nodes[self.index] || cut_nodes[to] {
            return Err(CallError::NotSent("connection is cut".to_owned()));
        }
        Ok(Arc::clone(&self.network.stores.borrow()[to]))
    }
}

impl Peers for NodePeers {
    type Id = usize;

    fn pick(&self, count: usize) -> Vec<usize> {
        let all = 0..self.network.stores.borrow().len();
        all.filter(|n| *n != self.index).take(count).collect()
    }

    async fn push(
        &self,
        to: &usize,
        push: PushChanges,
    ) -> std::result::Result<PushAnswer, CallError> {
        let store = self.connect(*to)?;
        self.network.in_transit.borrow_mut().push((*to, push));
        Ok(PushAnswer { seq: store.seq() })
    }

    async fn pull(
        &self,
        to: &usize,
        pull: PullChanges,
    ) -> std::result::Result<PullAnswer, CallError> {
        Ok(peer_requests::answer_pull(&*self.connect(*to)?, &pull))
    }
}

pub(crate) struct Node {
    pub(crate) store: Arc<CatalogueStore>,
    pub(crate) writer: Writer<NodeTable, MemObjects>,
    pub(crate) syncer: Syncer<NodeTable, MemObjects, NodePeers>,
    cut: Rc<Cell<bool>>,
}

/// Nodes that share one table.
pub(crate) struct Cluster {
    pub(crate) table: MemTable,
    pub(crate) objects: MemObjects,
    pub(crate) network: Rc<Network>,
    pub(crate) nodes: Vec<Node>,
    options: SyncOptions,
}

impl Cluster {
    pub(crate) fn new(count: usize, options: SyncOptions) -> Self {
        let mut cluster = Cluster {
            table: MemTable::new(),
            objects: MemObjects::new(),
            network: Rc::default(),
            nodes: Vec::new(),
            options,
        };
        for index in 0..count {
            let node = cluster.build_node(index);
            cluster
                .network
                .stores
                .borrow_mut()
                .push(Arc::clone(&node.store));
            cluster.network.cut_nodes.borrow_mut().push(false);
            cluster.nodes.push(node);
        }
        cluster
    }

    fn build_node(&self, index: usize) -> Node {
        let store = CatalogueStore::new(
            Process::new(&format!("entry-{index}"), 16),
            UNCONFIRMED_LIMIT,
        );
        let cut = Rc::new(Cell::new(false));
        let table = NodeTable {
            table: self.table.clone(),
            cut: Rc::clone(&cut),
        };
        let objects = self.objects.clone();
        let writer = Writer::new(table.clone(), objects.clone(), Arc::clone(&store));
        let peers = NodePeers {
            index,
            network: Rc::clone(&self.network),
        };
        let log = slog::Logger::root(slog::Discard, slog::o!());
        let options = self.options.clone();
        let syncer = Syncer::new(table, objects, peers, Arc::clone(&store), options, log);
        Node {
            store,
            writer,
            syncer,
            cut,
        }
    }

    /// Restarts a node: the new one has an empty catalogue.
    pub(crate) fn restart(&mut self, index: usize) {
        let node = self.build_node(index);
        node.cut.set(self.nodes[index].cut.get());
        self.network.stores.borrow_mut()[index] = Arc::clone(&node.store);
        self.nodes[index] = node;
    }

    /// Cuts or restores the connection of a node to the table.
    pub(crate) fn cut_table(&self, index: usize, cut: bool) {
        self.nodes[index].cut.set(cut);
    }

    /// Cuts or restores the connections of a node to all peers.
    pub(crate) fn cut_peers(&self, index: usize, cut: bool) {
        self.network.cut_nodes.borrow_mut()[index] = cut;
    }

    /// Delivers a push in transit; with `duplicate` it also stays in transit.
    pub(crate) fn deliver(&self, pick: usize, duplicate: bool) {
        let mut in_transit = self.network.in_transit.borrow_mut();
        if in_transit.is_empty() {
            return;
        }
        let position = pick % in_transit.len();
        let (to, push) = in_transit[position].clone();
        if !duplicate {
            in_transit.swap_remove(position);
        }
        drop(in_transit);
        peer_requests::answer_push(&self.nodes[to].store, &push);
    }

    /// Ends all faults.
    pub(crate) fn end_faults(&self) {
        let faults = self.table.faults();
        faults.set_down(false);
        faults.lose_answers(0);
        faults.lose_writes(0);
        for index in 0..self.nodes.len() {
            self.cut_table(index, false);
            self.cut_peers(index, false);
        }
    }

    /// Returns the accepted changes in the table's log.
    pub(crate) fn log(&self) -> Vec<Change> {
        let rows = self.table.stored_rows("cat/log/");
        rows.iter()
            .map(|r| serde_json::from_str(&r.value).unwrap())
            .collect()
    }

    /// Returns the revision of an entry according to the table's log.
    pub(crate) fn revision(&self, name: &str) -> Revision {
        let log = self.log();
        let last = log.iter().rev().find(|c| c.op.name() == name);
        last.map_or(Revision(0), |c| c.expected.next())
    }
}

/// Builds the catalogue after the changes of the log up to `seq`.
pub(crate) fn snapshot_at(log: &[Change], seq: Seq) -> Snapshot {
    let mut catalogue = Catalogue::default();
    for change in log.iter().filter(|c| c.seq <= seq) {
        assert!(catalogue.apply(change).unwrap());
    }
    catalogue.snapshot().clone()
}

/// Returns the proposal to add or replace an entry.
pub(crate) fn put_proposal(id: &str, expected: Revision, name: &str, tokens: u32) -> Proposal {
    let entry = Entry {
        name: name.to_owned(),
        owner: "peachtree".to_owned(),
        class: Class::Deadline,
        target: Target::Model {
            model: "caption".to_owned(),
            layers: 6,
        },
        limits: Limits {
            max_tokens: tokens,
            ..Limits::default()
        },
        keys: Vec::new(),
    };
    Proposal {
        id: id.to_owned(),
        expected,
        op: Op::Put(entry),
    }
}

/// Returns the proposal to retire an entry.
pub(crate) fn retire_proposal(id: &str, expected: Revision, name: &str) -> Proposal {
    Proposal {
        id: id.to_owned(),
        expected,
        op: Op::Retire(name.to_owned()),
    }
}

/// The answer to each accepted change, by change id.
pub(crate) type AcceptedById = BTreeMap<String, AcceptedChange>;
