//! A small whole site in one process: store stand-in, nodes and sample backend servers on loopback addresses.

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
use crate::store::server::{self, StandIn};
use crate::store::{Store, StoreError};
use crate::version::manifest::{self, Manifest};
use crate::version::publish::{self, Keys, Outcome};
use crate::version::snapshot::canonical;

/// Manifest that is committed at the start.
pub const MANIFEST: &str = include_str!("../examples/trust.toml");

/// Services and their numbers of targets.
const SERVICES: [(&str, usize); 2] = [("catalogue-desk", 6), ("parcel-hall", 4)];
/// Number of nodes, one for each target.
pub const NODES: usize = 10;
const ZONES: [&str; 4] = ["a", "b", "c", "d"];
const SLOTS: u32 = 6;
/// Time that a sample backend server takes for a request.
const WORK: Duration = Duration::from_millis(20);
/// Longest wait for a version to be in force on all nodes.
const IN_FORCE_WAIT: Duration = Duration::from_secs(30);
/// Interval between two looks at the nodes' versions; bounds the error of the printed time.
const LOOK_INTERVAL: Duration = Duration::from_millis(2);

/// Ports that a site takes from a fixed first port on.
pub const PORTS: u16 = 1 + 5 * NODES as u16;

/// Loopback addresses in order from a first port, or port 0 for each.
#[derive(Clone, Copy)]
struct Ports(Option<u16>);

impl Ports {
    fn store(self) -> SocketAddr {
        ([127, 0, 0, 1], self.0.unwrap_or(0)).into()
    }

    /// Address of node `i`: row 0 is its caller port, then admin, relay, peer and backend server.
    fn node(self, row: u16, i: usize) -> SocketAddr {
        let port = self.0.map_or(0, |p| p + 1 + row * NODES as u16 + i as u16);
        ([127, 0, 0, 1], port).into()
    }
}

/// A node and the service of its backend server.
pub struct Member {
    /// The node.
    pub node: RunningNode,
    /// Availability zone.
    pub az: &'static str,
    /// Service.
    pub service: &'static str,
}

/// A running site.
pub struct Site {
    /// Address of the store's stand-in.
    pub store: SocketAddr,
    /// Nodes in order of their caller ports.
    pub members: Vec<Member>,
    /// The store behind the stand-in; calls through it are not counted there.
    pub mem: Arc<MemStore>,
    keys: Keys,
    name: SmolStr,
    _store: HttpServer<Arc<StandIn>>,
}

/// A file with a random shared key, readable by this user only. Nodes read it at their start; it is removed after that.
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

/// The embedded manifest.
///
/// # Errors
///
/// [`Exit::Refused`] when the embedded manifest is not valid; a test guards against it.
pub fn sample_manifest() -> CmdResult<Manifest> {
    manifest::parse(MANIFEST).or_else(|f| fail(Exit::Refused, f.to_string()))
}

/// Starts a site without a version. A first port gives fixed addresses; otherwise each listener takes a free port.
///
/// # Errors
///
/// [`Exit::Failed`] when a listener could not be opened.
pub async fn start(first_port: Option<u16>) -> CmdResult<Site> {
    let ports = Ports(first_port);
    let mem = Arc::new(MemStore::default());
    let standin = Arc::new(StandIn::new(mem.clone()));
    let server = server::start(ports.store(), standin)
        .or_else(|e| fail(Exit::Failed, format!("{}: {e}", ports.store())))?;
    let store = server.local_addr();
    let opened = open(ports).await?;
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
            listen: ports.node(4, i),
            slots: SLOTS,
            work_time: WORK,
            ..devbackend::Args::default()
        };
        devbackend::start(backend).await?;
        members.push(Member { node, az, service });
    }
    Ok(Site {
        store,
        members,
        mem,
        keys: Keys::new(&name),
        name,
        _store: server,
    })
}

/// Opens the listeners of all nodes, so that each can name the others as seeds.
async fn open(ports: Ports) -> CmdResult<Vec<(ListenSettings, Listeners)>> {
    let mut opened = Vec::new();
    for i in 0..NODES {
        let listen = ListenSettings {
            caller: ports.node(0, i),
            admin: ports.node(1, i),
            relay: ports.node(2, i),
            peer: ports.node(3, i),
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
    /// Commits a manifest on a base through the stand-in server, as the `commit` command does.
    ///
    /// # Errors
    ///
    /// [`Exit::Failed`] when it is not accepted.
    pub async fn commit(&self, m: &Manifest, base: VersionNumber) -> CmdResult<VersionNumber> {
        let timeout = Duration::from_millis(StoreSettings::default().timeout_ms);
        let store = HttpStore::new(self.store, timeout);
        match publish::commit(&store, &self.name, base, &canonical(m)).await {
            Ok(Outcome::Accepted(v)) => Ok(v.number),
            other => fail(Exit::Failed, format!("commit on {base}: {other:?}")),
        }
    }

    /// Number of nodes that hold at least this version.
    pub fn holders(&self, number: VersionNumber) -> usize {
        let versions = self.members.iter().map(|m| m.node.process.version().number);
        versions.filter(|v| *v >= number).count()
    }

    /// Waits until all nodes hold at least this version.
    ///
    /// # Errors
    ///
    /// [`Exit::Failed`] when it takes longer than 30 s.
    pub async fn in_force(&self, number: VersionNumber) -> CmdResult<Duration> {
        let start = Instant::now();
        while self.holders(number) < self.members.len() {
            if start.elapsed() > IN_FORCE_WAIT {
                let text = format!(
                    "version {number} is in force on {} of {} nodes after {} s",
                    self.holders(number),
                    self.members.len(),
                    IN_FORCE_WAIT.as_secs()
                );
                return fail(Exit::Failed, text);
            }
            tokio::time::sleep(LOOK_INTERVAL).await;
        }
        Ok(start.elapsed())
    }

    /// Waits until the store's head is above a number; returns the new one.
    ///
    /// # Errors
    ///
    /// [`Exit::Failed`] when the store cannot be read.
    pub async fn next_version(&self, after: VersionNumber) -> CmdResult<VersionNumber> {
        let store: &dyn Store = self.mem.as_ref();
        loop {
            let read = publish::read_head(store, &self.keys).await;
            let (head, revision) = read.or_else(store_failed)?;
            if head.version.number > after {
                return Ok(head.version.number);
            }
            let wait = Duration::from_secs(20);
            let seen = store.watch(&self.keys.head(), revision, wait).await;
            seen.or_else(store_failed)?;
        }
    }
}
