//! Lets one copy of a suspect run at a time.

use std::collections::HashMap;

use super::RequestDigest;

/// Right to run one copy of a suspect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Permit(pub u64);

/// Permits that are out, each until it is given back or lapses.
#[derive(Debug, Default)]
pub struct Permits {
    out: HashMap<RequestDigest, Out>,
    last: u64,
}

#[derive(Debug)]
struct Out {
    permit: Permit,
    until_ms: u64,
}

impl Permits {
    /// Gives the permit for a request out for `lease_ms` at most, or tells in how many
    /// ms the one that is out lapses.
    ///
    /// # Errors
    ///
    /// Fails while another copy has the permit.
    pub fn take(
        &mut self,
        now_ms: u64,
        digest: RequestDigest,
        lease_ms: u64,
    ) -> Result<Permit, u64> {
        self.out.retain(|_, out| out.until_ms > now_ms);
        if let Some(out) = self.out.get(&digest) {
            return Err(out.until_ms - now_ms);
        }
        self.last += 1;
        let permit = Permit(self.last);
        let until_ms = now_ms + lease_ms;
        self.out.insert(digest, Out { permit, until_ms });
        Ok(permit)
    }

    /// Takes a permit back; one that has lapsed is nobody's any more.
    pub fn give_back(&mut self, digest: &RequestDigest, permit: Permit) {
        if self.out.get(digest).is_some_and(|out| out.permit == permit) {
            self.out.remove(digest);
        }
    }
}
