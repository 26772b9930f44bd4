//! Control task: drives the state machines for membership, version dissemination and the store watch, and publishes
//! their state to the other tasks.

use std::net::SocketAddr;

use rand::rngs::StdRng;
use tokio::sync::mpsc;
use tokio::time::MissedTickBehavior;

use crate::connection::frame::Frame;
use crate::connection::handshake::{Identity, Remote};
use crate::connection::peer::{LinkError, PeerTransport, RawLink};
use crate::prelude::*;
use crate::process::members::control_view::{ControlMessage, ControlStatus, LivenessMap};
use crate::process::members::link_task::{self, LinkContext, LinkSender};
use crate::process::members::links::{LinkId, MAX_SEED_DIALS};
use crate::process::members::membership::{self, Membership};
use crate::process::node::Process;
use crate::process::versions::dissemination::{self, Dissemination};
use crate::process::versions::watch::{self, Call, Watcher};
use crate::process::versions::watch_calls::Outcome;
use crate::store::StoreError;
use crate::version::adopt::{AdoptSettings, FloorEvent};
use crate::version::snapshot::Snapshot;

/// Interval at which the state machines are ticked.
const TICK_INTERVAL: Duration = Duration::from_millis(100);
/// Capacity of the input channel; links stop reading while it is full.
const INPUT_CAPACITY: usize = 1024;
/// Maximum size of a batch of notices, in bytes; half of the maximum size of such a frame.
const NOTICE_BATCH_BYTES: usize = 32 << 10;

/// An input of the control task.
pub enum Input {
    /// A link completed its handshake; the address is set if this node opened the link.
    LinkUp(RawLink, Remote, Option<SocketAddr>),
    /// An attempt to open a link failed.
    DialFailed(SocketAddr, LinkError),
    /// A link received a frame.
    Frame(LinkId, Frame),
    /// A link ended.
    LinkDown(LinkId),
    /// The check of the content of a version finished.
    ContentChecked(Box<(dissemination::Candidate, Result<Snapshot, &'static str>)>),
    /// A store call finished.
    StoreResult(Call, Result<Outcome, StoreError>),
}

/// State of the control task.
pub(in crate::process) struct Control {
    pub(in crate::process) p: Arc<Process>,
    identity: Identity,
    transport: Arc<dyn PeerTransport>,
    pub(in crate::process) membership: Membership,
    pub(in crate::process) dissemination: Dissemination,
    pub(in crate::process) watcher: Watcher,
    pub(in crate::process) rng: StdRng,
    links: BTreeMap<LinkId, LinkSender>,
    next_link: LinkId,
    pub(in crate::process) inputs: mpsc::Sender<Input>,
}

/// Runs the control task until the process stops.
pub async fn run(p: Arc<Process>, identity: Identity, transport: Arc<dyn PeerTransport>) {
    let (tx, mut inputs) = mpsc::channel(INPUT_CAPACITY);
    let mut c = Control::new(p.clone(), identity, transport.clone(), tx.clone());
    let context = LinkContext::new(p.clone(), c.identity.clone(), tx);
    tokio::spawn(link_task::accept(context, transport));
    let mut ticks = tokio::time::interval(TICK_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            input = inputs.recv() => match input {
                Some(input) => c.handle_input(input),
                None => return,
            },
            _ = ticks.tick() => c.tick(),
            () = p.view.notified() => c.sync_shared_state(),
        }
    }
}

impl Control {
    fn new(
        p: Arc<Process>,
        identity: Identity,
        transport: Arc<dyn PeerTransport>,
        inputs: mpsc::Sender<Input>,
    ) -> Self {
        let now = p.clock.now();
        let mut rng: StdRng = rand::make_rng();
        let seeds = p.settings.peers.seeds.clone();
        let contacts = seeds.len().min(MAX_SEED_DIALS);
        let settings = AdoptSettings::default();
        Self {
            watcher: Watcher::new(now, !seeds.is_empty(), &mut rng),
            dissemination: Dissemination::new(settings, contacts, now, &mut rng),
            membership: Membership::new(now, p.own_record(), seeds, &mut rng),
            identity,
            transport,
            rng,
            links: BTreeMap::new(),
            next_link: 0,
            inputs,
            p,
        }
    }

    fn now(&self) -> Now {
        self.p.clock.now()
    }

    fn handle_input(&mut self, input: Input) {
        let now = self.now();
        match input {
            Input::LinkUp(raw, remote, address) => self.link_up(now, raw, remote, address),
            Input::DialFailed(address, e) => {
                if matches!(e, LinkError::Rejected(_) | LinkError::Invalid(_)) {
                    spdlog::warn!("event=link_refused", kv: {
                        peer = address.to_string(), error = e.to_string()
                    });
                }
                self.membership.dial_failed(now, address, &e, &mut self.rng);
            }
            Input::Frame(id, frame) => self.handle_frame(now, id, frame),
            Input::LinkDown(id) => {
                self.links.remove(&id);
                let out = self.membership.link_down(id);
                self.run_member_actions(now, out);
                let out = self.dissemination.link_down(now, id);
                self.run_dissemination_actions(now, out);
            }
            Input::ContentChecked(checked) => {
                let (candidate, result) = *checked;
                if let Err(kind) = &result {
                    spdlog::warn!("event=content_rejected", kv: {
                        number = candidate.version.number, reason = *kind
                    });
                }
                let out = self.dissemination.checked(now, &candidate, result);
                self.run_dissemination_actions(now, out);
            }
            Input::StoreResult(call, result) => self.handle_store_result(now, &call, result),
        }
    }

    fn link_up(&mut self, now: Now, raw: RawLink, remote: Remote, address: Option<SocketAddr>) {
        self.next_link += 1;
        let id = self.next_link;
        let (node, az) = (remote.node.clone(), remote.az.clone());
        let dialer = address.is_some();
        let sender = link_task::start(&self.p, raw, id, az, dialer, self.inputs.clone());
        self.links.insert(id, sender);
        let out = self.membership.link_up(now, id, remote, address);
        self.run_member_actions(now, out);
        if self.membership.links().contains_key(&id) {
            let out = self.dissemination.link_up(id, node).into_iter().collect();
            self.run_dissemination_actions(now, out);
            let all = self.p.notices.all();
            self.send_notices(now, &[id], all);
        }
    }

    fn handle_frame(&mut self, now: Now, id: LinkId, frame: Frame) {
        match frame {
            Frame::Floor(v) => {
                let version = Some(v).filter(|v| v.number > 0);
                self.update_floor(FloorEvent::Peer(version));
                let out = self.membership.receive(now, id, Frame::Floor(v));
                self.run_member_actions(now, out);
            }
            Frame::Notices(list) => {
                let out = self.membership.receive(now, id, Frame::Ping);
                self.run_member_actions(now, out);
                let changed = self.p.notices.merge(list);
                let others: Vec<_> = self.links.keys().copied().filter(|l| *l != id).collect();
                self.send_notices(now, &others, changed);
            }
            Frame::Announce(_)
            | Frame::Held(_)
            | Frame::ContentRequest(..)
            | Frame::Content(..) => {
                if let Frame::Announce(v) | Frame::Held(v) | Frame::ContentRequest(v, _) = &frame {
                    self.membership.raise_peer_floor(id, *v);
                }
                let out = self.membership.receive(now, id, Frame::Ping);
                self.run_member_actions(now, out);
                let out = self.dissemination.handle_frame(now, id, frame);
                self.run_dissemination_actions(now, out);
            }
            other => {
                let out = self.membership.receive(now, id, other);
                self.run_member_actions(now, out);
            }
        }
    }

    fn update_floor(&mut self, event: FloorEvent) {
        if !self.dissemination.update_floor(event) {
            spdlog::warn!("event=floor_above_held", kv: {
                held = self.dissemination.held().number, floor = self.dissemination.selection().floor()
            });
        }
    }

    fn run_member_actions(&mut self, now: Now, actions: Vec<membership::Action>) {
        use membership::Action;
        for a in actions {
            match a {
                Action::Send(id, frame) => self.send(now, id, &frame),
                Action::Dial(address) => self.dial(address),
                Action::Close(id) => {
                    // Dropping the sender ends the task of the link, which closes the link.
                    self.links.remove(&id);
                    let out = self.dissemination.link_down(now, id);
                    self.run_dissemination_actions(now, out);
                }
                Action::PreviousVersion(v) => self.update_floor(FloorEvent::Peer(Some(v))),
                Action::IncarnationRaised(n) => {
                    spdlog::warn!("event=incarnation_raised", kv: { incarnation = n });
                    self.identity.incarnation = n;
                    self.p.set_incarnation(n);
                }
            }
        }
    }

    pub(in crate::process) fn run_dissemination_actions(
        &mut self,
        now: Now,
        actions: Vec<dissemination::Action>,
    ) {
        use dissemination::Action;
        for a in actions {
            match a {
                Action::Send(id, frame) => self.send(now, id, &frame),
                Action::Check(candidate) => {
                    let inputs = self.inputs.clone();
                    tokio::task::spawn_blocking(move || {
                        let result = candidate.check();
                        let _ = inputs
                            .blocking_send(Input::ContentChecked(Box::new((candidate, result))));
                    });
                }
                Action::Adopt(s) => {
                    if let Some(since) = self.dissemination.known_since(s.version.number) {
                        let elapsed = self.now().saturating_sub(since);
                        self.p.metrics.adopt_seconds.observe(elapsed.as_secs_f64());
                    }
                    self.p.adopt(s);
                    self.sync_shared_state();
                }
                Action::Reject(kind) => {
                    self.p
                        .metrics
                        .rejected_inputs
                        .with_label_values(&[kind])
                        .inc();
                }
            }
        }
    }

    fn send(&mut self, now: Now, id: LinkId, frame: &Frame) {
        let Some(link) = self.links.get(&id) else {
            return;
        };
        match link.send(frame) {
            true => self.membership.frame_sent(now, id),
            // The peer does not read. What is lost is repaired after the next link opens, or the peer is found to be
            // unreachable.
            false => {
                self.links.remove(&id);
                let inputs = self.inputs.clone();
                tokio::spawn(async move { inputs.send(Input::LinkDown(id)).await });
            }
        }
    }

    fn send_notices(
        &mut self,
        now: Now,
        links: &[LinkId],
        list: Vec<crate::process::members::notices::Notice>,
    ) {
        let mut batch = Vec::new();
        let mut size = 0;
        let mut frames = Vec::new();
        for n in list {
            let mut data = Vec::new();
            let _ = ciborium::into_writer(&n, &mut data);
            if size + data.len() > NOTICE_BATCH_BYTES && !batch.is_empty() {
                frames.push(Frame::Notices(std::mem::take(&mut batch)));
                size = 0;
            }
            size += data.len();
            batch.push(n);
        }
        if !batch.is_empty() {
            frames.push(Frame::Notices(batch));
        }
        for frame in frames {
            links.iter().for_each(|id| self.send(now, *id, &frame));
        }
    }

    fn dial(&self, address: SocketAddr) {
        let context = LinkContext::new(self.p.clone(), self.identity.clone(), self.inputs.clone());
        tokio::spawn(link_task::dial(context, self.transport.clone(), address));
    }

    pub(in crate::process) fn sync_shared_state(&mut self) {
        let now = self.now();
        self.membership.set_own(now, self.p.own_record());
        for message in self.p.view.take_messages() {
            match message {
                ControlMessage::Notices(list) => {
                    let all: Vec<_> = self.links.keys().copied().collect();
                    self.send_notices(now, &all, list);
                }
                ControlMessage::Token(v) => self.update_floor(FloorEvent::Backend(v)),
            }
        }
    }

    fn tick(&mut self) {
        let now = self.now();
        self.sync_shared_state();
        self.drop_blocked_links();
        let out = self.membership.tick(now, &mut self.rng);
        self.run_member_actions(now, out);
        let out = self.dissemination.tick(now, &mut self.rng);
        self.run_dissemination_actions(now, out);
        let own = self.membership.own();
        let (table, links) = (self.membership.table(), self.membership.links());
        let zone = || watch::zone_state(table, &own.node, &own.az);
        for call in self.watcher.tick(now, links.len(), zone, &mut self.rng) {
            self.start_store_call(call);
        }
        self.publish_state();
    }

    /// Drops the links to availability zones that an injected fault blocks, as a network partition would.
    fn drop_blocked_links(&mut self) {
        let blocked = |az: &Az| self.p.faults.blocks_zone(az);
        let affected = self.links.iter().filter(|(_, l)| blocked(&l.az));
        let affected: Vec<_> = affected.map(|(id, _)| *id).collect();
        for id in affected {
            self.handle_input(Input::LinkDown(id));
        }
    }

    fn publish_state(&mut self) {
        if self.membership.take_changed() {
            let members = self.membership.table().members();
            let live = members.iter().filter(|(_, m)| !m.liveness.is_dead());
            let records = live.map(|(n, m)| (n.clone(), m.record.clone()));
            self.p.records.store(Arc::new(records.collect()));
            let liveness = members
                .iter()
                .map(|(n, m)| (n.clone(), m.liveness))
                .collect();
            self.p
                .view
                .liveness
                .store(Arc::new(LivenessMap::new(liveness)));
            self.p.routing.refresh(&self.p);
        }
        let links = self.membership.links().values();
        let opened = links.filter(|l| l.dialed).count();
        self.p.view.status.store(Arc::new(ControlStatus {
            newest: self.dissemination.newest(),
            opened,
            accepted: self.membership.links().len() - opened,
            watcher: self.watcher.is_watcher(),
            floor: self.dissemination.selection().floor(),
            forks: self.dissemination.selection().forks().0,
        }));
    }
}
