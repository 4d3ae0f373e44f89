//! Which part of the instance takes which message of a peer.

use std::{future, sync::Arc, time::Duration};

use savoryvane_core::membership::Event;
use savoryvane_wire::peer::{Declined, Message};

use crate::{
    crashes, exclusive,
    instance::Shared,
    members,
    peer::{PeerAnswer, PeerHandler, PeerId},
    relay, sharing, snapshot,
};

/// Hands messages of peers to the parts that they are for.
pub(crate) struct Peering {
    /// The instance.
    pub(crate) shared: Arc<Shared>,
}

impl PeerHandler for Peering {
    fn on_gossip(&self, from: &PeerId, message: Message) {
        let from = from.instance.clone();
        let event = match message {
            Message::ConfigHead(head) => return relay::take_head(&self.shared, head),
            Message::CrashReports(records) => return crashes::on_told(&self.shared, records),
            Message::ConfigRecords(relayed) => return relay::take_records(&self.shared, relayed),
            Message::Digests(batch) => Event::Digests { from, batch },
            Message::Zones(zones) => Event::Zones { from, zones },
            Message::Leaving(notice) => Event::Leaving {
                from: Some(from),
                notice,
            },
            _ => {
                metrics::counter!("savoryvane_peer_unexpected_total").increment(1);
                return;
            }
        };
        members::apply(&self.shared, event);
    }

    fn on_request(&self, from: PeerId, message: Message, wait: Duration) -> PeerAnswer {
        let shared = Arc::clone(&self.shared);
        let answer = match message {
            Message::UsageReport(report) => return sharing::answer(shared, from, report),
            Message::AnswerQuery(query) => {
                return Box::pin(async move {
                    Message::AnswerState(exclusive::answer_state(&shared, query, wait).await)
                });
            }
            Message::TicketRun(run) => {
                return Box::pin(async move {
                    Message::AnswerState(exclusive::run_forwarded(&shared, run).await)
                });
            }
            Message::ConfigRecordsQuery(query) => snapshot::answer_records(&self.shared, query),
            Message::ConfigSnapshotQuery(query) => snapshot::answer(&self.shared, query),
            _ => Message::Declined(Declined::Unsupported),
        };
        Box::pin(future::ready(answer))
    }
}
