//! Control task: drives the state machines of membership, dissemination and watching, and publishes what they know.

use std::net::SocketAddr;

use rand::rngs::StdRng;
use tokio::sync::mpsc;
use tokio::time::MissedTickBehavior;

use crate::connection::frame::Frame;
use crate::connection::handshake::{Identity, Remote};
use crate::connection::peer::{LinkError, PeerTransport, RawLink};
use crate::prelude::*;
use crate::process::members::link_task::{self, LinkContext, LinkSender};
use crate::process::members::links::{LinkId, MAX_SEED_DIALS};
use crate::process::members::membership::{self, Membership};
use crate::process::members::view::{ControlMessage, ControlStatus, LivenessMap};
use crate::process::node::Process;
use crate::process::versions::spread::{self, Spread};
use crate::process::versions::watch::{self, Call, Watch};
use crate::process::versions::watch_calls::Outcome;
use crate::store::StoreError;
use crate::version::adopt::{AdoptSettings, FloorEvent};
use crate::version::snapshot::Snapshot;

/// Interval in which the state machines see the passage of time.
const TICK: Duration = Duration::from_millis(100);
/// Inputs that wait for the task; links stop reading when it is full.
const INPUTS: usize = 1024;
/// Most bytes of notices in one frame; frames of this kind may have twice as many.
const NOTICE_BYTES: usize = 32 << 10;

/// An input of the control task.
pub enum Input {
    /// A link finished its handshake; the address is the one that was dialed.
    Up(RawLink, Remote, Option<SocketAddr>),
    /// An attempt to open a link failed.
    Failed(SocketAddr, LinkError),
    /// A link received a frame.
    Frame(LinkId, Frame),
    /// A link ended.
    Down(LinkId),
    /// Content was checked.
    Checked(Box<(spread::Candidate, Result<Snapshot, &'static str>)>),
    /// A store call ended.
    Store(Call, Result<Outcome, StoreError>),
}

/// State of the control task.
pub(in crate::process) struct Control {
    pub(in crate::process) p: Arc<Process>,
    identity: Identity,
    transport: Arc<dyn PeerTransport>,
    pub(in crate::process) membership: Membership,
    pub(in crate::process) spread: Spread,
    pub(in crate::process) watch: Watch,
    pub(in crate::process) rng: StdRng,
    links: BTreeMap<LinkId, LinkSender>,
    next_link: LinkId,
    pub(in crate::process) inputs: mpsc::Sender<Input>,
}

/// Runs the control task for ever.
pub async fn run(p: Arc<Process>, identity: Identity, transport: Arc<dyn PeerTransport>) {
    let (tx, mut inputs) = mpsc::channel(INPUTS);
    let mut c = Control::new(p.clone(), identity, transport.clone(), tx.clone());
    let accepter = LinkContext::new(p.clone(), c.identity.clone(), tx);
    tokio::spawn(link_task::accept(accepter, transport));
    let mut ticks = tokio::time::interval(TICK);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            input = inputs.recv() => match input {
                Some(input) => c.input(input),
                None => return,
            },
            _ = ticks.tick() => c.tick(),
            () = p.view.notified() => c.wake(),
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
            watch: Watch::new(now, !seeds.is_empty(), &mut rng),
            spread: Spread::new(settings, contacts, now, &mut rng),
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

    fn input(&mut self, input: Input) {
        let now = self.now();
        match input {
            Input::Up(raw, remote, dialed) => self.link_up(now, raw, remote, dialed),
            Input::Failed(address, e) => {
                if matches!(e, LinkError::Rejected(_) | LinkError::Invalid(_)) {
                    spdlog::warn!("event=link_refused", kv: {
                        peer = address.to_string(), error = e.to_string()
                    });
                }
                self.membership.dial_failed(now, address, &e, &mut self.rng);
            }
            Input::Frame(id, frame) => self.frame(now, id, frame),
            Input::Down(id) => {
                self.links.remove(&id);
                let out = self.membership.link_down(id);
                self.member_actions(now, out);
                let out = self.spread.link_down(now, id);
                self.spread_actions(now, out);
            }
            Input::Checked(checked) => {
                let (candidate, result) = *checked;
                if let Err(kind) = &result {
                    spdlog::warn!("event=content_rejected", kv: {
                        number = candidate.version.number, reason = *kind
                    });
                }
                let out = self.spread.checked(now, &candidate, result);
                self.spread_actions(now, out);
            }
            Input::Store(call, result) => self.store_reply(now, &call, result),
        }
    }

    fn link_up(&mut self, now: Now, raw: RawLink, remote: Remote, dialed: Option<SocketAddr>) {
        self.next_link += 1;
        let id = self.next_link;
        let (node, az) = (remote.node.clone(), remote.az.clone());
        let dialer = dialed.is_some();
        let sender = link_task::start(&self.p, raw, id, az, dialer, self.inputs.clone());
        self.links.insert(id, sender);
        let out = self.membership.link_up(now, id, remote, dialed);
        self.member_actions(now, out);
        if self.membership.links().contains_key(&id) {
            let out = self.spread.link_up(id, node).into_iter().collect();
            self.spread_actions(now, out);
            let all = self.p.notices.all();
            self.send_notices(now, &[id], all);
        }
    }

    fn frame(&mut self, now: Now, id: LinkId, frame: Frame) {
        match frame {
            Frame::Floor(v) => {
                let former = Some(v).filter(|v| v.number > 0);
                self.learn(FloorEvent::Peer(former));
                let out = self.membership.receive(now, id, Frame::Floor(v));
                self.member_actions(now, out);
            }
            Frame::Notices(list) => {
                let out = self.membership.receive(now, id, Frame::Ping);
                self.member_actions(now, out);
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
                self.member_actions(now, out);
                let out = self.spread.frame(now, id, frame);
                self.spread_actions(now, out);
            }
            other => {
                let out = self.membership.receive(now, id, other);
                self.member_actions(now, out);
            }
        }
    }

    fn learn(&mut self, event: FloorEvent) {
        if !self.spread.learn(event) {
            spdlog::warn!("event=floor_above_held", kv: {
                held = self.spread.held().number, floor = self.spread.selection().floor()
            });
        }
    }

    fn member_actions(&mut self, now: Now, actions: Vec<membership::Action>) {
        use membership::Action;
        for a in actions {
            match a {
                Action::Send(id, frame) => self.send(now, id, &frame),
                Action::Dial(address) => self.dial(address),
                Action::Close(id) => {
                    // The link's task ends, and with it the link, when its sender is dropped.
                    self.links.remove(&id);
                    let out = self.spread.link_down(now, id);
                    self.spread_actions(now, out);
                }
                Action::PreviousVersion(v) => self.learn(FloorEvent::Peer(Some(v))),
                Action::IncarnationRaised(n) => {
                    spdlog::warn!("event=incarnation_raised", kv: { incarnation = n });
                    self.identity.incarnation = n;
                    self.p.set_incarnation(n);
                }
            }
        }
    }

    pub(in crate::process) fn spread_actions(&mut self, now: Now, actions: Vec<spread::Action>) {
        use spread::Action;
        for a in actions {
            match a {
                Action::Send(id, frame) => self.send(now, id, &frame),
                Action::Check(candidate) => {
                    let inputs = self.inputs.clone();
                    tokio::task::spawn_blocking(move || {
                        let result = candidate.check();
                        let _ = inputs.blocking_send(Input::Checked(Box::new((candidate, result))));
                    });
                }
                Action::Adopt(s) => {
                    if let Some(at) = self.spread.heard_at(s.version.number) {
                        let took = self.now().saturating_sub(at);
                        self.p.metrics.adopt_seconds.observe(took.as_secs_f64());
                    }
                    self.p.adopt(s);
                    self.wake();
                }
                Action::Reject(kind) => {
                    self.p.metrics.rejected.with_label_values(&[kind]).inc();
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
            // The peer does not read. Its silence or the repair after the next link covers what was lost.
            false => {
                self.links.remove(&id);
                let inputs = self.inputs.clone();
                tokio::spawn(async move { inputs.send(Input::Down(id)).await });
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
            if size + data.len() > NOTICE_BYTES && !batch.is_empty() {
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

    pub(in crate::process) fn wake(&mut self) {
        let now = self.now();
        self.membership.set_own(now, self.p.own_record());
        for post in self.p.view.take_messages() {
            match post {
                ControlMessage::Notices(list) => {
                    let all: Vec<_> = self.links.keys().copied().collect();
                    self.send_notices(now, &all, list);
                }
                ControlMessage::Token(v) => self.learn(FloorEvent::Backend(v)),
            }
        }
    }

    fn tick(&mut self) {
        let now = self.now();
        self.wake();
        self.cut_blocked_zones();
        let out = self.membership.tick(now, &mut self.rng);
        self.member_actions(now, out);
        let out = self.spread.tick(now, &mut self.rng);
        self.spread_actions(now, out);
        let own = self.membership.own();
        let (table, links) = (self.membership.table(), self.membership.links());
        let zone = || watch::scene(table, &own.node, &own.az);
        for call in self.watch.tick(now, links.len(), zone, &mut self.rng) {
            self.call(call);
        }
        self.publish();
    }

    /// Cuts the links to zones that were blocked by an injected fault, as a partition would.
    fn cut_blocked_zones(&mut self) {
        let blocked = |az: &Az| self.p.faults.blocks_zone(az);
        let found = self.links.iter().filter(|(_, l)| blocked(&l.az));
        let found: Vec<_> = found.map(|(id, _)| *id).collect();
        for id in found {
            self.input(Input::Down(id));
        }
    }

    fn publish(&mut self) {
        if self.membership.take_changed() {
            let members = self.membership.table().members();
            let living = members.iter().filter(|(_, m)| !m.liveness.is_dead());
            let records = living.map(|(n, m)| (n.clone(), m.record.clone()));
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
            heard: self.spread.heard(),
            opened,
            accepted: self.membership.links().len() - opened,
            watcher: self.watch.is_watcher(),
            floor: self.spread.selection().floor(),
            forks: self.spread.selection().forks().0,
        }));
    }
}
