//! Bodies within the budget of what is held for clients.
#![allow(clippy::unwrap_used)]

use std::collections::VecDeque;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use ntex::http::error::PayloadError;
use ntex::util::{Bytes, Stream};

use mustard_net::client_body::{BodyError, ClientBody, read_body};
use mustard_net::{ClientBudget, ClientLimits};

const KIB: usize = 1_024;
const MIB: usize = 1_024 * KIB;
/// Longer than a client may send nothing while others need its room.
const STALL: Duration = Duration::from_millis(1_200);

/// A body whose pieces are there at once; an incomplete one then waits without end.
struct Pieces {
    pieces: VecDeque<Bytes>,
    is_complete: bool,
}

impl Pieces {
    fn new(count: usize, size: usize, is_complete: bool) -> Self {
        let piece = Bytes::from(vec![b'x'; size]);
        Pieces {
            pieces: vec![piece; count].into(),
            is_complete,
        }
    }
}

impl Stream for Pieces {
    type Item = Result<Bytes, PayloadError>;

    fn poll_next(mut self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        match self.pieces.pop_front() {
            Some(piece) => Poll::Ready(Some(Ok(piece))),
            None if self.is_complete => Poll::Ready(None),
            None => Poll::Pending,
        }
    }
}

fn new_budget(bytes: usize) -> Rc<ClientBudget> {
    let log = slog::Logger::root(slog::Discard, slog::o!());
    ClientBudget::new(ClientLimits::default().bytes(bytes), log)
}

async fn read(budget: &Rc<ClientBudget>, mut body: Pieces) -> Result<ClientBody, BodyError> {
    read_body(budget, &mut body, 4 * MIB).await
}

/// Starts to read a body that never ends, and lets it stall if `wait` says so.
async fn start_unfinished(
    budget: &Rc<ClientBudget>,
    size: usize,
    wait: Duration,
) -> tokio::task::JoinHandle<Result<ClientBody, BodyError>> {
    let budget = Rc::clone(budget);
    let body = Pieces::new(size / KIB, KIB, false);
    let reading = tokio::task::spawn_local(async move { read(&budget, body).await });
    tokio::time::sleep(wait).await;
    reading
}

#[ntex::test]
async fn read_body_single_full() {
    let budget = new_budget(6 * MIB);
    let body = read(&budget, Pieces::new(4 * KIB, KIB, true))
        .await
        .unwrap();
    assert_eq!(body.bytes.len(), 4 * MIB);
    assert_eq!(budget.held_bytes(), 4 * MIB);
    drop(body);
    assert_eq!(budget.held_bytes(), 0);
}

/// A body is the same whatever the sizes in which it arrives.
#[ntex::test]
async fn read_body_pieces_in_order() {
    let budget = new_budget(6 * MIB);
    for sizes in [&[1, 65_535, 1][..], &[65_536, 65_536], &[200_000, 7], &[3]] {
        let mut next = 0u8;
        let pieces = sizes.iter().map(|size| {
            let fill = || {
                next = next.wrapping_add(7);
                next
            };
            Bytes::from(
                std::iter::repeat_with(fill)
                    .take(*size)
                    .collect::<Vec<u8>>(),
            )
        });
        let pieces: VecDeque<Bytes> = pieces.collect();
        let expected = pieces.iter().flat_map(|p| p.iter().copied());
        let expected: Vec<u8> = expected.collect();
        let is_complete = true;
        let body = read(
            &budget,
            Pieces {
                pieces,
                is_complete,
            },
        )
        .await
        .unwrap();
        assert!(body.bytes == expected, "{sizes:?}");
    }
}

/// A body counts until its request has ended, also when its bytes were passed on.
#[ntex::test]
async fn read_body_held_until_dropped() {
    let budget = new_budget(6 * MIB);
    let body = read(&budget, Pieces::new(1, MIB, true)).await.unwrap();
    let ClientBody { bytes, guard } = body;
    drop(bytes);
    assert_eq!(budget.held_bytes(), MIB);
    drop(guard);
    assert_eq!(budget.held_bytes(), 0);
}

#[ntex::test]
async fn read_body_no_room() {
    let budget = new_budget(6 * MIB);
    let first = read(&budget, Pieces::new(4, MIB, true)).await.unwrap();
    let second = read(&budget, Pieces::new(4, MIB, true)).await;
    assert_eq!(second.unwrap_err(), BodyError::NoRoom);
    assert_eq!(budget.held_bytes(), 4 * MIB);
    drop(first);
    read(&budget, Pieces::new(4, MIB, true)).await.unwrap();
}

#[ntex::test]
async fn read_body_too_large() {
    let budget = new_budget(64 * MIB);
    let body = read(&budget, Pieces::new(5, MIB, true)).await;
    assert_eq!(body.unwrap_err(), BodyError::TooLarge);
    assert_eq!(budget.held_bytes(), 0);
}

/// Large bodies leave a part of the budget to small ones.
#[ntex::test]
async fn read_body_small_has_room() {
    let budget = new_budget(4 * MIB);
    let _large = read(&budget, Pieces::new(3, MIB, true)).await.unwrap();
    let large = read(&budget, Pieces::new(2, 64 * KIB, true)).await;
    assert_eq!(large.unwrap_err(), BodyError::NoRoom);
    let mut small = Vec::new();
    for _ in 0..16 {
        small.push(read(&budget, Pieces::new(1, 64 * KIB, true)).await.unwrap());
    }
    let further = read(&budget, Pieces::new(1, 64 * KIB, true)).await;
    assert_eq!(further.unwrap_err(), BodyError::NoRoom);
}

/// A body that made no progress gives way, and one that did doesn't.
#[ntex::test]
async fn read_body_stalled_gives_way() {
    let budget = new_budget(4 * MIB);
    let stalled = start_unfinished(&budget, 2 * MIB, STALL).await;
    let fresh = start_unfinished(&budget, MIB, Duration::ZERO).await;
    let whole = read(&budget, Pieces::new(1, MIB, true)).await.unwrap();
    assert_eq!(stalled.await.unwrap().unwrap_err(), BodyError::Stalled);
    assert!(!fresh.is_finished());
    assert_eq!(budget.held_bytes(), 2 * MIB);
    drop(whole);
    fresh.abort();
}

/// A body that stalls while nobody needs its room is left alone.
#[ntex::test]
async fn read_body_stalled_in_calm() {
    let budget = new_budget(4 * MIB);
    let stalled = start_unfinished(&budget, 2 * MIB, STALL).await;
    let _other = read(&budget, Pieces::new(1, MIB, true)).await.unwrap();
    assert!(!stalled.is_finished());
    stalled.abort();
}

/// A complete body whose request runs never gives way.
#[ntex::test]
async fn read_body_complete_stays() {
    let budget = new_budget(4 * MIB);
    let running = read(&budget, Pieces::new(3, MIB, true)).await.unwrap();
    tokio::time::sleep(STALL).await;
    let other = read(&budget, Pieces::new(1, MIB, true)).await;
    assert_eq!(other.unwrap_err(), BodyError::NoRoom);
    assert_eq!(budget.held_bytes(), 3 * MIB);
    drop(running);
}
