//! Handshake of a link: site check and proof of the site's shared key.
//!
//! Both sides send a random challenge. Each proves the key by an HMAC over its role and both first messages, so that
//! a proof can be neither replayed nor reflected.

use super::frame::{Frame, Hello};
use super::peer::{LinkError, RawLink};
use super::wire::Name;
use crate::digest::Digest;
use crate::key::SharedKey;
use crate::prelude::*;

/// Time for the whole handshake.
const TIMEOUT: Duration = Duration::from_secs(2);

/// What a node says about itself in a handshake.
#[derive(Debug, Clone)]
pub struct Identity {
    /// Site.
    pub site: SmolStr,
    /// Node id.
    pub node: NodeId,
    /// Incarnation.
    pub incarnation: Incarnation,
    /// Availability zone.
    pub az: Az,
    /// Shared key; without one, no proof is given or asked for.
    pub key: Option<SharedKey>,
}

/// The other side of a link.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Remote {
    /// Node id.
    pub node: NodeId,
    /// Incarnation.
    pub incarnation: Incarnation,
    /// Availability zone.
    pub az: Az,
}

const OPENER: &[u8] = b"dq-link-opener";
const ACCEPTER: &[u8] = b"dq-link-accepter";

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
        let (a, b) = (transcript(opener), transcript(accepter));
        self.key.as_ref().map(|k| Digest(k.sign(&[role, &a, &b])))
    }

    fn check(
        &self,
        role: &[u8],
        opener: &Hello,
        accepter: &Hello,
        proof: Option<&Digest>,
    ) -> Result<(), LinkError> {
        let (a, b) = (transcript(opener), transcript(accepter));
        match (&self.key, proof) {
            (None, None) => Ok(()),
            (Some(k), Some(p)) if k.verify(&[role, &a, &b], &p.0) => Ok(()),
            _ => Err(LinkError::Refused("proof of the shared key".into())),
        }
    }

    fn check_site(&self, hello: &Hello) -> Result<(), LinkError> {
        match hello.site.0 == self.site {
            true => Ok(()),
            false => Err(LinkError::Refused("other site".into())),
        }
    }
}

fn transcript(h: &Hello) -> Vec<u8> {
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
        Ok(Frame::Refused(reason)) => Err(LinkError::Refused(reason)),
        Ok(f) => Ok(f),
        Err(e) => Err(LinkError::Invalid(e.to_string())),
    }
}

fn unexpected(f: &Frame) -> LinkError {
    LinkError::Invalid(format!("unexpected {} message", f.kind()))
}

/// Handshake of the side that opened the link.
///
/// # Errors
///
/// The link failed, or one side refused the other.
pub async fn open(link: &mut RawLink, me: &Identity, nonce: Digest) -> Result<Remote, LinkError> {
    let run = async {
        let mine = me.hello(nonce);
        send(link, &Frame::Hello(mine.clone())).await?;
        let theirs = match receive(link).await? {
            Frame::Hello(h) => h,
            f => return Err(unexpected(&f)),
        };
        me.check_site(&theirs)?;
        me.check(ACCEPTER, &mine, &theirs, theirs.proof.as_ref())?;
        send(link, &Frame::Proof(me.prove(OPENER, &mine, &theirs))).await?;
        match receive(link).await? {
            Frame::Accepted => Ok(remote(theirs)),
            f => Err(unexpected(&f)),
        }
    };
    in_time(run).await
}

/// Handshake of the side that accepted the link. `allow` decides on the other node once it is known.
///
/// # Errors
///
/// The link failed, or one side refused the other.
pub async fn accept<F>(
    link: &mut RawLink,
    me: &Identity,
    nonce: Digest,
    allow: F,
) -> Result<Remote, LinkError>
where
    F: Fn(&Remote) -> Result<(), LinkError> + Send,
{
    let out = in_time(answer(link, me, nonce, allow)).await;
    if let Err(LinkError::Refused(reason)) = &out {
        let _ = in_time(send(link, &Frame::Refused(reason.clone()))).await;
    }
    out
}

async fn answer<F>(
    link: &mut RawLink,
    me: &Identity,
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
    me.check_site(&theirs)?;
    let mut mine = me.hello(nonce);
    mine.proof = me.prove(ACCEPTER, &theirs, &mine);
    send(link, &Frame::Hello(mine.clone())).await?;
    match receive(link).await? {
        Frame::Proof(p) => me.check(OPENER, &theirs, &mine, p.as_ref())?,
        f => return Err(unexpected(&f)),
    }
    let found = remote(theirs);
    allow(&found)?;
    send(link, &Frame::Accepted).await?;
    Ok(found)
}

async fn in_time<T, F>(run: F) -> Result<T, LinkError>
where
    F: std::future::Future<Output = Result<T, LinkError>>,
{
    match tokio::time::timeout(TIMEOUT, run).await {
        Ok(r) => r,
        Err(_) => Err(LinkError::Failed("no answer in time".into())),
    }
}
