//! Requests that end each backend server that runs them ("poison requests").
//!
//! A caller who comes again with one has a new request identifier, and reaches
//! another instance. What is known of it therefore goes by a digest of what the
//! request asks for, and is shared by all instances: without that, N attempts end
//! N servers, with all that these run for others.
//!
//! A request under which a server has ended is a suspect: one copy of it runs at a
//! time, by a permit of the instance that schedules. Under the third server it is
//! quarantined: refused at once, and tried again once in a while. A whole answer,
//! or a server that turns out to run on, clears it.

mod digest;
mod evidence;
mod permits;
mod recent;
mod record;
mod stored;
mod tracker;

pub use digest::{DigestBuilder, RequestDigest};
pub use evidence::{
    Evidence, LostServerStatus, Probe, Registered, sample_evenly, status_after_loss, status_at_loss,
};
pub use permits::{Permit, PermitState, Permits};
pub use record::{AdvertisedCrashes, CrashReport, QuarantineSettings, QuarantineStatus};
pub use stored::{Renewal, StoredChange, StoredCrash, StoredCrashes, StoredRecords};
pub use tracker::{CRASHES_TO_ISOLATE, CRASHES_TO_QUARANTINE, CrashTracker};
