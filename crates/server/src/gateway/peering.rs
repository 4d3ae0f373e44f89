//! Which part of a forwarding instance takes which message of a peer.

use std::{future, sync::Arc, time::Duration};

use savoryvane_wire::peer::{Declined, Message, Taken};

use super::{
    dispatch::Dispatch,
    knowledge::Knowledge,
    members::{self, Members},
};
use crate::{
    peer::{PeerAnswer, PeerHandler, PeerId},
    phase::{Phase, Phases},
};

/// Hands messages of peers to the parts that they are for.
pub(super) struct Peering {
    pub(super) members: Arc<Members>,
    pub(super) knowledge: Arc<Knowledge>,
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
            Message::SchedulerQuery(_) => {
                let state = members::scheduler_state(&self.knowledge, &self.phases);
                Message::SchedulerState(state)
            }
            Message::RoutingQuery(question) => {
                let state = members::routing_state(&self.members, &self.knowledge, question);
                Message::RoutingState(state)
            }
            _ => Message::Declined(Declined::Unsupported),
        };
        Box::pin(future::ready(answer))
    }
}
