//! Dissemination of versions between nodes: announcements, content on request (whole or as a delta), and a periodic
//! comparison that repairs what was lost.

use std::collections::VecDeque;

use rand::rngs::StdRng;
use rand::seq::IteratorRandom;

use crate::connection::frame::{ContentForm, Frame, MAX_FRAME_BYTES};
use crate::digest::Digest;
use crate::prelude::*;
use crate::process::members::backoff::{jitter, with_jitter};
use crate::process::members::links::LinkId;
use crate::process::versions::content::encode;
pub use crate::process::versions::content::Candidate;
use crate::version::adopt::{AdoptSettings, FloorEvent, HeadAction, Selection, Verdict};
use crate::version::delta::Delta;
use crate::version::snapshot::{Snapshot, VersionRef};

/// Maximum number of versions that are kept as bases of deltas.
pub const MAX_BASES: usize = 16;
/// Time without a response after which content is requested from the next peer.
pub const REQUEST_TIMEOUT: Duration = Duration::from_secs(1);
/// Interval at which the held version is compared with that of one random linked peer.
pub const COMPARE_INTERVAL: Duration = Duration::from_secs(5);
/// Maximum number of rejected contents that are remembered, each with its sender.
const MAX_REJECTED: usize = 256;
/// Upper bound of the bytes of a frame besides the content.
const FRAME_OVERHEAD_BYTES: usize = 256;

/// An action that the owner of the state machine has to carry out.
#[derive(Debug)]
pub enum Action {
    /// Send a frame, unless the link has ended.
    Send(LinkId, Frame),
    /// Run [`Candidate::check`] and pass the result to [`Dissemination::checked`].
    Check(Candidate),
    /// Put a version in force.
    Adopt(Arc<Snapshot>),
    /// Count a rejected input of this kind.
    Reject(&'static str),
}

#[derive(Debug)]
struct Peer {
    node: NodeId,
    /// Version that the peer is known to hold.
    held: VersionRef,
    /// Version that was requested from the peer, and when.
    requested: Option<(VersionRef, Now)>,
    /// Whether the next request to this peer is for whole content, because a delta from it had no known base.
    needs_full: bool,
}

/// Dissemination state of one node.
#[derive(Debug)]
pub struct Dissemination {
    selection: Selection,
    /// Last adopted versions, the one in force at the back.
    bases: VecDeque<Arc<Snapshot>>,
    /// Newest checked version that waits until the version floor is known.
    pending: Option<Arc<Snapshot>>,
    peers: BTreeMap<LinkId, Peer>,
    /// Version that is being fetched, and the peers to request it from, in turn.
    fetching: Option<(VersionRef, VecDeque<LinkId>)>,
    /// Version whose content is being checked; it is not requested meanwhile.
    checking: Option<VersionRef>,
    /// Version with the greatest number that this node knows of, and since when.
    newest: VersionRef,
    newest_since: Now,
    /// Senders of rejected content, with the version that it was sent as.
    rejected: VecDeque<(NodeId, VersionRef)>,
    next_compare: Now,
    /// Last encoded content: hashes of its base and of the content, form and data.
    encoded: Option<(Digest, Digest, ContentForm, Vec<u8>)>,
}

impl Dissemination {
    /// Starts without a version. `contacts` is the number of peers that are asked for the record of this node from
    /// before its restart.
    pub fn new(settings: AdoptSettings, contacts: usize, now: Now, rng: &mut StdRng) -> Self {
        Self {
            selection: Selection::new(settings, contacts, now),
            bases: VecDeque::new(),
            pending: None,
            peers: BTreeMap::new(),
            fetching: None,
            checking: None,
            newest: VersionRef::default(),
            newest_since: now,
            rejected: VecDeque::new(),
            next_compare: now + jitter(COMPARE_INTERVAL, rng),
            encoded: None,
        }
    }

    /// Version in force; number 0 when there is none.
    pub fn held(&self) -> VersionRef {
        self.selection.held()
    }

    /// Version in force with its content.
    pub fn snapshot(&self) -> Option<&Arc<Snapshot>> {
        self.bases.back()
    }

    /// Version with the greatest number that this node knows of.
    pub fn newest(&self) -> VersionRef {
        self.newest
    }

    /// Time at which this node first knew of a version; `None` unless it is the newest known one.
    pub fn known_since(&self, number: VersionNumber) -> Option<Now> {
        (self.newest.number == number).then_some(self.newest_since)
    }

    /// State of the version selection, which has the version floor and the number of forks.
    pub fn selection(&self) -> &Selection {
        &self.selection
    }

    /// Raises the version floor by what a source reports; see [`Selection::update_floor`].
    pub fn update_floor(&mut self, event: FloorEvent) -> bool {
        self.selection.update_floor(event)
    }

    /// Compares the store's head with the held version.
    pub fn compare_head(&mut self, head: VersionRef, now: Now) -> HeadAction {
        self.update_newest(now, head);
        self.selection.compare_head(head, now)
    }

    fn update_newest(&mut self, now: Now, v: VersionRef) {
        if v.number > self.newest.number {
            self.newest = v;
            self.newest_since = now;
        }
    }

    fn announcement(&self) -> Option<Frame> {
        let s = self.bases.back()?;
        Some(Frame::Announce(s.version))
    }

    /// Adds a link. Returns the announcement to send on it.
    pub fn link_up(&mut self, id: LinkId, node: NodeId) -> Option<Action> {
        self.peers.insert(
            id,
            Peer {
                node,
                held: VersionRef::default(),
                requested: None,
                needs_full: false,
            },
        );
        self.announcement().map(|f| Action::Send(id, f))
    }

    /// Removes a link that has ended.
    pub fn link_down(&mut self, now: Now, id: LinkId) -> Vec<Action> {
        self.peers.remove(&id);
        if let Some((_, queue)) = &mut self.fetching {
            queue.retain(|l| *l != id);
        }
        self.request(now).into_iter().collect()
    }

    /// Handles a frame. Kinds that are not about versions are ignored.
    pub fn handle_frame(&mut self, now: Now, id: LinkId, frame: Frame) -> Vec<Action> {
        match frame {
            Frame::Announce(v) => self.handle_offer(now, id, v),
            Frame::Held(v) if v.number < self.held().number => {
                self.set_held(id, v);
                let response = self.announcement().map(|f| Action::Send(id, f));
                response.into_iter().collect()
            }
            Frame::Held(v) => self.handle_offer(now, id, v),
            Frame::ContentRequest(have, want) => self.respond(id, have, want).into_iter().collect(),
            Frame::Content(v, parent, form, data) => {
                let candidate = self.accept_content(id, v, parent, form, data);
                candidate.map(Action::Check).into_iter().collect()
            }
            _ => Vec::new(),
        }
    }

    fn set_held(&mut self, id: LinkId, v: VersionRef) {
        if let Some(p) = self.peers.get_mut(&id) {
            p.held = v;
        }
    }

    fn handle_offer(&mut self, now: Now, id: LinkId, v: VersionRef) -> Vec<Action> {
        self.set_held(id, v);
        self.update_newest(now, v);
        let verdict = self.selection.evaluate(v, now);
        let is_pending = self.pending.as_ref().is_some_and(|s| s.version == v);
        match verdict {
            Verdict::Fork => return vec![Action::Reject("version-fork")],
            Verdict::BelowFloor => return vec![Action::Reject("version-below-floor")],
            v if !v.needs_content() || is_pending => return Vec::new(),
            _ => {}
        }
        match &mut self.fetching {
            Some((f, queue)) if *f == v => {
                if !queue.contains(&id) {
                    queue.push_back(id);
                }
            }
            // An older version, or another hash with the same number, waits until the current fetch has no peers left.
            Some((f, queue)) if f.number >= v.number && !queue.is_empty() => {}
            _ => self.fetching = Some((v, VecDeque::from([id]))),
        }
        self.request(now).into_iter().collect()
    }

    /// Requests the version that is being fetched from the next peer, unless a request for it is still in progress.
    fn request(&mut self, now: Now) -> Option<Action> {
        let (v, queue) = self.fetching.as_mut()?;
        let v = *v;
        let in_progress = |p: &Peer| {
            p.requested
                .is_some_and(|(r, t)| r == v && t + REQUEST_TIMEOUT > now)
        };
        if self.checking == Some(v) || self.peers.values().any(in_progress) {
            return None;
        }
        let (peers, rejected) = (&self.peers, &self.rejected);
        queue.retain(|l| {
            let peer = peers.get(l);
            peer.is_some_and(|p| !rejected.iter().any(|(n, r)| *n == p.node && *r == v))
        });
        let Some(id) = queue.pop_front() else {
            self.fetching = None;
            return None;
        };
        queue.push_back(id);
        let peer = self.peers.get_mut(&id)?;
        peer.requested = Some((v, now));
        // The response to a request without a base is whole content.
        let base = match peer.needs_full {
            true => VersionRef::default(),
            false => self.selection.held(),
        };
        Some(Action::Send(id, Frame::ContentRequest(base, v)))
    }

    fn respond(&mut self, id: LinkId, have: VersionRef, want: VersionRef) -> Option<Action> {
        let find = |v: VersionRef| self.bases.iter().find(|s| s.version == v).cloned();
        let Some(s) = find(want) else {
            return self.announcement().map(|f| Action::Send(id, f));
        };
        let base = find(have).map_or_else(Digest::default, |b| b.version.hash);
        let (form, data) = match &self.encoded {
            Some((b, w, form, data)) if *b == base && *w == want.hash => (*form, data.clone()),
            _ => {
                let (form, data) = encode(find(have).as_deref(), &s);
                self.encoded = Some((base, want.hash, form, data.clone()));
                (form, data)
            }
        };
        if data.len() + FRAME_OVERHEAD_BYTES > MAX_FRAME_BYTES {
            return Some(Action::Reject("content-too-large"));
        }
        let frame = Frame::Content(s.version, s.parent, form, data);
        Some(Action::Send(id, frame))
    }

    /// Accepts content only from a peer from which it was requested.
    fn accept_content(
        &mut self,
        id: LinkId,
        version: VersionRef,
        parent: Digest,
        form: ContentForm,
        data: Vec<u8>,
    ) -> Option<Candidate> {
        let peer = self.peers.get_mut(&id)?;
        match peer.requested {
            Some((v, _)) if v == version => {
                peer.requested = None;
                self.checking = Some(version);
            }
            _ => return None,
        }
        let base = match form {
            ContentForm::Full => None,
            ContentForm::Delta => {
                let hash = Delta::from_bytes(&data).map(|d| d.base).ok();
                let mut bases = self.bases.iter();
                bases.find(|s| Some(s.version.hash) == hash).cloned()
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

    /// Handles the result of [`Candidate::check`].
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
                        // This node may have dropped the base after it sent the request.
                        ContentForm::Delta if candidate.base.is_none() && !p.needs_full => {
                            p.needs_full = true
                        }
                        _ => self.rejected.push_back((p.node.clone(), candidate.version)),
                    }
                }
                if self.rejected.len() > MAX_REJECTED {
                    self.rejected.pop_front();
                }
                let mut out = vec![Action::Reject(kind)];
                out.extend(self.request(now));
                out
            }
        }
    }

    /// Handles a complete and valid version, from a peer or from the store.
    pub fn fetched(&mut self, now: Now, s: Arc<Snapshot>) -> Vec<Action> {
        self.update_newest(now, s.version);
        match self.selection.adopt(s.version, s.parent, now) {
            Verdict::Adopt => {}
            Verdict::Wait(_) => {
                let is_older = |p: &Arc<Snapshot>| p.version.number < s.version.number;
                if self.pending.as_ref().is_none_or(is_older) {
                    self.pending = Some(s);
                }
                return Vec::new();
            }
            Verdict::Fork => return vec![Action::Reject("version-fork")],
            Verdict::BelowFloor => return vec![Action::Reject("version-below-floor")],
            Verdict::Held | Verdict::Older => return Vec::new(),
        }
        self.bases.push_back(s.clone());
        if self.bases.len() > MAX_BASES {
            self.bases.pop_front();
        }
        if self
            .fetching
            .as_ref()
            .is_some_and(|(f, _)| f.number <= s.version.number)
        {
            self.fetching = None;
        }
        let mut out = vec![Action::Adopt(s.clone())];
        for (id, p) in &mut self.peers {
            p.needs_full = false;
            if p.held.number < s.version.number {
                out.push(Action::Send(*id, Frame::Announce(s.version)));
            }
        }
        out
    }

    /// Handles what is due at `now`: a version that waited for the floor, requests that timed out, and the comparison
    /// with a peer.
    pub fn tick(&mut self, now: Now, rng: &mut StdRng) -> Vec<Action> {
        let mut out = Vec::new();
        if let Some(s) = self.pending.take() {
            out.extend(self.fetched(now, s));
        }
        out.extend(self.request(now));
        if self.next_compare <= now {
            self.next_compare = now + with_jitter(COMPARE_INTERVAL, rng);
            let held = Frame::Held(self.held());
            let peer = self.peers.keys().choose(rng);
            out.extend(peer.map(|id| Action::Send(*id, held)));
        }
        out
    }
}
