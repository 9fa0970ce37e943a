//! Parsing of callers' input, and outcomes and keys in the API's errors.
#![allow(clippy::unwrap_used)]

use std::time::Duration;

use bolero::{TypeGenerator, check};

use mustard_core::catalogue::{Catalogue, Entry, EntryVersion, Limits, Snapshot, Target};
use mustard_core::clock::Moment;
use mustard_core::fingerprint::{Fingerprint, KeyHash};
use mustard_core::ids::{Revision, Seq};
use mustard_core::outcome::Outcome;
use mustard_core::tokens;
use mustard_entry::api::draft::{DraftBody, deadline_ms};
use mustard_entry::api::services::check_idempotency_key;
use mustard_entry::api::{ApiError, auth};
use mustard_entry::driver::{DriveError, DriveFailure};
use mustard_entry::suspects::Suspects;
use mustard_policy::quarantine::Standing;
use mustard_proto::{Execution, Refusal};

/// Parsers of callers' input do not panic on any bytes.
#[test]
fn parse_any_bytes() {
    check!()
        .with_type::<Vec<u8>>()
        .with_iterations(2_000)
        .for_each(|bytes| {
            let _ = DraftBody::parse(bytes);
            let _ = check_idempotency_key(bytes);
            let _ = auth::parse_bearer(&String::from_utf8_lossy(bytes));
        });
}

#[derive(Clone, Debug, TypeGenerator)]
struct DraftFields {
    ids: Vec<u32>,
    words: bool,
    max_tokens: Option<u32>,
    deadline: Option<u64>,
}

/// Values that are accepted are within the limits.
#[test]
fn parse_fields() {
    check!()
        .with_type::<DraftFields>()
        .with_iterations(2_000)
        .for_each(|fields| {
            let prompt = match fields.words {
                true => serde_json::json!("a cat".repeat(fields.ids.len())),
                false => serde_json::json!(fields.ids),
            };
            let body = serde_json::json!({
                "model": "m", "prompt": prompt, "max_tokens": fields.max_tokens,
                "deadline_ms": fields.deadline,
            });
            let parsed = DraftBody::parse(body.to_string().as_bytes()).unwrap();
            let limits = Limits::default();
            if let Ok(ids) = parsed.token_ids(16) {
                assert!(!ids.is_empty() && ids.len() <= 16);
                assert!(ids.iter().all(|id| *id < tokens::VOCABULARY_SIZE));
            }
            if let Ok(wanted) = parsed.tokens_to_generate(&limits) {
                assert!((1..=limits.max_tokens).contains(&wanted));
            }
            if let Ok(ms) = deadline_ms(parsed.deadline_ms, 1_000, &limits) {
                assert!((1..=limits.deadline_ms).contains(&ms));
            }
        });
}

#[test]
fn parse_wrong_types() {
    for body in [
        r#"{"model": 3, "prompt": "x"}"#,
        r#"{"model": "m", "prompt": {"a": 1}}"#,
        r#"{"model": "m", "prompt": [1, "x"]}"#,
        r#"{"model": "m", "prompt": "x", "max_tokens": -1}"#,
        r#"{"model": "m", "prompt": "x", "stream": "yes"}"#,
        r#"{"model": "m"}"#,
        "",
        "[",
    ] {
        let error = DraftBody::parse(body.as_bytes()).unwrap_err();
        assert_eq!(error.problem_fields().status, 400, "{body}");
    }
}

/// A failed draft is reported as not run only if no stage may have run it, and as partial if
/// tokens were delivered.
#[test]
fn from_failed_outcomes() {
    let causes = [
        DriveError::Deadline,
        DriveError::StaleCatalogue,
        DriveError::Revoked,
        DriveError::Budget { last: None },
        DriveError::Quarantined { last: None },
        DriveError::Refused(Refusal::Quarantined),
        DriveError::Exhausted {
            attempts: 3,
            last: None,
        },
    ];
    for cause in causes {
        for (execution, delivered, outcome) in [
            (Execution::No, 0, Outcome::NotRun),
            (Execution::Maybe, 0, Outcome::Unknown),
            (Execution::Maybe, 2, Outcome::Partial),
        ] {
            let failure = DriveFailure {
                cause: cause.clone(),
                execution,
                delivered,
            };
            let problem_fields = ApiError::from(failure).problem_fields();
            assert_eq!(problem_fields.outcome, outcome, "{cause:?}");
            assert_eq!(problem_fields.status == 504, outcome == Outcome::Unknown);
            assert_eq!(problem_fields.status == 502, outcome == Outcome::Partial);
        }
    }
}

fn entry(name: &str, key: &str) -> Entry {
    Entry {
        name: name.to_owned(),
        owner: name.to_owned(),
        class: mustard_core::catalogue::Class::Interactive,
        target: Target::Model {
            model: format!("{name}-model"),
            layers: 4,
        },
        limits: Limits::default(),
        keys: vec![KeyHash::of(key)],
    }
}

#[test]
fn authorize_keys() {
    let mut snapshot = Snapshot {
        seq: Seq(2),
        ..Snapshot::default()
    };
    for (name, key) in [("a", "ka"), ("b", "kb")] {
        let version = EntryVersion {
            revision: Revision(1),
            seq: Seq(1),
            entry: Some(entry(name, key)),
        };
        snapshot.entries.insert(name.to_owned(), version);
    }
    let catalogue = Catalogue::from_snapshot(snapshot);
    let authorize = |key: &str, name: &str| {
        auth::authorize(&catalogue, &KeyHash::of(key), name)
            .map(|e| e.name)
            .map_err(|e| e.problem_fields().kind)
    };
    assert_eq!(authorize("ka", "a"), Ok("a".to_owned()));
    assert_eq!(authorize("kb", "b-model"), Ok("b".to_owned()));
    assert_eq!(authorize("ka", "b"), Err("foreign-key"));
    assert_eq!(authorize("ka", "c"), Err("unknown-entry"));
    assert_eq!(authorize("kc", "a"), Err("no-key"));
}

#[test]
fn find_operator_keys() {
    let operators = vec![("anna".to_owned(), KeyHash::of("k"))];
    assert_eq!(
        auth::find_operator(&operators, &KeyHash::of("k")),
        Some("anna")
    );
    assert_eq!(auth::find_operator(&operators, &KeyHash::of("x")), None);
}

/// A content that kills every server that runs it is quarantined at the second death; contents
/// that shared only the first batch with it, from this process or another, remain suspects.
#[test]
fn died_shared_batch() {
    let suspects = std::sync::Arc::new(Suspects::default());
    let (guilty, innocent, foreign) = (Fingerprint(1), Fingerprint(2), Fingerprint(3));
    let now = Moment::from_millis(1_000);
    let strikes = suspects.record_death(now, "a", &[guilty, innocent, foreign]);
    assert!(strikes.len() == 3 && strikes.iter().all(|s| s.shared == 3));
    assert!(suspects.record_strikes(now, &strikes).is_empty());
    assert!(
        suspects
            .record_death(now, "a", &[guilty, innocent])
            .is_empty(),
        "one death counts once"
    );
    let later = now + Duration::from_secs(5);
    let strikes = suspects.record_death(later, "b", &[guilty]);
    assert_eq!(suspects.record_strikes(later, &strikes), vec![guilty]);
    assert!(matches!(
        suspects.standing(later, guilty),
        Standing::Quarantined(_)
    ));
    for content in [innocent, foreign] {
        assert_eq!(suspects.standing(later, content), Standing::Suspect);
    }
}
