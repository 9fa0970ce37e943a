//! Sends one change of the catalogue to an entry process.

use ntex::http::Method;
use serde::{Deserialize, Serialize};

use mustard_core::catalogue::{EntryVersion, Op};
use mustard_core::ids::{Revision, Seq};

use crate::client::AdminClient;
use crate::errors::{CtlError, EXIT_UNKNOWN, Result};
use crate::plan;

const CHANGES_PATH: &str = "/admin/catalogue/changes";

/// The body of `POST /admin/catalogue/changes`.
#[derive(Clone, Debug, Serialize)]
pub(super) struct ChangeRequest<'a> {
    /// A unique id that makes it safe to send the change again.
    pub(super) id: String,
    /// The revision that the entry must have for the change to be accepted.
    pub(super) expected: Revision,
    /// The operation.
    pub(super) op: &'a Op,
}

/// The answer to an accepted change.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub(super) struct AcceptedChange {
    /// The sequence number among all changes of the catalogue.
    pub(super) seq: Seq,
    /// The new revision of the entry.
    pub(super) revision: Revision,
}

/// Returns a random change id.
pub(super) fn new_change_id() -> String {
    format!("ctl-{:016x}", rand::random::<u64>())
}

/// Sends a change; if that fails, prints to standard error what the operator can do about it.
pub(super) async fn send(
    client: &AdminClient,
    request: &ChangeRequest<'_>,
) -> Result<AcceptedChange> {
    let answer = client.send(Method::POST, CHANGES_PATH, request).await;
    if let Err(e) = &answer {
        print_advice(request, e);
    }
    answer
}

fn print_advice(request: &ChangeRequest<'_>, e: &CtlError) {
    if e.exit_code() == EXIT_UNKNOWN {
        let (id, expected) = (&request.id, request.expected);
        eprintln!("The change may have been accepted. Sending it again is safe:");
        eprintln!("  give the same command with --id {id} --expect {expected}");
    }
    let CtlError::Refused(refusal) = e else {
        return;
    };
    let Ok(Some(current)) =
        serde_json::from_value::<Option<EntryVersion>>(refusal.problem["current"].clone())
    else {
        return;
    };
    let name = request.op.name();
    eprintln!("Entry {name:?} is at revision {} now:", current.revision);
    let Some(entry) = &current.entry else {
        return eprintln!("  it is retired");
    };
    let sent = match request.op {
        Op::Put(sent) => Some(sent),
        Op::Retire(_) => None,
    };
    for field_change in plan::diff_entries(sent, Some(entry)) {
        eprintln!("  yours -> theirs  {field_change}");
    }
}
