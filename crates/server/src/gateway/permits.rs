//! Permits to run suspects, one run at a time: requests them, grants them, and passes them on
//! between cells.

use std::{collections::HashMap, sync::Arc, time::Duration};

use savoryvane_core::{
    ids::InstanceName,
    poison::{CrashReport, CrashSubject, Permit, PermitState, RequestSubjects},
};
use savoryvane_wire::peer::{Message, PermitQuery, PermitReturn};
use slog::info;
use tokio::time::Instant;

use super::quarantine::{Quarantine, RESPONSE_TIMEOUT};
use crate::suspects::CountedBy;

/// Timeout of a query from the scheduler of one cell to that of another one: less than what the
/// instances of the cell wait for its response.
const UPSTREAM_TIMEOUT: Duration = Duration::from_millis(200);
/// Margin added to the time left for a request, after which its permit expires.
const LEASE_MARGIN: Duration = Duration::from_millis(500);

/// Permit to run a request that has suspect subjects; returned when dropped.
#[derive(Debug)]
pub(super) struct PermitGuard {
    quarantine: Arc<Quarantine>,
    /// Instance that granted it; `None` if this one did.
    grantor: Option<InstanceName>,
    covered: Vec<CrashSubject>,
    permit: Permit,
}

impl PermitGuard {
    /// Returns its place among the requests that run on separate servers, if it has one.
    pub(super) fn place(&self) -> Option<u32> {
        self.permit.place
    }

    /// Returns the subjects of which no other run takes place.
    pub(super) fn covered(&self) -> &[CrashSubject] {
        &self.covered
    }

    /// Returns whether it covers all of `suspects`.
    pub(super) fn covers(&self, suspects: &[CrashSubject]) -> bool {
        suspects
            .iter()
            .all(|subject| self.covered.contains(subject))
    }

    /// Returns it for the prompt parts, so that other requests with these can run.
    pub(super) fn release_parts(&mut self) {
        self.release(|subject| subject.is_part());
    }

    /// Returns it for the covered subjects that `is_released` selects.
    fn release(&mut self, is_released: impl Fn(&CrashSubject) -> bool) {
        let released = self.covered.extract_if(.., |subject| is_released(subject));
        let released: Vec<CrashSubject> = released.collect();
        if released.is_empty() {
            return;
        }
        let permit = self.permit;
        let Some(grantor) = self.grantor.clone() else {
            return self.quarantine.permits().release(&released, permit);
        };
        let quarantine = Arc::clone(&self.quarantine);
        let message = Message::PermitReturn(PermitReturn {
            subjects: released,
            permit,
        });
        tokio::spawn(async move {
            let peers = quarantine.members.peers();
            let response = peers
                .request(&grantor, None, &message, RESPONSE_TIMEOUT)
                .await;
            if let Err(err) = response {
                // The permit expires by itself.
                info!(quarantine.log, "permit not returned"; "number" => permit.number,
                    "to" => %grantor, "error" => %err);
            }
        });
    }
}

impl Drop for PermitGuard {
    fn drop(&mut self) {
        self.release(|_| true);
    }
}

/// Outcome of a request for a permit.
#[derive(Debug)]
pub(super) enum PermitOutcome {
    /// The request may be sent.
    Granted(PermitGuard),
    /// Another request with one of the subjects is running; its permit expires after this time.
    CopyRunning(Duration),
    /// A subject is quarantined by these crashes; with the instance whose count decided that.
    Quarantined(Vec<CrashReport>, CountedBy),
}

/// Permits of the scheduler of another cell that this one has passed on to instances of its cell,
/// by their number here.
#[derive(Debug, Default)]
pub(super) struct RelayedPermits {
    held: HashMap<u64, (PermitGuard, Instant)>,
    last_number: u64,
}

impl RelayedPermits {
    fn add(&mut self, guard: PermitGuard, lease: Duration) -> u64 {
        let now = Instant::now();
        self.held.retain(|_, (_, until)| *until > now);
        self.last_number += 1;
        self.held.insert(self.last_number, (guard, now + lease));
        self.last_number
    }

    fn take(&mut self, number: u64) -> Option<PermitGuard> {
        self.held.remove(&number).map(|(guard, _)| guard)
    }

    /// Releases the permit with this number for `subjects`; returns whether there is one.
    fn release(&mut self, number: u64, subjects: &[CrashSubject]) -> bool {
        let Some((guard, _)) = self.held.get_mut(&number) else {
            return false;
        };
        guard.release(|subject| subjects.contains(subject));
        if guard.covered.is_empty() {
            self.held.remove(&number);
        }
        true
    }
}

impl Quarantine {
    /// Requests a permit to send a suspect for the time `left`, or one that covers more than
    /// `held`.
    pub(super) async fn request_permit(
        self: &Arc<Self>,
        subjects: &RequestSubjects,
        held: Option<PermitGuard>,
        left: Duration,
    ) -> PermitOutcome {
        let issuer = self.permit_issuer();
        let query = PermitQuery {
            subjects: subjects.clone(),
            held: held
                .as_ref()
                .filter(|held| held.grantor == issuer)
                .map(|held| held.permit.number),
            lease_ms: (left + LEASE_MARGIN).as_millis() as u64,
        };
        let response = match &issuer {
            Some(issuer) => self.query_issuer(issuer, &query).await,
            None => None,
        };
        let grantor = issuer.filter(|_| response.is_some());
        let counted_by = match grantor {
            Some(_) => CountedBy::Scheduler,
            None => CountedBy::Own,
        };
        match response.unwrap_or_else(|| self.grant(&query)) {
            PermitState::Granted { permit, covered } => {
                if let Some(mut held) = held
                    && held.grantor == grantor
                    && held.permit.number == permit.number
                {
                    // The same permit, which goes on under the new guard.
                    held.covered.clear();
                }
                PermitOutcome::Granted(PermitGuard {
                    quarantine: Arc::clone(self),
                    grantor,
                    covered,
                    permit,
                })
            }
            PermitState::Out { lapses_in_ms } => {
                PermitOutcome::CopyRunning(Duration::from_millis(lapses_in_ms))
            }
            PermitState::Quarantined(records) => {
                self.merge_reports(records.clone(), "permit");
                PermitOutcome::Quarantined(records, counted_by)
            }
        }
    }

    /// Returns the instance that issues the permits for this one: the scheduler of its cell, or for
    /// that, the scheduler of the cell that reads the store. `None` for the latter.
    pub(super) fn permit_issuer(&self) -> Option<InstanceName> {
        let members = &self.members;
        if members.needs_upstream() {
            let now_ms = self.clock.now_ms();
            return members.upstream().settled(now_ms).cloned();
        }
        let scheduler = members.scheduler();
        scheduler.filter(|name| !members.is_self(name))
    }

    async fn query_issuer(
        &self,
        issuer: &InstanceName,
        query: &PermitQuery,
    ) -> Option<PermitState> {
        let timeout = match self.members.needs_upstream() {
            true => UPSTREAM_TIMEOUT,
            false => RESPONSE_TIMEOUT,
        };
        let message = Message::PermitQuery(query.clone());
        let peers = self.members.peers();
        match peers.request(issuer, None, &message, timeout).await {
            Ok(Message::PermitState(state)) => Some(state),
            Ok(_) => None,
            Err(err) => {
                // Without the issuer, this instance decides itself: a zone that is cut
                // off still serves what it can.
                info!(self.log, "permit query failed"; "digest" => %query.subjects.digest(),
                    "of" => %issuer, "error" => %err);
                None
            }
        }
    }

    /// Decides on a permit by this instance's own tracker.
    fn grant(&self, query: &PermitQuery) -> PermitState {
        let now_ms = self.clock.now_ms();
        self.permits().grant(
            now_ms,
            &mut self.tracker(),
            &query.subjects,
            query.held,
            query.lease_ms,
        )
    }

    /// Responds to the request of another instance for a permit. The scheduler of a cell that does
    /// not read the store passes it on.
    pub(super) async fn on_permit_query(self: Arc<Self>, query: PermitQuery) -> PermitState {
        if !self.members.needs_upstream() {
            return self.grant(&query);
        }
        let lease = Duration::from_millis(query.lease_ms);
        let held = query.held.and_then(|number| self.relayed().take(number));
        match self.request_permit(&query.subjects, held, lease).await {
            PermitOutcome::Granted(guard) => {
                let (place, covered) = (guard.permit.place, guard.covered.clone());
                let number = self.relayed().add(guard, lease);
                let permit = Permit { number, place };
                PermitState::Granted { permit, covered }
            }
            PermitOutcome::CopyRunning(lapses_in) => PermitState::Out {
                lapses_in_ms: lapses_in.as_millis() as u64,
            },
            PermitOutcome::Quarantined(records, _) => PermitState::Quarantined(records),
        }
    }

    /// Takes back a permit that this instance granted or passed on.
    pub(super) fn on_permit_returned(&self, returned: &PermitReturn) {
        let PermitReturn { subjects, permit } = returned;
        if !self.relayed().release(permit.number, subjects) {
            self.permits().release(subjects, *permit);
        }
    }
}
