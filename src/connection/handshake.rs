//! Handshake of a link: both sides check that they belong to the same site and prove that they hold its shared key.
//!
//! Each side sends a random nonce in its first message. The proof is an HMAC over the sender's role and both first
//! messages: the nonces prevent its replay, and the role prevents its reflection to the sender.

use super::frame::{Frame, Hello};
use super::peer::{LinkError, RawLink};
use super::wire::Name;
use crate::digest::Digest;
use crate::key::SharedKey;
use crate::prelude::*;

// Covers all messages of both sides together, not each one; only the sending of a rejection is timed separately.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(2);

/// Identity that a node presents in a handshake.
#[derive(Debug, Clone)]
pub struct Identity {
    /// Site of the node; both sides of a link must have the same one.
    pub site: SmolStr,
    /// Id under which the peer will know the node.
    pub node: NodeId,
    /// Incarnation of the node's process.
    pub incarnation: Incarnation,
    /// Availability zone of the node.
    pub az: Az,
    /// Shared key. Without one, no proof is sent, and a peer that sends a proof is rejected.
    pub key: Option<SharedKey>,
}

/// Identity of the node at the other end of a link.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Remote {
    /// Id that the node sent in the handshake; its proof covers it if the site has a shared key.
    pub node: NodeId,
    /// Incarnation that the node sent in the handshake.
    pub incarnation: Incarnation,
    /// Availability zone that the node sent in the handshake.
    pub az: Az,
}

const OPENER_ROLE: &[u8] = b"dq-link-opener";
const ACCEPTER_ROLE: &[u8] = b"dq-link-accepter";

impl Identity {
    fn hello(&self, nonce: Digest) -> Hello {
        Hello {
            site: Name(self.site.clone()),
            node: Name(self.node.clone()),
            incarnation: self.incarnation,
            az: Name(self.az.clone()),
            nonce,
            proof: None,
        }
    }

    fn prove(&self, role: &[u8], opener: &Hello, accepter: &Hello) -> Option<Digest> {
        let (a, b) = (hello_digest(opener), hello_digest(accepter));
        self.key.as_ref().map(|k| Digest(k.sign(&[role, &a, &b])))
    }

    fn verify_proof(
        &self,
        role: &[u8],
        opener: &Hello,
        accepter: &Hello,
        proof: Option<&Digest>,
    ) -> Result<(), LinkError> {
        let (a, b) = (hello_digest(opener), hello_digest(accepter));
        match (&self.key, proof) {
            (None, None) => Ok(()),
            (Some(k), Some(p)) if k.verify(&[role, &a, &b], &p.0) => Ok(()),
            _ => Err(LinkError::Rejected("proof of the shared key".into())),
        }
    }

    fn check_site(&self, hello: &Hello) -> Result<(), LinkError> {
        match hello.site.0 == self.site {
            true => Ok(()),
            false => Err(LinkError::Rejected("other site".into())),
        }
    }
}

fn hello_digest(h: &Hello) -> Vec<u8> {
    let parts: [&[u8]; 5] = [
        h.site.0.as_bytes(),
        h.node.0.as_bytes(),
        &h.incarnation.to_be_bytes(),
        h.az.0.as_bytes(),
        &h.nonce.0,
    ];
    Digest::of_parts(&parts).0.to_vec()
}

fn remote(h: Hello) -> Remote {
    Remote {
        node: h.node.0,
        incarnation: h.incarnation,
        az: h.az.0,
    }
}

async fn send(link: &mut RawLink, frame: &Frame) -> Result<(), LinkError> {
    let data = frame
        .encode()
        .map_err(|e| LinkError::Invalid(e.to_string()))?;
    link.sink.send(data).await
}

async fn receive(link: &mut RawLink) -> Result<Frame, LinkError> {
    let data = link.source.receive().await?;
    match Frame::decode(&data) {
        Ok(Frame::Rejected(reason)) => Err(LinkError::Rejected(reason)),
        Ok(f) => Ok(f),
        Err(e) => Err(LinkError::Invalid(e.to_string())),
    }
}

fn unexpected(f: &Frame) -> LinkError {
    LinkError::Invalid(format!("unexpected {} message", f.kind()))
}

/// Runs the handshake on the side that opened the link.
///
/// # Errors
///
/// The link failed, or one side rejected the other.
pub async fn open(link: &mut RawLink, own: &Identity, nonce: Digest) -> Result<Remote, LinkError> {
    let run = async {
        let mine = own.hello(nonce);
        send(link, &Frame::Hello(mine.clone())).await?;
        let theirs = match receive(link).await? {
            Frame::Hello(h) => h,
            f => return Err(unexpected(&f)),
        };
        own.check_site(&theirs)?;
        own.verify_proof(ACCEPTER_ROLE, &mine, &theirs, theirs.proof.as_ref())?;
        send(link, &Frame::Proof(own.prove(OPENER_ROLE, &mine, &theirs))).await?;
        match receive(link).await? {
            Frame::Accepted => Ok(remote(theirs)),
            f => Err(unexpected(&f)),
        }
    };
    with_timeout(run).await
}

/// Runs the handshake on the side that accepted the link. `allow` may reject the other node once its identity is known.
///
/// # Errors
///
/// The link failed, or one side rejected the other.
pub async fn accept<F>(
    link: &mut RawLink,
    own: &Identity,
    nonce: Digest,
    allow: F,
) -> Result<Remote, LinkError>
where
    F: Fn(&Remote) -> Result<(), LinkError> + Send,
{
    let out = with_timeout(respond(link, own, nonce, allow)).await;
    if let Err(LinkError::Rejected(reason)) = &out {
        let _ = with_timeout(send(link, &Frame::Rejected(reason.clone()))).await;
    }
    out
}

async fn respond<F>(
    link: &mut RawLink,
    own: &Identity,
    nonce: Digest,
    allow: F,
) -> Result<Remote, LinkError>
where
    F: Fn(&Remote) -> Result<(), LinkError> + Send,
{
    let theirs = match receive(link).await? {
        Frame::Hello(h) => h,
        f => return Err(unexpected(&f)),
    };
    own.check_site(&theirs)?;
    let mut mine = own.hello(nonce);
    mine.proof = own.prove(ACCEPTER_ROLE, &theirs, &mine);
    send(link, &Frame::Hello(mine.clone())).await?;
    match receive(link).await? {
        Frame::Proof(p) => own.verify_proof(OPENER_ROLE, &theirs, &mine, p.as_ref())?,
        f => return Err(unexpected(&f)),
    }
    let peer = remote(theirs);
    allow(&peer)?;
    send(link, &Frame::Accepted).await?;
    Ok(peer)
}

async fn with_timeout<T, F>(run: F) -> Result<T, LinkError>
where
    F: std::future::Future<Output = Result<T, LinkError>>,
{
    match tokio::time::timeout(HANDSHAKE_TIMEOUT, run).await {
        Ok(r) => r,
        Err(_) => Err(LinkError::Failed("handshake timed out".into())),
    }
}
