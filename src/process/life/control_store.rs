//! Store calls of the control task and what follows from their results.

use crate::connection::frame::Liveness;
use crate::prelude::*;
use crate::process::life::control::{Control, Input};
use crate::process::versions::watch::{Call, Reply};
use crate::process::versions::watch_calls::{self, Outcome};
use crate::store::StoreError;
use crate::version::adopt::HeadAction;
use crate::version::publish::Head;
use crate::version::snapshot::{Snapshot, VersionRef};

impl Control {
    pub(in crate::process) fn call(&self, call: Call) {
        let (p, inputs) = (self.p.clone(), self.inputs.clone());
        let held = self.spread.snapshot().cloned();
        let zone: Vec<_> = {
            let own = self.membership.own();
            let members = self.membership.table().members().values();
            let near = members.filter(|m| m.record.az == own.az && m.liveness == Liveness::Alive);
            near.map(|m| m.record.addresses.peer).collect()
        };
        tokio::spawn(async move {
            let result = watch_calls::make(&p, &call, held, &zone).await;
            let _ = inputs.send(Input::Store(call, result)).await;
        });
    }

    pub(in crate::process) fn store_reply(
        &mut self,
        now: Now,
        call: &Call,
        result: Result<Outcome, StoreError>,
    ) {
        let was = self.watch.is_watcher();
        match result {
            Ok(Outcome::Reply(reply)) => self.watch.done(now, reply, &mut self.rng),
            Ok(Outcome::Head(head, revision, snapshot)) => {
                let again = self.head(now, &head, snapshot);
                let reply = Reply::Head(revision, again);
                self.watch.done(now, reply, &mut self.rng);
            }
            Ok(Outcome::Seeds(list)) => {
                self.membership.add_seeds(&list);
                self.watch.done(now, Reply::Rendezvous, &mut self.rng);
            }
            Err(e) => {
                spdlog::warn!("event=store_failed", kv: { error = e.to_string() });
                self.watch.failed(now, call, &mut self.rng);
            }
        }
        if was != self.watch.is_watcher() {
            self.p.set_watcher(self.watch.is_watcher());
            self.wake();
        }
    }

    /// Takes the store's head. Returns whether the held version has to be published again.
    fn head(&mut self, now: Now, head: &Head, snapshot: Option<Arc<Snapshot>>) -> bool {
        let action = self.spread.compare_head(head.version, now);
        if let Some(s) = snapshot {
            let out = self.spread.fetched(now, s);
            self.spread_actions(now, out);
        }
        match action {
            HeadAction::Republish { forked } => {
                let held = self.spread.held();
                self.log_restored(head.version, held, forked);
                true
            }
            HeadAction::Fork => {
                self.p
                    .metrics
                    .rejected
                    .with_label_values(&["version-fork"])
                    .inc();
                false
            }
            HeadAction::Follow(_) | HeadAction::Current => false,
        }
    }

    fn log_restored(&self, head: VersionRef, held: VersionRef, forked: bool) {
        spdlog::warn!("event=store_restored_older", kv: {
            head = head.number, held = held.number, forked = forked
        });
    }
}
