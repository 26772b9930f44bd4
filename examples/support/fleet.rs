//! A store stand-in and nodes as separate processes.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::{Duration, Instant};

use dragonflyquay::store::http::HttpStore;
use dragonflyquay::version::manifest::Manifest;
use dragonflyquay::version::publish::{self, Outcome};
use dragonflyquay::version::snapshot::canonical;

use super::{field, Http, Result, Running, PATIENCE};

/// Wait of one commit for the store.
const STORE_TIMEOUT: Duration = Duration::from_secs(5);
/// Pause between the starts of two nodes, below the rate of new links that a listener accepts.
const START_PAUSE: Duration = Duration::from_millis(60);
const ZONES: [&str; 4] = ["a", "b", "c", "d"];

/// Addresses that a node took.
#[derive(Debug, Clone, Copy)]
pub struct Ports {
    pub caller: SocketAddr,
    pub relay: SocketAddr,
    pub peer: SocketAddr,
    pub admin: SocketAddr,
}

/// A node process.
pub struct Node {
    pub id: String,
    pub ports: Ports,
    pub run: Running,
}

/// A sample backend server process.
pub struct Backend {
    pub address: SocketAddr,
    pub run: Running,
}

/// A store and its nodes, over four zones.
pub struct Fleet {
    pub http: Http,
    pub store: SocketAddr,
    pub nodes: Vec<Node>,
    /// Backend servers, by the index of their node.
    pub backends: Vec<Backend>,
    pub site: String,
    /// Appended to each node's settings.
    pub extra: String,
    seeds: Vec<SocketAddr>,
    dir: tempfile::TempDir,
    _store: Running,
}

/// Settings as TOML; free ports without `ports`.
fn settings(f: &Fleet, id: &str, az: &str, ports: Option<Ports>) -> String {
    let free: SocketAddr = ([127, 0, 0, 1], 0).into();
    let p = ports.unwrap_or(Ports {
        caller: free,
        relay: free,
        peer: free,
        admin: free,
    });
    let own = ports.map(|p| p.peer);
    let seeds: Vec<_> = f
        .seeds
        .iter()
        .filter(|s| Some(**s) != own)
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
        f.extra
    )
}

fn read_ports(line: &str) -> Result<Ports> {
    let get = |key: &str| {
        let text = field(line, key).ok_or_else(|| format!("no {key} in {line:?}"))?;
        text.parse().map_err(|e| format!("{key} in {line:?}: {e}"))
    };
    Ok(Ports {
        caller: get("caller")?,
        relay: get("relay")?,
        peer: get("peer")?,
        admin: get("admin")?,
    })
}

impl Fleet {
    /// Starts a store and `n` nodes. The first node of each zone is a seed.
    pub fn start(site: &str, n: usize, extra: &str) -> Result<Self> {
        let run = Running::start(&["devstore", "--listen", "127.0.0.1:0"])?;
        let (_, line) = run.wait_line("listening ", Instant::now() + PATIENCE)?;
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
            extra: extra.into(),
            seeds: Vec::new(),
            dir: tempfile::tempdir().map_err(|e| e.to_string())?,
            _store: run,
        };
        for i in 0..n {
            let node = f.start_node(i, None)?;
            if i < ZONES.len() {
                f.seeds.push(node.ports.peer);
            }
            f.nodes.push(node);
            std::thread::sleep(START_PAUSE);
        }
        Ok(f)
    }

    fn start_node(&self, i: usize, ports: Option<Ports>) -> Result<Node> {
        let az = ZONES[i % ZONES.len()];
        let id = format!("{az}{}", 1 + i / ZONES.len());
        let path: PathBuf = self.dir.path().join(format!("{id}.toml"));
        std::fs::write(&path, settings(self, &id, az, ports)).map_err(|e| e.to_string())?;
        let run = Running::start(&["node", &path.to_string_lossy()])?;
        let (_, line) = run.wait_line("event=listening", Instant::now() + PATIENCE)?;
        Ok(Node {
            id,
            ports: read_ports(&line)?,
            run,
        })
    }

    /// Starts the backend server beside the node with the same index, with these options of `devbackend`.
    pub fn start_backend(&mut self, service: &str, options: &[(&str, u64)]) -> Result<()> {
        let admin = self.nodes[self.backends.len()].ports.admin.to_string();
        let mut args = vec!["devbackend", "--service", service, "--node", &admin];
        let values: Vec<_> = options.iter().map(|(_, v)| v.to_string()).collect();
        for ((name, _), value) in options.iter().zip(&values) {
            args.extend([*name, value.as_str()]);
        }
        let run = Running::start(&args)?;
        let (_, line) = run.wait_line("listening ", Instant::now() + PATIENCE)?;
        let address = field(&line.replace("listening ", "listening="), "listening")
            .unwrap_or("")
            .parse();
        self.backends.push(Backend {
            address: address.map_err(|e| format!("{line}: {e}"))?,
            run,
        });
        Ok(())
    }

    /// Writes a file into the folder of this fleet.
    pub fn write(&self, name: &str, text: &str) -> Result<String> {
        let path = self.dir.path().join(name);
        std::fs::write(&path, text).map_err(|e| e.to_string())?;
        Ok(path.to_string_lossy().into_owned())
    }

    /// Kills a node.
    pub fn kill(&mut self, i: usize) {
        self.nodes[i].run.kill();
    }

    /// Starts a killed node again on its former addresses.
    pub fn restart(&mut self, i: usize) -> Result<()> {
        self.nodes[i] = self.start_node(i, Some(self.nodes[i].ports))?;
        Ok(())
    }

    pub fn admin(&self) -> Vec<SocketAddr> {
        self.nodes.iter().map(|n| n.ports.admin).collect()
    }

    pub fn pids(&self) -> Vec<u32> {
        self.nodes.iter().map(|n| n.run.pid()).collect()
    }

    /// A number in each node's status, 0 where there is none.
    pub fn status(&self, key: &str) -> Vec<u64> {
        let read = |text: Option<String>| {
            let json: serde_json::Value = serde_json::from_str(&text?).ok()?;
            json[key].as_u64()
        };
        let all = self.http.get_all(&self.admin(), "/status");
        all.into_iter().map(|t| read(t).unwrap_or(0)).collect()
    }

    /// Waits until every node's status holds at least this number; returns whether it did.
    pub fn wait_status(&self, key: &str, least: u64) -> bool {
        let end = Instant::now() + PATIENCE;
        while Instant::now() < end {
            if self.status(key).iter().all(|v| *v >= least) {
                return true;
            }
            std::thread::sleep(Duration::from_millis(200));
        }
        false
    }

    /// Commits a manifest; returns its number and the time of acceptance.
    pub fn commit(&self, m: &Manifest, base: u64) -> Result<(u64, Instant)> {
        let store = HttpStore::new(self.store, STORE_TIMEOUT);
        let content = canonical(m);
        let made = self
            .http
            .rt
            .block_on(publish::commit(&store, &self.site, base, &content));
        match made {
            Ok(Outcome::Accepted(v)) => Ok((v.number, Instant::now())),
            other => Err(format!("commit on {base}: {other:?}")),
        }
    }

    /// Calls served by the store and watches that wait there now.
    pub fn store_stats(&self) -> StoreStats {
        let text = self.http.get(self.store, "/v1/stats").unwrap_or_default();
        serde_json::from_str(&text).unwrap_or_default()
    }
}

/// Counters of the store's stand-in.
#[derive(Debug, Clone, Copy, Default, serde::Deserialize, serde::Serialize)]
#[serde(default)]
pub struct StoreStats {
    pub reads: u64,
    pub writes: u64,
    pub watches: u64,
    pub waiting: u64,
}

impl StoreStats {
    /// Calls of all kinds.
    pub fn calls(&self) -> u64 {
        self.reads + self.writes + self.watches
    }
}
