//! Finds out whether a backend server ended under a request.

use std::sync::Arc;

use savoryvane_core::{
    forwarding::ServerEntry,
    ids::RequestId,
    poison::{Fate, Probe, RequestDigest, fate_at_loss},
};
use slog::{Logger, info, warn};

use super::knowledge::Knowledge;
use crate::connections::Connections;

/// Finds out what became of servers whose connections were lost.
#[derive(Debug)]
pub(super) struct ServerEnds {
    log: Logger,
    knowledge: Arc<Knowledge>,
    servers: Arc<Connections>,
}

/// A request whose connection to its server was lost.
#[derive(Clone, Copy, Debug)]
pub(super) struct LostRun<'a> {
    pub(super) request: &'a RequestId,
    pub(super) digest: RequestDigest,
    /// The server, as it was registered when the request was sent.
    pub(super) server: &'a ServerEntry,
    /// Other requests of this instance, or of the same call, that it ran.
    pub(super) others: u32,
}

impl ServerEnds {
    pub(super) fn new(knowledge: Arc<Knowledge>, servers: Arc<Connections>, log: Logger) -> Self {
        Self {
            log,
            knowledge,
            servers,
        }
    }

    /// Finds out what became of the server of a request, within the time for one
    /// attempt to connect.
    pub(super) async fn on_lost(&self, lost: LostRun<'_>) -> Fate {
        let (probe, neighbour) = self.probe(lost.server).await;
        let registered = self.knowledge.directory().registered(lost.server);
        let fate = fate_at_loss(registered, probe, neighbour);
        match fate {
            Fate::Ended(evidence) => {
                warn!(self.log, "server ended under request"; "request" => %lost.request,
                    "digest" => %lost.digest, "server" => %lost.server.registered_as,
                    "started_ms" => lost.server.started_ms, "service" => %lost.server.service,
                    "others" => lost.others, "evidence" => evidence.as_str());
                metrics::counter!("savoryvane_server_ends_total", "evidence" => evidence.as_str())
                    .increment(1);
            }
            Fate::NotToBlame | Fate::Unknown => {
                info!(self.log, "connection to server lost"; "request" => %lost.request,
                    "digest" => %lost.digest, "server" => %lost.server.registered_as,
                    "registered" => ?registered, "probe" => ?probe, "neighbour" => ?neighbour);
            }
        }
        fate
    }

    /// Tries to connect to a server and, where that is refused, to another one of its
    /// availability zone.
    async fn probe(&self, server: &ServerEntry) -> (Probe, Probe) {
        let probe = self.servers.probe(server.addr).await;
        if probe != Probe::Refused {
            return (probe, Probe::Unknown);
        }
        let neighbour = self.knowledge.directory().neighbour(server).cloned();
        match neighbour {
            Some(neighbour) => (probe, self.servers.probe(neighbour.addr).await),
            None => (probe, Probe::Unknown),
        }
    }
}
