//! Crowds: callers send most new connections to one instance, as the platform may do for some
//! seconds.

use std::{sync::Arc, time::Duration};

use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use tokio::{
    task::JoinSet,
    time::{self, Instant},
};

use crate::{caller::Callers, client::NoResponse, sabotage::Sabotage};

/// New connections that come to one instance each second in a calm phase.
const CALM_CONNECTIONS_PER_S: u32 = 200;
/// Time after the beginning of a crowd from which on its requests have to be served, by the
/// platform's rules.
const STABLE_AFTER: Duration = Duration::from_secs(3);
/// Time for which the requests of a crowd are counted.
const COUNTED: Duration = Duration::from_secs(2);

/// Requests of a crowd.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct CrowdCounts {
    pub(crate) sent: usize,
    /// Those that were served at the first attempt that an instance read.
    pub(crate) served: usize,
    /// Those whose first connection was refused or closed unread.
    pub(crate) unread: usize,
}

/// What becomes of requests that no instance has read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Unread {
    /// They are in the ledger, since a process may be killed when it has read them.
    Recorded,
    /// They are in no ledger, so that a server that runs one counts as running a request that no
    /// caller has sent.
    MustNotRun,
}

/// Sends `per_s` new connections a second to `instance` for `lasts`.
pub(crate) async fn send(
    callers: &Arc<Callers>,
    instance: usize,
    per_s: u32,
    lasts: Duration,
    unread: Unread,
) -> CrowdCounts {
    let mut counts = CrowdCounts::default();
    let mut running = JoinSet::new();
    let ends_at = Instant::now() + lasts;
    let mut interval = time::interval(Duration::from_secs(1) / per_s);
    while Instant::now() < ends_at {
        interval.tick().await;
        counts.sent += 1;
        let seed = counts.sent as u64;
        running.spawn(send_one(Arc::clone(callers), instance, seed, unread));
    }
    while let Some(ended) = running.join_next().await {
        let Ok((is_served, was_unread)) = ended else {
            continue;
        };
        counts.served += usize::from(is_served);
        counts.unread += usize::from(was_unread);
    }
    counts
}

/// Sends one request, and again to another instance if it was not read. Returns whether it was
/// served, and whether it was sent again.
async fn send_one(
    callers: Arc<Callers>,
    instance: usize,
    seed: u64,
    unread: Unread,
) -> (bool, bool) {
    let record = callers.send_in_crowd(instance).await;
    let was_unread = matches!(
        record.outcome,
        Err(NoResponse::NotSent | NoResponse::Closed)
    );
    let is_served = record.is_served();
    if !was_unread || unread == Unread::Recorded {
        callers.deployment.ledger.add(record);
    }
    if !was_unread || callers.sabotage == Some(Sabotage::Unretried) {
        return (is_served, was_unread);
    }
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let other = loop {
        match callers.deployment.draw_ready(&mut rng) {
            Some(drawn) if drawn == instance && callers.deployment.ready_instances().len() > 1 => {}
            Some(drawn) => break drawn,
            None => return (false, true),
        }
    };
    let again = callers.send_in_crowd(other).await;
    let is_served = again.is_served();
    callers.deployment.ledger.add(again);
    (is_served, true)
}

/// Sends a crowd to `instance` in a calm phase, and returns what became of its requests once the
/// instance has had time to adapt.
pub(crate) async fn send_in_calm_phase(callers: &Arc<Callers>, instance: usize) -> CrowdCounts {
    let per_s = CALM_CONNECTIONS_PER_S;
    send(callers, instance, per_s, STABLE_AFTER, Unread::MustNotRun).await;
    send(callers, instance, per_s, COUNTED, Unread::MustNotRun).await
}
