//! Tests of accepting, synchronizing and confirming catalogue changes.
#![allow(clippy::unwrap_used)]

mod faults;
mod standing;
mod support;

use mustard_catalogue::SyncOptions;
use mustard_core::ids::Revision;

use support::{Cluster, put_proposal};

/// Guards against nodes that differ for good: the table comes back from an older copy, and the number
/// of a lost change is given out again.
#[tokio::test(start_paused = true)]
async fn sync_restored_table() {
    let cluster = Cluster::new(2, SyncOptions::default());
    let kept = put_proposal("kept", Revision(0), "kept", 8);
    cluster.nodes[0].writer.accept(&kept, "ada").await.unwrap();
    cluster.nodes[0].syncer.run_round().await;
    let copy = cluster.table.copy();
    let lost = put_proposal("lost", Revision(0), "lost", 8);
    cluster.nodes[0].writer.accept(&lost, "ada").await.unwrap();
    cluster.nodes[0].syncer.run_round().await;
    cluster.table.restore(copy);
    let again = put_proposal("again", Revision(0), "again", 8);
    cluster.nodes[1].syncer.run_round().await;
    cluster.nodes[1].writer.accept(&again, "ada").await.unwrap();
    for _ in 0..3 {
        for node in &cluster.nodes {
            node.syncer.run_round().await;
        }
    }
    let entries = |node: usize| cluster.nodes[node].store.current().snapshot().clone();
    assert_eq!(entries(0), entries(1));
}
