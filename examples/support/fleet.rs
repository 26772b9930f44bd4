//! A fleet for measurements: a store stand-in, nodes and backend servers, each a separate process.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::{Duration, Instant};

use dragonflyquay::store::http::HttpStore;
use dragonflyquay::version::manifest::Manifest;
use dragonflyquay::version::publish::{self, Outcome};
use dragonflyquay::version::snapshot::canonical;

use super::{log_field, ChildProcess, Http, Result, WAIT_TIMEOUT};

/// Timeout of the store calls of a commit.
const STORE_TIMEOUT: Duration = Duration::from_secs(5);
/// Pause between the starts of two nodes, which keeps new links below the rate that a listener accepts.
const START_PAUSE: Duration = Duration::from_millis(60);
const ZONES: [&str; 4] = ["a", "b", "c", "d"];

/// Addresses that a node listens on.
#[derive(Debug, Clone, Copy)]
pub struct Addresses {
    pub caller: SocketAddr,
    pub relay: SocketAddr,
    pub peer: SocketAddr,
    pub admin: SocketAddr,
}

/// A node process.
pub struct Node {
    pub id: String,
    pub addresses: Addresses,
    pub process: ChildProcess,
}

/// A `devbackend` process.
pub struct Backend {
    pub address: SocketAddr,
    pub process: ChildProcess,
}

/// A store stand-in and its nodes, distributed over four availability zones.
pub struct Fleet {
    pub http: Http,
    pub store: SocketAddr,
    pub nodes: Vec<Node>,
    /// Backend servers, at the index of their node.
    pub backends: Vec<Backend>,
    pub site: String,
    /// TOML appended to the settings of each node.
    pub extra_settings: String,
    seeds: Vec<SocketAddr>,
    dir: tempfile::TempDir,
    _store_process: ChildProcess,
}

/// Settings of a node as TOML. Without `addresses` it listens on free loopback ports.
fn settings(f: &Fleet, id: &str, az: &str, addresses: Option<Addresses>) -> String {
    let any_port: SocketAddr = ([127, 0, 0, 1], 0).into();
    let p = addresses.unwrap_or(Addresses {
        caller: any_port,
        relay: any_port,
        peer: any_port,
        admin: any_port,
    });
    let own_peer = addresses.map(|p| p.peer);
    let seeds: Vec<_> = f
        .seeds
        .iter()
        .filter(|s| Some(**s) != own_peer)
        .map(|s| format!("\"{s}\""))
        .collect();
    format!(
        "[node]\nid = \"{id}\"\naz = \"{az}\"\nsite = \"{}\"\n\
         [listen]\ncaller = \"{}\"\nrelay = \"{}\"\npeer = \"{}\"\nadmin = \"{}\"\n\
         [store]\naddress = \"{}\"\n[peers]\nseeds = [{}]\n{}\n",
        f.site,
        p.caller,
        p.relay,
        p.peer,
        p.admin,
        f.store,
        seeds.join(", "),
        f.extra_settings
    )
}

fn parse_addresses(line: &str) -> Result<Addresses> {
    let get = |key: &str| {
        let text = log_field(line, key).ok_or_else(|| format!("no {key} in {line:?}"))?;
        text.parse().map_err(|e| format!("{key} in {line:?}: {e}"))
    };
    Ok(Addresses {
        caller: get("caller")?,
        relay: get("relay")?,
        peer: get("peer")?,
        admin: get("admin")?,
    })
}

impl Fleet {
    /// Starts a store stand-in and `n` nodes. The first node of each zone is a seed peer.
    pub fn start(site: &str, n: usize, extra_settings: &str) -> Result<Self> {
        let process = ChildProcess::start(&["devstore", "--listen", "127.0.0.1:0"])?;
        let (_, line) = process.wait_line("listening ", Instant::now() + WAIT_TIMEOUT)?;
        let store = line
            .trim_start_matches("listening ")
            .parse()
            .map_err(|e| format!("{line}: {e}"))?;
        let mut f = Self {
            http: Http::new()?,
            store,
            nodes: Vec::new(),
            backends: Vec::new(),
            site: site.into(),
            extra_settings: extra_settings.into(),
            seeds: Vec::new(),
            dir: tempfile::tempdir().map_err(|e| e.to_string())?,
            _store_process: process,
        };
        for i in 0..n {
            let node = f.start_node(i, None)?;
            if i < ZONES.len() {
                f.seeds.push(node.addresses.peer);
            }
            f.nodes.push(node);
            std::thread::sleep(START_PAUSE);
        }
        Ok(f)
    }

    fn start_node(&self, i: usize, addresses: Option<Addresses>) -> Result<Node> {
        let az = ZONES[i % ZONES.len()];
        let id = format!("{az}{}", 1 + i / ZONES.len());
        let path: PathBuf = self.dir.path().join(format!("{id}.toml"));
        std::fs::write(&path, settings(self, &id, az, addresses)).map_err(|e| e.to_string())?;
        let process = ChildProcess::start(&["node", &path.to_string_lossy()])?;
        let (_, line) = process.wait_line("event=listening", Instant::now() + WAIT_TIMEOUT)?;
        Ok(Node {
            id,
            addresses: parse_addresses(&line)?,
            process,
        })
    }

    /// Starts the backend server of the next node that has none, with these options of `devbackend`.
    pub fn start_backend(&mut self, service: &str, options: &[(&str, u64)]) -> Result<()> {
        let admin = self.nodes[self.backends.len()].addresses.admin.to_string();
        let mut args = vec!["devbackend", "--service", service, "--node", &admin];
        let values: Vec<_> = options.iter().map(|(_, v)| v.to_string()).collect();
        for ((name, _), value) in options.iter().zip(&values) {
            args.extend([*name, value.as_str()]);
        }
        let process = ChildProcess::start(&args)?;
        let (_, line) = process.wait_line("listening ", Instant::now() + WAIT_TIMEOUT)?;
        let address = log_field(&line.replace("listening ", "listening="), "listening")
            .unwrap_or("")
            .parse();
        self.backends.push(Backend {
            address: address.map_err(|e| format!("{line}: {e}"))?,
            process,
        });
        Ok(())
    }

    /// Writes a file into the temporary directory of this fleet and returns its path.
    pub fn write(&self, name: &str, text: &str) -> Result<String> {
        let path = self.dir.path().join(name);
        std::fs::write(&path, text).map_err(|e| e.to_string())?;
        Ok(path.to_string_lossy().into_owned())
    }

    pub fn kill(&mut self, i: usize) {
        self.nodes[i].process.kill();
    }

    /// Restarts a killed node on its previous addresses.
    pub fn restart(&mut self, i: usize) -> Result<()> {
        self.nodes[i] = self.start_node(i, Some(self.nodes[i].addresses))?;
        Ok(())
    }

    pub fn admin_addresses(&self) -> Vec<SocketAddr> {
        self.nodes.iter().map(|n| n.addresses.admin).collect()
    }

    pub fn pids(&self) -> Vec<u32> {
        self.nodes.iter().map(|n| n.process.pid()).collect()
    }

    /// Number under `key` in the status of each node; 0 if the node does not report it.
    pub fn status(&self, key: &str) -> Vec<u64> {
        let read = |text: Option<String>| {
            let json: serde_json::Value = serde_json::from_str(&text?).ok()?;
            json[key].as_u64()
        };
        let all = self.http.get_all(&self.admin_addresses(), "/status");
        all.into_iter().map(|t| read(t).unwrap_or(0)).collect()
    }

    /// Waits until the number under `key` is at least `minimum` in the status of every node; false after
    /// [`WAIT_TIMEOUT`].
    pub fn wait_status(&self, key: &str, minimum: u64) -> bool {
        let end = Instant::now() + WAIT_TIMEOUT;
        while Instant::now() < end {
            if self.status(key).iter().all(|v| *v >= minimum) {
                return true;
            }
            std::thread::sleep(Duration::from_millis(200));
        }
        false
    }

    /// Commits a manifest on top of version `base`; returns its version number and the time of acceptance.
    pub fn commit(&self, m: &Manifest, base: u64) -> Result<(u64, Instant)> {
        let store = HttpStore::new(self.store, STORE_TIMEOUT);
        let content = canonical(m);
        let outcome = self
            .http
            .rt
            .block_on(publish::commit(&store, &self.site, base, &content));
        match outcome {
            Ok(Outcome::Accepted(v)) => Ok((v.number, Instant::now())),
            other => Err(format!(
                "commit on version {base} was not accepted: {other:?}"
            )),
        }
    }

    /// Counters of the store; all are 0 if it does not answer.
    pub fn store_stats(&self) -> StoreStats {
        let text = self.http.get(self.store, "/v1/stats").unwrap_or_default();
        serde_json::from_str(&text).unwrap_or_default()
    }
}

/// Counters of the store stand-in: calls served, and watches that are waiting now.
#[derive(Debug, Clone, Copy, Default, serde::Deserialize, serde::Serialize)]
#[serde(default)]
pub struct StoreStats {
    pub reads: u64,
    pub writes: u64,
    pub watches: u64,
    pub waiting: u64,
}

impl StoreStats {
    /// Number of calls of all kinds.
    pub fn calls(&self) -> u64 {
        self.reads + self.writes + self.watches
    }
}
