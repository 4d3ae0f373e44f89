//! Messages between instances about requests and prompt parts that crash backend servers.

use savoryvane_core::{
    ids::Incarnation,
    poison::{CrashReport, CrashSubject, Permit, RequestSubjects},
};
use serde::{Deserialize, Serialize};

/// Position up to which an instance knows another one's crash reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KnownCrashes {
    /// Incarnation of the other instance; revisions are numbered per incarnation.
    pub incarnation: Incarnation,
    /// Revision up to which its reports are known.
    pub revision: u64,
}

/// Sends reports of servers that crashed while they ran requests, and requests the
/// receiver's reports.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashQuery {
    /// Position up to which the sender knows the receiver's reports.
    pub known: Option<KnownCrashes>,
    /// Reports of the sender.
    pub records: Vec<CrashReport>,
}

/// Response to a [`CrashQuery`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashState {
    /// Position up to which the sender of the query knows the reports after this response.
    pub known: KnownCrashes,
    /// Reports that the sender of the query does not know yet.
    pub records: Vec<CrashReport>,
}

/// Requests a permit to run a suspect request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PermitQuery {
    /// The request and the shared parts of its prompt.
    pub subjects: RequestSubjects,
    /// Number of the permit that the receiver has issued to the request already.
    pub held: Option<u64>,
    /// Time after which the permit expires unless it is returned, in ms.
    pub lease_ms: u64,
}

/// Returns a permit to its issuer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PermitReturn {
    /// Subjects that it no longer covers.
    pub subjects: Vec<CrashSubject>,
    /// Permit to return.
    pub permit: Permit,
}
