//! Cases of the review that are scripts: each starts nodes and stand-ins on loopback addresses, brings about its
//! disruption unless `TROUBLE=0`, and judges what consumers and targets saw.
//!
//! Exit codes: 0 the rule held, 1 it was broken, 2 the case could not run.

mod client;
mod crashing;
mod http;
mod json;
mod large_body;
mod late_check_in;
mod lockout;
mod memory;
mod record;
mod site;
mod store;
mod target;

use std::process::ExitCode;
use std::sync::Arc;

use record::Record;

/// How a case ended.
pub enum Verdict {
    Held,
    Broken,
    NotRun,
}

fn main() -> ExitCode {
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = Arc::new(Record::new());
    let case = std::env::args().nth(1).unwrap_or_default();
    let verdict = match case.as_str() {
        "large-body" => large_body::run(&record, trouble),
        "memory" => memory::run(&record, trouble),
        "crashing" => crashing::run(&record, trouble),
        "late-check-in" => late_check_in::run(&record, trouble),
        "lockout" => lockout::run(&record, trouble),
        _ => Verdict::NotRun,
    };
    let (text, code) = match verdict {
        Verdict::Held => ("held", 0),
        Verdict::Broken => ("broken", 1),
        Verdict::NotRun => ("could not run", 2),
    };
    record.write(&format!("verdict: {text}, trouble={trouble}"));
    if let Ok(path) = std::env::var("RECORD") {
        record.save(&path);
    }
    ExitCode::from(code)
}
