//! What is known of the stream's newest position, and how old the own state is.

use crate::ids::Offset;

/// Newest position of the stream, as the log said it some time ago.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Head {
    /// Offset that the next append will get.
    pub next: Offset,
    /// Time since the log said so, in ms.
    pub age_ms: u64,
}

/// A head with the time at which the log said it, by the own clock; what was
/// said before that clock began has a negative time.
#[derive(Clone, Copy, Debug)]
struct Heard {
    next: Offset,
    said_at_ms: i64,
}

/// Follows the heads that are heard of.
#[derive(Clone, Debug, Default)]
pub(crate) struct HeadWatch {
    latest: Option<Heard>,
    /// Highest position that anyone has named.
    known_next: Offset,
    behind_since_ms: Option<u64>,
    /// Last time at which the own state was the newest.
    current_at_ms: Option<i64>,
    relayed: Option<Heard>,
}

impl HeadWatch {
    /// Notes what the log itself said just now; it overrules what peers claim.
    pub(crate) fn hear_log(&mut self, now_ms: u64, next: Offset) {
        self.known_next = next;
        self.note(Heard {
            next,
            said_at_ms: before(now_ms, 0),
        });
    }

    /// Notes a head that a peer passed on.
    pub(crate) fn hear_peer(&mut self, now_ms: u64, head: Head) {
        self.hint(head.next);
        self.note(Heard {
            next: head.next,
            said_at_ms: before(now_ms, head.age_ms),
        });
    }

    /// Notes that some instance has a state at `next`.
    pub(crate) fn hint(&mut self, next: Offset) {
        self.known_next = self.known_next.max(next);
    }

    /// Takes over a peer's account of how old its state is.
    pub(crate) fn adopt_age(&mut self, now_ms: u64, age_ms: u64) {
        let at_ms = before(now_ms, age_ms);
        self.current_at_ms = self.current_at_ms.max(Some(at_ms));
    }

    /// Compares what is known with the own state's next offset.
    pub(crate) fn compare(&mut self, now_ms: u64, own_next: Offset) {
        self.known_next = self.known_next.max(own_next);
        if self.known_next > own_next {
            self.behind_since_ms.get_or_insert(now_ms);
        } else {
            self.behind_since_ms = None;
        }
        if let Some(heard) = self.latest
            && own_next >= heard.next
        {
            self.current_at_ms = self.current_at_ms.max(Some(heard.said_at_ms));
        }
    }

    /// Returns the highest position known of.
    pub(crate) fn known_next(&self) -> Offset {
        self.known_next
    }

    /// Returns for how long the own state has been known to be behind, in ms.
    pub(crate) fn behind_ms(&self, now_ms: u64) -> Option<u64> {
        self.behind_since_ms
            .map(|since| now_ms.saturating_sub(since))
    }

    /// Returns the time since the log was last heard of, by any way, in ms.
    pub(crate) fn silent_ms(&self, now_ms: u64) -> Option<u64> {
        self.latest.map(|heard| since(now_ms, heard.said_at_ms))
    }

    /// Returns the time since the own state was known to be the newest, in ms.
    pub(crate) fn age_ms(&self, now_ms: u64) -> Option<u64> {
        self.current_at_ms.map(|at_ms| since(now_ms, at_ms))
    }

    /// Returns the latest head.
    pub(crate) fn head(&self, now_ms: u64) -> Option<Head> {
        self.latest.map(|heard| Head {
            next: heard.next,
            age_ms: since(now_ms, heard.said_at_ms),
        })
    }

    /// Tells whether the latest head is worth passing on: it is at least
    /// `step_ms` fresher than the last one passed on, or higher.
    pub(crate) fn is_news(&self, step_ms: i64) -> bool {
        match (self.latest, self.relayed) {
            (None, _) => false,
            (Some(_), None) => true,
            (Some(latest), Some(relayed)) => {
                latest.next > relayed.next || latest.said_at_ms >= relayed.said_at_ms + step_ms
            }
        }
    }

    /// Notes that the latest head was passed on.
    pub(crate) fn mark_relayed(&mut self) {
        self.relayed = self.latest;
    }

    fn note(&mut self, heard: Heard) {
        let latest = self.latest.get_or_insert(heard);
        latest.next = latest.next.max(heard.next);
        latest.said_at_ms = latest.said_at_ms.max(heard.said_at_ms);
    }
}

/// Returns the time `age_ms` before `now_ms`, which may be before the own clock
/// began.
pub(crate) fn before(now_ms: u64, age_ms: u64) -> i64 {
    now_ms.cast_signed().saturating_sub_unsigned(age_ms)
}

fn since(now_ms: u64, at_ms: i64) -> u64 {
    let age_ms = now_ms.cast_signed().saturating_sub(at_ms);
    u64::try_from(age_ms).unwrap_or(0)
}
