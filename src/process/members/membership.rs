//! Membership protocol: exchange of records over links, suspicion and refutation, anti-entropy.

use std::net::SocketAddr;

use rand::rngs::StdRng;
use rand::seq::IteratorRandom;

use crate::connection::frame::{Entry, Frame, Liveness, BUCKETS};
use crate::connection::handshake::Remote;
use crate::connection::peer::LinkError;
use crate::prelude::*;
use crate::process::members::backoff::{jitter, with_jitter};
use crate::process::members::links::{resolve_duplicate, Dialer, Link, LinkId};
use crate::process::members::record::Record;
use crate::process::members::table::{version_delay, MemberTable, RETURN_TIMEOUT};
use crate::version::snapshot::VersionRef;

/// Interval at which pending entries are sent in batches.
pub const BATCH_INTERVAL: Duration = Duration::from_millis(100);
/// Idle time after which a ping is sent on a link.
pub const PING_INTERVAL: Duration = Duration::from_secs(1);
/// Time without a received frame after which the link is closed and its peer becomes suspect.
pub const RECEIVE_TIMEOUT: Duration = Duration::from_secs(3);
/// Interval at which bucket hashes are compared with a random peer.
pub const ANTI_ENTROPY_INTERVAL: Duration = Duration::from_secs(10);
/// Time between two ticks from which on this process counts as paused.
const PAUSE_THRESHOLD: Duration = Duration::from_secs(2);

/// An action that the owner of the state machine has to carry out.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Send a frame, unless the link has ended.
    Send(LinkId, Frame),
    /// Open a link to the node that listens on this address.
    Dial(SocketAddr),
    /// Close a link after its queued frames were sent.
    Close(LinkId),
    /// An earlier process with this node's id ran this version.
    PreviousVersion(VersionRef),
    /// Another process uses this node's id; this one has taken this higher incarnation.
    IncarnationRaised(Incarnation),
}

/// Membership state machine of one node.
#[derive(Debug)]
pub struct Membership {
    own: Record,
    table: MemberTable,
    links: BTreeMap<LinkId, Link>,
    dialer: Dialer,
    next_batch: Now,
    /// Time at which this node's record is sent even if nothing but its version has changed.
    version_due: Option<Now>,
    /// Time of the next exchange of bucket hashes.
    next_exchange: Now,
    last_tick: Now,
    changed: bool,
}

impl Membership {
    /// Creates a state machine that knows only its own record.
    pub fn new(now: Now, own: Record, seeds: Vec<SocketAddr>, rng: &mut StdRng) -> Self {
        let mut table = MemberTable::new();
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
            next_exchange: now + jitter(ANTI_ENTROPY_INTERVAL, rng),
            last_tick: now,
            changed: true,
        }
    }

    /// Record of this node as it was published last; its version may be older than the one in force.
    pub fn own(&self) -> &Record {
        &self.own
    }

    /// Table of all known nodes, including this one.
    pub fn table(&self) -> &MemberTable {
        &self.table
    }

    /// Open links, except those for which an [`Action::Close`] was returned.
    pub fn links(&self) -> &BTreeMap<LinkId, Link> {
        &self.links
    }

    /// Adds addresses to dial while there is no link.
    pub fn add_seeds(&mut self, addresses: &[SocketAddr]) {
        let known = &mut self.dialer.seeds;
        let new = addresses.iter().filter(|a| !known.contains(a));
        let new: Vec<_> = new.copied().collect();
        known.extend(new);
    }

    /// Whether the table changed since the last call.
    pub fn take_changed(&mut self) -> bool {
        std::mem::take(&mut self.changed)
    }

    /// Replaces this node's record, except for its incarnation and sequence. A change of the version alone is delayed
    /// by [`version_delay`].
    pub fn set_own(&mut self, now: Now, mut record: Record) {
        record.incarnation = self.own.incarnation;
        record.sequence = self.own.sequence;
        let version = std::mem::replace(&mut record.version, self.own.version);
        if version == self.own.version {
            self.version_due = None;
        } else if self.version_due.is_none() {
            let wait = match self.own.version.number {
                // The first version is sent without a delay.
                0 => Duration::ZERO,
                _ => version_delay(self.table.members().len(), &self.own.node),
            };
            self.version_due = Some(now + wait);
        }
        let due = self.version_due.is_some_and(|t| t <= now);
        if due || record != self.own {
            self.version_due = None;
            self.own = record;
            self.own.version = version;
            self.own.sequence += 1;
            self.publish_own(now);
        }
    }

    /// Raises the version floor of a linked peer to a version that it holds; see [`MemberTable::raise_floor`].
    pub fn raise_peer_floor(&mut self, id: LinkId, v: VersionRef) {
        if let Some(link) = self.links.get(&id) {
            self.table.raise_floor(&link.peer, v);
        }
    }

    fn publish_own(&mut self, now: Now) {
        let record = self.own.clone();
        let liveness = Liveness::Alive;
        self.table.merge(now, Entry { record, liveness });
        let node = self.own.node.clone();
        self.broadcast(&node, None);
    }

    /// Queues the entry of a node for all links except the one that it came from.
    fn broadcast(&mut self, node: &NodeId, from: Option<LinkId>) {
        self.changed = true;
        for (id, link) in &mut self.links {
            if Some(*id) != from {
                link.pending.insert(node.clone());
            }
        }
    }

    /// Processes a new link. `address` is the one that was dialed, if this node opened the link.
    pub fn link_up(
        &mut self,
        now: Now,
        id: LinkId,
        remote: Remote,
        address: Option<SocketAddr>,
    ) -> Vec<Action> {
        if let Some(a) = address {
            self.dialer.dial_succeeded(a);
        }
        let is_dialer = address.is_some();
        let (keep, replaced) = resolve_duplicate(&self.links, &self.own.node, &remote, is_dialer);
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
        // The entry of a suspect peer is sent to the peer, so that it can refute the suspicion.
        let suspect = held
            .filter(|m| m.record.incarnation == remote.incarnation && m.liveness != Liveness::Alive)
            .map(|m| m.record.node.clone());
        let pending = suspect.into_iter().chain([self.own.node.clone()]).collect();
        self.links.insert(
            id,
            Link {
                peer: remote.node,
                incarnation: remote.incarnation,
                az: remote.az,
                dialed: is_dialer,
                opened_at: now,
                last_received: now,
                last_sent: now,
                pending,
            },
        );
        out.push(Action::Send(id, Frame::Floor(floor)));
        out.extend(self.batch_frame(id));
        if is_dialer {
            out.push(Action::Send(id, self.hashes_frame()));
        }
        out
    }

    /// Processes the end of a link that this node did not close itself.
    pub fn link_down(&mut self, id: LinkId) -> Vec<Action> {
        let Some(link) = self.links.remove(&id) else {
            return Vec::new();
        };
        // Dials the peer at once, to find out whether it still runs.
        match self.table.members().get(&link.peer) {
            Some(m) if m.liveness == Liveness::Alive => {
                let address = m.record.addresses.peer;
                let dial = self.dialer.mark_dialing(address, &link.az);
                dial.then_some(Action::Dial(address)).into_iter().collect()
            }
            _ => Vec::new(),
        }
    }

    /// Processes the failure of a dial, after which an alive node with this address may become suspect.
    pub fn dial_failed(
        &mut self,
        now: Now,
        address: SocketAddr,
        error: &LinkError,
        rng: &mut StdRng,
    ) {
        let suspect = self.dialer.dial_failed(now, address, error, rng);
        let found = self.table.members().values().find(|m| {
            m.record.addresses.peer == address
                && m.liveness == Liveness::Alive
                && m.record.node != self.own.node
        });
        let linked = |n: &NodeId| self.links.values().any(|l| l.peer == *n);
        match found.map(|m| m.record.node.clone()) {
            Some(node) if suspect && !linked(&node) => self.suspect(now, &node),
            _ => {}
        }
    }

    fn suspect(&mut self, now: Now, node: &NodeId) {
        if self.table.raise_liveness(now, node, Liveness::Suspect) {
            self.broadcast(node, None);
        }
    }

    /// Processes a received frame. Every frame shows that the peer runs; frames that are not about membership have no
    /// other effect.
    pub fn receive(&mut self, now: Now, id: LinkId, frame: Frame) -> Vec<Action> {
        let Some(link) = self.links.get_mut(&id) else {
            return Vec::new();
        };
        link.last_received = now;
        match frame {
            Frame::Records(list) => list
                .into_iter()
                .filter_map(|e| self.receive_entry(now, id, e))
                .collect(),
            Frame::BucketHashes(theirs) if theirs.len() == BUCKETS => self.compare(id, &theirs),
            Frame::BucketRequest(bits) => {
                let found = self.table.in_buckets(bits);
                self.queue_entries(id, found);
                Vec::new()
            }
            Frame::Bye => {
                self.links.remove(&id);
                vec![Action::Close(id)]
            }
            _ => Vec::new(),
        }
    }

    fn queue_entries(&mut self, id: LinkId, nodes: Vec<NodeId>) {
        if let Some(link) = self.links.get_mut(&id) {
            link.pending.extend(nodes);
        }
    }

    fn receive_entry(&mut self, now: Now, from: LinkId, e: Entry) -> Option<Action> {
        if e.record.node == self.own.node {
            return self.receive_own_entry(now, &e);
        }
        let node = e.record.node.clone();
        if self.table.merge(now, e) {
            self.broadcast(&node, Some(from));
        }
        None
    }

    /// Processes an entry about this node: refutes a suspicion by a higher sequence, and takes a higher incarnation if
    /// another process uses the same id.
    fn receive_own_entry(&mut self, now: Now, e: &Entry) -> Option<Action> {
        let (held, received) = (self.own.order(), e.record.order());
        match received.0.cmp(&held.0) {
            std::cmp::Ordering::Less => Some(Action::PreviousVersion(e.record.version)),
            std::cmp::Ordering::Equal if received < held => None,
            std::cmp::Ordering::Equal if e.record == self.own => {
                if e.liveness != Liveness::Alive {
                    self.own.sequence += 1;
                    self.publish_own(now);
                }
                None
            }
            _ => {
                self.own.incarnation = received.0 + 1;
                self.publish_own(now);
                Some(Action::IncarnationRaised(self.own.incarnation))
            }
        }
    }

    fn hashes_frame(&self) -> Frame {
        Frame::BucketHashes(self.table.bucket_hashes().to_vec())
    }

    fn compare(&mut self, id: LinkId, theirs: &[u64]) -> Vec<Action> {
        let pairs = self.table.bucket_hashes().iter().zip(theirs).enumerate();
        let bits = pairs
            .filter(|(_, (a, b))| a != b)
            .fold(0, |bits, (i, _)| bits | 1 << i);
        if bits == 0 {
            return Vec::new();
        }
        let found = self.table.in_buckets(bits);
        self.queue_entries(id, found);
        vec![Action::Send(id, Frame::BucketRequest(bits))]
    }

    fn batch_frame(&mut self, id: LinkId) -> Option<Action> {
        let frame = self.links.get_mut(&id)?.take_batch(&self.table)?;
        Some(Action::Send(id, frame))
    }

    /// Records that a frame was sent, which postpones the next ping.
    pub fn frame_sent(&mut self, now: Now, id: LinkId) {
        if let Some(link) = self.links.get_mut(&id) {
            link.last_sent = now;
        }
    }

    /// Does what is due at `now`; to be called periodically.
    pub fn tick(&mut self, now: Now, rng: &mut StdRng) -> Vec<Action> {
        let mut out = Vec::new();
        if self.last_tick + PAUSE_THRESHOLD < now {
            // While this process was paused it could not receive frames, so its peers are not to be suspected.
            self.links.values_mut().for_each(|l| l.last_received = now);
        }
        self.last_tick = now;
        self.check_idle_links(now, &mut out);
        let open = self.links.values();
        let linked_zones: Vec<_> = open
            .filter(|l| l.opened_at + RETURN_TIMEOUT <= now)
            .map(|l| l.az.clone())
            .collect();
        for node in self.table.tick(now, &linked_zones) {
            self.broadcast(&node, None);
        }
        if self.next_batch <= now {
            self.next_batch = now + BATCH_INTERVAL;
            let ids: Vec<_> = self.links.keys().copied().collect();
            out.extend(ids.into_iter().filter_map(|id| self.batch_frame(id)));
        }
        if self.next_exchange <= now {
            self.next_exchange = now + with_jitter(ANTI_ENTROPY_INTERVAL, rng);
            let chosen = self.links.keys().choose(rng);
            out.extend(chosen.map(|id| Action::Send(*id, self.hashes_frame())));
        }
        let found = self.dialer.choose(now, &self.table, &self.links, rng);
        out.extend(found.into_iter().map(Action::Dial));
        if let Some(id) = self.dialer.choose_surplus(now, &self.links, rng) {
            self.links.remove(&id);
            out.extend([Action::Send(id, Frame::Bye), Action::Close(id)]);
        }
        out
    }

    fn check_idle_links(&mut self, now: Now, out: &mut Vec<Action>) {
        let timed_out = self
            .links
            .iter()
            .filter(|(_, l)| l.last_received + RECEIVE_TIMEOUT <= now);
        let timed_out: Vec<_> = timed_out.map(|(id, l)| (*id, l.peer.clone())).collect();
        for (id, peer) in timed_out {
            self.links.remove(&id);
            out.push(Action::Close(id));
            self.suspect(now, &peer);
        }
        for (id, link) in &self.links {
            if link.last_sent + PING_INTERVAL <= now {
                out.push(Action::Send(*id, Frame::Ping));
            }
        }
    }
}
