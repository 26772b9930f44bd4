//! Store calls of the control task and the handling of their results.

use crate::connection::frame::Liveness;
use crate::prelude::*;
use crate::process::lifecycle::control::{Control, Input};
use crate::process::versions::watch::{Call, CallResult};
use crate::process::versions::watch_calls::{self, Outcome};
use crate::store::StoreError;
use crate::version::adopt::HeadAction;
use crate::version::publish::Head;
use crate::version::snapshot::{Snapshot, VersionRef};

impl Control {
    pub(in crate::process) fn start_store_call(&self, call: Call) {
        let (p, inputs) = (self.p.clone(), self.inputs.clone());
        let held = self.dissemination.snapshot().cloned();
        let zone_peers: Vec<_> = {
            let own = self.membership.own();
            let members = self.membership.table().members().values();
            let zone_members =
                members.filter(|m| m.record.az == own.az && m.liveness == Liveness::Alive);
            zone_members.map(|m| m.record.addresses.peer).collect()
        };
        tokio::spawn(async move {
            let result = watch_calls::execute(&p, &call, held, &zone_peers).await;
            let _ = inputs.send(Input::StoreResult(call, result)).await;
        });
    }

    pub(in crate::process) fn handle_store_result(
        &mut self,
        now: Now,
        call: &Call,
        result: Result<Outcome, StoreError>,
    ) {
        let was_watcher = self.watcher.is_watcher();
        match result {
            Ok(Outcome::Result(r)) => self.watcher.finished(now, r, &mut self.rng),
            Ok(Outcome::Head(head, revision, snapshot)) => {
                let republish = self.handle_head(now, &head, snapshot);
                let r = CallResult::ReadHead(revision, republish);
                self.watcher.finished(now, r, &mut self.rng);
            }
            Ok(Outcome::Seeds(list)) => {
                self.membership.add_seeds(&list);
                self.watcher
                    .finished(now, CallResult::ReadRendezvous, &mut self.rng);
            }
            Err(e) => {
                spdlog::warn!("event=store_failed", kv: { error = e.to_string() });
                self.watcher.failed(now, call, &mut self.rng);
            }
        }
        if was_watcher != self.watcher.is_watcher() {
            self.p.set_watcher(self.watcher.is_watcher());
            self.sync_shared_state();
        }
    }

    /// Handles the head of the store. Returns whether the held version has to be published again.
    fn handle_head(&mut self, now: Now, head: &Head, snapshot: Option<Arc<Snapshot>>) -> bool {
        let action = self.dissemination.compare_head(head.version, now);
        if let Some(s) = snapshot {
            let out = self.dissemination.fetched(now, s);
            self.run_dissemination_actions(now, out);
        }
        match action {
            HeadAction::Republish { forked } => {
                let held = self.dissemination.held();
                self.log_older_store(head.version, held, forked);
                true
            }
            HeadAction::Fork => {
                self.p
                    .metrics
                    .rejected_inputs
                    .with_label_values(&["version-fork"])
                    .inc();
                false
            }
            HeadAction::Follow(_) | HeadAction::Current => false,
        }
    }

    fn log_older_store(&self, head: VersionRef, held: VersionRef, forked: bool) {
        spdlog::warn!("event=store_restored_older", kv: {
            head = head.number, held = held.number, forked = forked
        });
    }
}
