//! Which part of a forwarding instance takes which message of a peer.

use std::{future, sync::Arc, time::Duration};

use savoryvane_wire::peer::{Declined, Message, SchedulerState, Taken};

use super::{catch_up::CatchUp, dispatch::Dispatch, members::Members};
use crate::{
    peer::{PeerAnswer, PeerHandler, PeerId},
    phase::{Phase, Phases},
};

/// Hands messages of peers to the parts that they are for.
pub(super) struct Peering {
    pub(super) members: Arc<Members>,
    pub(super) catch_up: Arc<CatchUp>,
    pub(super) dispatch: Arc<Dispatch>,
    pub(super) phases: Arc<Phases>,
}

impl PeerHandler for Peering {
    fn on_gossip(&self, _from: &PeerId, _message: Message) {
        metrics::counter!("savoryvane_peer_unexpected_total").increment(1);
    }

    fn on_request(&self, _from: PeerId, message: Message, _wait: Duration) -> PeerAnswer {
        let answer = match message {
            Message::StageSubmission(submission) => {
                if self.phases.current() != Phase::Serving {
                    return Box::pin(future::ready(Message::Declined(Declined::NotMine)));
                }
                let dispatch = Arc::clone(&self.dispatch);
                return Box::pin(
                    async move { Message::StageOutcome(dispatch.run(submission).await) },
                );
            }
            Message::StageRelease(key) => {
                self.dispatch.release(&key);
                Message::Taken(Taken)
            }
            Message::SchedulerQuery(_) => Message::SchedulerState(SchedulerState {
                is_taking: self.phases.current() == Phase::Serving,
                known: self.catch_up.known(&self.members),
            }),
            Message::RoutingQuery(question) => {
                Message::RoutingState(self.catch_up.answer(&self.members, question))
            }
            _ => Message::Declined(Declined::Unsupported),
        };
        Box::pin(future::ready(answer))
    }
}
