//! Attributes a death of the engine to the requests that it ran.

use std::time::Duration;

use mustard_core::clock::Moment;
use mustard_core::collections::Set;
use mustard_core::fingerprint::Fingerprint;

const SAME_DEATH: Duration = Duration::from_secs(1);
/// The most contents named in one refusal, 16 bytes each: more than the engines batch at once.
const MAX_REPORTED: usize = 512;

/// The newest death of the engine and the request contents that ran there.
///
/// The steps that break with a death report it one after the other, so the set is taken once and
/// holds for all of them.
#[derive(Debug, Default)]
pub struct Deaths {
    at: Option<Moment>,
    suspects: Set<Fingerprint>,
}

impl Deaths {
    /// Records that a step of the given content broke while the contents in `running` ran.
    ///
    /// Returns the different contents that ran when the engine died, the broken one first and
    /// `MAX_REPORTED` at most, and whether this is the first report of that death.
    pub fn report(
        &mut self,
        broken: Fingerprint,
        running: &[Fingerprint],
        now: Moment,
    ) -> (Vec<Fingerprint>, bool) {
        let known = self.at.is_some_and(|at| now.since(at) < SAME_DEATH);
        let first = !(known && self.suspects.contains(&broken));
        if first {
            self.at = Some(now);
            self.suspects = running.iter().copied().collect();
            self.suspects.insert(broken);
        }
        let others = self.suspects.iter().copied().filter(|f| *f != broken);
        let contents = [broken].into_iter().chain(others);
        (contents.take(MAX_REPORTED).collect(), first)
    }
}
