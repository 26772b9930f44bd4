//! Dissemination of versions: announcements, deltas or whole content on request, periodic repair.

use std::collections::VecDeque;

use rand::rngs::StdRng;
use rand::seq::IteratorRandom;

use crate::connection::frame::{ContentForm, Frame, MAX_FRAME_BYTES};
use crate::digest::Digest;
use crate::prelude::*;
use crate::process::members::backoff::{jitter, with_jitter};
use crate::process::members::links::LinkId;
use crate::process::versions::content::pack;
pub use crate::process::versions::content::Candidate;
use crate::version::adopt::{AdoptSettings, FloorEvent, HeadAction, Selection, Verdict};
use crate::version::delta::Delta;
use crate::version::snapshot::{Snapshot, VersionRef};

/// Versions kept as bases of deltas.
pub const BASES: usize = 16;
/// Time after which a request goes to the next announcer.
pub const ASK_TIMEOUT: Duration = Duration::from_secs(1);
/// Interval of the comparison with one linked peer.
pub const COMPARE: Duration = Duration::from_secs(5);
/// Senders of bad content that are remembered.
const MAX_BAD: usize = 256;
/// Room in a frame for everything but the content.
const FRAME_ROOM: usize = 256;

/// What the owner of the state machine has to do.
#[derive(Debug)]
pub enum Action {
    /// Send a frame.
    Send(LinkId, Frame),
    /// Run [`Candidate::check`] and feed the result to [`Spread::checked`].
    Check(Candidate),
    /// Put a version in force.
    Adopt(Arc<Snapshot>),
    /// Count rejected input by this kind.
    Reject(&'static str),
}

#[derive(Debug)]
struct Peer {
    node: NodeId,
    /// Version that the peer is known to hold.
    holds: VersionRef,
    /// Version asked for, and when.
    asked: Option<(VersionRef, Now)>,
    /// Whether the next answer to this peer is whole content, because a delta did not serve it.
    whole: bool,
}

/// Dissemination state of one node.
#[derive(Debug)]
pub struct Spread {
    selection: Selection,
    bases: VecDeque<Arc<Snapshot>>,
    /// Checked content that waits for the version floor.
    ready: Option<Arc<Snapshot>>,
    peers: BTreeMap<LinkId, Peer>,
    /// Version that is being fetched, and the peers to ask for it, in turn.
    wanted: Option<(VersionRef, VecDeque<LinkId>)>,
    /// Version whose content is being checked; it is not asked for meanwhile.
    checking: Option<VersionRef>,
    heard: VersionRef,
    heard_at: Now,
    bad: VecDeque<(NodeId, VersionRef)>,
    next_compare: Now,
    packed: Option<(Digest, Digest, ContentForm, Vec<u8>)>,
}

impl Spread {
    /// Starts without a version. `contacts` is the number of peers that are asked for a former record of this node.
    pub fn new(settings: AdoptSettings, contacts: usize, now: Now, rng: &mut StdRng) -> Self {
        Self {
            selection: Selection::new(settings, contacts, now),
            bases: VecDeque::new(),
            ready: None,
            peers: BTreeMap::new(),
            wanted: None,
            checking: None,
            heard: VersionRef::default(),
            heard_at: now,
            bad: VecDeque::new(),
            next_compare: now + jitter(COMPARE, rng),
            packed: None,
        }
    }

    /// Version in force.
    pub fn held(&self) -> VersionRef {
        self.selection.held()
    }

    /// Version in force with its content.
    pub fn snapshot(&self) -> Option<&Arc<Snapshot>> {
        self.bases.back()
    }

    /// Version with the greatest number that was announced.
    pub fn heard(&self) -> VersionRef {
        self.heard
    }

    /// Time at which this version was first heard of; `None` when a newer one was heard of since.
    pub fn heard_at(&self, number: VersionNumber) -> Option<Now> {
        (self.heard.number == number).then_some(self.heard_at)
    }

    /// Rules of the selection.
    pub fn selection(&self) -> &Selection {
        &self.selection
    }

    /// Takes what a source says about the version floor.
    pub fn learn(&mut self, event: FloorEvent) -> bool {
        self.selection.learn(event)
    }

    /// Compares the store's head with the held version.
    pub fn compare_head(&mut self, head: VersionRef, now: Now) -> HeadAction {
        self.hear(now, head);
        self.selection.compare_head(head, now)
    }

    fn hear(&mut self, now: Now, v: VersionRef) {
        if v.number > self.heard.number {
            self.heard = v;
            self.heard_at = now;
        }
    }

    fn announcement(&self) -> Option<Frame> {
        let s = self.bases.back()?;
        Some(Frame::Announce(s.version))
    }

    /// Takes a new link.
    pub fn link_up(&mut self, id: LinkId, node: NodeId) -> Option<Action> {
        self.peers.insert(
            id,
            Peer {
                node,
                holds: VersionRef::default(),
                asked: None,
                whole: false,
            },
        );
        self.announcement().map(|f| Action::Send(id, f))
    }

    /// Takes the end of a link.
    pub fn link_down(&mut self, now: Now, id: LinkId) -> Vec<Action> {
        self.peers.remove(&id);
        if let Some((_, queue)) = &mut self.wanted {
            queue.retain(|l| *l != id);
        }
        self.ask(now).into_iter().collect()
    }

    /// Takes a frame; kinds that are not about versions are ignored.
    pub fn frame(&mut self, now: Now, id: LinkId, frame: Frame) -> Vec<Action> {
        match frame {
            Frame::Announce(v) => self.offered(now, id, v),
            Frame::Held(v) if v.number < self.held().number => {
                self.note(id, v);
                let answer = self.announcement().map(|f| Action::Send(id, f));
                answer.into_iter().collect()
            }
            Frame::Held(v) => self.offered(now, id, v),
            Frame::ContentRequest(have, want) => self.answer(id, have, want).into_iter().collect(),
            Frame::Content(v, parent, form, data) => {
                let found = self.take_content(id, v, parent, form, data);
                found.map(Action::Check).into_iter().collect()
            }
            _ => Vec::new(),
        }
    }

    fn note(&mut self, id: LinkId, v: VersionRef) {
        if let Some(p) = self.peers.get_mut(&id) {
            p.holds = v;
        }
    }

    fn offered(&mut self, now: Now, id: LinkId, v: VersionRef) -> Vec<Action> {
        self.note(id, v);
        self.hear(now, v);
        let verdict = self.selection.judge(v, now);
        let held = self.ready.as_ref().is_some_and(|s| s.version == v);
        match verdict {
            Verdict::Fork => return vec![Action::Reject("version-fork")],
            Verdict::BelowFloor => return vec![Action::Reject("version-below-floor")],
            v if !v.is_wanted() || held => return Vec::new(),
            _ => {}
        }
        match &mut self.wanted {
            Some((w, queue)) if *w == v => {
                if !queue.contains(&id) {
                    queue.push_back(id);
                }
            }
            // Another hash under the same number waits until nobody is left to ask for the first.
            Some((w, queue)) if w.number >= v.number && !queue.is_empty() => {}
            _ => self.wanted = Some((v, VecDeque::from([id]))),
        }
        self.ask(now).into_iter().collect()
    }

    /// Asks the next announcer, unless a request has not run out of time yet.
    fn ask(&mut self, now: Now) -> Option<Action> {
        let (v, queue) = self.wanted.as_mut()?;
        let v = *v;
        let waits = |p: &Peer| {
            p.asked
                .is_some_and(|(w, t)| w == v && t + ASK_TIMEOUT > now)
        };
        if self.checking == Some(v) || self.peers.values().any(waits) {
            return None;
        }
        let (peers, bad) = (&self.peers, &self.bad);
        queue.retain(|l| {
            let peer = peers.get(l);
            peer.is_some_and(|p| !bad.iter().any(|(n, w)| *n == p.node && *w == v))
        });
        let Some(id) = queue.pop_front() else {
            self.wanted = None;
            return None;
        };
        queue.push_back(id);
        let peer = self.peers.get_mut(&id)?;
        peer.asked = Some((v, now));
        // A request without a base is answered with whole content.
        let have = match peer.whole {
            true => VersionRef::default(),
            false => self.selection.held(),
        };
        Some(Action::Send(id, Frame::ContentRequest(have, v)))
    }

    fn answer(&mut self, id: LinkId, have: VersionRef, want: VersionRef) -> Option<Action> {
        let find = |v: VersionRef| self.bases.iter().find(|s| s.version == v).cloned();
        let Some(s) = find(want) else {
            return self.announcement().map(|f| Action::Send(id, f));
        };
        let base = find(have).map_or_else(Digest::default, |b| b.version.hash);
        let (form, data) = match &self.packed {
            Some((b, w, form, data)) if *b == base && *w == want.hash => (*form, data.clone()),
            _ => {
                let (form, data) = pack(find(have).as_deref(), &s);
                self.packed = Some((base, want.hash, form, data.clone()));
                (form, data)
            }
        };
        if data.len() + FRAME_ROOM > MAX_FRAME_BYTES {
            return Some(Action::Reject("content-too-large"));
        }
        let frame = Frame::Content(s.version, s.parent, form, data);
        Some(Action::Send(id, frame))
    }

    /// Takes content only from a peer that was asked for it.
    fn take_content(
        &mut self,
        id: LinkId,
        version: VersionRef,
        parent: Digest,
        form: ContentForm,
        data: Vec<u8>,
    ) -> Option<Candidate> {
        let peer = self.peers.get_mut(&id)?;
        match peer.asked {
            Some((v, _)) if v == version => {
                peer.asked = None;
                self.checking = Some(version);
            }
            _ => return None,
        }
        let base = match form {
            ContentForm::Full => None,
            ContentForm::Delta => {
                let hash = Delta::from_bytes(&data).map(|d| d.base).ok();
                let mut found = self.bases.iter();
                found.find(|s| Some(s.version.hash) == hash).cloned()
            }
        };
        Some(Candidate {
            from: id,
            version,
            parent,
            form,
            data,
            base,
        })
    }

    /// Takes the result of a check.
    pub fn checked(
        &mut self,
        now: Now,
        candidate: &Candidate,
        result: Result<Snapshot, &'static str>,
    ) -> Vec<Action> {
        self.checking = None;
        match result {
            Ok(s) => self.fetched(now, Arc::new(s)),
            Err(kind) => {
                if let Some(p) = self.peers.get_mut(&candidate.from) {
                    match candidate.form {
                        // This node may have dropped the base in the meantime.
                        ContentForm::Delta if candidate.base.is_none() && !p.whole => {
                            p.whole = true
                        }
                        _ => self.bad.push_back((p.node.clone(), candidate.version)),
                    }
                }
                if self.bad.len() > MAX_BAD {
                    self.bad.pop_front();
                }
                let mut out = vec![Action::Reject(kind)];
                out.extend(self.ask(now));
                out
            }
        }
    }

    /// Takes content that is complete and valid, from a peer or from the store.
    pub fn fetched(&mut self, now: Now, s: Arc<Snapshot>) -> Vec<Action> {
        self.hear(now, s.version);
        match self.selection.adopt(s.version, s.parent, now) {
            Verdict::Adopt => {}
            Verdict::Wait(_) => {
                let newer = |r: &Arc<Snapshot>| r.version.number < s.version.number;
                if self.ready.as_ref().is_none_or(newer) {
                    self.ready = Some(s);
                }
                return Vec::new();
            }
            Verdict::Fork => return vec![Action::Reject("version-fork")],
            Verdict::BelowFloor => return vec![Action::Reject("version-below-floor")],
            Verdict::Held | Verdict::Older => return Vec::new(),
        }
        self.bases.push_back(s.clone());
        if self.bases.len() > BASES {
            self.bases.pop_front();
        }
        if self
            .wanted
            .as_ref()
            .is_some_and(|(w, _)| w.number <= s.version.number)
        {
            self.wanted = None;
        }
        let mut out = vec![Action::Adopt(s.clone())];
        for (id, p) in &mut self.peers {
            p.whole = false;
            if p.holds.number < s.version.number {
                out.push(Action::Send(*id, Frame::Announce(s.version)));
            }
        }
        out
    }

    /// Applies the passage of time.
    pub fn tick(&mut self, now: Now, rng: &mut StdRng) -> Vec<Action> {
        let mut out = Vec::new();
        if let Some(s) = self.ready.take() {
            out.extend(self.fetched(now, s));
        }
        out.extend(self.ask(now));
        if self.next_compare <= now {
            self.next_compare = now + with_jitter(COMPARE, rng);
            let held = Frame::Held(self.held());
            let chosen = self.peers.keys().choose(rng);
            out.extend(chosen.map(|id| Action::Send(*id, held)));
        }
        out
    }
}
