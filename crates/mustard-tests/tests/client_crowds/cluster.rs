//! Crowds before one process of a cluster.

use mustard_tests::child::Child;
use mustard_tests::plan::MODEL;
use mustard_tests::{Cluster, Plan, wait_for};

use super::crowd::{
    Crowd, LowDescriptors, SMALLEST_MACHINE, Sent, assert_descriptors_left, lock_crowds,
    open_descriptors, peak_memory,
};

/// The most descriptors of a process before a crowd that is smaller than that.
const DESCRIPTORS: usize = 1_000;
/// The number of descriptors of a process before a crowd of connections.
const FEW_DESCRIPTORS: u64 = 400;

/// The process that a crowd presses.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Target {
    Entry,
    Agent,
}

impl Target {
    fn child(self, cluster: &mut Cluster) -> &mut Child {
        match self {
            Target::Entry => &mut cluster.entries[0],
            Target::Agent => &mut cluster.stages[0].agent,
        }
    }

    fn assert_bounded(self, cluster: &mut Cluster) {
        let process = self.child(cluster);
        assert!(process.is_running(), "the process ended");
        let peak = peak_memory(process.id());
        let open = open_descriptors(process.id());
        println!("peak memory {peak} bytes, {open} descriptors");
        assert!(peak <= SMALLEST_MACHINE, "peak memory {peak} bytes");
        assert!(open <= DESCRIPTORS, "{open} descriptors");
    }

    /// Checks that the process withstands `count` clients that send `request`.
    pub(crate) fn withstand(self, plan: &Plan, count: usize, request: &Sent) {
        let _lock = lock_crowds();
        let mut cluster = Cluster::start(plan).unwrap();
        let to = self.child(&mut cluster).addr();
        let crowd = Crowd::send(to, count, request);
        assert_serves(&cluster);
        self.assert_bounded(&mut cluster);
        drop(crowd);
        assert_serves(&cluster);
        self.assert_bounded(&mut cluster);
    }

    /// Checks that the process withstands connections on which each client sends `bytes`.
    pub(crate) fn withstand_connections(self, bytes: &[u8]) {
        let _lock = lock_crowds();
        let low = LowDescriptors::set(FEW_DESCRIPTORS);
        let mut cluster = Cluster::start(&plan()).unwrap();
        drop(low);
        let process = self.child(&mut cluster);
        let (to, pid) = (process.addr(), process.id());
        let crowd = Crowd::connect(to, 2 * FEW_DESCRIPTORS as usize, bytes);
        assert_descriptors_left(pid, FEW_DESCRIPTORS);
        assert_serves(&cluster);
        self.assert_bounded(&mut cluster);
        drop(crowd);
        assert_serves(&cluster);
    }
}

/// Returns the plan of a cluster with one entry process and no plain service.
pub(crate) fn plan() -> Plan {
    Plan::new().entries(1).services(0)
}

fn assert_serves(cluster: &Cluster) {
    let caller = cluster.caller(0);
    let draft = || {
        let draft = caller.stream(MODEL, &[1], 1).ok()?;
        draft.is_whole().then_some(())
    };
    wait_for("an ordinary draft is served", draft).unwrap();
}
