//! Bounds how many requests an instance may have rejected by a server that fails when it has to
//! reject too many.
//!
//! Room at such a server shrinks without notice, and each of many instances sees only its own
//! rejections. So an instance has no more requests in doubt there, sent and not known to be
//! accepted, than it may have rejected: its part of the bound. An accepted request makes room for
//! the next one at once, a rejected one only as fast as the bound allows.

use std::collections::HashMap;

use crate::ids::BackendName;

/// Most servers that are tracked, about 100 bytes each.
const MAX_SERVERS: usize = 4_096;
/// Part of the bound that may be rejected at once; the other part is added again each second, so
/// that no second has more than the bound.
const AT_ONCE: f64 = 0.5;
/// Most rejections per second that a server may state.
const MAX_REJECTIONS_PER_S: f64 = 1e6;
const MS_PER_S: f64 = 1_000.0;

/// Whether a response says that its server fails when it has to reject too many requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Brittleness {
    /// It does not.
    None,
    /// Rejections per second, by all instances together, that it withstands.
    RejectionsPerS(f64),
    /// The value can't be parsed; what is known stays in force.
    Unreadable,
}

#[derive(Clone, Copy, Debug)]
struct BrittleServer {
    rejections_per_s: f64,
    /// Requests that are sent and not known to be accepted.
    in_doubt: u32,
    /// Requests that may be rejected now.
    allowance: f64,
    refilled_at_ms: u64,
}

/// The brittle servers that an instance knows.
#[derive(Clone, Debug)]
pub struct BrittleServers {
    servers: HashMap<BackendName, BrittleServer>,
    /// Number of instances that share the bound of a server.
    instances: usize,
}

impl Default for BrittleServers {
    fn default() -> Self {
        Self {
            servers: HashMap::new(),
            instances: 1,
        }
    }
}

impl BrittleServers {
    /// Sets the number of instances that send to the same servers.
    pub fn set_instances(&mut self, instances: usize) {
        self.instances = instances.max(1);
    }

    /// Applies what a response of `server` says. Its absence counts only in a success, since
    /// failures may lack headers. Returns whether anything changed.
    pub fn on_response(
        &mut self,
        now_ms: u64,
        server: &BackendName,
        said: Brittleness,
        is_success: bool,
    ) -> bool {
        match said {
            Brittleness::Unreadable => false,
            Brittleness::None => is_success && self.servers.remove(server).is_some(),
            Brittleness::RejectionsPerS(said) => self.set(now_ms, server, said),
        }
    }

    fn set(&mut self, now_ms: u64, server: &BackendName, rejections_per_s: f64) -> bool {
        let rejections_per_s = rejections_per_s.min(MAX_REJECTIONS_PER_S);
        let allowance = self.max_allowance(rejections_per_s);
        if let Some(known) = self.servers.get_mut(server) {
            let has_changed = known.rejections_per_s != rejections_per_s;
            known.rejections_per_s = rejections_per_s;
            known.allowance = known.allowance.min(allowance);
            return has_changed;
        }
        if self.servers.len() >= MAX_SERVERS {
            return false;
        }
        let new = BrittleServer {
            rejections_per_s,
            in_doubt: 0,
            allowance,
            refilled_at_ms: now_ms,
        };
        self.servers.insert(server.clone(), new);
        true
    }

    /// Returns the most requests of this instance that may be rejected at once: one at least,
    /// since the server could not be used otherwise.
    fn max_allowance(&self, rejections_per_s: f64) -> f64 {
        (rejections_per_s * AT_ONCE / self.instances as f64).max(1.0)
    }

    /// Returns whether one more request may be sent to `server`.
    pub fn allows(&self, now_ms: u64, server: &BackendName) -> bool {
        let Some(known) = self.servers.get(server) else {
            return true;
        };
        f64::from(known.in_doubt) + 1.0 <= self.allowance(now_ms, known)
    }

    fn allowance(&self, now_ms: u64, known: &BrittleServer) -> f64 {
        let share_per_s = known.rejections_per_s / self.instances as f64;
        let refill_per_s = share_per_s * (1.0 - AT_ONCE);
        let elapsed_ms = now_ms.saturating_sub(known.refilled_at_ms) as f64;
        let refilled = known.allowance + refill_per_s * elapsed_ms / MS_PER_S;
        refilled.min(self.max_allowance(known.rejections_per_s))
    }

    /// Records that a request was sent to `server`.
    pub fn on_sent(&mut self, server: &BackendName) {
        if let Some(known) = self.servers.get_mut(server) {
            known.in_doubt += 1;
        }
    }

    /// Records that `server` accepted a request, or that the request was abandoned.
    pub fn on_settled(&mut self, server: &BackendName) {
        if let Some(known) = self.servers.get_mut(server) {
            known.in_doubt = known.in_doubt.saturating_sub(1);
        }
    }

    /// Records that `server` rejected a request.
    pub fn on_rejected(&mut self, now_ms: u64, server: &BackendName) {
        let Some(mut known) = self.servers.get(server).copied() else {
            return;
        };
        known.allowance = (self.allowance(now_ms, &known) - 1.0).max(0.0);
        known.refilled_at_ms = now_ms;
        known.in_doubt = known.in_doubt.saturating_sub(1);
        self.servers.insert(server.clone(), known);
    }

    /// Removes the servers that are no longer registered.
    pub fn retain(&mut self, mut is_registered: impl FnMut(&BackendName) -> bool) {
        self.servers.retain(|server, _| is_registered(server));
    }

    /// Returns the number of servers.
    pub fn count(&self) -> usize {
        self.servers.len()
    }
}
