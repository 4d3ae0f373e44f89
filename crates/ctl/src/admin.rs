//! The operators' interface of several instances.

use std::net::SocketAddr;

use http::{HeaderName, StatusCode};
use savoryvane_core::{
    ids::{InstanceName, Offset, OperatorName},
    objects::Object,
};
use savoryvane_wire::admin::{
    self, AdminError, BackendView, Confirmation, CostLine, Drain, HistoryEntry, InstanceView,
    Intent, Plan, Reach, Status,
};
use serde::{Serialize, de::DeserializeOwned};
use tokio::task::JoinSet;

use crate::{
    client::{self, Call, ExchangeError, Response},
    error::{Error, Result},
    settings::Settings,
};

const PLANS: &str = "/admin/v1/plans";
const CONFIRMATIONS: &str = "/admin/v1/confirmations";
const STATUS: &str = "/admin/v1/status";
const REACH: &str = "/admin/v1/reach";
const OBJECTS: &str = "/admin/v1/objects";
const HISTORY: &str = "/admin/v1/history";
const INSTANCES: &str = "/admin/v1/instances";
const BACKENDS: &str = "/admin/v1/backends";
const COSTS: &str = "/admin/v1/costs";
const DRAIN: &str = "/admin/v1/drain";

/// Calls the instances at the addresses in the settings.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Admin<'a> {
    settings: &'a Settings,
}

/// Result of a call to one address.
pub(crate) type AddressResult<T> = (SocketAddr, Result<T>);

/// Addresses that did not respond, each with the reason.
pub(crate) type Failures = Vec<(SocketAddr, String)>;

/// Separates responses from unreachable addresses; returns any other error.
pub(crate) fn split_unreachable<T>(
    results: Vec<AddressResult<T>>,
) -> Result<(Vec<(SocketAddr, T)>, Failures)> {
    let mut responses = Vec::new();
    let mut failures = Vec::new();
    for (addr, result) in results {
        match result {
            Ok(response) => responses.push((addr, response)),
            Err(Error::Unreachable(failure)) => failures.extend(failure),
            Err(err) => return Err(err),
        }
    }
    Ok((responses, failures))
}

impl<'a> Admin<'a> {
    pub(crate) fn new(settings: &'a Settings) -> Self {
        Self { settings }
    }

    pub(crate) async fn plan(
        self,
        intent: &Intent,
        operator: Option<&OperatorName>,
    ) -> Result<Plan> {
        let mut call = Call::post(PLANS, to_json(intent));
        call.header = operator.map(|name| {
            let header = HeaderName::from_static(admin::OPERATOR);
            (header, name.to_string())
        });
        self.call_first_available(&call).await
    }

    /// Sends a plan to one instance.
    ///
    /// # Errors
    ///
    /// The outer error is one of the HTTP exchange, the inner one that of the response.
    pub(crate) async fn confirm_at(
        self,
        addr: SocketAddr,
        plan: &Plan,
    ) -> std::result::Result<Result<Confirmation>, ExchangeError> {
        let call = Call::post(CONFIRMATIONS, to_json(plan));
        let response = client::exchange(self.settings, addr, &call).await?;
        Ok(decode(addr, &response))
    }

    pub(crate) async fn reach(self, offset: Offset) -> Result<Reach> {
        self.call_first_available(&Call::get(format!("{REACH}?offset={offset}")))
            .await
    }

    pub(crate) async fn objects(self) -> Result<Vec<Object>> {
        self.call_first_available(&Call::get(OBJECTS)).await
    }

    pub(crate) async fn history(self) -> Result<Vec<HistoryEntry>> {
        self.call_first_available(&Call::get(HISTORY)).await
    }

    pub(crate) async fn instances(self) -> Result<Vec<InstanceView>> {
        self.call_first_available(&Call::get(INSTANCES)).await
    }

    pub(crate) async fn backends(self) -> Result<Vec<BackendView>> {
        self.call_first_available(&Call::get(BACKENDS)).await
    }

    /// Requests the status from every address.
    pub(crate) async fn statuses(self) -> Vec<AddressResult<Status>> {
        self.call_all(&Call::get(STATUS), &self.settings.admins)
            .await
    }

    /// Requests the costs from each of `addrs`.
    pub(crate) async fn costs(self, addrs: &[SocketAddr]) -> Vec<AddressResult<Vec<CostLine>>> {
        self.call_all(&Call::get(COSTS), addrs).await
    }

    pub(crate) async fn drain(self, addr: SocketAddr, instance: &InstanceName) -> Result<()> {
        let drain = Drain {
            instance: instance.clone(),
        };
        let call = Call::post(DRAIN, to_json(&drain));
        match client::exchange(self.settings, addr, &call).await {
            Ok(response) => check_status(addr, &response),
            Err(ExchangeError::NotSent(reason)) => Err(Error::Unreachable(vec![(addr, reason)])),
            Err(ExchangeError::Unanswered(reason)) => Err(Error::DrainUnknown(addr, reason)),
        }
    }

    /// Tries the addresses in turn until one responds with a status other than 503. For
    /// read-only calls.
    async fn call_first_available<T: DeserializeOwned>(self, call: &Call) -> Result<T> {
        let mut failures = Vec::new();
        let mut unavailable = None;
        for &addr in &self.settings.admins {
            match client::exchange(self.settings, addr, call).await {
                // The instance may have just started; another one may have the data.
                Ok(response) if response.status == StatusCode::SERVICE_UNAVAILABLE => {
                    unavailable = Some((addr, response));
                }
                Ok(response) => return decode(addr, &response),
                Err(err) => failures.push((addr, err.to_string())),
            }
        }
        match unavailable {
            Some((addr, response)) => decode(addr, &response),
            None => Err(Error::Unreachable(failures)),
        }
    }

    /// Calls all addresses concurrently; returns the results in the order of `addrs`.
    async fn call_all<T>(self, call: &Call, addrs: &[SocketAddr]) -> Vec<AddressResult<T>>
    where
        T: DeserializeOwned + Send + 'static,
    {
        let mut calls = JoinSet::new();
        for (index, &addr) in addrs.iter().enumerate() {
            let (settings, call) = (self.settings.clone(), call.clone());
            calls.spawn(async move {
                let response = exchange(&settings, addr, &call).await;
                let result = response.and_then(|response| decode(addr, &response));
                (index, addr, result)
            });
        }
        let mut results = calls.join_all().await;
        results.sort_by_key(|(index, ..)| *index);
        results
            .into_iter()
            .map(|(_, addr, result)| (addr, result))
            .collect()
    }
}

async fn exchange(settings: &Settings, addr: SocketAddr, call: &Call) -> Result<Response> {
    client::exchange(settings, addr, call)
        .await
        .map_err(|err| Error::Unreachable(vec![(addr, err.to_string())]))
}

fn to_json<T: Serialize>(value: &T) -> Vec<u8> {
    serde_json::to_vec(value).expect("messages have string keys only")
}

fn decode<T: DeserializeOwned>(addr: SocketAddr, response: &Response) -> Result<T> {
    check_status(addr, response)?;
    serde_json::from_slice(&response.body)
        .map_err(|err| Error::BadAnswer(addr, response.status, err.to_string()))
}

fn check_status(addr: SocketAddr, response: &Response) -> Result<()> {
    if matches!(response.status, StatusCode::OK | StatusCode::ACCEPTED) {
        return Ok(());
    }
    Err(match serde_json::from_slice::<AdminError>(&response.body) {
        Ok(body) => Error::Refused(addr, response.status, body),
        Err(err) => Error::BadAnswer(addr, response.status, err.to_string()),
    })
}
