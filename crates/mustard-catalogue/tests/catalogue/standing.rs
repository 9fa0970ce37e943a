//! When a node works on without the table, and when it refuses new work.

use std::time::Duration;

use crate::support::{Cluster, LIMIT, put};
use mustard_catalogue::confirm::Standing;
use mustard_catalogue::{SyncOptions, WriteError};
use mustard_core::ids::{Revision, Seq};
use tokio::time;

async fn cluster_with_entry() -> Cluster {
    let cluster = Cluster::new(2, SyncOptions::default());
    let proposal = put("one", Revision(0), "caption", 8);
    let node = &cluster.nodes[0];
    node.writer.accept(&proposal, "ada").await.unwrap();
    node.sync.round().await;
    cluster
}

#[tokio::test(start_paused = true)]
async fn standing_start_while_table_down() {
    let mut cluster = cluster_with_entry().await;
    cluster.table.switches().set_down(true);
    cluster.restart(1);
    assert_eq!(cluster.nodes[1].store.standing(), Standing::Never);
    cluster.nodes[1].sync.round().await;
    assert_eq!(cluster.nodes[1].store.seq(), Seq(1));
    assert_eq!(cluster.nodes[1].store.standing(), Standing::Confirmed);
}

#[tokio::test(start_paused = true)]
async fn standing_peer_never_knew() {
    let cluster = Cluster::new(2, SyncOptions::default());
    cluster.table.switches().set_down(true);
    for node in &cluster.nodes {
        node.sync.round().await;
        assert_eq!(node.store.standing(), Standing::Never);
    }
}

#[tokio::test(start_paused = true)]
async fn standing_long_outage_with_peer() {
    let cluster = cluster_with_entry().await;
    cluster.nodes[1].sync.round().await;
    cluster.table.switches().set_down(true);
    for _ in 0..10 {
        time::advance(Duration::from_secs(360)).await;
        for node in &cluster.nodes {
            node.sync.round().await;
            assert_eq!(node.store.standing(), Standing::Confirmed);
        }
    }
}

#[tokio::test(start_paused = true)]
async fn standing_cut_from_all() {
    let cluster = cluster_with_entry().await;
    cluster.cut_table(0, true);
    cluster.cut_peers(0, true);
    time::advance(LIMIT / 2).await;
    cluster.nodes[0].sync.round().await;
    assert_eq!(cluster.nodes[0].store.standing(), Standing::Confirmed);
    time::advance(LIMIT).await;
    cluster.nodes[0].sync.round().await;
    assert!(matches!(
        cluster.nodes[0].store.standing(),
        Standing::Lost { .. }
    ));
    cluster.heal();
    cluster.nodes[0].sync.round().await;
    assert_eq!(cluster.nodes[0].store.standing(), Standing::Confirmed);
}

#[tokio::test(start_paused = true)]
async fn accept_answer_lost_then_table_down() {
    let cluster = cluster_with_entry().await;
    let table = cluster.table.clone();
    let proposal = put("two", Revision(1), "caption", 9);
    table.switches().lose_answers(1);
    // The table goes down between the lost answer and the read that would find the change.
    let before = table.switches().counts().writes;
    let fall = async {
        // The paused clock stands still while a task is ready, so no retry comes in between.
        while table.switches().counts().writes == before {
            tokio::task::yield_now().await;
        }
        table.switches().set_down(true);
    };
    let accept = cluster.nodes[0].writer.accept(&proposal, "ada");
    let (answer, ()) = ntex::util::join(accept, fall).await;
    assert!(matches!(answer, Err(WriteError::InDoubt { .. })));
    table.switches().set_down(false);
    let again = cluster.nodes[1]
        .writer
        .accept(&proposal, "ada")
        .await
        .unwrap();
    assert_eq!((again.seq, again.revision), (Seq(2), Revision(2)));
    assert_eq!(cluster.log().len(), 2);
}

#[tokio::test(start_paused = true)]
async fn catch_up_message_shows_newer() {
    let cluster = cluster_with_entry().await;
    let late = &cluster.nodes[1];
    let waits = late.store.catch_up(Seq(1), LIMIT);
    tokio::select! {
        in_force = waits => assert!(in_force),
        () = late.sync.run() => {}
    }
    assert_eq!(late.store.seq(), Seq(1));
}
