//! Commit protocol: no accepted version is lost, created twice or left without its content.

mod property;
mod workdir;

use std::sync::Arc;

use dragonflyquay::digest::Digest;
use dragonflyquay::store::faults::{Faults, FaultyStore};
use dragonflyquay::store::{Revision, Store, StoreError, Swap, MAX_VALUE_BYTES};
use dragonflyquay::version::gc::{remove_old_content, BATCH_VERSIONS, KEPT_VERSIONS};
use dragonflyquay::version::manifest::{self, Manifest, Route, Service};
use dragonflyquay::version::publish::*;
use dragonflyquay::version::snapshot::{canonical, Snapshot, VersionRef};
use property::run;
use proptest::collection::vec;
use proptest::prelude::*;
use workdir::{http_json, repo_file, Workdir};

const SITE: &str = "trust";

fn trust_manifest() -> Manifest {
    let text = std::fs::read_to_string(repo_file("examples/trust.toml")).unwrap();
    manifest::parse(&text).unwrap()
}

/// Valid content that is different for each `n`.
fn content(n: u64) -> Vec<u8> {
    let mut m = trust_manifest();
    m.route[0].deadline_ms = 1000 + n as u32;
    canonical(&m)
}

fn block_on<F: std::future::Future>(f: F) -> F::Output {
    tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap()
        .block_on(f)
}

async fn accept(s: &FaultyStore, base: u64, n: u64) -> VersionRef {
    match commit(s, SITE, base, &content(n)).await {
        Ok(Outcome::Accepted(v)) => v,
        out => panic!("{base} {n}: {out:?}"),
    }
}

/// Reads the head and checks that the head and all kept versions have their content and form a chain of parents.
async fn check_store(s: &FaultyStore) -> Head {
    let keys = StoreKeys::new(SITE);
    let s: &dyn Store = s.inner().as_ref();
    let (head, _) = read_head(s, &keys).await.unwrap();
    let mut next: Option<Head> = None;
    for n in (1..=head.version.number)
        .rev()
        .take(1 + KEPT_VERSIONS as usize)
    {
        let h = read_accepted(s, &keys, &head, n).await.unwrap().unwrap();
        assert_eq!(h.version.number, n);
        read_content(s, &keys, &h).await.unwrap();
        if let Some(next) = next {
            assert_eq!(next.parent, h.version.hash, "chain at {n}");
        }
        next = Some(h);
    }
    head
}

/// Guards against a rerun that creates a second version, or that does not find its own commit below later ones.
#[tokio::test]
async fn rerun_finds_its_commit() {
    let s = FaultyStore::default();
    let first = accept(&s, 0, 1).await;
    assert_eq!(accept(&s, 0, 1).await, first);
    let second = accept(&s, 1, 2).await;
    accept(&s, 2, 3).await;
    assert_eq!(accept(&s, 0, 1).await, first);
    assert_eq!(accept(&s, 1, 2).await, second);
    let head = check_store(&s).await.version;
    assert_eq!(head.number, 3);
    let losing = commit(&s, SITE, 1, &content(9)).await;
    let winner = commit_id(SITE, first, &second.hash);
    let expected = Outcome::Conflict {
        head,
        winner: Some(winner),
    };
    assert_eq!(losing, Ok(expected));
}

/// Guards against store writes by a commit that cannot be accepted or whose content is invalid.
#[tokio::test]
async fn impossible_commits_write_nothing() {
    let s = FaultyStore::default();
    accept(&s, 0, 1).await;
    let before = s.list("").await.unwrap();
    for base in [2, u64::MAX - 1, u64::MAX] {
        let out = commit(&s, SITE, base, &content(2)).await;
        assert!(matches!(out, Ok(Outcome::Conflict { winner: None, .. })));
    }
    let mut dangling = trust_manifest();
    dangling.service.pop();
    let out = commit(&s, SITE, 1, &canonical(&dangling)).await;
    assert!(matches!(out, Err(StoreError::Invalid(_))));
    assert_eq!(s.list("").await.unwrap(), before);
}

/// Guards against an accepted version that is lost or created twice when a write fails, for each write of a commit.
#[tokio::test]
async fn failed_write_is_recovered() {
    let f = Faults::default;
    // A commit on a base writes a chunk, the record of the base and the head.
    for skip_writes in 0..4 {
        #[rustfmt::skip]
        let cases = [
            (Faults { skip_writes, refuse_writes: 1, ..f() }, "accepted"),
            (Faults { skip_writes, lose_writes: 1, ..f() }, "accepted"),
            // The process stops before a write, or after a write took effect.
            (Faults { skip_writes, refuse_writes: 1000, ..f() }, "unavailable"),
            (Faults { skip_writes, lose_writes: 1, down_after_loss: true, ..f() }, "unavailable"),
        ];
        for (faults, result) in cases {
            let s = FaultyStore::default();
            accept(&s, 0, 1).await;
            *s.faults() = faults.clone();
            let out = commit(&s, SITE, 1, &content(2)).await;
            let expected = match (skip_writes, faults.down_after_loss) {
                (2, true) => "unknown",
                (3, _) => "accepted",
                _ => result,
            };
            let got = out.as_ref().map_or_else(|e| e.as_str(), |_| "accepted");
            assert_eq!(got, expected, "{faults:?} {out:?}");
            *s.faults() = f();
            check_store(&s).await;
            let v = accept(&s, 1, 2).await;
            assert_eq!(v.number, 2, "{faults:?}");
            assert_eq!(check_store(&s).await.version, v, "{faults:?}");
        }
    }
}

/// Guards against a commit that reports "nothing accepted" although it moved the head.
#[tokio::test]
async fn lost_head_write_is_unknown() {
    let s = FaultyStore::default();
    accept(&s, 0, 1).await;
    s.faults().skip_writes = 2;
    s.faults().lose_writes = 1;
    s.faults().down_after_loss = true;
    let out = commit(&s, SITE, 1, &content(2)).await;
    assert!(matches!(out, Err(StoreError::Unknown(_))), "{out:?}");
    *s.faults() = Faults::default();
    assert_eq!(accept(&s, 1, 2).await.number, 2);
    assert_eq!(check_store(&s).await.version.number, 2);
}

/// Guards against concurrent commits on the same base that are both accepted, with a store that is slow or loses
/// responses to writes.
#[test]
fn racing_commits_have_one_winner() {
    let steps = vec((0u64..4, 0u64..3, 0u64..3), 1..5);
    run(40, &(steps, 0u64..2), |(steps, slow)| {
        block_on(async {
            let s = Arc::new(FaultyStore::default());
            for (base, (skip, lose, pick)) in steps.into_iter().enumerate() {
                let base = base as u64;
                *s.faults() = Faults {
                    skip_writes: skip,
                    lose_writes: lose,
                    slow_ms: slow,
                    ..Faults::default()
                };
                // In about a third of the steps, the three commits have the same content.
                let tasks = (0..3).map(|i| {
                    let s = s.clone();
                    let n = 10 * base + if pick == 0 { 0 } else { i };
                    tokio::spawn(
                        async move { (n, commit(s.as_ref(), SITE, base, &content(n)).await) },
                    )
                });
                let mut accepted = Vec::new();
                for r in tasks.collect::<Vec<_>>() {
                    match r.await.unwrap() {
                        (n, Ok(Outcome::Accepted(v))) => {
                            assert_eq!(v.number, base + 1);
                            accepted.push(n);
                        }
                        (_, Ok(Outcome::Conflict { winner, .. })) => assert!(winner.is_some()),
                        (_, Err(e)) => panic!("{e}"),
                    }
                }
                accepted.dedup();
                assert_eq!(accepted.len(), 1);
                *s.faults() = Faults::default();
                let head = check_store(&s).await;
                assert_eq!(head.version.hash, Digest::of(&content(accepted[0])));
            }
        });
        Ok(())
    });
}

/// Guards against a removal of content that is in use, also when the removal is interrupted at any write or the removed
/// content is committed again.
#[tokio::test]
async fn removal_keeps_referenced_content() {
    let last = KEPT_VERSIONS + BATCH_VERSIONS + 1;
    for skip in [0, 1, 2, 3, 5, 8, 13, 1000] {
        let s = FaultyStore::default();
        for n in 0..last {
            // Version 3 has the content of the newest one.
            let n = if n == 2 { last - 1 } else { n };
            accept(&s, head_number(&s).await, n).await;
        }
        s.faults().skip_writes = skip;
        s.faults().refuse_writes = 1;
        let out = remove_old_content(&s, SITE).await;
        assert_eq!(out.is_err(), skip < 1000, "{skip}: {out:?}");
        *s.faults() = Faults::default();
        let head = check_store(&s).await;
        assert_eq!(head.version.number, last);
        // Content whose removal was interrupted is committed again.
        accept(&s, last, 0).await;
        accept(&s, last + 1, 1).await;
        check_store(&s).await;
        remove_old_content(&s, SITE).await.unwrap();
        assert_eq!(check_store(&s).await.version.number, last + 2);
        let chunks = s.list("dq/trust/content/").await.unwrap().entries.len() as u64;
        assert_eq!(chunks, KEPT_VERSIONS + 3, "{skip}");
        let removals = s.list("dq/trust/removal/").await.unwrap().entries;
        assert!(removals.is_empty(), "{skip}: {removals:?}");
    }
}

async fn head_number(s: &FaultyStore) -> u64 {
    read_head(s, &StoreKeys::new(SITE))
        .await
        .unwrap()
        .0
        .version
        .number
}

/// Guards against an accepted version that is lost with the newer state of a restored store, and against a version that
/// replaces a newer head when it is published again.
#[tokio::test]
async fn restored_store_gets_the_lost_version() {
    let keys = StoreKeys::new(SITE);
    let s = FaultyStore::default();
    accept(&s, 0, 1).await;
    s.save();
    accept(&s, 1, 2).await;
    accept(&s, 2, 3).await;
    let head = check_store(&s).await;
    let held = read_content(&s, &keys, &head).await.unwrap();
    assert_eq!(republish(&s, SITE, &held).await, Ok(Republication::Present));
    s.restore();
    s.faults().lose_writes = 1;
    assert!(republish(&s, SITE, &held).await.is_err());
    assert_eq!(
        republish(&s, SITE, &held).await,
        Ok(Republication::Published)
    );
    let (restored, _) = read_head(&s, &keys).await.unwrap();
    assert_eq!(restored, head);
    assert_eq!(
        accept(&s, 2, 3).await,
        head.version,
        "the rerun did not find its commit"
    );
    accept(&s, 3, 4).await;
    let newer = republish(&s, SITE, &held).await;
    assert!(matches!(newer, Ok(Republication::Newer(v)) if v.number == 4));
    s.restore();
    let second = accept(&s, 1, 7).await;
    assert_eq!(second.number, 2);
    let fork = accept(&s, 2, 8).await;
    assert_eq!(
        republish(&s, SITE, &held).await,
        Ok(Republication::Fork(fork))
    );
    s.restore();
    accept(&s, 1, 7).await;
    assert_eq!(
        republish(&s, SITE, &held).await,
        Ok(Republication::Published)
    );
    let replaced = commit(&s, SITE, 1, &content(7)).await;
    assert!(
        matches!(replaced, Ok(Outcome::Conflict { .. })),
        "{replaced:?}"
    );
}

/// Guards against a watcher that reads the head in a busy loop because the head's revision is older than the history of
/// the store.
#[tokio::test]
async fn old_head_can_be_watched() {
    let s = FaultyStore::default();
    accept(&s, 0, 1).await;
    for i in 0..5000 {
        s.swap(&format!("other/{i}"), Revision::ABSENT, None, None)
            .await
            .unwrap();
    }
    let keys = StoreKeys::new(SITE);
    let (head, from) = read_head_for_watch(&s, &keys).await.unwrap();
    assert_eq!(head.version.number, 1);
    let seen = s.watch(&keys.head(), from, Default::default()).await;
    assert_eq!(seen.map(|c| c.events.len()), Ok(0));
    accept(&s, 1, 2).await;
    let seen = s.watch(&keys.head(), from, Default::default()).await;
    assert_eq!(seen.map(|c| c.events.len()), Ok(1));
}

/// Guards against content that exceeds the store's limit for a value, and against a chunk count that exhausts memory.
#[tokio::test]
async fn large_manifest_is_stored_in_chunks() {
    let mut m = trust_manifest();
    let base = m.route[0].clone();
    m.service.extend((0..540).map(|i| Service {
        name: format!("service-{i}").into(),
    }));
    m.route.extend((0..540 * 5).map(|i| Route {
        name:
            format!("route-{i}-{}", Digest::of(&[i as u8, (i / 256) as u8])).as_str()[..40].into(),
        path: format!("/{}/*", Digest::of(&[(i / 256) as u8, i as u8])).into(),
        service: format!("service-{}", i / 5).into(),
        ..base.clone()
    }));
    let s = FaultyStore::default();
    let out = commit(&s, SITE, 0, &canonical(&m)).await;
    assert!(matches!(out, Ok(Outcome::Accepted(_))), "{out:?}");
    let chunks = s.list("dq/trust/content/").await.unwrap().entries;
    assert!(chunks.iter().all(|c| c.value.len() <= MAX_VALUE_BYTES / 2));
    let mut head = check_store(&s).await;
    head.chunks = u32::MAX;
    let read = read_content(&s, &StoreKeys::new(SITE), &head).await;
    assert!(matches!(read, Err(StoreError::Invalid(_))));
}

/// Guards against damaged values in the store that make a reader panic or that yield other content.
#[test]
fn damaged_store_values_are_rejected() {
    let input = (0u8..3, any::<usize>(), vec(any::<u8>(), 0..4), 0usize..4);
    run(200, &input, |(key_kind, offset, inserted, removed)| {
        let read = block_on(async {
            let s = FaultyStore::default();
            accept(&s, 0, 1).await;
            accept(&s, 1, 2).await;
            let keys = StoreKeys::new(SITE);
            let head = check_store(&s).await;
            let key = match key_kind {
                0 => keys.head(),
                1 => keys.accepted(1),
                _ => keys.chunk(&head.version.hash, 0),
            };
            let e = s.get(&key).await.unwrap().unwrap();
            let mut value = e.value;
            let offset = offset % value.len();
            let end = (offset + removed).min(value.len());
            value.splice(offset..end, inserted.clone());
            let done = s.swap(&key, e.revision, Some(value), None).await;
            assert!(matches!(done, Ok(Swap::Done(_))));
            let _ = commit(&s, SITE, 0, &content(1)).await;
            match read_head(&s, &keys).await {
                Ok((h, _)) => read_content(&s, &keys, &h).await.ok(),
                Err(_) => None,
            }
        });
        let is_committed = |s: &Snapshot| [content(1), content(2)].contains(&s.content);
        prop_assert!(read.as_ref().is_none_or(is_committed));
        Ok(())
    });
}

/// Guards against wrong exit codes of `commit`, messages without file, location or hint, and changed JSON output.
#[test]
fn commit_command() {
    let dir = Workdir::new();
    let (mut store, address) = dir.start_store();
    let store_address = address.to_string();
    std::fs::copy(repo_file("examples/trust.toml"), dir.path("a.toml")).unwrap();
    let text = std::fs::read_to_string(dir.path("a.toml")).unwrap();
    dir.write("b.toml", &text.replace("1000", "1500"));
    dir.write(
        "bad.toml",
        &text.replace("\"catalogue-desk\"\n\n", "\"other\"\n\n"),
    );
    let commit = |file: &str, base: &str, json: bool| {
        let mut args = vec!["commit", file, "--base", base, "--store", &store_address];
        args.extend(json.then_some("--json"));
        let out = dir.run(&args);
        let text = |b: &[u8]| String::from_utf8_lossy(b).replace(&store_address, "STORE");
        format!(
            "exit {}\n{}{}",
            out.status.code().unwrap(),
            text(&out.stdout),
            text(&out.stderr)
        )
    };
    let mut outputs = vec![
        commit("a.toml", "0", false),
        commit("a.toml", "0", true),
        commit("b.toml", "0", false),
        commit("b.toml", "0", true),
        commit("b.toml", "5", false),
        commit("bad.toml", "1", false),
        commit("bad.toml", "1", true),
    ];
    for _ in 0..2 {
        let body = r#"{"close_writes": 1, "skip_writes": 2}"#;
        http_json(address, "PUT", "/v1/faults", body).unwrap();
        outputs.push(commit("b.toml", "1", true));
    }
    store.kill();
    outputs.push(commit("b.toml", "1", false));
    insta::assert_snapshot!(outputs.join("\n"));
}
