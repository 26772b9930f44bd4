//! Control plane with separate processes: crashes, pauses, store outages, partitions, unknown peers and invalid
//! content.

mod workdir;

use std::net::SocketAddr;
use std::sync::Arc;

use dragonflyquay::connection::frame::{ContentForm, Frame};
use dragonflyquay::connection::handshake::{self, Identity};
use dragonflyquay::connection::peer::{LinkError, PeerTransport, RawLink, WsTransport};
use dragonflyquay::digest::Digest;
use dragonflyquay::key::SharedKey;
use dragonflyquay::process::clock::ProcessClock;
use dragonflyquay::version::snapshot::VersionRef;
use workdir::{http, http_json, repo_file, wait_until, ChildProcess, Ports, Workdir};

const KEY: &str = "0123456789abcdef0123456789abcdef";
const FAULTS_ENABLED: &str = "[faults]\nenabled = true";

struct Site {
    dir: Workdir,
    store_process: ChildProcess,
    store: SocketAddr,
    nodes: Vec<(ChildProcess, Ports)>,
    settings: String,
}

fn status(ports: &Ports) -> serde_json::Value {
    let response = http(ports.admin, "GET", "/status", &[], "");
    let text = response.map_or_else(String::new, |r| r.body);
    serde_json::from_str(&text).unwrap_or_default()
}

fn metric(ports: &Ports, name: &str) -> f64 {
    let text = http(ports.admin, "GET", "/metrics", &[], "").unwrap().body;
    let lines = text.lines().filter(|l| l.starts_with(name));
    lines
        .filter_map(|l| l.rsplit(' ').next()?.parse::<f64>().ok())
        .sum()
}

impl Site {
    /// Starts a node for each of the given availability zones.
    fn new(zones: &[&str], settings: &str) -> Self {
        let dir = Workdir::new();
        let (running, store) = dir.start_store();
        let mut site = Self {
            dir,
            store_process: running,
            store,
            nodes: Vec::new(),
            settings: settings.to_owned(),
        };
        for (i, az) in zones.iter().enumerate() {
            let node = site.start(i, az);
            site.nodes.push(node);
        }
        let n = zones.len();
        wait_until("all nodes know each other", || {
            site.all(|s| s["members"]["alive"] == n)
        });
        site
    }

    fn start(&self, i: usize, az: &str) -> (ChildProcess, Ports) {
        let seeds: Vec<_> = self.nodes.iter().take(2).map(|(_, p)| p.peer).collect();
        self.dir
            .start_node(&format!("n{i}"), az, self.store, &seeds, &self.settings)
    }

    fn all<F>(&self, check: F) -> bool
    where
        F: Fn(&serde_json::Value) -> bool,
    {
        self.nodes.iter().all(|(_, p)| check(&status(p)))
    }

    /// Commits a manifest with one more service than version `base`.
    fn commit(&self, base: u64) {
        let mut text = std::fs::read_to_string(repo_file("examples/trust.toml")).unwrap();
        for i in 0..base {
            text.push_str(&format!("\n[[service]]\nname = \"extra-{i}\"\n"));
        }
        let path = self.dir.write("manifest.toml", &text);
        let (path, base) = (path.display().to_string(), base.to_string());
        let store = self.store.to_string();
        let args = ["commit", &path, "--base", &base, "--store", &store];
        let out = self.dir.run(&args);
        assert!(out.status.success(), "{out:?}");
    }

    fn watchers(&self) -> Vec<usize> {
        let found = self.nodes.iter().enumerate();
        found
            .filter(|(_, (_, p))| status(p)["watcher"] == true)
            .map(|(i, _)| i)
            .collect()
    }

    fn inject_faults(&self, i: usize, body: &str) {
        let response = http_json(self.nodes[i].1.admin, "PUT", "/faults", body).unwrap();
        assert_eq!(response.status, 200, "{response:?}");
    }
}

/// Guards against a killed node that still counts as alive, and against a restarted node that is not accepted as a
/// member again or stays at an older version.
#[test]
fn killed_node_is_detected_and_rejoins() {
    let mut site = Site::new(&["a", "a", "b", "b"], "");
    site.commit(0);
    wait_until("first version everywhere", || {
        site.all(|s| s["version"] == 1)
    });
    let last = &mut site.nodes[3].0;
    last.signal("KILL");
    last.wait();
    let sees_dead = |p: &Ports| status(p)["members"]["dead"] == 1;
    wait_until("the others know that the node is dead", || {
        site.nodes[..3].iter().all(|(_, p)| sees_dead(p))
    });
    site.commit(1);
    wait_until("second version at the nodes that are alive", || {
        site.nodes[..3]
            .iter()
            .all(|(_, p)| status(p)["version"] == 2)
    });
    site.nodes[3] = site.start(3, "b");
    wait_until("the restarted node rejoins with the newest version", || {
        site.all(|s| s["members"]["alive"] == 4 && s["version"] == 2 && s["lag"] == 0)
    });
}

/// Guards against a zone with too few watchers after one was paused, and against a paused watcher that still acts as a
/// watcher after its lease has expired.
#[test]
fn paused_watcher_is_replaced() {
    let site = Site::new(&["a", "a", "a"], "");
    wait_until("two watchers", || site.watchers().len() == 2);
    site.commit(0);
    wait_until("first version everywhere", || {
        site.all(|s| s["version"] == 1)
    });
    let paused = site.watchers()[0];
    let others: Vec<_> = (0..3).filter(|i| *i != paused).collect();
    site.nodes[paused].0.signal("STOP");
    wait_until("the other two are watchers", || {
        let is_watcher = |i: &usize| status(&site.nodes[*i].1)["watcher"] == true;
        others.iter().all(is_watcher)
    });
    site.commit(1);
    wait_until("second version without the paused node", || {
        let holds = |i: &usize| status(&site.nodes[*i].1)["version"] == 2;
        others.iter().all(holds)
    });
    site.nodes[paused].0.signal("CONT");
    wait_until("the former watcher is an ordinary member again", || {
        site.all(|s| s["version"] == 2 && s["members"]["alive"] == 3) && site.watchers() == others
    });
}

/// Guards against dissemination that depends on the store, and against more than two watchers in a zone.
#[test]
fn version_spreads_while_the_store_is_down() {
    let site = Site::new(&["a", "a", "a", "b", "b"], FAULTS_ENABLED);
    wait_until("watchers of both zones", || site.watchers().len() == 4);
    // Only one watcher can read the version from the store, until the store goes down.
    let reader = site.watchers()[0];
    for i in (0..5).filter(|i| *i != reader) {
        site.inject_faults(i, r#"{"store": true}"#);
    }
    site.commit(0);
    let store = site.store;
    wait_until("the reader holds the version", || {
        status(&site.nodes[reader].1)["version"] == 1
    });
    let down = http_json(store, "PUT", "/v1/faults", r#"{"down": true}"#).unwrap();
    assert_eq!(down.status, 200);
    wait_until("version everywhere", || site.all(|s| s["version"] == 1));
    assert!(site.all(|s| s["members"]["alive"] == 5));
}

/// Guards against nodes that go back to the older version of a restored store, and against a version that is lost with
/// the newer state of the store.
#[test]
fn version_is_republished_after_store_loss() {
    let mut site = Site::new(&["a", "b"], "");
    site.commit(0);
    site.commit(1);
    wait_until("second version everywhere", || {
        site.all(|s| s["version"] == 2)
    });
    site.store_process.kill();
    let address = site.store.to_string();
    // An empty store at the same address stands for one restored from an older state.
    site.store_process = site.dir.start(&["devstore", "--listen", &address]);
    site.store_process.wait_line("listening ");
    wait_until("the head is in the store again", || {
        let call = r#"{"Get": "dq/trust/head"}"#;
        let response = http_json(site.store, "POST", "/v1/call", call);
        response.is_some_and(|r| !r.body.contains("null"))
    });
    site.commit(2);
    wait_until("third version everywhere", || {
        site.all(|s| s["version"] == 3)
    });
}

/// Guards against records of a partitioned zone that are dropped or still count as alive, against a zone that does not
/// catch up after the partition, and against fault injection that the settings do not allow.
#[test]
fn partitioned_zone_is_kept_and_catches_up() {
    let site = Site::new(&["a", "a", "a", "b", "b", "b"], FAULTS_ENABLED);
    site.commit(0);
    wait_until("first version everywhere", || {
        site.all(|s| s["version"] == 1)
    });
    for i in 0..6 {
        let other = if i < 3 { "b" } else { "a" };
        let store = i >= 3;
        site.inject_faults(i, &format!(r#"{{"zones": ["{other}"], "store": {store}}}"#));
    }
    wait_until("the other zone is unreachable", || {
        site.all(|s| s["members"]["unreachable"] == 3 && s["members"]["alive"] == 3)
    });
    site.commit(1);
    let holds = |i: usize, n: u64| status(&site.nodes[i].1)["version"] == n;
    wait_until("second version in the connected zone", || {
        (0..3).all(|i| holds(i, 2))
    });
    assert!((3..6).all(|i| holds(i, 1)));
    (0..6).for_each(|i| site.inject_faults(i, "{}"));
    wait_until("all nodes are alive and have the second version", || {
        site.all(|s| s["members"]["alive"] == 6 && s["version"] == 2)
    });
    let without_faults = Site::new(&["a"], "");
    let response = http_json(without_faults.nodes[0].1.admin, "PUT", "/faults", "{}").unwrap();
    assert_eq!(response.status, 403);
}

async fn open_link(to: SocketAddr, key: &str) -> Result<RawLink, LinkError> {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let transport = WsTransport::new(listener, Arc::new(ProcessClock::default()));
    let identity = Identity {
        site: "trust".into(),
        node: "unknown".into(),
        incarnation: 1,
        az: "a".into(),
        key: Some(SharedKey::new(key.as_bytes()).unwrap()),
    };
    let mut link = transport.connect(to).await?;
    handshake::open(&mut link, &identity, Digest([7; 32])).await?;
    Ok(link)
}

/// Guards against a node that accepts links of peers without the shared key, and against content that does not match
/// its hash: it must be rejected and counted, and the version must not be requested from its sender again.
#[tokio::test]
async fn unknown_peers_and_invalid_content_are_rejected() {
    let dir = Workdir::new();
    let (_running, store) = dir.start_store();
    let key = dir.write("key", KEY);
    let settings = format!("key_file = \"{}\"", key.display());
    let (_node, ports) = dir.start_node("n0", "a", store, &[], &settings);
    let rejection = open_link(ports.peer, "another key of the same size")
        .await
        .err();
    assert!(
        matches!(rejection, Some(LinkError::Rejected(_))),
        "{rejection:?}"
    );

    let mut link = open_link(ports.peer, KEY).await.unwrap();
    let version = VersionRef {
        number: 9,
        hash: Digest::of(b"something else"),
    };
    let base = Digest::default();
    let announce = Frame::Announce(version).encode().unwrap();
    link.sink.send(announce.clone()).await.unwrap();
    let mut requests = 0;
    for _ in 0..8 {
        let frame = link.source.receive().await.unwrap();
        match Frame::decode(&frame).unwrap() {
            Frame::ContentRequest(_, v) if v == version => {
                requests += 1;
                let data = dragonflyquay::version::compression::deflate(b"not the content");
                let invalid = Frame::Content(version, base, ContentForm::Full, data);
                link.sink.send(invalid.encode().unwrap()).await.unwrap();
            }
            _ => {}
        }
        link.sink.send(announce.clone()).await.unwrap();
    }
    assert_eq!(
        requests, 1,
        "content was requested again from the sender of invalid content"
    );
    assert_eq!(status(&ports)["version"], 0);
    assert_eq!(
        metric(&ports, "dq_rejected_inputs_total{kind=\"content-hash\"}"),
        1.0
    );
    assert!(metric(&ports, "dq_rejected_inputs_total{kind=\"handshake\"}") >= 1.0);

    link.sink.send(b"no frame".to_vec()).await.unwrap();
    while link.source.receive().await.is_ok() {}
    assert_eq!(
        metric(&ports, "dq_rejected_inputs_total{kind=\"frame\"}"),
        1.0
    );
}
