//! A small complete site in one process: store stand-in, nodes and sample backend servers on loopback addresses.

use std::io::Write;
use std::net::SocketAddr;
use std::os::unix::fs::OpenOptionsExt;
use std::path::PathBuf;
use std::time::Instant;

use dropshot::HttpServer;

use crate::cmd::devbackend;
use crate::cmd::{fail, CmdResult, Exit};
use crate::prelude::*;
use crate::process::lifecycle::start::{self, Listeners, RunningNode};
use crate::settings::{ListenSettings, NodeSettings, PeerSettings, Settings, StoreSettings};
use crate::store::http::HttpStore;
use crate::store::mem::MemStore;
use crate::store::server::{self, StandInStore};
use crate::store::{Store, StoreError};
use crate::version::manifest::{self, Manifest};
use crate::version::publish::{self, Outcome, StoreKeys};
use crate::version::snapshot::canonical;

/// Text of the sample manifest, which `dev` commits as version 1.
pub const MANIFEST: &str = include_str!("../examples/trust.toml");

/// Services, each with its number of targets.
const SERVICES: [(&str, usize); 2] = [("catalogue-desk", 6), ("parcel-hall", 4)];
/// Number of nodes, one for each target.
pub const NODE_COUNT: usize = 10;
/// Availability zones, over which the nodes are spread in turn.
const ZONES: [&str; 4] = ["a", "b", "c", "d"];
/// Number of requests that a sample backend server runs at once.
const SLOTS: u32 = 6;
/// Time that a sample backend server takes for a request.
const WORK_TIME: Duration = Duration::from_millis(20);
/// Longest wait for a version to be in force on all nodes.
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(30);
/// Interval at which the versions of the nodes are read, and so the largest error of the printed time.
const POLL_INTERVAL: Duration = Duration::from_millis(2);

/// Number of consecutive ports that a site uses from its first port on: one for the store, and five for each node.
pub const PORT_COUNT: u16 = 1 + 5 * NODE_COUNT as u16;

/// Loopback addresses of a site: consecutive ports from the first one, or port 0 for every listener.
#[derive(Clone, Copy)]
struct Addresses(Option<u16>);

impl Addresses {
    fn store(self) -> SocketAddr {
        ([127, 0, 0, 1], self.0.unwrap_or(0)).into()
    }

    /// Address of a listener of node `i`; `kind` is 0 for caller, 1 admin, 2 relay, 3 peer and 4 its backend server.
    fn node(self, kind: u16, i: usize) -> SocketAddr {
        let port = self
            .0
            .map_or(0, |p| p + 1 + kind * NODE_COUNT as u16 + i as u16);
        ([127, 0, 0, 1], port).into()
    }
}

/// A node and the service of its backend server.
pub struct Member {
    /// The node; dropping it stops its admin API.
    pub node: RunningNode,
    /// Availability zone of the node.
    pub az: &'static str,
    /// Service that the node's backend server announces.
    pub service: &'static str,
}

/// A running site, whose nodes and backend servers are tasks of this process.
pub struct Site {
    /// Address of the store stand-in.
    pub store: SocketAddr,
    /// Nodes in order of their caller ports.
    pub members: Vec<Member>,
    /// The in-memory store behind the stand-in, whose counters do not include direct calls to it.
    pub mem: Arc<MemStore>,
    keys: StoreKeys,
    name: SmolStr,
    _server: HttpServer<Arc<StandInStore>>,
}

/// A file with a random shared key, readable by this user only. Nodes read it when they start; then it is removed.
struct KeyFile(PathBuf);

impl KeyFile {
    fn create() -> CmdResult<Self> {
        let name = format!("dragonflyquay-{}.key", std::process::id());
        let path = std::env::temp_dir().join(name);
        let mut options = std::fs::OpenOptions::new();
        options.write(true).create_new(true).mode(0o600);
        let key = format!("{:032x}", rand::random::<u128>());
        let written = options
            .open(&path)
            .and_then(|mut f| f.write_all(key.as_bytes()));
        match written {
            Ok(()) => Ok(Self(path)),
            Err(e) => fail(Exit::Failed, format!("{}: {e}", path.display())),
        }
    }
}

impl Drop for KeyFile {
    fn drop(&mut self) {
        let _ = std::fs::remove_file(&self.0);
    }
}

fn services() -> impl Iterator<Item = &'static str> {
    SERVICES
        .iter()
        .flat_map(|(name, n)| std::iter::repeat_n(*name, *n))
}

/// Parses [`MANIFEST`].
///
/// # Errors
///
/// [`Exit::Refused`] if the embedded manifest is invalid, which a test rules out.
pub fn sample_manifest() -> CmdResult<Manifest> {
    manifest::parse(MANIFEST).or_else(|f| fail(Exit::Refused, f.to_string()))
}

/// Starts a site without a version. Its ports are consecutive from `first_port`, or free ports for `None`.
///
/// # Errors
///
/// [`Exit::Failed`] when a listener, a node or a backend server could not be started.
pub async fn start(first_port: Option<u16>) -> CmdResult<Site> {
    let addresses = Addresses(first_port);
    let mem = Arc::new(MemStore::default());
    let stand_in = Arc::new(StandInStore::new(mem.clone()));
    let server = server::start(addresses.store(), stand_in)
        .or_else(|e| fail(Exit::Failed, format!("{}: {e}", addresses.store())))?;
    let store = server.local_addr();
    let opened = open_listeners(addresses).await?;
    let key = KeyFile::create()?;
    let peers: Vec<_> = opened
        .iter()
        .filter_map(|(_, l)| l.peer.local_addr().ok())
        .collect();
    let name = sample_manifest()?.site;
    let mut members = Vec::new();
    for (i, ((listen, listeners), service)) in opened.into_iter().zip(services()).enumerate() {
        let az = ZONES[i % ZONES.len()];
        let mut settings = node_settings(&name, i, az, listen, &peers, store);
        settings.peers.key_file = Some(key.0.clone());
        let client = HttpStore::new(store, Duration::from_millis(settings.store.timeout_ms));
        let node = start::start(settings, Arc::new(client), listeners)
            .or_else(|e| fail(Exit::Failed, format!("{e:?}")))?;
        let backend = devbackend::Args {
            service: service.into(),
            node: node.addresses.admin,
            listen: addresses.node(4, i),
            slots: SLOTS,
            work_time: WORK_TIME,
            ..devbackend::Args::default()
        };
        devbackend::start(backend).await?;
        members.push(Member { node, az, service });
    }
    Ok(Site {
        store,
        members,
        mem,
        keys: StoreKeys::new(&name),
        name,
        _server: server,
    })
}

/// Opens the listeners of all nodes first, so that the settings of each node can list the others as seeds.
async fn open_listeners(addresses: Addresses) -> CmdResult<Vec<(ListenSettings, Listeners)>> {
    let mut opened = Vec::new();
    for i in 0..NODE_COUNT {
        let listen = ListenSettings {
            caller: addresses.node(0, i),
            admin: addresses.node(1, i),
            relay: addresses.node(2, i),
            peer: addresses.node(3, i),
        };
        let listeners = Listeners::open(&listen)
            .await
            .or_else(|e| fail(Exit::Failed, format!("{e:?}")))?;
        opened.push((listen, listeners));
    }
    Ok(opened)
}

fn node_settings(
    site: &str,
    i: usize,
    az: &str,
    listen: ListenSettings,
    peers: &[SocketAddr],
    store: SocketAddr,
) -> Settings {
    let others = peers.iter().enumerate().filter(|(k, _)| *k != i);
    Settings {
        node: NodeSettings {
            id: format!("{az}{}", 1 + i / ZONES.len()).into(),
            az: az.into(),
            site: site.into(),
            ..NodeSettings::default()
        },
        listen,
        peers: PeerSettings {
            seeds: others.map(|(_, p)| *p).collect(),
            ..PeerSettings::default()
        },
        store: StoreSettings {
            address: store,
            ..StoreSettings::default()
        },
        ..Settings::default()
    }
}

fn store_failed<T>(e: StoreError) -> CmdResult<T> {
    fail(Exit::Failed, format!("store: {e}"))
}

impl Site {
    /// Commits a manifest on the base version through the stand-in server, as the `commit` command does.
    ///
    /// # Errors
    ///
    /// [`Exit::Failed`] when the commit is not accepted.
    pub async fn commit(&self, m: &Manifest, base: VersionNumber) -> CmdResult<VersionNumber> {
        let timeout = Duration::from_millis(StoreSettings::default().timeout_ms);
        let store = HttpStore::new(self.store, timeout);
        match publish::commit(&store, &self.name, base, &canonical(m)).await {
            Ok(Outcome::Accepted(v)) => Ok(v.number),
            other => fail(Exit::Failed, format!("commit on {base}: {other:?}")),
        }
    }

    /// Number of nodes on which this version or a newer one is in force.
    pub fn count_in_force(&self, number: VersionNumber) -> usize {
        let versions = self.members.iter().map(|m| m.node.process.version().number);
        versions.filter(|v| *v >= number).count()
    }

    /// Waits until this version or a newer one is in force on all nodes, and returns how long that took.
    ///
    /// # Errors
    ///
    /// [`Exit::Failed`] when it takes longer than 30 s.
    pub async fn wait_in_force(&self, number: VersionNumber) -> CmdResult<Duration> {
        let start = Instant::now();
        while self.count_in_force(number) < self.members.len() {
            if start.elapsed() > IN_FORCE_TIMEOUT {
                let text = format!(
                    "version {number} is in force on {} of {} nodes after {} s",
                    self.count_in_force(number),
                    self.members.len(),
                    IN_FORCE_TIMEOUT.as_secs()
                );
                return fail(Exit::Failed, text);
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        Ok(start.elapsed())
    }

    /// Waits until the store has a version newer than `after`, and returns its number.
    ///
    /// # Errors
    ///
    /// [`Exit::Failed`] when the store cannot be read.
    pub async fn next_version(&self, after: VersionNumber) -> CmdResult<VersionNumber> {
        let store: &dyn Store = self.mem.as_ref();
        loop {
            let result = publish::read_head(store, &self.keys).await;
            let (head, revision) = result.or_else(store_failed)?;
            if head.version.number > after {
                return Ok(head.version.number);
            }
            let wait = Duration::from_secs(20);
            let changes = store.watch(&self.keys.head(), revision, wait).await;
            changes.or_else(store_failed)?;
        }
    }
}
