//! Exchange of rate limits of backend servers between instances.

use savoryvane_core::forwarding::LimitReport;
use serde::{Deserialize, Serialize};

/// Reports the limits that servers have named, and queries those of the receiver.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LimitQuery {
    /// Revision of the receiver up to which the sender knows it.
    pub known_revision: u64,
    /// What servers have said to the sender.
    pub reports: Vec<LimitReport>,
}

/// Response to a [`LimitQuery`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LimitState {
    /// Revision up to which the sender of the query is up to date with this.
    pub revision: u64,
    /// Reports that it has not seen.
    pub reports: Vec<LimitReport>,
}
