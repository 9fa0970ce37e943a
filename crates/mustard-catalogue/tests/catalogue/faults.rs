//! An accepted change is in force everywhere and never reverts, under generated faults.

use std::collections::{BTreeMap, BTreeSet};

use bolero::{TypeGenerator, check};
use ntex::util::join;

use crate::support::{Answers, Cluster, prefix, put, retire};
use mustard_catalogue::{Proposal, SyncOptions, WriteError};
use mustard_core::catalogue::Snapshot;
use mustard_core::ids::{Revision, Seq};

const NODES: usize = 3;
const NAMES: [&str; 3] = ["caption", "synopsis", "placement"];

#[derive(Clone, Debug, TypeGenerator)]
enum Act {
    Change {
        node: u8,
        name: u8,
        retire: bool,
        stale: bool,
    },
    Resend {
        node: u8,
        which: u8,
    },
    Race {
        first: u8,
        second: u8,
        name: u8,
        other: u8,
        retire: bool,
    },
    Round {
        node: u8,
    },
    Relay {
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
    KeepSnapshot {
        node: u8,
    },
    AdoptKept {
        node: u8,
        which: u8,
    },
}

struct Run {
    cluster: Cluster,
    sent: Vec<Proposal>,
    answers: Answers,
    kept: Vec<Snapshot>,
    floors: [Seq; NODES],
}

impl Run {
    fn new(options: SyncOptions) -> Self {
        Run {
            cluster: Cluster::new(NODES, options),
            sent: Vec::new(),
            answers: Answers::new(),
            kept: Vec::new(),
            floors: [Seq(0); NODES],
        }
    }

    fn propose(&mut self, name: u8, retired: bool, stale: bool) -> Proposal {
        let name = NAMES[usize::from(name) % NAMES.len()];
        let id = format!("change-{}", self.sent.len());
        let expected = Revision(self.cluster.revision(name).0 + u64::from(stale));
        let proposal = match retired {
            true => retire(&id, expected, name),
            false => put(&id, expected, name, 1 + self.sent.len() as u32),
        };
        self.sent.push(proposal.clone());
        proposal
    }

    async fn act(&mut self, act: &Act) {
        let node = |n: u8| usize::from(n) % NODES;
        match *act {
            Act::Change {
                node: n,
                name,
                retire,
                stale,
            } => {
                let proposal = self.propose(name, retire, stale);
                self.send(node(n), &proposal).await;
            }
            Act::Resend { node: n, which } if !self.sent.is_empty() => {
                let proposal = self.sent[usize::from(which) % self.sent.len()].clone();
                self.send(node(n), &proposal).await;
            }
            Act::Resend { .. } => {}
            Act::Race {
                first,
                second,
                name,
                other,
                retire,
            } => {
                let one = self.propose(name, false, false);
                let two = self.propose(other, retire, false);
                self.race(node(first), &one, node(second), &two).await;
            }
            Act::Round { node: n } => {
                self.cluster.nodes[node(n)].sync.round().await;
            }
            Act::Relay { node: n } => self.cluster.nodes[node(n)].sync.relay().await,
            Act::Deliver { pick, duplicate } => self.cluster.deliver(pick.into(), duplicate),
            Act::TableDown(down) => self.cluster.table.switches().set_down(down),
            Act::CutTable { node: n, cut } => self.cluster.cut_table(node(n), cut),
            Act::CutPeers { node: n, cut } => self.cluster.cut_peers(node(n), cut),
            Act::LoseAnswers { count } => {
                self.cluster
                    .table
                    .switches()
                    .lose_answers(u32::from(count % 3));
            }
            Act::LoseWrites { count } => {
                self.cluster
                    .table
                    .switches()
                    .lose_writes(u32::from(count % 3));
            }
            Act::KeepSnapshot { node: n } => {
                let current = self.cluster.nodes[node(n)].store.current();
                self.kept.push(current.snapshot().clone());
            }
            Act::AdoptKept { node: n, which } if !self.kept.is_empty() => {
                let late = self.kept[usize::from(which) % self.kept.len()].clone();
                self.cluster.nodes[node(n)].store.adopt(late);
            }
            Act::AdoptKept { .. } => {}
            Act::Restart { node: n } => {
                self.cluster.restart(node(n));
                self.floors[node(n)] = Seq(0);
            }
        }
    }

    async fn send(&mut self, node: usize, proposal: &Proposal) {
        let answer = self.cluster.nodes[node]
            .writer
            .accept(proposal, "ada")
            .await;
        self.judge(proposal, answer);
    }

    /// Lets two operators change the catalogue at the same time.
    async fn race(&mut self, first: usize, one: &Proposal, second: usize, two: &Proposal) {
        self.cluster.table.switches().set_yields(2);
        let nodes = &self.cluster.nodes;
        let (a, b) = join(
            nodes[first].writer.accept(one, "ada"),
            nodes[second].writer.accept(two, "bo"),
        )
        .await;
        self.cluster.table.switches().set_yields(0);
        self.judge(one, a);
        self.judge(two, b);
    }

    fn judge(
        &mut self,
        proposal: &Proposal,
        answer: Result<mustard_catalogue::Accepted, WriteError>,
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
                    "one answer for each id"
                );
            }
            Err(WriteError::InDoubt { .. }) => {}
            Err(WriteError::Conflict { current, .. }) => {
                assert!(logged.is_none(), "a refused change is not in the log");
                let shown = current.map_or(Revision(0), |v| v.revision);
                assert_ne!(shown, proposal.expected, "the loser is told what won");
            }
            Err(_) => assert!(logged.is_none(), "a refused change is not in the log"),
        }
    }

    fn check(&mut self) {
        let log = self.cluster.log();
        let ids: BTreeSet<_> = log.iter().map(|c| &c.id).collect();
        assert_eq!(ids.len(), log.len(), "each change id has one effect");
        let mut revisions = BTreeMap::new();
        for change in &log {
            let have = revisions.insert(change.op.name(), change.expected.next());
            assert_eq!(
                have.unwrap_or_default(),
                change.expected,
                "no change is lost"
            );
        }
        for (node, floor) in self.cluster.nodes.iter().zip(&mut self.floors) {
            let current = node.store.current();
            assert!(current.seq() >= *floor, "the number in force never falls");
            *floor = current.seq();
            assert_eq!(*current.snapshot(), prefix(&log, current.seq()));
        }
    }

    /// Ends all faults; a few rounds then bring every node to the newest change.
    async fn settle(&mut self) {
        self.cluster.heal();
        for proposal in self.sent.clone() {
            self.send(0, &proposal).await;
        }
        let head = Seq(self.cluster.log().len() as u64);
        for node in &self.cluster.nodes {
            node.sync.round().await;
            assert_eq!(node.store.seq(), head);
        }
        self.check();
    }
}

fn run_all(acts: &[Act], options: SyncOptions) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()
        .unwrap();
    runtime.block_on(async {
        let mut run = Run::new(options);
        for act in acts {
            run.act(act).await;
            run.check();
        }
        run.settle().await;
    });
}

#[test]
fn accept_faults() {
    check!()
        .with_generator(bolero::produce::<Vec<Act>>().with().len(0usize..40))
        .with_iterations(800)
        .for_each(|acts| run_all(acts, SyncOptions::default()));
}

/// With such a short batch every node that is behind reads the whole catalogue.
#[test]
fn accept_whole_reads() {
    check!()
        .with_generator(bolero::produce::<Vec<Act>>().with().len(0usize..40))
        .with_iterations(400)
        .for_each(|acts| run_all(acts, SyncOptions::default().batch(1)));
}
