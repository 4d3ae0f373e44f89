//! The newest known position of the stream and the age of this instance's state.

use crate::ids::Offset;

/// Newest position of the stream, as reported by the log some time ago.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Head {
    /// Offset that the next append will get.
    pub next: Offset,
    /// Time since the report of the log, in ms.
    pub age_ms: u64,
}

/// A head with the time of the log's report by this instance's clock. Reports from
/// before the start of that clock have negative times.
#[derive(Clone, Copy, Debug)]
struct TimedHead {
    next: Offset,
    reported_at_ms: i64,
}

/// Tracks the heads received from the log and from peers.
#[derive(Clone, Debug, Default)]
pub(crate) struct HeadWatch {
    latest: Option<TimedHead>,
    /// Highest position reported by the log or a peer.
    known_next: Offset,
    behind_since_ms: Option<u64>,
    /// Last time at which this instance's state was the newest.
    current_at_ms: Option<i64>,
    relayed: Option<TimedHead>,
}

impl HeadWatch {
    /// Handles a head reported by the log just now, which overrides reports of peers.
    pub(crate) fn on_log_head(&mut self, now_ms: u64, next: Offset) {
        self.known_next = next;
        self.update_latest(TimedHead {
            next,
            reported_at_ms: before(now_ms, 0),
        });
    }

    /// Handles a head relayed by a peer.
    pub(crate) fn on_peer_head(&mut self, now_ms: u64, head: Head) {
        self.note_peer_offset(head.next);
        self.update_latest(TimedHead {
            next: head.next,
            reported_at_ms: before(now_ms, head.age_ms),
        });
    }

    /// Notes that another instance has a state at `next`.
    pub(crate) fn note_peer_offset(&mut self, next: Offset) {
        self.known_next = self.known_next.max(next);
    }

    /// Adopts the age of a peer's state.
    pub(crate) fn adopt_age(&mut self, now_ms: u64, age_ms: u64) {
        let at_ms = before(now_ms, age_ms);
        self.current_at_ms = self.current_at_ms.max(Some(at_ms));
    }

    /// Updates the lag and the age of this instance's state, whose next offset is
    /// `own_next`.
    pub(crate) fn update_lag(&mut self, now_ms: u64, own_next: Offset) {
        self.known_next = self.known_next.max(own_next);
        if self.known_next > own_next {
            self.behind_since_ms.get_or_insert(now_ms);
        } else {
            self.behind_since_ms = None;
        }
        if let Some(timed_head) = self.latest
            && own_next >= timed_head.next
        {
            self.current_at_ms = self.current_at_ms.max(Some(timed_head.reported_at_ms));
        }
    }

    /// Returns the highest known position.
    pub(crate) fn known_next(&self) -> Offset {
        self.known_next
    }

    /// Returns the time for which this instance's state is known to be behind, in ms.
    pub(crate) fn behind_ms(&self, now_ms: u64) -> Option<u64> {
        self.behind_since_ms
            .map(|since| now_ms.saturating_sub(since))
    }

    /// Returns the time since the last report of the log, received directly or by relay,
    /// in ms.
    pub(crate) fn silent_ms(&self, now_ms: u64) -> Option<u64> {
        self.latest
            .map(|timed_head| since(now_ms, timed_head.reported_at_ms))
    }

    /// Returns the time since this instance's state was last known to be the newest, in
    /// ms.
    pub(crate) fn age_ms(&self, now_ms: u64) -> Option<u64> {
        self.current_at_ms.map(|at_ms| since(now_ms, at_ms))
    }

    /// Returns the latest head.
    pub(crate) fn head(&self, now_ms: u64) -> Option<Head> {
        self.latest.map(|timed_head| Head {
            next: timed_head.next,
            age_ms: since(now_ms, timed_head.reported_at_ms),
        })
    }

    /// Returns whether the latest head should be relayed, because it is higher or at least
    /// `min_advance_ms` newer than the last relayed head.
    pub(crate) fn should_relay(&self, min_advance_ms: i64) -> bool {
        match (self.latest, self.relayed) {
            (None, _) => false,
            (Some(_), None) => true,
            (Some(latest), Some(relayed)) => {
                latest.next > relayed.next
                    || latest.reported_at_ms >= relayed.reported_at_ms + min_advance_ms
            }
        }
    }

    /// Notes that the latest head was relayed.
    pub(crate) fn mark_relayed(&mut self) {
        self.relayed = self.latest;
    }

    fn update_latest(&mut self, timed_head: TimedHead) {
        let latest = self.latest.get_or_insert(timed_head);
        latest.next = latest.next.max(timed_head.next);
        latest.reported_at_ms = latest.reported_at_ms.max(timed_head.reported_at_ms);
    }
}

/// Returns the time `age_ms` before `now_ms`, which may be before the start of this
/// instance's clock.
pub(crate) fn before(now_ms: u64, age_ms: u64) -> i64 {
    now_ms.cast_signed().saturating_sub_unsigned(age_ms)
}

fn since(now_ms: u64, at_ms: i64) -> u64 {
    let age_ms = now_ms.cast_signed().saturating_sub(at_ms);
    u64::try_from(age_ms).unwrap_or(0)
}
