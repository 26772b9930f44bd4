//! Cases of the third review. `kit CASE FOLDER` plays a case and writes `record.txt` into its folder.
//!
//! Exit codes: 1 the rule was broken, 0 it held, 2 the case could not run.
#![allow(dead_code, clippy::too_many_arguments)]

mod crowd;
mod http;
mod json;
mod record;
mod site;
mod store;
mod target;

#[path = "../11/case.rs"]
mod case_11;
#[path = "../12/case.rs"]
mod case_12;
#[path = "../13/case.rs"]
mod case_13;
#[path = "../14/case.rs"]
mod case_14;

use std::path::Path;
use std::process::exit;
use std::sync::Arc;
use std::time::Duration;

use record::Record;

/// Result of a case.
pub enum Verdict {
    Held,
    Broken,
    /// The case could not run; the reason.
    Failed(String),
}

/// Longest time of a case.
const MAX_TIME: Duration = Duration::from_secs(112);

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let [_, case, folder] = &args[..] else {
        eprintln!("usage: kit CASE FOLDER");
        exit(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |v| v != "0");
    let record = match Record::create(&Path::new(folder).join("record.txt")) {
        Ok(r) => Arc::new(r),
        Err(e) => {
            eprintln!("record.txt: {e}");
            exit(2);
        }
    };
    std::thread::spawn(|| {
        std::thread::sleep(MAX_TIME);
        eprintln!("the case takes too long");
        site::end_all();
        exit(2);
    });
    std::panic::set_hook(Box::new(|info| {
        eprintln!("{info}");
        site::end_all();
        exit(2);
    }));
    record.say(if trouble { "with the disruption" } else { "without the disruption" });
    let verdict = match case.as_str() {
        "11" => case_11::play(&record, trouble),
        "12" => case_12::play(&record, trouble),
        "13" => case_13::play(&record, trouble),
        "14" => case_14::play(&record, trouble),
        other => Verdict::Failed(format!("there is no case {other}")),
    };
    site::end_all();
    let code = match verdict {
        Verdict::Broken => {
            record.say("the rule was broken");
            1
        }
        Verdict::Held => {
            record.say("the rule held");
            0
        }
        Verdict::Failed(why) => {
            record.say(&format!("the case could not run: {why}"));
            2
        }
    };
    exit(code);
}
