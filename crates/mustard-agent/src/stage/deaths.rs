//! Attributes a death of the engine to the requests that were running on it.
//!
//! Any of their contents may have killed the engine, so all of them are suspects.

use std::time::Duration;

use mustard_core::clock::Moment;
use mustard_core::collections::Set;
use mustard_core::fingerprint::Fingerprint;

/// A failure within this time after a death counts as the same death only if its content is among
/// that death's suspects.
const SAME_DEATH_WINDOW: Duration = Duration::from_secs(1);
/// The maximum number of suspects in one refusal, 16 bytes each; engines batch fewer requests.
const MAX_SUSPECTS: usize = 512;

/// The latest death of the engine and the request contents that were running on it.
///
/// Every step that fails with a death reports it, one after the other. The set of suspects is
/// taken at the first report and kept for the later ones, when some of the steps have ended.
#[derive(Debug, Default)]
pub struct EngineDeaths {
    died_at: Option<Moment>,
    suspects: Set<Fingerprint>,
}

impl EngineDeaths {
    /// Records that a step of the content `failed` lost its engine while `running` ran there.
    ///
    /// Returns the distinct contents that ran when the engine died (`failed` first, at most
    /// `MAX_SUSPECTS`) and whether this is the first report of that death.
    pub fn record_failure(
        &mut self,
        failed: Fingerprint,
        running: &[Fingerprint],
        now: Moment,
    ) -> (Vec<Fingerprint>, bool) {
        let recent = self
            .died_at
            .is_some_and(|at| now.since(at) < SAME_DEATH_WINDOW);
        let first_report = !(recent && self.suspects.contains(&failed));
        if first_report {
            self.died_at = Some(now);
            self.suspects = running.iter().copied().collect();
            self.suspects.insert(failed);
        }
        let others = self.suspects.iter().copied().filter(|f| *f != failed);
        let contents = [failed].into_iter().chain(others);
        (contents.take(MAX_SUSPECTS).collect(), first_report)
    }
}
