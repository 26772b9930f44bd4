//! Validation of manifests, settings and snapshots, and the choice of a route.

mod property;
mod workdir;

use std::net::SocketAddr;

use dragonflyquay::digest::Digest;
use dragonflyquay::settings::{self, Settings};
use dragonflyquay::version::manifest::{self, Manifest, Resource};
use dragonflyquay::version::snapshot::{canonical, Snapshot, VersionRef};
use dragonflyquay::version::validate::validate;
use property::run;
use proptest::collection::vec;
use proptest::prelude::*;
use workdir::{repo_file, Workdir};

fn example(name: &str) -> String {
    std::fs::read_to_string(repo_file(&format!("examples/{name}"))).unwrap()
}

fn trust_manifest() -> Manifest {
    manifest::parse(&example("trust.toml")).unwrap()
}

fn decode(content: Vec<u8>) -> Option<Snapshot> {
    let version = VersionRef {
        number: 1,
        hash: Digest::of(&content),
    };
    Snapshot::decode(version, Digest::default(), content).ok()
}

/// Guards against example files that are not valid.
#[test]
fn examples_are_valid() {
    for site in ["trust", "leiloes"] {
        let m = manifest::parse(&example(&format!("{site}.toml"))).unwrap();
        let s = settings::parse(&example(&format!("{site}-node.toml"))).unwrap();
        assert_eq!((m.site.as_str(), s.node.site.as_str()), (site, site));
    }
    assert_eq!(settings::parse("").unwrap(), Settings::default());
}

const WRONG_VALUES: &str = r#"
site = "no good"
rank = [{ name = "a", order = 0, min_share_percent = 70 }, { name = "a", order = 0, min_share_percent = 70 }]
[[service]]
name = "s"
[[service]]
name = "s"
[[resource]]
kind = "header-set"
name = "h"
headers = { "X-Up" = "v", connection = "close", "bad name" = "v", x-ok = "line\nbreak", dq-rank = "v" }
[[resource]]
kind = "header-set"
name = "i"
headers = { x-ok = "v" }
[[resource]]
kind = "caller-limit"
name = "none"
concurrent = 0
[[resource]]
kind = "header-set"
name = "none"
[[route]]
name = "r"
method = "get"
path = "a/*/b"
service = "missing"
rank = "missing"
deadline_ms = 0
retries = 200
resources = ["missing", "h", "h", "i"]
[[route]]
method = "GET"
path = "/same/*"
host = "UPPER"
service = "s"
rank = "a"
deadline_ms = 4000000
[[route]]
name = "r"
method = "GET"
path = "/same/*"
host = "UPPER"
service = "s"
rank = "a"
deadline_ms = 1
[[route]]
name = "reserved"
method = "GET"
path = "/.dq/key"
service = "s"
rank = "a"
deadline_ms = 1
"#;

const WRONG_TYPES: &str = r#"
site = 5
colour = "red"
[[rank]]
name = "a"
order = -1
min_share = 5
[[resource]]
kind = "header-sets"
name = "h"
[[resource]]
name = "h"
headers = { x = 1, y = "ok", z = true }
[[resource]]
kind = "caller-limit"
concurrent = "many"
burst = 4
[[route]]
deadline_ms = "1s"
idempotent = "yes"
retries = 300
resources = ["ok", 5, false]
[route_defaults]
rank = "a"
"#;

const WRONG_SYNTAX: &str =
    "site = \"a\"\nsite = \"b\"\n[[rank]]\nname = \nname = \"x\"\norder = 1\norder = 2\n[rank\n";

const SETTINGS_WRONG_VALUES: &str = r#"
[node]
id = "a b"
threads = 0
[listen]
caller = "0.0.0.0:1"
relay = "127.0.0.1:7402"
admin = "127.0.0.1:7402"
[peers]
seeds = ["127.0.0.1:0", "127.0.0.1:9", "127.0.0.1:9"]
[store]
timeout_ms = 5000000
[limits]
headers = 0
"#;

const SETTINGS_WRONG_TYPES: &str = r#"
[node]
nmae = "x"
threads = "two"
[listen]
caller = "localhost:1"
peer = 5
[store]
timeout = 5
timeout_ms = -1
[policy]
balance = "best"
queue = "none"
[extra]
x = 1
"#;

/// Guards against a problem that is hidden by another one, or that is reported without location or hint.
#[test]
fn every_problem_is_found() {
    let manifest = |t: &str| manifest::parse(t).unwrap_err().to_string();
    let settings = |t: &str| settings::parse(t).unwrap_err().to_string();
    insta::assert_snapshot!("manifest_dangling", manifest(WRONG_VALUES));
    insta::assert_snapshot!("manifest_types", manifest(WRONG_TYPES));
    insta::assert_snapshot!("manifest_syntax", manifest(WRONG_SYNTAX));
    insta::assert_snapshot!("settings_values", settings(SETTINGS_WRONG_VALUES));
    insta::assert_snapshot!("settings_types", settings(SETTINGS_WRONG_TYPES));
}

/// Guards against findings without the file name, and wrong exit codes of `check`.
#[test]
fn check_command() {
    let dir = Workdir::new();
    dir.write("bad.toml", "site = \"a\"\n[[rank]]\nname = \"x y\"\n");
    let out = dir.run(&["check", "bad.toml"]);
    assert_eq!(out.status.code(), Some(3));
    insta::assert_snapshot!("check_bad", String::from_utf8(out.stderr).unwrap());
    let out = dir.run(&["check", "absent.toml"]);
    assert_eq!(out.status.code(), Some(1));
    assert!(String::from_utf8(out.stderr)
        .unwrap()
        .contains("absent.toml: "));
    let out = dir.run(&["check", &repo_file("examples/trust.toml")]);
    assert_eq!(out.status.code(), Some(0));
}

/// Manifests made from a valid one by up to three changes; about half of them are invalid.
fn manifests() -> impl Strategy<Value = Manifest> {
    vec((0u8..10, any::<u8>()), 0..4).prop_map(|changes| {
        let mut m = trust_manifest();
        for (kind, pick) in changes {
            let pick = pick as usize;
            let (r, s) = (pick % m.route.len(), pick % m.service.len().max(1));
            match kind {
                0 if !m.service.is_empty() => drop(m.service.remove(s)),
                1 if !m.rank.is_empty() => drop(m.rank.remove(pick % m.rank.len())),
                2 if !m.resource.is_empty() => drop(m.resource.remove(pick % m.resource.len())),
                3 => m.route[r].resources.push("none".into()),
                4 => m.route[r].service = "none".into(),
                5 => m.route.push(m.route[r].clone()),
                6 => m.route[r].path = "/other/*".into(),
                7 => m.route[r].deadline_ms = 0,
                8 => m.service.push(Default::default()),
                _ => m.route[r].retries = 1,
            }
        }
        m
    })
}

/// Guards against a snapshot with a dangling reference, and against content that passes validation but not decoding or
/// the other way round.
#[test]
fn snapshot_has_no_dangling_reference() {
    run(500, &manifests(), |m| {
        let snapshot = decode(canonical(&m));
        prop_assert_eq!(snapshot.is_some(), validate(&m).is_ok());
        let Some(s) = snapshot else {
            return Ok(());
        };
        let m = &s.manifest;
        for r in &m.route {
            prop_assert!(m.service.iter().any(|x| x.name == r.service));
            prop_assert!(m.rank.iter().any(|x| x.name == r.rank));
            prop_assert!(r.resources.iter().all(|x| s.resource(x).is_some()));
        }
        Ok(())
    });
}

/// Guards against a decoder that panics on arbitrary input or accepts content that is not in canonical form.
#[test]
fn arbitrary_input_does_not_panic() {
    let source = example("trust.toml").into_bytes();
    let content = canonical(&trust_manifest());
    run(
        400,
        &(any::<usize>(), vec(any::<u8>(), 0..6), 0usize..6),
        |(offset, inserted, removed)| {
            for (kind, text) in [&source, &content].into_iter().enumerate() {
                let mut text = text.clone();
                let offset = offset % text.len();
                let end = (offset + removed).min(text.len());
                text.splice(offset..end, inserted.clone());
                if kind == 1 {
                    if let Some(s) = decode(text.clone()) {
                        prop_assert_eq!(canonical(&s.manifest), text);
                    }
                } else if let Ok(text) = String::from_utf8(text) {
                    prop_assert!(manifest::parse(&text).map_or(true, |m| validate(&m).is_ok()));
                    let _ = settings::parse(&text);
                }
            }
            Ok(())
        },
    );
    run(400, &"[a-z\\[\\]{}=.,\" \n#0-9]{0,200}", |text| {
        let _ = (manifest::parse(&text), settings::parse(&text));
        Ok(())
    });
    let deep = format!("a = {}1{}", "[".repeat(5000), "]".repeat(5000));
    assert!(manifest::parse(&deep).is_err());
}

/// Guards against a request that matches a less specific route although a more specific one exists.
#[test]
fn most_specific_route_is_found() {
    let mut m = trust_manifest();
    let base = m.route[0].clone();
    let route = |name: &str, path: &str, host: Option<&str>| manifest::Route {
        name: name.into(),
        path: path.into(),
        host: host.map(Into::into),
        ..base.clone()
    };
    m.route = vec![
        route("all", "/*", None),
        route("tree", "/a/*", None),
        route("root", "/a/", None),
        route("leaf", "/a/b", None),
        route("host", "/*", Some("h")),
    ];
    let s = decode(canonical(&m)).unwrap();
    for (host, path, name) in [
        ("x", "/z", Some("all")),
        ("x", "/a/c", Some("tree")),
        ("x", "/a/", Some("root")),
        ("x", "/a/b", Some("leaf")),
        ("x", "/a", Some("all")),
        ("h", "/a/b", Some("host")),
        ("x", "", None),
    ] {
        let found = s.route("GET", host, path).map(|r| r.name.as_str());
        assert_eq!(found, name, "{host} {path}");
    }
}

/// Guards against valid but uncommon values that are rejected: values at a limit, a host with a port, and port 0 for
/// several listeners.
#[test]
fn limits_are_inclusive() {
    let mut m = trust_manifest();
    m.resource.push(Resource::CallerLimit {
        name: "x".repeat(63).into(),
        concurrent: 1,
    });
    m.route[0].deadline_ms = 3_600_000;
    m.route[0].path = "/*".into();
    m.route[0].host = Some("a.example:80".into());
    m.route[1].path = format!("/{}", "p".repeat(1023)).into();
    assert_eq!(validate(&m), Ok(()));
    let mut s = Settings::default();
    s.listen.caller = SocketAddr::from(([127, 0, 0, 1], 0));
    s.listen.admin = s.listen.caller;
    assert_eq!(settings::validate(&s), Ok(()));
}
