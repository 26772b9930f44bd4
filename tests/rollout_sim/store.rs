//! Calls of the simulated nodes to the store.

use super::*;

impl Sim {
    /// The calls of `calls.rs` that are due, with an immediate result.
    pub(super) fn call_store(&mut self, i: usize) {
        if !self.store_up || !self.nodes[i].reaches_store {
            return;
        }
        let Some(e) = self.nodes[i].table.entries.get_mut(SERVICE) else {
            return;
        };
        match e.seat {
            Some(_) => self.renew_seat(i),
            None => self.claim_seat(i),
        }
    }

    /// Records the end of the order, or renews the record of the decider; a decider without the record gives up.
    fn renew_seat(&mut self, i: usize) {
        let now = self.now;
        let Some(e) = self.nodes[i].table.entries.get_mut(SERVICE) else {
            return;
        };
        let Some(seat) = &mut e.seat else {
            return;
        };
        let at = self
            .record
            .as_ref()
            .map_or(Revision::ABSENT, |r| revision(r.0));
        if at != seat.record_at {
            e.seat = None;
        } else if let Some(step) = seat.decider.end().filter(|_| seat.recorded_at.is_none()) {
            self.end.get_or_insert((step, now));
            seat.decider.on_ended(step, now);
            seat.recorded_at = Some(now);
        } else if now >= seat.called_at + RENEW_INTERVAL {
            self.revision += 1;
            let news = seat.decider.next_news(now);
            self.record = Some((self.revision, Record { news }));
            (seat.record_at, seat.renewed_at, seat.called_at) = (revision(self.revision), now, now);
        }
    }

    /// Becomes the decider, if the candidate of a node is due and the record allows it.
    fn claim_seat(&mut self, i: usize) {
        let now = self.now;
        let Some(e) = self.nodes[i].table.entries.get_mut(SERVICE) else {
            return;
        };
        let news = e.view.news();
        if news.step.is_final() || !e.candidate.is_due(e.view.heard_at(), now) {
            return;
        }
        let known = News {
            elapsed_ms: now.saturating_sub(e.view.started_at()).as_millis() as u64,
            ..news.clone()
        };
        let found = self.record.as_ref().map(|(at, r)| (revision(*at), r));
        let own = SmolStr::from(format!("n{i}"));
        match e.candidate.on_record(found, &known, false, &own, now) {
            Claim::Swap(_, news) if self.end.is_none() => {
                let news = *news;
                self.revision += 1;
                self.record = Some((self.revision, Record { news: news.clone() }));
                let bounds = Bounds {
                    share: 0.1,
                    slack: 50.0,
                };
                e.seat = Some(Box::new(Seat {
                    decider: Decider::new(news, e.view.started_at(), bounds, now),
                    record_at: revision(self.revision),
                    renewed_at: now,
                    called_at: now,
                    status_at: Revision::ABSENT,
                    sent_at: Duration::ZERO,
                    recorded_at: None,
                    closed: false,
                }));
            }
            _ => {}
        }
    }
}
