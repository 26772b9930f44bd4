//! Stand-in for another node: accepts links of real nodes, has a ready target, and answers requests as a test says.
#![allow(dead_code, unreachable_pub)]

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;

use dragonflyquay::request::reason::Reason;
use dragonflyquay::sidecar::connection::frame::{
    join_payload, FailureHead, Head, Message, RequestHead, ResponseHead,
};
use dragonflyquay::sidecar::process::fleet::members::NodeRecord;
use dragonflyquay::sidecar::process::target::queue::Load;
use dragonflyquay::sidecar::process::target::state::TargetState;
use futures_util::{SinkExt, StreamExt};
use http::{HeaderMap, HeaderValue};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio_tungstenite::tungstenite::Message as Ws;

use super::site_kit::{Site, SERVICE};

/// How a stand-in answers.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Behavior {
    /// Status of its responses; without one, the connection to its target is lost while a request runs.
    pub status: Option<u16>,
    /// Whether it tells other nodes what it knows of requests that crash targets, which is nothing.
    pub informs: bool,
}

/// A running stand-in.
pub struct Peer {
    pub requests: Arc<AtomicUsize>,
    /// Number of links that it has accepted.
    pub links: Arc<AtomicUsize>,
    behavior: watch::Sender<Behavior>,
    _runtime: tokio::runtime::Runtime,
}

impl Peer {
    /// Starts a stand-in and writes its record to the store of a site, whose nodes then open links to it.
    pub fn start(site: &Site, name: &str, behavior: Behavior) -> Self {
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(1)
            .enable_all()
            .build()
            .unwrap();
        let listener = runtime.block_on(TcpListener::bind("127.0.0.1:0")).unwrap();
        let record = NodeRecord {
            node: name.into(),
            incarnation: 1,
            sequence: 1,
            az: "az0".into(),
            relay: listener.local_addr().unwrap(),
            service: SERVICE.into(),
            target: None,
            leaving: false,
            link_mbps: 0,
        };
        let value = serde_json::to_vec(&record).unwrap();
        site.store.put(&format!("dq/node/{name}"), &value);
        let (behavior, behaviors) = watch::channel(behavior);
        let (requests, links) = (Arc::<AtomicUsize>::default(), Arc::<AtomicUsize>::default());
        runtime.spawn(accept(
            listener,
            with_target(record),
            behaviors,
            (requests.clone(), links.clone()),
        ));
        Self {
            requests,
            links,
            behavior,
            _runtime: runtime,
        }
    }

    /// Changes how it answers. Links that are open learn at once what it tells other nodes.
    pub fn set_behavior(&self, behavior: Behavior) {
        self.behavior.send_replace(behavior);
    }

    /// Number of requests that it has received.
    pub fn request_count(&self) -> usize {
        self.requests.load(Ordering::SeqCst)
    }

    /// Number of links that it has accepted.
    pub fn link_count(&self) -> usize {
        self.links.load(Ordering::SeqCst)
    }
}

fn with_target(record: NodeRecord) -> NodeRecord {
    NodeRecord {
        sequence: 2,
        target: Some(TargetState {
            id: format!("i-{}", record.node).into(),
            ready: true,
            slots: 100,
            incarnation: 1000,
            leaving: false,
            version: None,
        }),
        ..record
    }
}

async fn accept(
    listener: TcpListener,
    record: NodeRecord,
    behaviors: watch::Receiver<Behavior>,
    (requests, links): (Arc<AtomicUsize>, Arc<AtomicUsize>),
) {
    loop {
        let (stream, _) = listener.accept().await.unwrap();
        links.fetch_add(1, Ordering::SeqCst);
        tokio::spawn(serve(
            stream,
            record.clone(),
            behaviors.clone(),
            requests.clone(),
        ));
    }
}

async fn serve(
    stream: TcpStream,
    record: NodeRecord,
    mut behaviors: watch::Receiver<Behavior>,
    requests: Arc<AtomicUsize>,
) {
    let Ok(mut link) = tokio_tungstenite::accept_async(stream).await else {
        return;
    };
    let encode = |m: Message| Ws::Binary(m.encode());
    let hello = Head::Hello(Box::new(record), 0, false);
    let _ = link.send(encode(Message::without_payload(hello))).await;
    loop {
        let behavior = *behaviors.borrow_and_update();
        if behavior.informs {
            let nothing = Head::Suspects(Vec::new());
            let _ = link.send(encode(Message::without_payload(nothing))).await;
        }
        let data = tokio::select! {
            message = link.next() => match message {
                Some(Ok(Ws::Binary(data))) => data,
                Some(Ok(_)) => continue,
                _ => return,
            },
            _ = behaviors.changed() => continue,
        };
        let reply = match Message::decode(data).unwrap().head {
            Head::Request(r) => {
                requests.fetch_add(1, Ordering::SeqCst);
                answer(&r, behavior.status)
            }
            Head::Ping(_) => Message::without_payload(Head::Pong(0)),
            Head::GetFreshness => Message::without_payload(Head::Freshness(0, None)),
            _ => continue,
        };
        let _ = link.send(encode(reply)).await;
    }
}

fn answer(r: &RequestHead, status: Option<u16>) -> Message {
    let Some(status) = status else {
        return Message::without_payload(Head::Failed(
            FailureHead {
                seq: r.seq,
                unknown: true,
                reason: Reason::Lost.as_str().into(),
                back_off_ms: 0,
                delivered: true,
            },
            Load::default(),
        ));
    };
    let mut headers = HeaderMap::new();
    let id = HeaderValue::from_str(&r.id).unwrap();
    headers.insert("dragonflyquay-request-id", id.clone());
    headers.insert("dragonflyquay-response-signature", id);
    let (header_len, payload) = join_payload(&headers, &"hello".into());
    let head = ResponseHead {
        seq: r.seq,
        status,
        service_ms: 1,
        header_len,
        sent_before: 0,
    };
    Message {
        head: Head::Response(head, Load::default()),
        payload,
    }
}
