//! The operators' interface, which has its own listener and its own credential.
//!
//! - `POST /admin/v1/plans`, body [`Intent`]; returns 200 [`Plan`], 422
//!   [`AdminError`]. The header `x-operator` names the operator.
//! - `POST /admin/v1/confirmations`, body [`Plan`]; returns 200
//!   [`Confirmation`], 409 [`AdminError`] on a conflict, 503 [`AdminError`]
//!   when the log can't be reached.
//! - `GET /admin/v1/status`; returns 200 [`Status`].
//! - `GET /admin/v1/reach?offset=N`; returns 200 [`Reach`].
//! - `GET /admin/v1/objects`; returns 200 with the `Object`s in force.
//! - `GET /admin/v1/history`; returns 200 with [`HistoryEntry`]s, newest first.
//! - `GET /admin/v1/instances`; returns 200 with [`InstanceView`]s.
//! - `GET /admin/v1/backends`; returns 200 with [`BackendView`]s.
//! - `GET /admin/v1/placer`; returns 200 [`PlacerView`](crate::placer::PlacerView).
//! - `GET /admin/v1/costs`; returns 200 with [`CostLine`]s.
//! - `POST /admin/v1/drain`, body [`Drain`]; returns 202.

use savoryvane_core::ids::{
    BackendName, ChangeId, Incarnation, InstanceName, Offset, OperatorName, PoolName, ZoneName,
};
pub use savoryvane_core::{
    change::{Change, ChangeOp, Intent, Plan},
    cost::CostLine,
};
use serde::{Deserialize, Serialize};

/// Header that names the operator who requests a plan.
pub const OPERATOR: &str = "x-operator";
/// Operator name for requests without the header.
pub const DEFAULT_OPERATOR: &str = "operator";

/// Response to a confirm, sent once the change was read back from the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Confirmation {
    /// Identifier of the change.
    pub id: ChangeId,
    /// Offset of its record.
    pub offset: Offset,
    /// On how many instances it is in force.
    pub reach: Reach,
}

/// How many listed instances have an offset in force.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reach {
    /// Offset that the request named.
    pub offset: Offset,
    /// Listed live instances that have it in force.
    pub in_force: u32,
    /// Listed live instances.
    pub listed: u32,
    /// Listed instances that have not reported it.
    pub missing: Vec<InstanceName>,
}

/// State of the instance that serves the request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// Name of the instance.
    pub instance: InstanceName,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Whether it accepts requests.
    pub ready: bool,
    /// Whether it is leaving.
    pub leaving: bool,
    /// Next offset of the configuration stream that it expects.
    pub config_next: Offset,
    /// Time since it last learned that `config_next` is the newest offset, in ms.
    pub config_age_ms: u64,
    /// Requests in flight.
    pub in_flight: u32,
}

/// One change in the history.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HistoryEntry {
    /// Offset of the record.
    pub offset: Offset,
    /// Identifier of the change.
    pub id: ChangeId,
    /// Operator who confirmed it.
    pub operator: OperatorName,
    /// Whether it is in force, or why it was rejected.
    pub result: String,
}

/// An entry instance as another one sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceView {
    /// Name of the instance.
    pub name: InstanceName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// `live`, `leaving`, `silent` or `listed`.
    pub state: String,
    /// Next configuration offset that it reported.
    pub config_next: Option<Offset>,
    /// Age of the latest information about it, in ms.
    pub age_ms: Option<u64>,
}

/// A backend server as an instance sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BackendView {
    /// Name of the backend server.
    pub name: BackendName,
    /// Its pool.
    pub pool: PoolName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// `serving`, `leaving`, `ejected` or `unknown`.
    pub state: String,
    /// Calls that this instance has open there.
    pub in_flight: u32,
    /// Last reported load: running and queued calls.
    pub reported: Option<u32>,
    /// Age of that report, in ms.
    pub age_ms: Option<u64>,
}

/// Requests that the instance drains and leaves.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Drain {
    /// Name of the instance to drain; any other instance refuses the request.
    pub instance: InstanceName,
}

/// Body of every error response of this interface.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AdminError {
    /// What went wrong.
    pub error: String,
    /// What the operator should do next.
    pub next_step: String,
}
