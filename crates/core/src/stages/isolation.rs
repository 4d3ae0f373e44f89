//! Isolates the pieces of suspects (requests under which a server has crashed) from
//! those of other requests, so that each further crash implicates fewer requests.
//!
//! A piece that crashes its server shares a call with up to 82 others, which are
//! repeated together with it. Without isolation all of them would be implicated three
//! times and refused. After the first crash, pieces go into calls of suspects only,
//! with at most the square root of a batch of requests each; after the second, each
//! request is called alone. One of 82 is thus found with 9 calls and then at most 9
//! more, and no other request is implicated in more than two crashes.

use std::collections::{HashMap, HashSet};

use super::{calls::RunningCall, request::Request, types::RequestKey};
use crate::poison::{CRASHES_TO_ISOLATE, RequestDigest};

/// The number of crashes attributed to a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct CrashCount {
    pub(super) digest: RequestDigest,
    /// Servers that have crashed under it.
    pub(super) crashes: u32,
}

impl CrashCount {
    pub(super) fn of(request: &Request) -> Self {
        Self {
            digest: request.submission.digest,
            crashes: request.submission.ends,
        }
    }

    fn is_suspect(&self) -> bool {
        self.crashes > 0
    }

    /// Returns the maximum number of suspects in a call that contains this one.
    fn max_group_size(&self, batch_pieces: usize) -> usize {
        if self.crashes >= CRASHES_TO_ISOLATE {
            return 1;
        }
        batch_pieces.isqrt().max(1)
    }
}

/// The suspects in one open batch.
#[derive(Debug)]
pub(super) struct SuspectGroup {
    batch_pieces: usize,
    digests: Vec<RequestDigest>,
    /// Maximum number of suspects, set by the one with the most crashes.
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

    /// Returns whether the batch accepts a piece of the request that `crash_count`
    /// belongs to; `is_begun` tells whether the batch holds any piece yet.
    pub(super) fn accepts(&self, is_begun: bool, crash_count: &CrashCount) -> bool {
        if !crash_count.is_suspect() {
            return self.digests.is_empty();
        }
        if !is_begun || self.digests.contains(&crash_count.digest) {
            return true;
        }
        let max_suspects = self
            .max_suspects
            .min(crash_count.max_group_size(self.batch_pieces));
        !self.digests.is_empty() && self.digests.len() < max_suspects
    }

    pub(super) fn add(&mut self, crash_count: &CrashCount) {
        if !crash_count.is_suspect() || self.digests.contains(&crash_count.digest) {
            return;
        }
        self.max_suspects = self
            .max_suspects
            .min(crash_count.max_group_size(self.batch_pieces));
        self.digests.push(crash_count.digest);
    }
}

/// Tracks which suspects have running pieces or are assigned to an open batch. Pieces
/// of one suspect run in one call at a time, as each call could crash a server.
#[derive(Debug, Default)]
pub(super) struct Isolation {
    running: HashSet<RequestDigest>,
    assigned: HashMap<RequestDigest, usize>,
}

impl Isolation {
    /// Collects the suspects among the requests with running pieces.
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

    /// Returns whether a piece of that request may go into the open batch `index`.
    pub(super) fn allows(&self, crash_count: &CrashCount, index: usize) -> bool {
        if !crash_count.is_suspect() {
            return true;
        }
        let assigned = self.assigned.get(&crash_count.digest);
        !self.running.contains(&crash_count.digest)
            && assigned.is_none_or(|assigned_index| *assigned_index == index)
    }

    pub(super) fn assign(&mut self, crash_count: &CrashCount, index: usize) {
        if crash_count.is_suspect() {
            self.assigned.insert(crash_count.digest, index);
        }
    }
}
