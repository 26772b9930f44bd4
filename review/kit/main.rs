//! Stand-ins and scripts of the review. Each case starts real node processes and checks one rule.
//!
//! Usage: kit CASE RECORD. Exit codes: 0 the rule held, 1 it was broken, 2 the case could not run.

mod case_crash;
mod case_drain;
mod case_reuse;
mod case_stop;
mod case_watchers;
mod http;
mod json;
mod site;
mod store;
mod target;

use std::panic::AssertUnwindSafe;
use std::time::Duration;

use case_watchers::Fault;
use site::Record;

/// Time after which a run is given up.
const MAX_RUN: Duration = Duration::from_secs(110);

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let (Some(case), Some(path)) = (args.get(1), args.get(2)) else {
        eprintln!("usage: kit CASE RECORD");
        std::process::exit(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |t| t != "0");
    std::thread::spawn(|| {
        std::thread::sleep(MAX_RUN);
        eprintln!("the run takes too long");
        site::end_processes();
        std::process::exit(2);
    });
    let record = Record::create(path);
    record.say(&format!(
        "case {case}, trouble {}",
        if trouble { "on" } else { "off" }
    ));
    let result = std::panic::catch_unwind(AssertUnwindSafe(|| match case.as_str() {
        "stop" => case_stop::run(&record, trouble),
        "watchers" => case_watchers::run(&record, trouble, Fault::Power),
        "store-path" => case_watchers::run(&record, trouble, Fault::StorePath),
        "reuse" => case_reuse::run(&record, trouble),
        "drain" => case_drain::run(&record, trouble),
        "crash" => case_crash::run(&record, trouble),
        _ => panic!("unknown case {case}"),
    }));
    site::end_processes();
    let code = match result {
        Ok(true) => 1,
        Ok(false) => 0,
        Err(_) => 2,
    };
    record.say(
        [
            "the rule held",
            "THE RULE WAS BROKEN",
            "the case could not run",
        ][code as usize],
    );
    std::process::exit(code);
}
