//! Tickets for non-idempotent requests. They need no log: only the incarnation
//! that issued a ticket may run it.
//!
//! The state of a ticket is lost when its issuer stops. The ticket then cannot be
//! run again.

use std::{
    collections::{HashMap, VecDeque},
    fmt,
};

use crate::{
    claim::{Completion, Fingerprint},
    claimant::{ClaimReason, Permit},
    ids::{Incarnation, InstanceName, WorkspaceName, is_valid_name},
    outcome::Outcome,
    progress::{CallKind, Progress, Retraction},
};

const TICKET_PREFIX: &str = "t1";
const SECRET_BYTES: usize = 16;

/// ID of a ticket as given to the caller. It names the issuer, so that any
/// instance can forward it, and contains a random number, so that it cannot be
/// guessed.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct TicketId {
    /// Instance that issued the ticket.
    pub instance: InstanceName,
    /// Incarnation of that instance.
    pub incarnation: Incarnation,
    /// Random number.
    pub secret: [u8; SECRET_BYTES],
}

impl TicketId {
    /// Parses the text form of a ticket. Returns `None` if it is malformed.
    pub fn parse(text: &str) -> Option<Self> {
        let mut parts = text.split('_');
        let (prefix, instance) = (parts.next()?, parts.next()?);
        let (incarnation, secret) = (parts.next()?, parts.next()?);
        if prefix != TICKET_PREFIX || !is_valid_name(instance) || parts.next().is_some() {
            return None;
        }
        let mut incarnation_bytes = [0; size_of::<u64>()];
        hex::decode_to_slice(incarnation, &mut incarnation_bytes).ok()?;
        let mut id = Self {
            instance: InstanceName::new(instance),
            incarnation: Incarnation(u64::from_be_bytes(incarnation_bytes)),
            secret: [0; SECRET_BYTES],
        };
        hex::decode_to_slice(secret, &mut id.secret).ok()?;
        Some(id)
    }
}

impl fmt::Display for TicketId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let secret = hex::encode(self.secret);
        write!(
            f,
            "{TICKET_PREFIX}_{}_{}_{secret}",
            self.instance, self.incarnation
        )
    }
}

/// Bounds of a [`TicketRegistry`].
#[derive(Clone, Copy, Debug)]
pub struct TicketLimits {
    /// Time for which a ticket can be redeemed, in ms.
    pub valid_ms: u64,
    /// Time for which a ticket is retained after its expiry, in ms.
    pub retain_expired_ms: u64,
    /// Maximum number of tickets of one workspace.
    pub max_per_workspace: usize,
    /// Maximum number of tickets of all workspaces.
    pub max_total: usize,
}

/// Result of redeeming a ticket.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Redemption {
    /// The request may run; each call needs a [`Permit`].
    Run,
    /// The request is running on this instance; the caller waits for its response.
    Join,
    /// The request was run and ended with this result.
    Recorded(Completion),
    /// Another incarnation issued the ticket; the request is forwarded to it.
    Forward,
    /// The ticket belongs to another workspace or was used for a different request.
    Misuse,
    /// The ticket has expired or was never issued; the request is not run.
    NotValid,
}

#[derive(Debug)]
enum TicketState {
    Issued,
    Running(Fingerprint),
    Ended(Fingerprint, Completion),
}

#[derive(Debug)]
struct Ticket {
    workspace: WorkspaceName,
    expires_ms: u64,
    progress: Progress,
    state: TicketState,
}

/// Tickets issued by one incarnation.
#[derive(Debug)]
pub struct TicketRegistry {
    instance: InstanceName,
    incarnation: Incarnation,
    limits: TicketLimits,
    tickets: HashMap<TicketId, Ticket>,
    count_by_workspace: HashMap<WorkspaceName, usize>,
    eviction_order: VecDeque<(u64, TicketId)>,
}

impl TicketRegistry {
    /// Creates an empty registry for one incarnation of an instance.
    pub fn new(instance: InstanceName, incarnation: Incarnation, limits: TicketLimits) -> Self {
        Self {
            instance,
            incarnation,
            limits,
            tickets: HashMap::new(),
            count_by_workspace: HashMap::new(),
            eviction_order: VecDeque::new(),
        }
    }

    /// Returns the number of retained tickets.
    pub fn len(&self) -> usize {
        self.tickets.len()
    }

    /// Returns whether no ticket is retained.
    pub fn is_empty(&self) -> bool {
        self.tickets.is_empty()
    }

    /// Issues a ticket with the random number `secret`. Returns `None` if the
    /// workspace or the instance has too many tickets.
    pub fn issue(
        &mut self,
        now_ms: u64,
        workspace: &WorkspaceName,
        secret: [u8; SECRET_BYTES],
    ) -> Option<TicketId> {
        self.evict_expired(now_ms);
        let workspace_count = self.count_by_workspace.get(workspace).copied().unwrap_or(0);
        let is_full = self.tickets.len() >= self.limits.max_total
            || workspace_count >= self.limits.max_per_workspace;
        let id = TicketId {
            instance: self.instance.clone(),
            incarnation: self.incarnation,
            secret,
        };
        if is_full || self.tickets.contains_key(&id) {
            return None;
        }
        let expires_ms = now_ms + self.limits.valid_ms;
        let ticket = Ticket {
            workspace: workspace.clone(),
            expires_ms,
            progress: Progress::default(),
            state: TicketState::Issued,
        };
        self.tickets.insert(id.clone(), ticket);
        *self
            .count_by_workspace
            .entry(workspace.clone())
            .or_default() += 1;
        self.eviction_order
            .push_back((expires_ms + self.limits.retain_expired_ms, id.clone()));
        Some(id)
    }

    /// Evicts tickets whose retention time is over. An evicted ticket is never
    /// run, because only a retained ticket in the issued state can be.
    fn evict_expired(&mut self, now_ms: u64) {
        while let Some((evict_at_ms, _)) = self.eviction_order.front()
            && *evict_at_ms <= now_ms
            && let Some((_, id)) = self.eviction_order.pop_front()
        {
            let Some(ticket) = self.tickets.remove(&id) else {
                continue;
            };
            if let Some(count) = self.count_by_workspace.get_mut(&ticket.workspace) {
                *count -= 1;
                if *count == 0 {
                    self.count_by_workspace.remove(&ticket.workspace);
                }
            }
        }
    }

    /// Redeems a ticket for a request.
    pub fn redeem(
        &mut self,
        now_ms: u64,
        id: &TicketId,
        workspace: &WorkspaceName,
        fingerprint: Fingerprint,
    ) -> Redemption {
        if id.instance != self.instance || id.incarnation != self.incarnation {
            return Redemption::Forward;
        }
        let Some(ticket) = self.tickets.get_mut(id) else {
            return Redemption::NotValid;
        };
        if ticket.workspace != *workspace {
            return Redemption::Misuse;
        }
        match &ticket.state {
            TicketState::Issued if now_ms >= ticket.expires_ms => Redemption::NotValid,
            TicketState::Issued => {
                ticket.state = TicketState::Running(fingerprint);
                Redemption::Run
            }
            TicketState::Running(first_fingerprint) | TicketState::Ended(first_fingerprint, _)
                if *first_fingerprint != fingerprint =>
            {
                Redemption::Misuse
            }
            TicketState::Running(_) => Redemption::Join,
            TicketState::Ended(_, completion) => Redemption::Recorded(completion.clone()),
        }
    }

    /// Returns whether a call of the stage with index `stage` may be written to a
    /// socket now. It must be called directly before the write. A permitted call
    /// counts as sent, and a non-idempotent call is permitted once.
    pub fn permit(
        &mut self,
        now_ms: u64,
        id: &TicketId,
        deadline_ms: u64,
        stage: u32,
        kind: CallKind,
    ) -> Permit {
        let Some(progress) = self.running_progress(id) else {
            return Permit::Refused(ClaimReason::NotHolder);
        };
        if now_ms >= deadline_ms {
            return Permit::Refused(ClaimReason::Deadline);
        }
        if !progress.send(stage, kind) {
            return Permit::Refused(ClaimReason::AlreadySent);
        }
        Permit::Send
    }

    fn running_progress(&mut self, id: &TicketId) -> Option<&mut Progress> {
        let ticket = self.tickets.get_mut(id)?;
        matches!(ticket.state, TicketState::Running(_)).then_some(&mut ticket.progress)
    }

    /// Revokes the last permit, whose call certainly has not run.
    pub fn retract(&mut self, id: &TicketId, cause: Retraction) {
        if let Some(progress) = self.running_progress(id) {
            progress.retract(cause);
        }
    }

    /// Ends a run and returns the outcome to report to the caller. A run that may
    /// have taken effect is never reported as not run. If no non-idempotent call
    /// was sent, the ticket can be redeemed again.
    pub fn finish(&mut self, id: &TicketId, outcome: Outcome, answer: &[u8]) -> Outcome {
        let Some(ticket) = self.tickets.get_mut(id) else {
            return outcome;
        };
        let TicketState::Running(fingerprint) = ticket.state else {
            return outcome;
        };
        if !ticket.progress.may_have_run() && outcome != Outcome::Complete {
            ticket.state = TicketState::Issued;
            return if ticket.progress.ran() {
                Outcome::Failed
            } else {
                Outcome::NotRun
            };
        }
        let reported = ticket.progress.reported_outcome(outcome);
        ticket.state = TicketState::Ended(fingerprint, Completion::new(reported, answer));
        reported
    }
}
