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
    client::{self, Answer, Call, Fault},
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

/// Calls instances by the addresses of the settings.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Admin<'a> {
    settings: &'a Settings,
}

/// What one address said, or why it said nothing.
pub(crate) type Said<T> = (SocketAddr, Result<T>);

/// Addresses without an answer, each with the reason.
pub(crate) type Failures = Vec<(SocketAddr, String)>;

/// Parts answers from addresses without one; any other error counts for all.
pub(crate) fn split<T>(said: Vec<Said<T>>) -> Result<(Vec<(SocketAddr, T)>, Failures)> {
    let mut answers = Vec::new();
    let mut failures = Vec::new();
    for (addr, said) in said {
        match said {
            Ok(answer) => answers.push((addr, answer)),
            Err(Error::Unreachable(failure)) => failures.extend(failure),
            Err(err) => return Err(err),
        }
    }
    Ok((answers, failures))
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
        let mut call = Call::post(PLANS, json(intent));
        call.header = operator.map(|name| {
            let header = HeaderName::from_static(admin::OPERATOR);
            (header, name.to_string())
        });
        self.any(&call).await
    }

    /// Sends a plan to one instance.
    ///
    /// # Errors
    ///
    /// The outer error is one of the exchange, the inner one of the answer.
    pub(crate) async fn confirm_at(
        self,
        addr: SocketAddr,
        plan: &Plan,
    ) -> std::result::Result<Result<Confirmation>, Fault> {
        let call = Call::post(CONFIRMATIONS, json(plan));
        let answer = client::exchange(self.settings, addr, &call).await?;
        Ok(decode(addr, &answer))
    }

    pub(crate) async fn reach(self, offset: Offset) -> Result<Reach> {
        self.any(&Call::get(format!("{REACH}?offset={offset}")))
            .await
    }

    pub(crate) async fn objects(self) -> Result<Vec<Object>> {
        self.any(&Call::get(OBJECTS)).await
    }

    pub(crate) async fn history(self) -> Result<Vec<HistoryEntry>> {
        self.any(&Call::get(HISTORY)).await
    }

    pub(crate) async fn instances(self) -> Result<Vec<InstanceView>> {
        self.any(&Call::get(INSTANCES)).await
    }

    pub(crate) async fn backends(self) -> Result<Vec<BackendView>> {
        self.any(&Call::get(BACKENDS)).await
    }

    /// Asks every address for its status.
    pub(crate) async fn statuses(self) -> Vec<Said<Status>> {
        self.each(&Call::get(STATUS), &self.settings.admins).await
    }

    /// Asks each of `addrs` for its costs.
    pub(crate) async fn costs(self, addrs: &[SocketAddr]) -> Vec<Said<Vec<CostLine>>> {
        self.each(&Call::get(COSTS), addrs).await
    }

    pub(crate) async fn drain(self, addr: SocketAddr, instance: &InstanceName) -> Result<()> {
        let drain = Drain {
            instance: instance.clone(),
        };
        let call = Call::post(DRAIN, json(&drain));
        match client::exchange(self.settings, addr, &call).await {
            Ok(answer) => check(addr, &answer),
            Err(Fault::NotSent(reason)) => Err(Error::Unreachable(vec![(addr, reason)])),
            Err(Fault::Unanswered(reason)) => Err(Error::DrainUnknown(addr, reason)),
        }
    }

    /// Asks one address after the other until one can answer. For calls that change
    /// nothing.
    async fn any<T: DeserializeOwned>(self, call: &Call) -> Result<T> {
        let mut failures = Vec::new();
        let mut unavailable = None;
        for &addr in &self.settings.admins {
            match client::exchange(self.settings, addr, call).await {
                // It may have started just now; another one may know.
                Ok(answer) if answer.status == StatusCode::SERVICE_UNAVAILABLE => {
                    unavailable = Some((addr, answer));
                }
                Ok(answer) => return decode(addr, &answer),
                Err(fault) => failures.push((addr, fault.to_string())),
            }
        }
        match unavailable {
            Some((addr, answer)) => decode(addr, &answer),
            None => Err(Error::Unreachable(failures)),
        }
    }

    /// Asks all addresses at the same time; answers come in their order.
    async fn each<T>(self, call: &Call, addrs: &[SocketAddr]) -> Vec<Said<T>>
    where
        T: DeserializeOwned + Send + 'static,
    {
        let mut asked = JoinSet::new();
        for (index, &addr) in addrs.iter().enumerate() {
            let (settings, call) = (self.settings.clone(), call.clone());
            asked.spawn(async move {
                let answer = exchange(&settings, addr, &call).await;
                let said = answer.and_then(|answer| decode(addr, &answer));
                (index, addr, said)
            });
        }
        let mut said = asked.join_all().await;
        said.sort_by_key(|(index, ..)| *index);
        said.into_iter()
            .map(|(_, addr, said)| (addr, said))
            .collect()
    }
}

async fn exchange(settings: &Settings, addr: SocketAddr, call: &Call) -> Result<Answer> {
    client::exchange(settings, addr, call)
        .await
        .map_err(|fault| Error::Unreachable(vec![(addr, fault.to_string())]))
}

fn json<T: Serialize>(value: &T) -> Vec<u8> {
    serde_json::to_vec(value).expect("messages have string keys only")
}

fn decode<T: DeserializeOwned>(addr: SocketAddr, answer: &Answer) -> Result<T> {
    check(addr, answer)?;
    serde_json::from_slice(&answer.body)
        .map_err(|err| Error::BadAnswer(addr, answer.status, err.to_string()))
}

fn check(addr: SocketAddr, answer: &Answer) -> Result<()> {
    if matches!(answer.status, StatusCode::OK | StatusCode::ACCEPTED) {
        return Ok(());
    }
    Err(match serde_json::from_slice::<AdminError>(&answer.body) {
        Ok(body) => Error::Refused(addr, answer.status, body),
        Err(err) => Error::BadAnswer(addr, answer.status, err.to_string()),
    })
}
