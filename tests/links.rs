//! Contract tests of the transport between nodes, for an in-memory fake and for WebSocket, and tests of the handshake.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use async_trait::async_trait;
use dragonflyquay::connection::frame::MAX_FRAME_BYTES;
use dragonflyquay::connection::handshake::{self, Identity, Remote};
use dragonflyquay::connection::peer::{
    AcceptLimit, LinkError, LinkPermit, LinkSink, LinkSource, PeerTransport, RawLink, WsTransport,
    ACCEPT_RATE, MAX_ACCEPTED,
};
use dragonflyquay::digest::Digest;
use dragonflyquay::key::SharedKey;
use dragonflyquay::process::clock::{Clock, ProcessClock};
use tokio::net::TcpListener;
use tokio::sync::mpsc;

type Network = Arc<Mutex<BTreeMap<SocketAddr, mpsc::UnboundedSender<RawLink>>>>;

type Limits = BTreeMap<SocketAddr, (AcceptLimit, Arc<AtomicUsize>)>;

/// In-memory transport within one process.
struct FakeTransport {
    network: Network,
    accepted: tokio::sync::Mutex<mpsc::UnboundedReceiver<RawLink>>,
    limits: Arc<Mutex<Limits>>,
    clock: Arc<dyn Clock>,
}

struct FakeSink(Option<mpsc::UnboundedSender<Vec<u8>>>);
struct FakeSource(mpsc::UnboundedReceiver<Vec<u8>>);

#[async_trait]
impl LinkSink for FakeSink {
    async fn send(&mut self, data: Vec<u8>) -> Result<(), LinkError> {
        let sender = self.0.as_ref().ok_or(LinkError::Closed)?;
        match data.len() {
            n if n > MAX_FRAME_BYTES => Err(LinkError::TooLarge),
            _ => sender.send(data).map_err(|_| LinkError::Closed),
        }
    }

    async fn close(&mut self) {
        self.0 = None;
    }
}

#[async_trait]
impl LinkSource for FakeSource {
    async fn receive(&mut self) -> Result<Vec<u8>, LinkError> {
        self.0.recv().await.ok_or(LinkError::Closed)
    }
}

#[async_trait]
impl PeerTransport for FakeTransport {
    async fn connect(&self, address: SocketAddr) -> Result<RawLink, LinkError> {
        let to = self.network.lock().unwrap().get(&address).cloned();
        let to = to.ok_or(LinkError::Failed(
            "connection refused: no listener at this address".into(),
        ))?;
        let permit = {
            let mut limits = self.limits.lock().unwrap();
            let (limit, open_links) = limits.entry(address).or_default();
            let result = limit.try_accept(self.clock.now(), open_links.load(Ordering::Relaxed));
            result.map_err(LinkError::Busy)?;
            LinkPermit::acquire(open_links)
        };
        let (a, b) = (mpsc::unbounded_channel(), mpsc::unbounded_channel());
        let link = |tx, rx, permit| RawLink {
            sink: Box::new(FakeSink(Some(tx))),
            source: Box::new(FakeSource(rx)),
            permit,
        };
        to.send(link(a.0, b.1, Some(permit)))
            .map_err(|_| LinkError::Closed)?;
        Ok(link(b.0, a.1, None))
    }

    async fn accept(&self) -> Result<RawLink, LinkError> {
        let mut accepted = self.accepted.lock().await;
        accepted.recv().await.ok_or(LinkError::Closed)
    }
}

fn fake() -> (Arc<dyn PeerTransport>, SocketAddr) {
    let address = SocketAddr::from(([127, 0, 0, 1], 1));
    let (tx, rx) = mpsc::unbounded_channel();
    let t = FakeTransport {
        network: Arc::new(Mutex::new(BTreeMap::from([(address, tx)]))),
        accepted: rx.into(),
        limits: Arc::default(),
        clock: Arc::new(ProcessClock::default()),
    };
    (Arc::new(t), address)
}

async fn websocket() -> (Arc<dyn PeerTransport>, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let t = WsTransport::new(listener, Arc::new(ProcessClock::default()));
    (Arc::new(t), address)
}

async fn pair(t: &Arc<dyn PeerTransport>, address: SocketAddr) -> (RawLink, RawLink) {
    let (a, b) = tokio::join!(t.connect(address), t.accept());
    (a.unwrap(), b.unwrap())
}

/// Guards against a transport that loses, reorders or truncates messages, does not report the end of a link, or accepts
/// too many links.
async fn check_contract(t: Arc<dyn PeerTransport>, address: SocketAddr) {
    let (mut a, mut b) = pair(&t, address).await;
    for i in 0..50u8 {
        a.sink
            .send(vec![i; 1 + 1000 * usize::from(i)])
            .await
            .unwrap();
        b.sink.send(vec![i]).await.unwrap();
    }
    for i in 0..50u8 {
        assert_eq!(
            b.source.receive().await.unwrap().len(),
            1 + 1000 * usize::from(i)
        );
        assert_eq!(a.source.receive().await, Ok(vec![i]));
    }
    let large = vec![0; MAX_FRAME_BYTES + 1];
    assert_eq!(a.sink.send(large).await, Err(LinkError::TooLarge));
    a.sink.send(b"last".to_vec()).await.unwrap();
    a.sink.close().await;
    assert_eq!(b.source.receive().await, Ok(b"last".to_vec()));
    assert_eq!(b.source.receive().await, Err(LinkError::Closed));
    drop((a, b));
    let unused = SocketAddr::from(([127, 0, 0, 1], 9));
    assert!(matches!(t.connect(unused).await, Err(LinkError::Failed(_))));

    let (mut opened, mut accepted) = (Vec::new(), Vec::new());
    let busy = loop {
        assert!(opened.len() <= MAX_ACCEPTED, "too many links accepted");
        tokio::select! {
            link = t.connect(address) => match link {
                Ok(l) => opened.push(l),
                Err(e) => break e,
            },
            link = t.accept() => accepted.push(link.unwrap()),
        }
    };
    assert!(
        matches!(busy, LinkError::Busy(d) if !d.is_zero()),
        "{busy:?}"
    );
}

#[tokio::test]
async fn fake_transport_meets_contract() {
    let (t, address) = fake();
    check_contract(t, address).await;
}

#[tokio::test]
async fn websocket_transport_meets_contract() {
    let (t, address) = websocket().await;
    check_contract(t, address).await;
}

/// Guards against more new links per second than the limit, and against rejected peers that all try again at once.
#[test]
fn accept_limit_spreads_rejected_peers() {
    let mut limit = AcceptLimit::default();
    let now = Duration::from_secs(100);
    let results: Vec<_> = (0..100).map(|_| limit.try_accept(now, 0)).collect();
    let waits: Vec<_> = results.iter().filter_map(|r| r.err()).collect();
    assert_eq!(waits.len(), 100 - ACCEPT_RATE as usize);
    assert!(waits.windows(2).all(|w| w[0] < w[1]));
    let accepted = waits
        .iter()
        .filter(|w| limit.try_accept(now + **w, 0).is_ok());
    assert_eq!(
        accepted.count(),
        waits.len(),
        "a peer that waited must be accepted"
    );
    assert!(limit.try_accept(now * 2, MAX_ACCEPTED).is_err());
}

fn identity(site: &str, key: Option<&str>) -> Identity {
    Identity {
        site: site.into(),
        node: "n".into(),
        incarnation: 1,
        az: "a".into(),
        key: key.map(|k| SharedKey::new(k.as_bytes()).unwrap()),
    }
}

async fn run_handshake(
    a: Identity,
    b: Identity,
) -> (Result<Remote, LinkError>, Result<Remote, LinkError>) {
    let (t, address) = fake();
    let (mut x, mut y) = pair(&t, address).await;
    let allow = |_: &Remote| Ok(());
    let opened = async {
        let out = handshake::open(&mut x, &a, Digest([1; 32])).await;
        x.sink.close().await;
        out
    };
    let accepted = async {
        let out = handshake::accept(&mut y, &b, Digest([2; 32]), allow).await;
        y.sink.close().await;
        out
    };
    tokio::join!(opened, accepted)
}

/// Guards against a node of another site, or without the shared key, that is accepted as a peer.
#[tokio::test]
async fn handshake_rejects_unknown_peers() {
    let key = Some("0123456789abcdef");
    let other = Some("0123456789abcdeX");
    let (a, b) = run_handshake(identity("s", key), identity("s", key)).await;
    assert!(a.is_ok() && b.is_ok(), "{a:?} {b:?}");
    let (a, b) = run_handshake(identity("s", None), identity("s", None)).await;
    assert!(a.is_ok() && b.is_ok(), "{a:?} {b:?}");
    for (a, b) in [
        (identity("s", key), identity("other", key)),
        (identity("s", other), identity("s", key)),
        (identity("s", None), identity("s", key)),
        (identity("s", key), identity("s", None)),
    ] {
        let (a, b) = run_handshake(a, b).await;
        assert!(a.is_err() && b.is_err(), "{a:?} {b:?}");
    }
}
