//! Requests that crash each backend server that runs them ("poison requests"), and parts of prompts
//! that crash each one that begins to respond to them.
//!
//! A caller that retries such a request uses a new request identifier and may reach another
//! instance. So crashes are tracked by a digest of the request's content and shared by all
//! instances. Otherwise N attempts would crash N servers, together with the requests that these
//! run for other callers.
//!
//! A request under which a server has crashed is a suspect: one copy of it runs at a time, with
//! a permit from the scheduler. After the third crash it is quarantined: refused immediately,
//! and tried again from time to time. A complete response clears it, and so does the discovery
//! that the server is still running.
//!
//! Requests that all differ may share the part of a prompt that crashes servers, so that crashes
//! are counted for each part as well. Sound requests share the other parts: a part is quarantined
//! only once two of its crashes happened while no other request with it ran, and a response that
//! goes on after it has begun clears it. Where two parts have the same crashes, a request with
//! only one of them is tried.

mod digest;
mod entry;
mod evidence;
mod permits;
mod recent;
mod record;
mod stored;
mod subject;
mod tracker;

pub use digest::{DigestBuilder, RequestDigest};
pub use evidence::{
    Evidence, LostServerStatus, Probe, Registered, sample_evenly, status_after_loss, status_at_loss,
};
pub use permits::{Permit, PermitState, Permits};
pub use record::{
    AdvertisedCrashes, CrashReport, QuarantineSettings, QuarantineStatus, RequestStatus,
};
pub use stored::{Renewal, StoredChange, StoredCrash, StoredCrashes, StoredRecords};
pub use subject::{CrashSubject, MAX_PARTS, RequestSubjects, format_subjects};
pub use tracker::{CRASHES_TO_ISOLATE, CRASHES_TO_QUARANTINE, CrashTracker, MergedReports};
