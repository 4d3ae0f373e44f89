//! Tickets that this instance has issued.

use std::sync::{Mutex, MutexGuard};

use savoryvane_core::{
    ids::{Incarnation, WorkspaceName},
    ticket::{TicketId, TicketLimits, TicketRegistry},
};

use crate::{lock::lock, settings::Settings};

/// Most tickets of one workspace that are remembered.
const MAX_PER_WORKSPACE: usize = 16_384;
/// Most tickets that are remembered.
const MAX_TOTAL: usize = 65_536;

/// The tickets of this instance.
#[derive(Debug)]
pub(crate) struct Tickets {
    book: Mutex<TicketRegistry>,
    valid_ms: u64,
}

impl Tickets {
    /// Creates an empty book for one run of an instance. A ticket is remembered
    /// until a request that was taken at its last moment has ended.
    pub(crate) fn new(settings: &Settings, incarnation: Incarnation) -> Self {
        let valid_ms = settings.claims.ticket_valid_ms;
        let limits = TicketLimits {
            valid_ms,
            retain_expired_ms: 2 * settings.limits.max_deadline_ms,
            max_per_workspace: MAX_PER_WORKSPACE,
            max_total: MAX_TOTAL,
        };
        let book = TicketRegistry::new(settings.instance.clone(), incarnation, limits);
        Self {
            book: Mutex::new(book),
            valid_ms,
        }
    }

    /// Locks the book, for a few steps without waiting.
    pub(crate) fn book(&self) -> MutexGuard<'_, TicketRegistry> {
        lock(&self.book)
    }

    /// Issues a ticket; `None` when there are too many.
    pub(crate) fn issue(&self, now_ms: u64, workspace: &WorkspaceName) -> Option<TicketId> {
        self.book().issue(now_ms, workspace, rand::random())
    }

    /// Returns the time that a ticket can be used, in ms.
    pub(crate) fn valid_ms(&self) -> u64 {
        self.valid_ms
    }
}
