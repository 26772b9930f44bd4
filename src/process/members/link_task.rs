//! Tasks that open and accept links, and that read and write the frames of an open link.

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

/// Largest number of frames that wait to be sent; a peer that falls further behind is disconnected.
const MAX_QUEUED_FRAMES: usize = 64;
/// Longest time that sending one frame, or closing the link, may take.
const SEND_TIMEOUT: Duration = Duration::from_secs(10);

/// Shared state for the tasks that open and accept links.
pub struct LinkContext {
    p: Arc<Process>,
    identity: Identity,
    inputs: mpsc::Sender<Input>,
}

impl LinkContext {
    /// Creates a context; results are sent to the control task through `inputs`.
    pub fn new(p: Arc<Process>, identity: Identity, inputs: mpsc::Sender<Input>) -> Self {
        Self {
            p,
            identity,
            inputs,
        }
    }
}

/// Accepts links until the transport is shut down, and hands those with a successful handshake to the control task.
pub async fn accept(context: LinkContext, transport: Arc<dyn PeerTransport>) {
    let context = Arc::new(context);
    while let Ok(mut raw) = transport.accept().await {
        let context = context.clone();
        tokio::spawn(async move {
            let LinkContext {
                p,
                identity,
                inputs,
            } = &*context;
            // The incarnation may have been raised since the process started.
            let own = Identity {
                incarnation: p.own_incarnation(),
                ..identity.clone()
            };
            let allow = |r: &Remote| match p.faults.blocks_zone(&r.az) {
                true => Err(LinkError::Closed),
                false => Ok(()),
            };
            match handshake::accept(&mut raw, &own, nonce(), allow).await {
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

/// Opens a link and sends the result to the control task.
pub async fn dial(context: LinkContext, transport: Arc<dyn PeerTransport>, address: SocketAddr) {
    let LinkContext {
        p,
        identity,
        inputs,
    } = context;
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

/// Size of the WebSocket header of a message, in bytes. The side that opened the link masks its messages, which takes
/// 4 bytes more.
fn websocket_header_bytes(size: usize, masked: bool) -> usize {
    let mask = if masked { 4 } else { 0 };
    match size {
        0..126 => 2 + mask,
        126..65536 => 4 + mask,
        _ => 10 + mask,
    }
}

/// Sending end of a link. Dropping it closes the link after the queued frames were sent.
pub struct LinkSender {
    /// Availability zone of the peer; the link is dropped while an injected fault blocks it.
    pub az: Az,
    /// Whether this node opened the link.
    dialer: bool,
    frames: mpsc::Sender<Vec<u8>>,
    p: Arc<Process>,
}

impl LinkSender {
    /// Queues a frame. Returns `false` when the queue is full or the link has ended. A frame that cannot be encoded is
    /// logged and dropped.
    pub fn send(&self, frame: &Frame) -> bool {
        match frame.encode() {
            Ok(data) => {
                let size = data.len() + websocket_header_bytes(data.len(), self.dialer);
                count_bytes(&self.p, "sent", frame.kind(), size);
                self.frames.try_send(data).is_ok()
            }
            Err(e) => {
                spdlog::warn!("event=frame_not_sent", kv: { error = e.to_string() });
                true
            }
        }
    }
}

fn count_bytes(p: &Process, direction: &str, kind: &str, bytes: usize) {
    p.metrics
        .control_bytes
        .with_label_values(&[direction, kind])
        .inc_by(bytes as u64);
}

/// Starts the task of an open link, which reads and writes frames. `dialer` says that this node opened the link.
pub fn start(
    p: &Arc<Process>,
    raw: RawLink,
    id: LinkId,
    az: Az,
    dialer: bool,
    inputs: mpsc::Sender<Input>,
) -> LinkSender {
    let (frames, queue) = mpsc::channel(MAX_QUEUED_FRAMES);
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
        permit,
    } = raw;
    let read = async {
        while let Ok(data) = source.receive().await {
            match Frame::decode(&data) {
                Ok(frame) => {
                    let size = data.len() + websocket_header_bytes(data.len(), !dialer);
                    count_bytes(&p, "received", frame.kind(), size);
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
    drop(permit);
    let _ = inputs.send(Input::LinkDown(id)).await;
}
