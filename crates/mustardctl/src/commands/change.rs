//! Sends one change of the catalogue.

use ntex::http::Method;
use serde::{Deserialize, Serialize};

use mustard_core::catalogue::{EntryVersion, Op};
use mustard_core::ids::{Revision, Seq};

use crate::client::Client;
use crate::errors::{CtlError, EXIT_UNKNOWN, Result};
use crate::plan;

const PATH: &str = "/admin/catalogue/changes";

/// The body of a change.
#[derive(Clone, Debug, Serialize)]
pub(super) struct Proposal<'a> {
    /// Makes the change safe to send again.
    pub(super) id: String,
    /// The revision that the entry has.
    pub(super) expected: Revision,
    /// What the change does.
    pub(super) op: &'a Op,
}

/// The answer to an accepted change.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub(super) struct Accepted {
    /// The place in the order of changes.
    pub(super) seq: Seq,
    /// The revision that it made.
    pub(super) revision: Revision,
}

/// Draws a change id.
pub(super) fn new_id() -> String {
    format!("ctl-{:016x}", rand::random::<u64>())
}

/// Sends a change and explains to the operator why it was not accepted.
pub(super) async fn send(client: &Client, proposal: &Proposal<'_>) -> Result<Accepted> {
    let answer = client.send(Method::POST, PATH, proposal).await;
    if let Err(e) = &answer {
        explain(proposal, e);
    }
    answer
}

fn explain(proposal: &Proposal<'_>, e: &CtlError) {
    if e.exit_code() == EXIT_UNKNOWN {
        let (id, expected) = (&proposal.id, proposal.expected);
        eprintln!("The change may have been accepted. Sending it again is safe:");
        eprintln!("  give the same command with --id {id} --expect {expected}");
    }
    let CtlError::Refused(refused) = e else {
        return;
    };
    let Ok(Some(current)) =
        serde_json::from_value::<Option<EntryVersion>>(refused.problem["current"].clone())
    else {
        return;
    };
    let name = proposal.op.name();
    eprintln!("Entry {name:?} is at revision {} now:", current.revision);
    let Some(entry) = &current.entry else {
        return eprintln!("  it is retired");
    };
    let mine = match proposal.op {
        Op::Put(mine) => Some(mine),
        Op::Retire(_) => None,
    };
    for difference in plan::differences(mine, Some(entry)) {
        eprintln!("  yours -> theirs  {difference}");
    }
}
