//! A site of real processes: a store, nodes with backend servers in three availability zones, and a manifest.
#![allow(dead_code, unreachable_pub)]

use std::net::SocketAddr;

use super::workdir::{
    http, http_json, repo_file, wait_until, ChildProcess, Ports, Response, Workdir,
};

/// A running site.
pub struct Site {
    pub dir: Workdir,
    pub store: SocketAddr,
    pub nodes: Vec<(ChildProcess, Ports)>,
    pub backends: Vec<(ChildProcess, SocketAddr)>,
    _store: ChildProcess,
}

pub const BOOKINGS: &str = "/bookings";

impl Site {
    /// Starts `n` nodes and waits until each one knows all targets as ready and issues keys.
    /// `backend_args` are added to the command line of each backend server.
    pub fn start(n: usize, service: &str, backend_args: &[&str]) -> Self {
        let dir = Workdir::new();
        let (running, store) = dir.start_store();
        let mut site = Self {
            dir,
            store,
            nodes: Vec::new(),
            backends: Vec::new(),
            _store: running,
        };
        for i in 0..n {
            let seeds: Vec<_> = site.nodes.iter().map(|(_, p)| p.peer).collect();
            let az = ["a", "b", "c"][i % 3];
            let node = site.dir.start_node(&format!("n{i}"), az, store, &seeds, "");
            site.nodes.push(node);
            let admin = site.nodes[i].1.admin.to_string();
            let mut args = vec!["devbackend", "--service", service, "--node", &admin];
            args.extend(backend_args);
            let r = site.dir.start(&args);
            let line = r.wait_line("listening ");
            let address = line.trim_start_matches("listening ").parse().unwrap();
            site.backends.push((r, address));
        }
        let manifest = repo_file("examples/trust.toml");
        let to = store.to_string();
        let commit = ["commit", &manifest, "--base", "0", "--store", &to];
        let out = site.dir.run(&commit);
        assert!(out.status.success(), "{out:?}");
        site.wait_ready(n);
        for i in 0..n {
            wait_until("a key is issued", || site.key(i).is_some());
            wait_until("all shards have an owner", || {
                (0..16).all(|s| site.ranges(s).is_some())
            });
        }
        site
    }

    /// Waits until all nodes see `n` ready targets and have version 1.
    pub fn wait_ready(&self, n: usize) {
        for (_, p) in &self.nodes {
            let get = |path| http(p.admin, "GET", path, &[], "").map_or(String::new(), |r| r.body);
            wait_until("all targets are ready", || {
                get("/members").matches("\"target\":\"ready\"").count() == n
                    && get("/status").contains("\"version\":1")
            });
        }
    }

    /// Requests a key from node `i`.
    pub fn key(&self, i: usize) -> Option<String> {
        let r = http(self.nodes[i].1.caller, "POST", "/.dq/key", &[], "")?;
        (r.status == 200).then(|| r.body.trim().to_owned())
    }

    /// Sends a booking through node `i`.
    pub fn book(&self, i: usize, key: &str, body: &str) -> Option<Response> {
        book(self.nodes[i].1.caller, key, body)
    }

    /// Number of runs of a key at all backend servers.
    pub fn runs(&self, key: &str) -> u64 {
        let count = |(_, a): &(ChildProcess, SocketAddr)| {
            let r = http(*a, "GET", &format!("/.dev/runs/{key}"), &[], "");
            r.map_or(0, |r| r.body.trim().parse::<u64>().unwrap())
        };
        self.backends.iter().map(count).sum()
    }

    fn stored(&self, key: &str) -> Option<serde_json::Value> {
        let call = format!("{{\"Get\":\"dq/trust/{key}\"}}");
        let r = http_json(self.store, "POST", "/v1/call", &call)?;
        let response: serde_json::Value = serde_json::from_str(&r.body).ok()?;
        let bytes = response["Entry"]["value"].as_array()?.iter();
        let bytes: Vec<u8> = bytes.filter_map(|b| Some(b.as_u64()? as u8)).collect();
        serde_json::from_slice(&bytes).ok()
    }

    /// Key-time ranges of a shard.
    pub fn ranges(&self, shard: u16) -> Option<Vec<serde_json::Value>> {
        self.stored(&format!("grant/{shard}"))?["ranges"]
            .as_array()
            .cloned()
    }

    /// Number of planned stops of a service.
    pub fn stops(&self, service: &str) -> usize {
        let stored = self.stored(&format!("stops/{service}"));
        stored.and_then(|s| s.as_array().map(Vec::len)).unwrap_or(0)
    }

    /// Index of the node that owns a key.
    pub fn owner(&self, key: &str) -> usize {
        let key = dragonflyquay::request::key::IdempotencyKey::parse(key).unwrap();
        let holds = |r: &&serde_json::Value| {
            (r["from_ms"].as_u64().unwrap()..r["until_ms"].as_u64().unwrap())
                .contains(&key.time_ms())
        };
        let ranges = self.ranges(key.shard()).unwrap();
        let owner = ranges.iter().find(holds).unwrap()["owner"]
            .as_str()
            .unwrap()
            .to_owned();
        owner[1..].parse().unwrap()
    }

    /// Requests keys until one is owned by node `i`.
    pub fn key_owned_by(&self, i: usize) -> String {
        let mut found = None;
        wait_until("a key owned by the node is issued", || {
            found = self.key(i).filter(|k| self.owner(k) == i);
            found.is_some()
        });
        found.unwrap()
    }
}

/// Sends a booking to the node with this caller address.
pub fn book(caller: SocketAddr, key: &str, body: &str) -> Option<Response> {
    http(caller, "POST", BOOKINGS, &[("idempotency-key", key)], body)
}

/// Status, outcome and reason of a response.
pub fn outcome(r: &Response) -> (u16, String, String) {
    (
        r.status,
        r.header("dq-outcome").to_owned(),
        r.header("dq-reason").to_owned(),
    )
}
