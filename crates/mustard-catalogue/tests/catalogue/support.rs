//! A few nodes with a shared table in memory, cuts between them, and a bag of messages.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use mustard_catalogue::{Accepted, Peers, Proposal, Store, SyncOptions, Syncer, Writer, relay};
use mustard_core::catalogue::{Catalogue, Change, Class, Entry, Limits, Op, Snapshot, Target};
use mustard_core::ids::{Revision, Seq};
use mustard_fakes::memory::{MemObjects, MemTable};
use mustard_net::{CallError, Process};
use mustard_platform::table::{Commit, Row, Scan, Table, Txn};
use mustard_platform::{PlatformError, Result as PlatformResult};
use mustard_proto::catalogue::{Pull, Pulled, Push, Pushed};

pub(crate) const LIMIT: Duration = Duration::from_secs(10);

/// The table as one node reaches it.
#[derive(Clone)]
pub(crate) struct NodeTable {
    table: MemTable,
    cut: Rc<Cell<bool>>,
}

impl NodeTable {
    fn check(&self) -> PlatformResult<()> {
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
    async fn commit(&self, txn: Txn) -> PlatformResult<Commit> {
        self.check()?;
        self.table.commit(txn).await
    }

    async fn read(&self, keys: &[String]) -> PlatformResult<Vec<Row>> {
        self.check()?;
        self.table.read(keys).await
    }

    async fn scan(&self, prefix: &str, after: &str, limit: usize) -> PlatformResult<Scan> {
        self.check()?;
        self.table.scan(prefix, after, limit).await
    }
}

/// What the nodes share.
#[derive(Default)]
pub(crate) struct Net {
    stores: RefCell<Vec<Arc<Store>>>,
    cuts: RefCell<Vec<bool>>,
    pub(crate) bag: RefCell<Vec<(usize, Push)>>,
}

/// The peers of one node; pushes wait in the bag until they are delivered.
pub(crate) struct NodePeers {
    me: usize,
    net: Rc<Net>,
}

impl NodePeers {
    fn reach(&self, to: usize) -> std::result::Result<Arc<Store>, CallError> {
        let cuts = self.net.cuts.borrow();
        if cuts[self.me] || cuts[to] {
            return Err(CallError::NotSent("cut".to_owned()));
        }
        Ok(Arc::clone(&self.net.stores.borrow()[to]))
    }
}

impl Peers for NodePeers {
    type Id = usize;

    fn pick(&self, count: usize) -> Vec<usize> {
        let all = 0..self.net.stores.borrow().len();
        all.filter(|n| *n != self.me).take(count).collect()
    }

    async fn push(&self, to: &usize, push: Push) -> std::result::Result<Pushed, CallError> {
        let store = self.reach(*to)?;
        self.net.bag.borrow_mut().push((*to, push));
        Ok(Pushed { seq: store.seq() })
    }

    async fn pull(&self, to: &usize, pull: Pull) -> std::result::Result<Pulled, CallError> {
        Ok(relay::answer_pull(&*self.reach(*to)?, &pull))
    }
}

pub(crate) struct Node {
    pub(crate) store: Arc<Store>,
    pub(crate) writer: Writer<NodeTable, MemObjects>,
    pub(crate) sync: Syncer<NodeTable, MemObjects, NodePeers>,
    cut: Rc<Cell<bool>>,
}

/// Some nodes with one table.
pub(crate) struct Cluster {
    pub(crate) table: MemTable,
    pub(crate) objects: MemObjects,
    pub(crate) net: Rc<Net>,
    pub(crate) nodes: Vec<Node>,
    options: SyncOptions,
}

impl Cluster {
    pub(crate) fn new(count: usize, options: SyncOptions) -> Self {
        let mut cluster = Cluster {
            table: MemTable::new(),
            objects: MemObjects::new(),
            net: Rc::default(),
            nodes: Vec::new(),
            options,
        };
        for me in 0..count {
            let node = cluster.node(me);
            cluster
                .net
                .stores
                .borrow_mut()
                .push(Arc::clone(&node.store));
            cluster.net.cuts.borrow_mut().push(false);
            cluster.nodes.push(node);
        }
        cluster
    }

    fn node(&self, me: usize) -> Node {
        let store = Store::new(Process::new(&format!("entry-{me}"), 16), LIMIT);
        let cut = Rc::new(Cell::new(false));
        let table = NodeTable {
            table: self.table.clone(),
            cut: Rc::clone(&cut),
        };
        let objects = self.objects.clone();
        let writer = Writer::new(table.clone(), objects.clone(), Arc::clone(&store));
        let peers = NodePeers {
            me,
            net: Rc::clone(&self.net),
        };
        let log = slog::Logger::root(slog::Discard, slog::o!());
        let options = self.options.clone();
        let sync = Syncer::new(table, objects, peers, Arc::clone(&store), options, log);
        Node {
            store,
            writer,
            sync,
            cut,
        }
    }

    /// Replaces a node by one with an empty memory.
    pub(crate) fn restart(&mut self, me: usize) {
        let node = self.node(me);
        node.cut.set(self.nodes[me].cut.get());
        self.net.stores.borrow_mut()[me] = Arc::clone(&node.store);
        self.nodes[me] = node;
    }

    pub(crate) fn cut_table(&self, me: usize, cut: bool) {
        self.nodes[me].cut.set(cut);
    }

    pub(crate) fn cut_peers(&self, me: usize, cut: bool) {
        self.net.cuts.borrow_mut()[me] = cut;
    }

    /// Delivers a message of the bag; a duplicate stays in the bag.
    pub(crate) fn deliver(&self, pick: usize, duplicate: bool) {
        let mut bag = self.net.bag.borrow_mut();
        if bag.is_empty() {
            return;
        }
        let at = pick % bag.len();
        let (to, push) = bag[at].clone();
        if !duplicate {
            bag.swap_remove(at);
        }
        drop(bag);
        relay::take_push(&self.nodes[to].store, &push);
    }

    /// Ends every fault.
    pub(crate) fn heal(&self) {
        let switches = self.table.switches();
        switches.set_down(false);
        switches.lose_answers(0);
        switches.lose_writes(0);
        for me in 0..self.nodes.len() {
            self.cut_table(me, false);
            self.cut_peers(me, false);
        }
    }

    /// Returns the accepted changes as the table holds them.
    pub(crate) fn log(&self) -> Vec<Change> {
        let rows = self.table.peek_all("cat/log/");
        rows.iter()
            .map(|r| serde_json::from_str(&r.value).unwrap())
            .collect()
    }

    /// Returns the revision of an entry as the table holds it.
    pub(crate) fn revision(&self, name: &str) -> Revision {
        let log = self.log();
        let last = log.iter().rev().find(|c| c.op.name() == name);
        last.map_or(Revision(0), |c| c.expected.next())
    }
}

/// Builds the catalogue at a place in the log.
pub(crate) fn prefix(log: &[Change], seq: Seq) -> Snapshot {
    let mut catalogue = Catalogue::default();
    for change in log.iter().filter(|c| c.seq <= seq) {
        assert!(catalogue.apply(change).unwrap());
    }
    catalogue.snapshot().clone()
}

/// Returns the proposal to add or replace an entry.
pub(crate) fn put(id: &str, expected: Revision, name: &str, tokens: u32) -> Proposal {
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
pub(crate) fn retire(id: &str, expected: Revision, name: &str) -> Proposal {
    Proposal {
        id: id.to_owned(),
        expected,
        op: Op::Retire(name.to_owned()),
    }
}

/// Answers given for each change id.
pub(crate) type Answers = BTreeMap<String, Accepted>;
