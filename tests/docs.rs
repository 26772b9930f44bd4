//! Checks that docs/OPERATIONS.md documents every setting, metric, event, header, reason, command and admin path.

mod workdir;

use std::path::Path;

use dragonflyquay::request::reason::Reason;
use dragonflyquay::settings::Settings;
use workdir::{repo_file, Workdir};

/// Appends the text of all files in a folder and its subfolders.
fn read_sources(dir: &Path, out: &mut String) {
    for entry in std::fs::read_dir(dir).unwrap().map(Result::unwrap) {
        match entry.path() {
            p if p.is_dir() => read_sources(&p, out),
            p => out.push_str(&std::fs::read_to_string(p).unwrap()),
        }
    }
}

/// Distinct words in the sources that follow `prefix`. A word consists of the characters that `in_word` accepts.
fn find_words<F>(prefix: &str, in_word: F) -> Vec<String>
where
    F: Fn(char) -> bool,
{
    let mut text = String::new();
    read_sources(Path::new(&repo_file("src")), &mut text);
    let found = text.split(prefix).skip(1);
    let mut list: Vec<String> = found
        .map(|s| s.chars().take_while(|c| in_word(*c)).collect())
        .collect();
    list.sort();
    list.dedup();
    list.retain(|w| !w.is_empty());
    list
}

/// Appends a table row with the key and the default value for each setting.
fn setting_rows(prefix: &str, v: &serde_json::Value, out: &mut Vec<String>) {
    match v.as_object() {
        Some(map) => map
            .iter()
            .for_each(|(k, v)| setting_rows(&format!("{prefix}.{k}"), v, out)),
        None => {
            let text = v.as_str().map_or_else(|| v.to_string(), str::to_owned);
            out.push(format!(
                "| `{}` | `{text}` |",
                prefix.trim_start_matches('.')
            ));
        }
    }
}

/// Fails if the page lacks one of the texts. `kind` says what they document.
fn check_page(kind: &str, wanted: &[String]) {
    let page = std::fs::read_to_string(repo_file("docs/OPERATIONS.md")).unwrap();
    assert!(!wanted.is_empty(), "no {kind} found in the code");
    let missing: Vec<_> = wanted
        .iter()
        .filter(|w| !page.contains(w.as_str()))
        .collect();
    assert!(
        missing.is_empty(),
        "{kind} missing in docs/OPERATIONS.md: {missing:#?}"
    );
}

/// First cell of the table row that documents each name.
fn name_rows(list: &[String], prefix: &str) -> Vec<String> {
    list.iter().map(|w| format!("| `{prefix}{w}` |")).collect()
}

/// Guards against a setting that is not documented, or is documented with a wrong default.
#[test]
fn settings_are_documented() {
    let mut wanted = Vec::new();
    setting_rows(
        "",
        &serde_json::to_value(Settings::default()).unwrap(),
        &mut wanted,
    );
    check_page("settings", &wanted);
}

/// Guards against a metric that is not documented.
#[test]
fn metrics_are_documented() {
    let names = find_words("\"dq_", |c| c.is_ascii_lowercase() || c == '_');
    check_page("metrics", &name_rows(&names, "dq_"));
}

/// Guards against a log event that is not documented.
#[test]
fn events_are_documented() {
    let names = find_words("event=", |c| c.is_ascii_lowercase() || c == '_');
    check_page("log events", &name_rows(&names, ""));
}

/// Guards against an event written with `EventLog::event` that is not documented.
#[test]
fn sidecar_events_are_documented() {
    let mut text = String::new();
    read_sources(Path::new(&repo_file("src")), &mut text);
    text.retain(|c| !c.is_whitespace());
    let found = text.split(".event(\"").skip(1);
    let mut list: Vec<String> = found
        .filter_map(|s| s.split('"').next().map(str::to_owned))
        .collect();
    list.sort();
    list.dedup();
    check_page("sidecar events", &name_rows(&list, ""));
}

/// Guards against a header that is not documented.
#[test]
fn headers_are_documented() {
    let names = find_words("from_static(\"dq-", |c| c.is_ascii_lowercase() || c == '-');
    check_page("headers", &name_rows(&names, "dq-"));
}

/// Guards against a reason that is not documented, or that `Reason::ALL`, from which headers are parsed, lacks.
#[test]
fn reasons_are_documented() {
    let listed: Vec<_> = Reason::ALL.iter().map(|r| r.as_str().to_owned()).collect();
    check_page("reasons", &name_rows(&listed, ""));
    let text = std::fs::read_to_string(repo_file("src/request/reason.rs")).unwrap();
    let all = text.split("fn as_str").nth(2).unwrap();
    let body = &all[..all.find("\n    }\n").unwrap()];
    assert_eq!(body.matches("=> \"").count(), listed.len());
}

/// Guards against a command or an admin path that is not documented.
#[test]
fn commands_and_paths_are_documented() {
    let out = Workdir::new().run(&["--help"]);
    let help = String::from_utf8(out.stdout).unwrap();
    let list = help.lines().skip_while(|l| *l != "Commands:").skip(1);
    let names: Vec<_> = list
        .map_while(|l| l.split_whitespace().next())
        .map(str::to_owned)
        .collect();
    check_page("commands", &name_rows(&names, ""));
    let text = std::fs::read_to_string(repo_file("docs/admin-api.json")).unwrap();
    let api: serde_json::Value = serde_json::from_str(&text).unwrap();
    let paths: Vec<_> = api["paths"].as_object().unwrap().keys().cloned().collect();
    check_page("admin paths", &name_rows(&paths, ""));
}
