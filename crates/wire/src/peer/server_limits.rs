//! Exchange of rate limits of backend servers between instances.

use savoryvane_core::forwarding::LimitReport;
use serde::{Deserialize, Serialize};

/// Reports the rate limits that servers have stated, and requests the receiver's reports.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LimitQuery {
    /// Revision up to which the sender knows the receiver's reports.
    pub known_revision: u64,
    /// Limits that servers have stated to the sender.
    pub reports: Vec<LimitReport>,
}

/// Response to a [`LimitQuery`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LimitState {
    /// Revision up to which the sender of the query knows the reports after this response.
    pub revision: u64,
    /// Reports that the sender of the query does not know yet.
    pub reports: Vec<LimitReport>,
}
