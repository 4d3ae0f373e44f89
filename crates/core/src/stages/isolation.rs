//! Keeps the pieces of suspects apart from those of other requests, so that a call that
//! ends its server blames few, and the next one fewer.
//!
//! The load that it answers: a piece that ends its server is called together with up to
//! 82 others, which are sent again with it. All would be blamed together three times and
//! refused. After the first end its pieces go in calls of suspects only, each with at
//! most the root of a batch of requests; after the second, alone. So one of 82 is found
//! with 9 calls and then 9 more at most, and no other has more than two ends from it.

use std::collections::{HashMap, HashSet};

use super::{calls::RunningCall, request::Request, types::RequestKey};
use crate::poison::{CRASHES_TO_ISOLATE, RequestDigest};

/// A request as far as it is a suspect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct CrashCount {
    pub(super) digest: RequestDigest,
    /// Servers that have ended under it.
    pub(super) ends: u32,
}

impl CrashCount {
    pub(super) fn of(request: &Request) -> Self {
        Self {
            digest: request.submission.digest,
            ends: request.submission.ends,
        }
    }

    fn is_suspect(&self) -> bool {
        self.ends > 0
    }

    /// Returns how many suspects one call may have that has this one.
    fn max_suspects(&self, batch_pieces: usize) -> usize {
        if self.ends >= CRASHES_TO_ISOLATE {
            return 1;
        }
        batch_pieces.isqrt().max(1)
    }
}

/// The suspects of one call that is being filled.
#[derive(Debug)]
pub(super) struct SuspectGroup {
    batch_pieces: usize,
    digests: Vec<RequestDigest>,
    /// How many there may be, by the most suspect of them.
    max_suspects: usize,
}

impl SuspectGroup {
    pub(super) fn new(batch_pieces: usize) -> Self {
        Self {
            batch_pieces,
            digests: Vec::new(),
            max_suspects: batch_pieces,
        }
    }

    /// Tells whether a call with this company, and with any piece yet if `is_begun`,
    /// takes a piece of `request`.
    pub(super) fn accepts(&self, is_begun: bool, request: &CrashCount) -> bool {
        if !request.is_suspect() {
            return self.digests.is_empty();
        }
        if !is_begun || self.digests.contains(&request.digest) {
            return true;
        }
        let max_suspects = self
            .max_suspects
            .min(request.max_suspects(self.batch_pieces));
        !self.digests.is_empty() && self.digests.len() < max_suspects
    }

    pub(super) fn add(&mut self, request: &CrashCount) {
        if !request.is_suspect() || self.digests.contains(&request.digest) {
            return;
        }
        self.max_suspects = self
            .max_suspects
            .min(request.max_suspects(self.batch_pieces));
        self.digests.push(request.digest);
    }
}

/// Which suspects have pieces at work, or in a call that is being filled: those of one
/// request are in one call at a time, else each could end a server.
#[derive(Debug, Default)]
pub(super) struct Isolation {
    running: HashSet<RequestDigest>,
    assigned: HashMap<RequestDigest, usize>,
}

impl Isolation {
    /// Looks for the suspects among the requests that have pieces at work.
    pub(super) fn new<'a>(
        calls: impl IntoIterator<Item = &'a RunningCall>,
        requests: &HashMap<RequestKey, Request>,
    ) -> Self {
        let pieces = calls.into_iter().flat_map(|call| &call.pieces);
        let running = pieces
            .filter_map(|waiting| requests.get(&waiting.key))
            .map(CrashCount::of)
            .filter(CrashCount::is_suspect)
            .map(|suspect| suspect.digest);
        Self {
            running: running.collect(),
            assigned: HashMap::new(),
        }
    }

    /// Tells whether a piece of `request` may go into the call `index`.
    pub(super) fn allows(&self, request: &CrashCount, index: usize) -> bool {
        if !request.is_suspect() {
            return true;
        }
        let assigned = self.assigned.get(&request.digest);
        !self.running.contains(&request.digest)
            && assigned.is_none_or(|assigned_index| *assigned_index == index)
    }

    pub(super) fn assign(&mut self, request: &CrashCount, index: usize) {
        if request.is_suspect() {
            self.assigned.insert(request.digest, index);
        }
    }
}
