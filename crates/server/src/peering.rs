//! Which part of the instance takes which message of a peer.

use std::{future, sync::Arc, time::Duration};

use savoryvane_core::membership::Event;
use savoryvane_wire::peer::{Declined, Message};

use crate::{
    instance::Shared,
    members,
    peer::{PeerAnswer, PeerHandler, PeerId},
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

    fn on_request(&self, _from: PeerId, _message: Message, _wait: Duration) -> PeerAnswer {
        Box::pin(future::ready(Message::Declined(Declined::Unsupported)))
    }
}
