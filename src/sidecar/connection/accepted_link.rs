//! Handles the messages that arrive on a link that another node opened.

use std::sync::OnceLock;

use bytes::Bytes;
use tokio::sync::mpsc;

use crate::prelude::*;
use crate::sidecar::connection::frame::{Head, Message, RequestHead};
use crate::sidecar::connection::greeting::Greeting;
use crate::sidecar::connection::running_requests::RunningRequests;
use crate::sidecar::connection::transit::TransitDelay;
use crate::sidecar::process::fleet::members::NodeRecord;
use crate::sidecar::process::fleet::target_history::KnownTarget;
use crate::sidecar::process::metrics::Hop;
use crate::sidecar::process::node::Node;
use crate::sidecar::version::config_server::ConfigRequest;

/// Minimum delay of a request on its link that is logged. A loaded process needs a fraction of it to read a request.
const LOGGED_DELAY: Duration = Duration::from_millis(250);

/// A link that another node opened. Dropping it cancels the requests that are still running.
pub(super) struct AcceptedLink<'a> {
    n: Arc<Node>,
    /// Messages to the peer. One that is not a result is dropped if the queue is full, which means that the peer does not
    /// read.
    tx: mpsc::Sender<Message>,
    /// Id of the peer, once it has sent its record.
    peer: Arc<OnceLock<NodeId>>,
    greeting: &'a Greeting,
    requests: Arc<RunningRequests>,
    transit: TransitDelay,
}

impl<'a> AcceptedLink<'a> {
    /// Creates the state of a link whose messages to the peer go to `tx`. `peer` is set by the first message.
    pub(super) fn new(
        n: Arc<Node>,
        tx: mpsc::Sender<Message>,
        peer: Arc<OnceLock<NodeId>>,
        greeting: &'a Greeting,
    ) -> Self {
        Self {
            requests: Arc::new(RunningRequests::new(n.clone(), tx.clone())),
            n,
            tx,
            peer,
            greeting,
            transit: TransitDelay::default(),
        }
    }

    /// Handles a message.
    ///
    /// # Errors
    ///
    /// It cannot be read, or only the node that opened a link may get it. The link has to be closed.
    pub(super) fn handle(&mut self, data: Bytes) -> Result<(), String> {
        let bytes = data.len();
        let message = Message::decode(data)?;
        self.n.record_received(&message.head, bytes);
        match &message.head {
            Head::Request(head) => {
                let delay = self.delay(head);
                self.requests.start(head, &message, delay);
            }
            Head::Offer(head, len) => {
                let delay = self.delay(head);
                self.requests.start_offered(head, *len, &message, delay);
            }
            Head::BodyPart(seq) => self.requests.add_part(*seq, message.payload),
            Head::Cancel(seq) => self.requests.cancel(*seq),
            Head::Hello(record, version, _) => self.on_hello(record, *version),
            Head::Ping(version) => self.on_ping(*version),
            Head::GetFreshness => self.report_freshness(),
            Head::KnownTargets(known) => self.n.on_known_targets(known),
            Head::Rollout(news) => {
                let from = self.peer.get().map_or("", |p| p);
                self.n.on_rollout_news(news, from);
            }
            Head::RolloutReport(report) => {
                if let Some(peer) = self.peer.get() {
                    self.n.on_rollout_report(peer, report.as_ref().clone());
                }
            }
            Head::Crash(crashed) => self.n.on_crash(crashed),
            Head::NoSuspect(fingerprint) => self.n.on_no_suspect(*fingerprint),
            Head::Suspects(reports) => self.n.on_suspects(reports),
            Head::StoreEra(era) => self.n.on_peer_era(*era),
            Head::Departure(known) => self.on_departure(known),
            Head::QuotaAsk(process, asks) => {
                let peer = self.peer.get();
                let answer = peer.and_then(|p| self.n.on_quota_asks(p, *process, asks));
                if let Some(answer) = answer {
                    let _ = self.tx.try_send(answer);
                }
            }
            Head::GetConfig(held) => self.request_config(*held),
            _ => return Err("unexpected message".into()),
        }
        Ok(())
    }

    fn send(&self, head: Head) {
        let _ = self.tx.try_send(Message::without_payload(head));
    }

    /// Records and returns the delay of a request on the link.
    fn delay(&mut self, head: &RequestHead) -> Duration {
        let received = self.n.clock.boot_time();
        let delay = self.transit.record(head.sent_ms, received);
        record_delay(&self.n, self.peer.get(), head, delay);
        delay
    }

    fn on_hello(&mut self, record: &NodeRecord, version: VersionNumber) {
        self.greeting.finish();
        self.transit.reset();
        if let Some(known) = self.n.known_targets_message(&record.node) {
            let _ = self.tx.try_send(known);
        }
        self.send(Head::Suspects(self.n.suspect_reports()));
        for news in self.n.rollout_messages() {
            let _ = self.tx.try_send(news);
        }
        self.n.on_peer_record(record.clone());
        self.n.on_peer_version(&record.node, version);
        let _ = self.peer.set(record.node.clone());
    }

    fn on_ping(&self, version: VersionNumber) {
        if let Some(peer) = self.peer.get() {
            self.n.on_peer_version(peer, version);
        }
        self.send(Head::Pong(self.n.version()));
    }

    fn report_freshness(&self) {
        let age = self.n.confirmation_age();
        let age_ms = age.map(|age| age.as_millis() as u64);
        self.send(Head::Freshness(self.n.version(), age_ms));
    }

    fn on_departure(&self, known: &KnownTarget) {
        if let Some(peer) = self.peer.get() {
            self.n.keep_departure(peer, known);
            self.send(Head::DepartureKept(known.clone()));
        }
    }

    fn request_config(&self, held: VersionNumber) {
        let request = ConfigRequest {
            reply: self.tx.clone(),
            held,
        };
        // The receiver is never dropped while the process runs.
        let _ = self.n.config_requests.send(request);
    }
}

/// Records for how long a request was delayed on its link.
fn record_delay(n: &Node, peer: Option<&NodeId>, head: &RequestHead, delay: Duration) {
    let hop = peer.map_or(Hop::SameAz, |p| n.hop(p));
    let seconds = n
        .metrics
        .link_delay_seconds
        .with_label_values(&[hop.as_str()]);
    seconds.observe(delay.as_secs_f64());
    if delay >= LOGGED_DELAY {
        n.log.event(
            "request_delayed",
            &[
                ("request", &head.id),
                ("from", peer.map_or("", |p| p)),
                ("delay_ms", &delay.as_millis().to_string()),
                ("remaining_ms", &head.remaining_ms.to_string()),
            ],
        );
    }
}
