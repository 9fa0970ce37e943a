//! The cases of the second review that are scripts; the argument is the number of the case, the second one the
//! folder for its record. `TROUBLE=0` leaves out the disruption.

mod crashing;
mod json;
mod net;
mod poison_query;
mod poison_release;
mod refused_body;
mod site;
mod stop_large_answer;
mod store;
mod unframed_reset;

use std::path::PathBuf;
use std::time::Duration;

use site::{Record, Verdict};

fn main() {
    let mut args = std::env::args().skip(1);
    let case = args.next().unwrap_or_default();
    let folder = PathBuf::from(args.next().unwrap_or_else(|| ".".to_owned()));
    let trouble = std::env::var("TROUBLE").map_or(true, |v| v != "0");
    let record = Record::new(folder.join("record.txt"));
    site::end_after(Duration::from_secs(110));
    let result = match case.as_str() {
        "unframed-reset" => unframed_reset::run(&record, trouble),
        "stop-large-answer" => stop_large_answer::run(&record, trouble),
        "poison-query" => poison_query::run(&record, trouble),
        "poison-release" => poison_release::run(&record, trouble),
        "refused-body" => refused_body::run(&record, trouble),
        other => Err(format!("no case {other:?}")),
    };
    let verdict = result.unwrap_or_else(Verdict::NotRun);
    std::process::exit(record.finish(verdict));
}
