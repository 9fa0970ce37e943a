//! Runs generated sequences of changes and faults against a cluster.
//!
//! Guards against an accepted change that is lost, reverted or applied twice. This may come about
//! when answers and writes of the table are lost, operators race, pushes arrive late, out of order
//! or twice, connections are cut, or a node restarts.

use std::collections::{BTreeMap, BTreeSet};

use bolero::{TypeGenerator, check};
use ntex::util::join;

use crate::support::{AcceptedById, Cluster, put_proposal, retire_proposal, snapshot_at};
use mustard_catalogue::{Proposal, SyncOptions, WriteError};
use mustard_core::catalogue::Snapshot;
use mustard_core::ids::{Revision, Seq};

const NODE_COUNT: usize = 3;
const ENTRY_NAMES: [&str; 3] = ["caption", "synopsis", "placement"];

#[derive(Clone, Debug, TypeGenerator)]
enum Action {
    Change {
        node: u8,
        name: u8,
        retire: bool,
        stale: bool,
    },
    /// Sends an earlier proposal again.
    Resend {
        node: u8,
        pick: u8,
    },
    ConcurrentChanges {
        first_node: u8,
        second_node: u8,
        first_name: u8,
        second_name: u8,
        retire: bool,
    },
    SyncRound {
        node: u8,
    },
    Push {
        node: u8,
    },
    Deliver {
        pick: u8,
        duplicate: bool,
    },
    TableDown(bool),
    CutTable {
        node: u8,
        cut: bool,
    },
    CutPeers {
        node: u8,
        cut: bool,
    },
    LoseAnswers {
        count: u8,
    },
    LoseWrites {
        count: u8,
    },
    Restart {
        node: u8,
    },
    /// Keeps a node's current catalogue for a later `AdoptSnapshot`.
    KeepSnapshot {
        node: u8,
    },
    /// Offers a node a kept snapshot, which it must ignore if it is older than its catalogue.
    AdoptSnapshot {
        node: u8,
        pick: u8,
    },
}

/// A cluster with the history that its state is checked against.
struct Scenario {
    cluster: Cluster,
    sent: Vec<Proposal>,
    answers: AcceptedById,
    old_snapshots: Vec<Snapshot>,
    last_seqs: [Seq; NODE_COUNT],
}

impl Scenario {
    fn new(options: SyncOptions) -> Self {
        Scenario {
            cluster: Cluster::new(NODE_COUNT, options),
            sent: Vec::new(),
            answers: AcceptedById::new(),
            old_snapshots: Vec::new(),
            last_seqs: [Seq(0); NODE_COUNT],
        }
    }

    /// Returns a new proposal; with `is_stale` it expects a revision that the entry does not have.
    fn propose(&mut self, name: u8, is_retire: bool, is_stale: bool) -> Proposal {
        let name = ENTRY_NAMES[usize::from(name) % ENTRY_NAMES.len()];
        let id = format!("change-{}", self.sent.len());
        let expected = Revision(self.cluster.revision(name).0 + u64::from(is_stale));
        let proposal = match is_retire {
            true => retire_proposal(&id, expected, name),
            false => put_proposal(&id, expected, name, 1 + self.sent.len() as u32),
        };
        self.sent.push(proposal.clone());
        proposal
    }

    async fn perform(&mut self, action: &Action) {
        let node = |n: u8| usize::from(n) % NODE_COUNT;
        match *action {
            Action::Change {
                node: n,
                name,
                retire,
                stale,
            } => {
                let proposal = self.propose(name, retire, stale);
                self.send(node(n), &proposal).await;
            }
            Action::Resend { node: n, pick } if !self.sent.is_empty() => {
                let proposal = self.sent[usize::from(pick) % self.sent.len()].clone();
                self.send(node(n), &proposal).await;
            }
            Action::Resend { .. } => {}
            Action::ConcurrentChanges {
                first_node,
                second_node,
                first_name,
                second_name,
                retire,
            } => {
                let first = self.propose(first_name, false, false);
                let second = self.propose(second_name, retire, false);
                self.send_both(node(first_node), &first, node(second_node), &second)
                    .await;
            }
            Action::SyncRound { node: n } => {
                self.cluster.nodes[node(n)].syncer.run_round().await;
            }
            Action::Push { node: n } => self.cluster.nodes[node(n)].syncer.push_changes().await,
            Action::Deliver { pick, duplicate } => self.cluster.deliver(pick.into(), duplicate),
            Action::TableDown(down) => self.cluster.table.faults().set_down(down),
            Action::CutTable { node: n, cut } => self.cluster.cut_table(node(n), cut),
            Action::CutPeers { node: n, cut } => self.cluster.cut_peers(node(n), cut),
            Action::LoseAnswers { count } => {
                self.cluster
                    .table
                    .faults()
                    .lose_answers(u32::from(count % 3));
            }
            Action::LoseWrites { count } => {
                self.cluster
                    .table
                    .faults()
                    .lose_writes(u32::from(count % 3));
            }
            Action::KeepSnapshot { node: n } => {
                let current = self.cluster.nodes[node(n)].store.current();
                self.old_snapshots.push(current.snapshot().clone());
            }
            Action::AdoptSnapshot { node: n, pick } if !self.old_snapshots.is_empty() => {
                let snapshot =
                    self.old_snapshots[usize::from(pick) % self.old_snapshots.len()].clone();
                self.cluster.nodes[node(n)].store.install_newer(snapshot);
            }
            Action::AdoptSnapshot { .. } => {}
            Action::Restart { node: n } => {
                self.cluster.restart(node(n));
                self.last_seqs[node(n)] = Seq(0);
            }
        }
    }

    async fn send(&mut self, node: usize, proposal: &Proposal) {
        let answer = self.cluster.nodes[node]
            .writer
            .accept(proposal, "ada")
            .await;
        self.check_answer(proposal, answer);
    }

    /// Sends two proposals at the same time, with their calls of the table interleaved.
    async fn send_both(
        &mut self,
        first_node: usize,
        first: &Proposal,
        second_node: usize,
        second: &Proposal,
    ) {
        self.cluster.table.faults().set_yields(2);
        let nodes = &self.cluster.nodes;
        let (first_answer, second_answer) = join(
            nodes[first_node].writer.accept(first, "ada"),
            nodes[second_node].writer.accept(second, "bo"),
        )
        .await;
        self.cluster.table.faults().set_yields(0);
        self.check_answer(first, first_answer);
        self.check_answer(second, second_answer);
    }

    /// Checks an answer against the table's log.
    fn check_answer(
        &mut self,
        proposal: &Proposal,
        answer: Result<mustard_catalogue::AcceptedChange, WriteError>,
    ) {
        let log = self.cluster.log();
        let logged = log.iter().find(|c| c.id == proposal.id);
        match answer {
            Ok(accepted) => {
                let change = logged.expect("an accepted change is in the log");
                assert_eq!(accepted.seq, change.seq);
                assert_eq!(accepted.revision, change.expected.next());
                let earlier = self.answers.insert(proposal.id.clone(), accepted);
                assert!(
                    earlier.is_none_or(|e| e == accepted),
                    "each change id has one answer"
                );
            }
            Err(WriteError::InDoubt { .. }) => {}
            Err(WriteError::Conflict { current, .. }) => {
                assert!(logged.is_none(), "a refused change is not in the log");
                let shown_revision = current.map_or(Revision(0), |v| v.revision);
                assert_ne!(
                    shown_revision, proposal.expected,
                    "a conflict shows another revision"
                );
            }
            Err(_) => assert!(logged.is_none(), "a refused change is not in the log"),
        }
    }

    /// Checks the table's log and the catalogue of every node against each other.
    fn check_state(&mut self) {
        let log = self.cluster.log();
        let ids: BTreeSet<_> = log.iter().map(|c| &c.id).collect();
        assert_eq!(ids.len(), log.len(), "each change id has one effect");
        let mut revisions = BTreeMap::new();
        for change in &log {
            let previous = revisions.insert(change.op.name(), change.expected.next());
            assert_eq!(
                previous.unwrap_or_default(),
                change.expected,
                "no change is lost"
            );
        }
        for (node, last_seq) in self.cluster.nodes.iter().zip(&mut self.last_seqs) {
            let current = node.store.current();
            assert!(
                current.seq() >= *last_seq,
                "the number in force never decreases"
            );
            *last_seq = current.seq();
            assert_eq!(*current.snapshot(), snapshot_at(&log, current.seq()));
        }
    }

    /// Ends all faults and checks that one round brings every node to the newest change.
    async fn converge(&mut self) {
        self.cluster.end_faults();
        for proposal in self.sent.clone() {
            self.send(0, &proposal).await;
        }
        let head = Seq(self.cluster.log().len() as u64);
        for node in &self.cluster.nodes {
            node.syncer.run_round().await;
            assert_eq!(node.store.seq(), head);
        }
        self.check_state();
    }
}

fn run_scenario(actions: &[Action], options: SyncOptions) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .unwrap();
    runtime.block_on(async {
        let mut scenario = Scenario::new(options);
        for action in actions {
            scenario.perform(action).await;
            scenario.check_state();
        }
        scenario.converge().await;
    });
}

#[test]
fn accept_faults() {
    check!()
        .with_generator(bolero::produce::<Vec<Action>>().with().len(0usize..40))
        .with_iterations(800)
        .for_each(|actions| run_scenario(actions, SyncOptions::default()));
}

/// Guards against errors in building snapshots: a node that lacks more than one change reads a
/// snapshot instead of the log.
#[test]
fn accept_snapshot_reads() {
    check!()
        .with_generator(bolero::produce::<Vec<Action>>().with().len(0usize..40))
        .with_iterations(400)
        .for_each(|actions| run_scenario(actions, SyncOptions::default().max_changes(1)));
}
