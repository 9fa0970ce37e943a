//! Tests the standing of a node: whether it may start new work, depending on when the table or a
//! peer last confirmed its catalogue.

use std::time::Duration;

use crate::support::{Cluster, UNCONFIRMED_LIMIT, put_proposal};
use mustard_catalogue::confirmation::ConfirmationState;
use mustard_catalogue::{SyncOptions, WriteError};
use mustard_core::ids::{Revision, Seq};
use tokio::time;

/// Returns two nodes, of which the first has accepted and confirmed a change and the second has not
/// synchronized yet.
async fn cluster_with_entry() -> Cluster {
    let cluster = Cluster::new(2, SyncOptions::default());
    let proposal = put_proposal("one", Revision(0), "caption", 8);
    let node = &cluster.nodes[0];
    node.writer.accept(&proposal, "ada").await.unwrap();
    node.syncer.run_round().await;
    cluster
}

#[tokio::test(start_paused = true)]
async fn standing_start_while_table_down() {
    let mut cluster = cluster_with_entry().await;
    cluster.table.faults().set_down(true);
    cluster.restart(1);
    assert_eq!(
        cluster.nodes[1].store.confirmation_state(),
        ConfirmationState::NeverConfirmed
    );
    cluster.nodes[1].syncer.run_round().await;
    assert_eq!(cluster.nodes[1].store.seq(), Seq(1));
    assert_eq!(
        cluster.nodes[1].store.confirmation_state(),
        ConfirmationState::Confirmed
    );
}

#[tokio::test(start_paused = true)]
async fn standing_peer_never_knew() {
    let cluster = Cluster::new(2, SyncOptions::default());
    cluster.table.faults().set_down(true);
    for node in &cluster.nodes {
        node.syncer.run_round().await;
        assert_eq!(
            node.store.confirmation_state(),
            ConfirmationState::NeverConfirmed
        );
    }
}

#[tokio::test(start_paused = true)]
async fn standing_long_table_outage() {
    let cluster = cluster_with_entry().await;
    cluster.nodes[1].syncer.run_round().await;
    cluster.table.faults().set_down(true);
    for _ in 0..10 {
        time::advance(Duration::from_secs(360)).await;
        for node in &cluster.nodes {
            node.syncer.run_round().await;
            assert_eq!(
                node.store.confirmation_state(),
                ConfirmationState::Confirmed
            );
        }
    }
}

#[tokio::test(start_paused = true)]
async fn standing_cut_from_table_and_peers() {
    let cluster = cluster_with_entry().await;
    cluster.cut_table(0, true);
    cluster.cut_peers(0, true);
    time::advance(UNCONFIRMED_LIMIT / 2).await;
    cluster.nodes[0].syncer.run_round().await;
    assert_eq!(
        cluster.nodes[0].store.confirmation_state(),
        ConfirmationState::Confirmed
    );
    time::advance(UNCONFIRMED_LIMIT).await;
    cluster.nodes[0].syncer.run_round().await;
    assert!(matches!(
        cluster.nodes[0].store.confirmation_state(),
        ConfirmationState::Unconfirmed { .. }
    ));
    cluster.end_faults();
    cluster.nodes[0].syncer.run_round().await;
    assert_eq!(
        cluster.nodes[0].store.confirmation_state(),
        ConfirmationState::Confirmed
    );
}

#[tokio::test(start_paused = true)]
async fn accept_answer_lost_then_table_down() {
    let cluster = cluster_with_entry().await;
    let table = cluster.table.clone();
    let proposal = put_proposal("two", Revision(1), "caption", 9);
    table.faults().lose_answers(1);
    // The change is accepted but its answer is lost, and the table goes down before the retry
    // reads the row of the change id. The answer must not claim that the change was not accepted.
    let writes_before = table.faults().counts().writes;
    let take_down = async {
        // The paused clock does not advance while a task is ready, so no retry runs in between.
        while table.faults().counts().writes == writes_before {
            tokio::task::yield_now().await;
        }
        table.faults().set_down(true);
    };
    let accept = cluster.nodes[0].writer.accept(&proposal, "ada");
    let (answer, ()) = ntex::util::join(accept, take_down).await;
    assert!(matches!(answer, Err(WriteError::InDoubt { .. })));
    table.faults().set_down(false);
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
    let behind = &cluster.nodes[1];
    let wait = behind.store.catch_up(Seq(1), UNCONFIRMED_LIMIT);
    tokio::select! {
        in_force = wait => assert!(in_force),
        () = behind.syncer.run() => {}
    }
    assert_eq!(behind.store.seq(), Seq(1));
}
