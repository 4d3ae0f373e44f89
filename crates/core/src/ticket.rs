//! Tickets for non-idempotent requests, which need no log: only the incarnation
//! that issued a ticket may run it.
//!
//! What is known of a ticket dies with its issuer, and with it every chance that
//! the ticket is run again.

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

const PREFIX: &str = "t1";
const SECRET_BYTES: usize = 16;

/// A ticket as its holder sees it. It names its issuer, so that any instance
/// can pass it on, and can't be guessed.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct TicketId {
    /// Instance that issued it.
    pub instance: InstanceName,
    /// Incarnation of that instance.
    pub incarnation: Incarnation,
    /// Random number.
    pub secret: [u8; SECRET_BYTES],
}

impl TicketId {
    /// Reads a ticket from its text form; `None` when it is not one.
    pub fn parse(text: &str) -> Option<Self> {
        let mut parts = text.split('_');
        let (prefix, instance) = (parts.next()?, parts.next()?);
        let (incarnation, secret) = (parts.next()?, parts.next()?);
        if prefix != PREFIX || !is_valid_name(instance) || parts.next().is_some() {
            return None;
        }
        let mut number = [0; size_of::<u64>()];
        hex::decode_to_slice(incarnation, &mut number).ok()?;
        let mut id = Self {
            instance: InstanceName::new(instance),
            incarnation: Incarnation(u64::from_be_bytes(number)),
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
            "{PREFIX}_{}_{}_{secret}",
            self.instance, self.incarnation
        )
    }
}

/// Bounds of a [`TicketRegistry`].
#[derive(Clone, Copy, Debug)]
pub struct TicketLimits {
    /// Time that a ticket can be used, in ms.
    pub valid_ms: u64,
    /// Time that a ticket is remembered after it can't be used any more, in ms.
    pub keep_ms: u64,
    /// Most tickets of one workspace.
    pub max_per_workspace: usize,
    /// Most tickets of all.
    pub max_total: usize,
}

/// What an instance does with a ticket.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Redemption {
    /// It runs the request, with a permit for each call.
    Run,
    /// The ticket is being run here: its answer is waited for.
    Join,
    /// The ticket was run and ended like this.
    Recorded(Completion),
    /// It was issued elsewhere: the request is passed on.
    Forward,
    /// It belongs to another workspace, or was used for another request.
    Misuse,
    /// It can't be used any more, or was never issued; it is not run.
    NotValid,
}

#[derive(Debug)]
enum Use {
    Issued,
    Running(Fingerprint),
    Ended(Fingerprint, Completion),
}

#[derive(Debug)]
struct Known {
    workspace: WorkspaceName,
    expires_ms: u64,
    progress: Progress,
    state: Use,
}

/// Tickets that one incarnation has issued.
#[derive(Debug)]
pub struct TicketRegistry {
    instance: InstanceName,
    incarnation: Incarnation,
    limits: TicketLimits,
    known: HashMap<TicketId, Known>,
    by_workspace: HashMap<WorkspaceName, usize>,
    order: VecDeque<(u64, TicketId)>,
}

impl TicketRegistry {
    /// Creates an empty book for one run of an instance.
    pub fn new(instance: InstanceName, incarnation: Incarnation, limits: TicketLimits) -> Self {
        Self {
            instance,
            incarnation,
            limits,
            known: HashMap::new(),
            by_workspace: HashMap::new(),
            order: VecDeque::new(),
        }
    }

    /// Returns the number of tickets remembered.
    pub fn len(&self) -> usize {
        self.known.len()
    }

    /// Tells whether no ticket is remembered.
    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }

    /// Issues a ticket with a fresh random number; `None` when the workspace or
    /// the instance has too many.
    pub fn issue(
        &mut self,
        now_ms: u64,
        workspace: &WorkspaceName,
        secret: [u8; SECRET_BYTES],
    ) -> Option<TicketId> {
        self.forget(now_ms);
        let of_workspace = self.by_workspace.get(workspace).copied().unwrap_or(0);
        let is_full = self.known.len() >= self.limits.max_total
            || of_workspace >= self.limits.max_per_workspace;
        let id = TicketId {
            instance: self.instance.clone(),
            incarnation: self.incarnation,
            secret,
        };
        if is_full || self.known.contains_key(&id) {
            return None;
        }
        let expires_ms = now_ms + self.limits.valid_ms;
        let known = Known {
            workspace: workspace.clone(),
            expires_ms,
            progress: Progress::default(),
            state: Use::Issued,
        };
        self.known.insert(id.clone(), known);
        *self.by_workspace.entry(workspace.clone()).or_default() += 1;
        self.order
            .push_back((expires_ms + self.limits.keep_ms, id.clone()));
        Some(id)
    }

    /// Drops tickets whose time is over. One that is dropped is never run: only
    /// a ticket that is remembered as issued can be.
    fn forget(&mut self, now_ms: u64) {
        while let Some((forget_at_ms, _)) = self.order.front()
            && *forget_at_ms <= now_ms
            && let Some((_, id)) = self.order.pop_front()
        {
            let Some(known) = self.known.remove(&id) else {
                continue;
            };
            if let Some(count) = self.by_workspace.get_mut(&known.workspace) {
                *count -= 1;
                if *count == 0 {
                    self.by_workspace.remove(&known.workspace);
                }
            }
        }
    }

    /// Uses a ticket for a request.
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
        let Some(known) = self.known.get_mut(id) else {
            return Redemption::NotValid;
        };
        if known.workspace != *workspace {
            return Redemption::Misuse;
        }
        match &known.state {
            Use::Issued if now_ms >= known.expires_ms => Redemption::NotValid,
            Use::Issued => {
                known.state = Use::Running(fingerprint);
                Redemption::Run
            }
            Use::Running(used) | Use::Ended(used, _) if *used != fingerprint => Redemption::Misuse,
            Use::Running(_) => Redemption::Join,
            Use::Ended(_, completion) => Redemption::Recorded(completion.clone()),
        }
    }

    /// Asks whether a call of the stage with index `stage` may be handed to a
    /// socket now. It has to be asked directly before the write, and the call
    /// counts as sent from here on; a non-idempotent one may be sent once.
    pub fn permit(
        &mut self,
        now_ms: u64,
        id: &TicketId,
        deadline_ms: u64,
        stage: u32,
        kind: CallKind,
    ) -> Permit {
        let Some(progress) = self.running(id) else {
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

    fn running(&mut self, id: &TicketId) -> Option<&mut Progress> {
        let known = self.known.get_mut(id)?;
        matches!(known.state, Use::Running(_)).then_some(&mut known.progress)
    }

    /// Takes back the last permit, of a call that certainly has not run.
    pub fn retract(&mut self, id: &TicketId, cause: Retraction) {
        if let Some(progress) = self.running(id) {
            progress.retract(cause);
        }
    }

    /// Ends a run with its answer and returns the outcome to tell. A run that
    /// may have taken effect is never told otherwise; after one that sent no
    /// non-idempotent call the ticket can be used again.
    pub fn finish(&mut self, id: &TicketId, outcome: Outcome, answer: &[u8]) -> Outcome {
        let Some(known) = self.known.get_mut(id) else {
            return outcome;
        };
        let Use::Running(fingerprint) = known.state else {
            return outcome;
        };
        if !known.progress.may_have_run() && outcome != Outcome::Complete {
            known.state = Use::Issued;
            return if known.progress.ran() {
                Outcome::Failed
            } else {
                Outcome::NotRun
            };
        }
        let told = known.progress.reported_outcome(outcome);
        known.state = Use::Ended(fingerprint, Completion::new(told, answer));
        told
    }
}
