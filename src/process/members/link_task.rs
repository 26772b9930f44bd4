//! Tasks of a link: opening and accepting, reading frames, writing frames.

use std::net::SocketAddr;

use tokio::sync::mpsc;

use crate::connection::frame::Frame;
use crate::connection::handshake::{self, Identity, Remote};
use crate::connection::peer::{LinkError, PeerTransport, RawLink};
use crate::digest::Digest;
use crate::prelude::*;
use crate::process::lifecycle::control::Input;
use crate::process::members::links::LinkId;
use crate::process::node::Process;

/// Frames that wait to be sent; a peer that falls further behind is disconnected.
const QUEUE: usize = 64;
/// Longest time that sending one frame may take.
const SEND_TIMEOUT: Duration = Duration::from_secs(10);

/// What a new link needs before the control task takes it over.
pub struct Incoming {
    p: Arc<Process>,
    identity: Identity,
    inputs: mpsc::Sender<Input>,
}

impl Incoming {
    /// Collects the parts.
    pub fn new(p: Arc<Process>, identity: Identity, inputs: mpsc::Sender<Input>) -> Self {
        Self {
            p,
            identity,
            inputs,
        }
    }
}

/// Accepts links for ever.
pub async fn accept(incoming: Incoming, transport: Arc<dyn PeerTransport>) {
    let incoming = Arc::new(incoming);
    while let Ok(mut raw) = transport.accept().await {
        let incoming = incoming.clone();
        tokio::spawn(async move {
            let Incoming {
                p,
                identity,
                inputs,
            } = &*incoming;
            // The incarnation may have been raised since the start.
            let me = Identity {
                incarnation: p.own_incarnation(),
                ..identity.clone()
            };
            let allow = |r: &Remote| match p.faults.blocks_zone(&r.az) {
                true => Err(LinkError::Closed),
                false => Ok(()),
            };
            match handshake::accept(&mut raw, &me, nonce(), allow).await {
                Ok(remote) => {
                    let _ = inputs.send(Input::LinkUp(raw, remote, None)).await;
                }
                Err(e) => {
                    p.metrics
                        .rejected_inputs
                        .with_label_values(&["handshake"])
                        .inc();
                    spdlog::warn!("event=link_rejected", kv: { error = e.to_string() });
                }
            }
        });
    }
}

/// Opens a link.
pub async fn dial(incoming: Incoming, transport: Arc<dyn PeerTransport>, address: SocketAddr) {
    let Incoming {
        p,
        identity,
        inputs,
    } = incoming;
    let open = async {
        let mut raw = transport.connect(address).await?;
        let remote = handshake::open(&mut raw, &identity, nonce()).await?;
        match p.faults.blocks_zone(&remote.az) {
            true => Err(LinkError::Closed),
            false => Ok((raw, remote)),
        }
    };
    let input = match open.await {
        Ok((raw, remote)) => Input::LinkUp(raw, remote, Some(address)),
        Err(e) => Input::DialFailed(address, e),
    };
    let _ = inputs.send(input).await;
}

fn nonce() -> Digest {
    Digest(rand::random())
}

/// Bytes that the WebSocket adds to a message; the side that opened the link masks what it sends.
fn header_bytes(size: usize, masked: bool) -> usize {
    let mask = if masked { 4 } else { 0 };
    match size {
        0..126 => 2 + mask,
        126..65536 => 4 + mask,
        _ => 10 + mask,
    }
}

/// Sending end of a link. Dropping it closes the link after the frames that wait.
pub struct LinkSender {
    /// Availability zone of the peer.
    pub az: Az,
    dialer: bool,
    frames: mpsc::Sender<Vec<u8>>,
    p: Arc<Process>,
}

impl LinkSender {
    /// Queues a frame. Returns `false` when the peer is too far behind.
    pub fn send(&self, frame: &Frame) -> bool {
        match frame.encode() {
            Ok(data) => {
                let size = data.len() + header_bytes(data.len(), self.dialer);
                count(&self.p, "sent", frame.kind(), size);
                self.frames.try_send(data).is_ok()
            }
            Err(e) => {
                spdlog::warn!("event=frame_not_sent", kv: { error = e.to_string() });
                true
            }
        }
    }
}

fn count(p: &Process, direction: &str, kind: &str, bytes: usize) {
    p.metrics
        .control_bytes
        .with_label_values(&[direction, kind])
        .inc_by(bytes as u64);
}

/// Starts the tasks of a link.
pub fn start(
    p: &Arc<Process>,
    raw: RawLink,
    id: LinkId,
    az: Az,
    dialer: bool,
    inputs: mpsc::Sender<Input>,
) -> LinkSender {
    let (frames, queue) = mpsc::channel(QUEUE);
    let sender = LinkSender {
        az,
        dialer,
        frames,
        p: p.clone(),
    };
    tokio::spawn(run(p.clone(), raw, id, dialer, queue, inputs));
    sender
}

async fn run(
    p: Arc<Process>,
    raw: RawLink,
    id: LinkId,
    dialer: bool,
    mut queue: mpsc::Receiver<Vec<u8>>,
    inputs: mpsc::Sender<Input>,
) {
    let RawLink {
        mut sink,
        mut source,
        place,
    } = raw;
    let read = async {
        while let Ok(data) = source.receive().await {
            match Frame::decode(&data) {
                Ok(frame) => {
                    let size = data.len() + header_bytes(data.len(), !dialer);
                    count(&p, "received", frame.kind(), size);
                    if inputs.send(Input::Frame(id, frame)).await.is_err() {
                        return;
                    }
                }
                Err(e) => {
                    p.metrics
                        .rejected_inputs
                        .with_label_values(&["frame"])
                        .inc();
                    spdlog::warn!("event=frame_rejected", kv: { error = e.to_string() });
                    return;
                }
            }
        }
    };
    let write = async {
        while let Some(data) = queue.recv().await {
            match tokio::time::timeout(SEND_TIMEOUT, sink.send(data)).await {
                Ok(Ok(())) => {}
                _ => return,
            }
        }
        let _ = tokio::time::timeout(SEND_TIMEOUT, sink.close()).await;
    };
    tokio::select! {
        () = read => {}
        () = write => {}
    }
    drop(place);
    let _ = inputs.send(Input::LinkDown(id)).await;
}
