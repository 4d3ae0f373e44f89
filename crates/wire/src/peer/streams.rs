//! Messages about streams that callers may take up again.

use savoryvane_core::{forwarding::StreamKey, ids::PoolName};
use serde::{Deserialize, Serialize};

/// Most records in one message.
pub const MAX_STREAM_RECORDS: usize = 512;

/// Requests what the receiver knows of the stream that a caller takes up.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamQuery {
    /// The stream, if the caller names it.
    pub key: Option<StreamKey>,
    /// Route of the request.
    pub route: String,
    /// Service of the route.
    pub service: PoolName,
}
