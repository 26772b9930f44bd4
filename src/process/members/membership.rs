//! Membership: exchange of records over links, suspicion and refutation, anti-entropy.

use std::net::SocketAddr;

use rand::rngs::StdRng;
use rand::seq::IteratorRandom;

use crate::connection::frame::{Entry, Frame, Liveness, BUCKETS};
use crate::connection::handshake::Remote;
use crate::connection::peer::LinkError;
use crate::prelude::*;
use crate::process::members::links::{resolve_duplicate, Dialer, Link, LinkId};
use crate::process::members::reconnect::{around, jitter};
use crate::process::members::record::Record;
use crate::process::members::table::{version_wait, Table, RETURN};
use crate::version::snapshot::VersionRef;

/// Interval of batches of records.
pub const BATCH: Duration = Duration::from_millis(100);
/// Time without a frame sent after which a ping is sent.
pub const PING: Duration = Duration::from_secs(1);
/// Time without a frame received after which a peer becomes suspect.
pub const SILENCE: Duration = Duration::from_secs(3);
/// Interval of anti-entropy.
pub const ANTI_ENTROPY: Duration = Duration::from_secs(10);
/// Gap between two ticks that shows that this process was paused.
const PAUSE: Duration = Duration::from_secs(2);

/// What the owner of the state machine has to do.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Send a frame.
    Send(LinkId, Frame),
    /// Open a link.
    Dial(SocketAddr),
    /// Close a link.
    Close(LinkId),
    /// A former process with this node's id ran this version.
    Former(VersionRef),
    /// Another process uses this node's id; this one has taken a higher incarnation.
    Renumbered(Incarnation),
}

/// Membership state of one node.
#[derive(Debug)]
pub struct Membership {
    own: Record,
    table: Table,
    links: BTreeMap<LinkId, Link>,
    dialer: Dialer,
    next_batch: Now,
    /// Time at which the own record is sent for its changed version alone.
    version_due: Option<Now>,
    next_exchange: Now,
    last_tick: Now,
    changed: bool,
}

impl Membership {
    /// Starts with the own record only.
    pub fn new(now: Now, own: Record, seeds: Vec<SocketAddr>, rng: &mut StdRng) -> Self {
        let mut table = Table::new();
        let record = own.clone();
        let liveness = Liveness::Alive;
        table.merge(now, Entry { record, liveness });
        Self {
            dialer: Dialer::new(own.az.clone(), own.addresses.peer, seeds, rng),
            own,
            table,
            links: BTreeMap::new(),
            next_batch: now,
            version_due: None,
            next_exchange: now + jitter(ANTI_ENTROPY, rng),
            last_tick: now,
            changed: true,
        }
    }

    /// Own record.
    pub fn own(&self) -> &Record {
        &self.own
    }

    /// All known nodes.
    pub fn table(&self) -> &Table {
        &self.table
    }

    /// Open links.
    pub fn links(&self) -> &BTreeMap<LinkId, Link> {
        &self.links
    }

    /// Adds addresses of first contacts.
    pub fn add_seeds(&mut self, more: &[SocketAddr]) {
        let known = &mut self.dialer.seeds;
        let new = more.iter().filter(|a| !known.contains(a));
        let new: Vec<_> = new.copied().collect();
        known.extend(new);
    }

    /// Whether the table changed since the last call.
    pub fn take_changed(&mut self) -> bool {
        std::mem::take(&mut self.changed)
    }

    /// Replaces the own record, apart from its incarnation and sequence.
    pub fn set_own(&mut self, now: Now, mut record: Record) {
        record.incarnation = self.own.incarnation;
        record.sequence = self.own.sequence;
        let version = std::mem::replace(&mut record.version, self.own.version);
        if version == self.own.version {
            self.version_due = None;
        } else if self.version_due.is_none() {
            let wait = match self.own.version.number {
                // The first version is sent at once.
                0 => Duration::ZERO,
                _ => version_wait(self.table.members().len(), &self.own.node),
            };
            self.version_due = Some(now + wait);
        }
        let due = self.version_due.is_some_and(|t| t <= now);
        if due || record != self.own {
            self.version_due = None;
            self.own = record;
            self.own.version = version;
            self.own.sequence += 1;
            self.put_own(now);
        }
    }

    /// Notes the version that a linked node says it holds.
    pub fn peer_holds(&mut self, id: LinkId, v: VersionRef) {
        if let Some(link) = self.links.get(&id) {
            self.table.raise_floor(&link.peer, v);
        }
    }

    fn put_own(&mut self, now: Now) {
        let record = self.own.clone();
        let liveness = Liveness::Alive;
        self.table.merge(now, Entry { record, liveness });
        let node = self.own.node.clone();
        self.spread(&node, None);
    }

    /// Queues an entry for all links but the one that it came from.
    fn spread(&mut self, node: &NodeId, from: Option<LinkId>) {
        self.changed = true;
        for (id, link) in &mut self.links {
            if Some(*id) != from {
                link.pending.insert(node.clone());
            }
        }
    }

    /// Takes a new link; `dialed` is the address that was dialed, if this node opened it.
    pub fn link_up(
        &mut self,
        now: Now,
        id: LinkId,
        remote: Remote,
        dialed: Option<SocketAddr>,
    ) -> Vec<Action> {
        if let Some(a) = dialed {
            self.dialer.opened(a);
        }
        let ours = dialed.is_some();
        let (keep, replaced) = resolve_duplicate(&self.links, &self.own.node, &remote, ours);
        if !keep {
            return vec![Action::Send(id, Frame::Bye), Action::Close(id)];
        }
        let mut out = Vec::new();
        if let Some(old) = replaced {
            self.links.remove(&old);
            out.extend([Action::Send(old, Frame::Bye), Action::Close(old)]);
        }
        let held = self.table.members().get(&remote.node);
        let floor = held.map_or_else(VersionRef::default, |m| m.floor);
        // An entry with a mark lets the peer refute it.
        let doubt = held
            .filter(|m| m.record.incarnation == remote.incarnation && m.liveness != Liveness::Alive)
            .map(|m| m.record.node.clone());
        let pending = doubt.into_iter().chain([self.own.node.clone()]).collect();
        self.links.insert(
            id,
            Link {
                peer: remote.node,
                incarnation: remote.incarnation,
                az: remote.az,
                dialed: ours,
                opened: now,
                heard: now,
                sent: now,
                pending,
            },
        );
        out.push(Action::Send(id, Frame::Floor(floor)));
        out.extend(self.batch(id));
        if ours {
            out.push(Action::Send(id, self.hashes()));
        }
        out
    }

    /// Takes the end of a link that this node did not close itself.
    pub fn link_down(&mut self, id: LinkId) -> Vec<Action> {
        let Some(link) = self.links.remove(&id) else {
            return Vec::new();
        };
        // Whether the peer still runs shows when the link is opened again.
        match self.table.members().get(&link.peer) {
            Some(m) if m.liveness == Liveness::Alive => {
                let address = m.record.addresses.peer;
                let start = self.dialer.start(address, &link.az);
                start.then_some(Action::Dial(address)).into_iter().collect()
            }
            _ => Vec::new(),
        }
    }

    /// Takes the failure of an attempt to open a link.
    pub fn dial_failed(
        &mut self,
        now: Now,
        address: SocketAddr,
        error: &LinkError,
        rng: &mut StdRng,
    ) {
        let doubt = self.dialer.failed(now, address, error, rng);
        let found = self.table.members().values().find(|m| {
            m.record.addresses.peer == address
                && m.liveness == Liveness::Alive
                && m.record.node != self.own.node
        });
        let linked = |n: &NodeId| self.links.values().any(|l| l.peer == *n);
        match found.map(|m| m.record.node.clone()) {
            Some(node) if doubt && !linked(&node) => self.suspect(now, &node),
            _ => {}
        }
    }

    fn suspect(&mut self, now: Now, node: &NodeId) {
        if self.table.raise_liveness(now, node, Liveness::Suspect) {
            self.spread(node, None);
        }
    }

    /// Takes a frame; kinds that are not about membership only count as a sign of life.
    pub fn frame(&mut self, now: Now, id: LinkId, frame: Frame) -> Vec<Action> {
        let Some(link) = self.links.get_mut(&id) else {
            return Vec::new();
        };
        link.heard = now;
        match frame {
            Frame::Records(list) => list
                .into_iter()
                .filter_map(|e| self.entry(now, id, e))
                .collect(),
            Frame::BucketHashes(theirs) if theirs.len() == BUCKETS => self.compare(id, &theirs),
            Frame::BucketRequest(bits) => {
                let found = self.table.in_buckets(bits);
                self.queue(id, found);
                Vec::new()
            }
            Frame::Bye => {
                self.links.remove(&id);
                vec![Action::Close(id)]
            }
            _ => Vec::new(),
        }
    }

    fn queue(&mut self, id: LinkId, nodes: Vec<NodeId>) {
        if let Some(link) = self.links.get_mut(&id) {
            link.pending.extend(nodes);
        }
    }

    fn entry(&mut self, now: Now, from: LinkId, e: Entry) -> Option<Action> {
        if e.record.node == self.own.node {
            return self.own_entry(now, &e);
        }
        let node = e.record.node.clone();
        if self.table.merge(now, e) {
            self.spread(&node, Some(from));
        }
        None
    }

    /// Answers an entry about this node: refutes a mark, and takes a higher incarnation than another process with the
    /// same id.
    fn own_entry(&mut self, now: Now, e: &Entry) -> Option<Action> {
        let (held, heard) = (self.own.order(), e.record.order());
        match heard.0.cmp(&held.0) {
            std::cmp::Ordering::Less => Some(Action::Former(e.record.version)),
            std::cmp::Ordering::Equal if heard < held => None,
            std::cmp::Ordering::Equal if e.record == self.own => {
                if e.liveness != Liveness::Alive {
                    self.own.sequence += 1;
                    self.put_own(now);
                }
                None
            }
            _ => {
                self.own.incarnation = heard.0 + 1;
                self.put_own(now);
                Some(Action::Renumbered(self.own.incarnation))
            }
        }
    }

    fn hashes(&self) -> Frame {
        Frame::BucketHashes(self.table.hashes().to_vec())
    }

    fn compare(&mut self, id: LinkId, theirs: &[u64]) -> Vec<Action> {
        let pairs = self.table.hashes().iter().zip(theirs).enumerate();
        let bits = pairs
            .filter(|(_, (a, b))| a != b)
            .fold(0, |bits, (i, _)| bits | 1 << i);
        if bits == 0 {
            return Vec::new();
        }
        let found = self.table.in_buckets(bits);
        self.queue(id, found);
        vec![Action::Send(id, Frame::BucketRequest(bits))]
    }

    fn batch(&mut self, id: LinkId) -> Option<Action> {
        let frame = self.links.get_mut(&id)?.batch(&self.table)?;
        Some(Action::Send(id, frame))
    }

    /// Notes that a frame was sent, so that no ping is needed.
    pub fn sent(&mut self, now: Now, id: LinkId) {
        if let Some(link) = self.links.get_mut(&id) {
            link.sent = now;
        }
    }

    /// Applies the passage of time.
    pub fn tick(&mut self, now: Now, rng: &mut StdRng) -> Vec<Action> {
        let mut out = Vec::new();
        if self.last_tick + PAUSE < now {
            // This process was paused: the silence of the others means nothing.
            self.links.values_mut().for_each(|l| l.heard = now);
        }
        self.last_tick = now;
        self.check_silence(now, &mut out);
        let open = self.links.values();
        let touched: Vec<_> = open
            .filter(|l| l.opened + RETURN <= now)
            .map(|l| l.az.clone())
            .collect();
        for node in self.table.tick(now, &touched) {
            self.spread(&node, None);
        }
        if self.next_batch <= now {
            self.next_batch = now + BATCH;
            let ids: Vec<_> = self.links.keys().copied().collect();
            out.extend(ids.into_iter().filter_map(|id| self.batch(id)));
        }
        if self.next_exchange <= now {
            self.next_exchange = now + around(ANTI_ENTROPY, rng);
            let chosen = self.links.keys().choose(rng);
            out.extend(chosen.map(|id| Action::Send(*id, self.hashes())));
        }
        let found = self.dialer.choose(now, &self.table, &self.links, rng);
        out.extend(found.into_iter().map(Action::Dial));
        if let Some(id) = self.dialer.surplus(now, &self.links, rng) {
            self.links.remove(&id);
            out.extend([Action::Send(id, Frame::Bye), Action::Close(id)]);
        }
        out
    }

    fn check_silence(&mut self, now: Now, out: &mut Vec<Action>) {
        let silent = self.links.iter().filter(|(_, l)| l.heard + SILENCE <= now);
        let silent: Vec<_> = silent.map(|(id, l)| (*id, l.peer.clone())).collect();
        for (id, peer) in silent {
            self.links.remove(&id);
            out.push(Action::Close(id));
            self.suspect(now, &peer);
        }
        for (id, link) in &self.links {
            if link.sent + PING <= now {
                out.push(Action::Send(*id, Frame::Ping));
            }
        }
    }
}
