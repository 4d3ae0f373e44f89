//! Tickets that this instance has issued.

use std::sync::{Mutex, MutexGuard};

use savoryvane_core::{
    ids::{Incarnation, WorkspaceName},
    ticket::{TicketId, TicketLimits, TicketRegistry},
};

use crate::{lock::lock, settings::Settings};

/// Maximum number of retained tickets of one workspace.
const MAX_PER_WORKSPACE: usize = 16_384;
/// Maximum number of retained tickets of all workspaces.
const MAX_TOTAL: usize = 65_536;

/// Registry of the tickets that this instance has issued.
#[derive(Debug)]
pub(crate) struct Tickets {
    registry: Mutex<TicketRegistry>,
    valid_ms: u64,
}

impl Tickets {
    /// Creates an empty registry for one incarnation of an instance. It retains a
    /// ticket until a request admitted just before the ticket expired has ended.
    pub(crate) fn new(settings: &Settings, incarnation: Incarnation) -> Self {
        let valid_ms = settings.claims.ticket_valid_ms;
        let limits = TicketLimits {
            valid_ms,
            retain_expired_ms: 2 * settings.limits.max_deadline_ms,
            max_per_workspace: MAX_PER_WORKSPACE,
            max_total: MAX_TOTAL,
        };
        let registry = TicketRegistry::new(settings.instance.clone(), incarnation, limits);
        Self {
            registry: Mutex::new(registry),
            valid_ms,
        }
    }

    /// Locks the registry. The guard must not be held across an `await`.
    pub(crate) fn registry(&self) -> MutexGuard<'_, TicketRegistry> {
        lock(&self.registry)
    }

    /// Issues a ticket, or returns `None` if a limit on tickets is reached.
    pub(crate) fn issue(&self, now_ms: u64, workspace: &WorkspaceName) -> Option<TicketId> {
        self.registry().issue(now_ms, workspace, rand::random())
    }

    /// Returns how long a ticket is valid, in ms.
    pub(crate) fn valid_ms(&self) -> u64 {
        self.valid_ms
    }
}
