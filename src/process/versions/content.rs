//! Content of versions as sent between nodes: whole or as a delta.

use crate::connection::frame::ContentForm;
use crate::digest::Digest;
use crate::prelude::*;
use crate::process::members::links::LinkId;
use crate::version::compression::{deflate, inflate, MAX_CONTENT_BYTES};
use crate::version::delta::Delta;
use crate::version::snapshot::{Snapshot, VersionRef};

/// Content received from a peer that has not been checked yet.
#[derive(Debug)]
pub struct Candidate {
    /// Link on which it was received.
    pub from: LinkId,
    /// Version that the peer claims it to be.
    pub version: VersionRef,
    pub(in crate::process) parent: Digest,
    pub(in crate::process) form: ContentForm,
    pub(in crate::process) data: Vec<u8>,
    pub(in crate::process) base: Option<Arc<Snapshot>>,
}

impl Candidate {
    /// Decodes the content, checks its hash and validates it.
    ///
    /// # Errors
    ///
    /// The kind of error, as the value of the `kind` label of the counter of rejected inputs.
    pub fn check(&self) -> Result<Snapshot, &'static str> {
        let content = match (self.form, &self.base) {
            (ContentForm::Full, _) => {
                inflate(&self.data, MAX_CONTENT_BYTES).map_err(|_| "content-damaged")?
            }
            (ContentForm::Delta, Some(base)) => Delta::from_bytes(&self.data)
                .and_then(|d| d.apply(&base.content))
                .map_err(|e| e.as_str())?,
            (ContentForm::Delta, None) => return Err("delta-wrong-base"),
        };
        if Digest::of(&content) != self.version.hash {
            return Err("content-hash");
        }
        Snapshot::decode(self.version, self.parent, content).map_err(|_| "content-invalid")
    }
}

/// Encodes content for a peer that holds `base`: as a delta if that is smaller than the compressed content.
pub(in crate::process) fn encode(base: Option<&Snapshot>, s: &Snapshot) -> (ContentForm, Vec<u8>) {
    let full = deflate(&s.content);
    match base.and_then(|b| Delta::new(&b.content, &s.content)) {
        Some(d) if d.to_bytes().len() < full.len() => (ContentForm::Delta, d.to_bytes()),
        _ => (ContentForm::Full, full),
    }
}
