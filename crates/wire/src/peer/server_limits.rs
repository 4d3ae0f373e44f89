//! What instances tell each other of the limits that backend servers name.

use savoryvane_core::forwarding::LimitReport;
use serde::{Deserialize, Serialize};

/// Tells the receiver what servers have said of their limits, and asks for what it knows.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LimitQuery {
    /// Revision of the receiver up to which the sender knows it.
    pub known_revision: u64,
    /// What servers have said to the sender.
    pub reports: Vec<LimitReport>,
}

/// Answer to that.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LimitState {
    /// Revision up to which the asker knows with this.
    pub revision: u64,
    /// What it does not know yet.
    pub reports: Vec<LimitReport>,
}
