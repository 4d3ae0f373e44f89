//! Drives the stage scheduler: runs its timers, makes its calls, and returns to each
//! submitter how its stages ended.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard},
    time::Duration,
};

use savoryvane_core::{
    ids::{BackendName, InstanceName, RequestId, ZoneName},
    poison::QuarantineStatus,
    stages::{
        Refusal, RequestKey, StageAction, StageCall, StageOutcome, StageScheduler, Submission,
    },
};
use slog::{Logger, info};
use tokio::{
    sync::{Notify, oneshot},
    time::{self, Instant},
};

use super::{
    limits::LimitSharing, quarantine::Quarantine, routing_view::RoutingView,
    stage_calls::StageClient,
};
use crate::{clock::Clock, lock::lock};

/// Time for which results are batched before a server is asked to free them.
const FREE_DELAY: Duration = Duration::from_millis(20);
/// Interval at which this instance's share of the rate limits is recomputed: the loss of
/// an instance is detected within 1.5 s.
const SHARE_INTERVAL: Duration = Duration::from_millis(500);
/// Longest time between two polls of the scheduler.
const MAX_SLEEP: Duration = Duration::from_secs(1);

/// The stage scheduler of this instance.
#[derive(Debug)]
pub(super) struct Dispatch {
    log: Logger,
    clock: Clock,
    view: Arc<RoutingView>,
    calls: StageClient,
    quarantine: Arc<Quarantine>,
    limits: Arc<LimitSharing>,
    scheduler: Mutex<StageScheduler>,
    waiters: Mutex<HashMap<RequestKey, oneshot::Sender<StageOutcome>>>,
    unneeded_results: Mutex<HashMap<BackendName, (SocketAddr, Vec<String>)>>,
    /// Notified when the scheduler may have to be polled earlier.
    poll_needed: Notify,
}

/// Cancels the stages of a request when dropped before they end.
struct CancelOnDrop<'a> {
    dispatch: &'a Dispatch,
    key: &'a RequestKey,
    has_ended: bool,
}

impl Drop for CancelOnDrop<'_> {
    fn drop(&mut self) {
        if !self.has_ended {
            self.dispatch.cancel(self.key);
        }
    }
}

impl Dispatch {
    pub(super) fn new(
        clock: Clock,
        view: Arc<RoutingView>,
        calls: StageClient,
        quarantine: Arc<Quarantine>,
        limits: Arc<LimitSharing>,
        log: Logger,
    ) -> Arc<Self> {
        Arc::new(Self {
            log,
            clock,
            view,
            calls,
            quarantine,
            limits,
            scheduler: Mutex::default(),
            waiters: Mutex::default(),
            unneeded_results: Mutex::default(),
            poll_needed: Notify::new(),
        })
    }

    /// Runs the stages of a request; dropping the future cancels them.
    pub(super) async fn run(self: &Arc<Self>, mut submission: Submission) -> StageOutcome {
        // The submitter may know of fewer crashes, as after a partition.
        if let QuarantineStatus::Quarantined { .. } = self.quarantine.standing(&submission.digest) {
            return StageOutcome::ends_servers();
        }
        let ends = self.quarantine.crash_count(&submission.digest);
        submission.ends = submission.ends.max(ends);
        let began = Instant::now();
        let (key, request) = (submission.key.clone(), submission.request.clone());
        let (sender, receiver) = oneshot::channel();
        self.waiters().insert(key.clone(), sender);
        let mut guard = CancelOnDrop {
            dispatch: self,
            key: &key,
            has_ended: false,
        };
        self.scheduler().submit(self.clock.now_ms(), submission);
        self.execute_actions();
        let outcome = receiver.await;
        guard.has_ended = true;
        let outcome = outcome.unwrap_or(StageOutcome::Refused {
            reason: Refusal::Failed,
            retry_after_ms: 0,
            forecast_ms: 0,
        });
        self.log_outcome(&key, &request, &outcome, began);
        outcome
    }

    fn log_outcome(
        &self,
        key: &RequestKey,
        request: &RequestId,
        outcome: &StageOutcome,
        began: Instant,
    ) {
        let (requests, waiting, calls) = self.scheduler().load();
        let (ended, retry_after_ms, forecast_ms) = match outcome {
            StageOutcome::Ready(_) => ("ready", None, None),
            StageOutcome::Moved { .. } => ("moved", None, None),
            StageOutcome::Refused {
                reason,
                retry_after_ms,
                forecast_ms,
            } => (reason.as_str(), Some(*retry_after_ms), Some(*forecast_ms)),
        };
        info!(self.log, "stages ended"; "request" => %request, "from" => %key.instance,
            "end" => ended, "retry_after_ms" => retry_after_ms, "forecast_ms" => forecast_ms,
            "requests" => requests, "pieces_waiting" => waiting, "calls" => calls,
            "elapsed_ms" => began.elapsed().as_millis() as u64);
    }

    /// Releases the results of a request, which are no longer needed.
    pub(super) fn release(self: &Arc<Self>, key: &RequestKey) {
        self.scheduler().release(key);
        self.execute_actions();
    }

    /// Hands all unfinished requests over to the instance that is the scheduler now.
    pub(super) fn hand_over(self: &Arc<Self>, to: Option<&InstanceName>) {
        let (requests, waiting, calls) = self.scheduler().load();
        if requests == 0 {
            return;
        }
        info!(self.log, "stages handed over"; "to" => to.map(ToString::to_string),
            "requests" => requests, "pieces_waiting" => waiting, "calls" => calls);
        self.scheduler().hand_over(self.clock.now_ms(), to);
        self.execute_actions();
    }

    fn cancel(&self, key: &RequestKey) {
        self.waiters().remove(key);
        self.scheduler().cancel(key);
        self.poll_needed.notify_one();
    }

    /// Executes the scheduler's pending actions.
    fn execute_actions(self: &Arc<Self>) {
        let actions = self.scheduler().poll(self.clock.now_ms());
        for action in actions {
            match action {
                StageAction::Call(call) => {
                    let dispatch = Arc::clone(self);
                    tokio::spawn(async move { dispatch.call(call).await });
                }
                StageAction::Free {
                    server,
                    addr,
                    handles,
                } => self.schedule_free(server, addr, handles),
                StageAction::Probe { server, addr } => {
                    let dispatch = Arc::clone(self);
                    tokio::spawn(async move { dispatch.probe(&server, addr).await });
                }
                StageAction::Finish { key, outcome } => {
                    let waiter = self.waiters().remove(&key);
                    // The submitter may have dropped its receiver meanwhile.
                    let _ = waiter.map(|waiter| waiter.send(outcome));
                }
            }
        }
        self.poll_needed.notify_one();
    }

    /// Returns the availability zones whose servers this instance does not reach.
    pub(super) fn cut_off_zones(&self) -> Vec<ZoneName> {
        let now_ms = self.clock.now_ms();
        let mut zones = self.scheduler().avoided_zones(now_ms);
        zones.extend(self.view.fleet().cut_off_zones(now_ms));
        zones.into_iter().collect()
    }

    /// Reports an unreachable server to the scheduler once it accepts connections again,
    /// so that no piece has to probe it.
    async fn probe(self: Arc<Self>, server: &BackendName, addr: SocketAddr) {
        if self.calls.wait_until_reachable(server, addr).await {
            self.scheduler().on_reachable(self.clock.now_ms(), server);
            self.execute_actions();
        }
    }

    async fn call(self: Arc<Self>, call: StageCall) {
        let end = self.calls.run(&call).await;
        self.scheduler()
            .on_call_ended(self.clock.now_ms(), call.id, &end);
        self.execute_actions();
    }

    /// Frees results at a server after `FREE_DELAY`, together with those added until
    /// then.
    fn schedule_free(
        self: &Arc<Self>,
        server: BackendName,
        addr: SocketAddr,
        handles: Vec<String>,
    ) {
        {
            let mut unneeded_results = lock(&self.unneeded_results);
            if let Some((_, batched)) = unneeded_results.get_mut(&server) {
                batched.extend(handles);
                return;
            }
            unneeded_results.insert(server.clone(), (addr, handles));
        }
        let dispatch = Arc::clone(self);
        tokio::spawn(async move {
            time::sleep(FREE_DELAY).await;
            dispatch.free(&server).await;
        });
    }

    async fn free(self: &Arc<Self>, server: &BackendName) {
        let batched = {
            let mut unneeded_results = lock(&self.unneeded_results);
            unneeded_results.remove(server)
        };
        let Some((addr, handles)) = batched else {
            return;
        };
        if self.calls.free(server, addr, &handles).await {
            self.scheduler().on_freed(server, &handles);
            self.execute_actions();
        }
    }

    fn scheduler(&self) -> MutexGuard<'_, StageScheduler> {
        lock(&self.scheduler)
    }

    fn waiters(&self) -> MutexGuard<'_, HashMap<RequestKey, oneshot::Sender<StageOutcome>>> {
        lock(&self.waiters)
    }
}

/// Polls the scheduler whenever it is due.
pub(super) async fn run(dispatch: Arc<Dispatch>) {
    loop {
        let now_ms = dispatch.clock.now_ms();
        let due = dispatch.scheduler().next_poll_ms(now_ms);
        let latest = Instant::now() + MAX_SLEEP;
        let wake = due.map_or(latest, |due_ms| dispatch.clock.instant(due_ms).min(latest));
        tokio::select! {
            () = time::sleep_until(wake) => dispatch.execute_actions(),
            () = dispatch.poll_needed.notified() => {}
        }
    }
}

/// Keeps the scheduler's copy of the rate limits up to date, and this instance's share of
/// them.
pub(super) async fn sync_limits(dispatch: Arc<Dispatch>) {
    loop {
        let share = dispatch.limits.share();
        let limited = {
            let mut fleet = dispatch.view.fleet();
            let limits = fleet.limits();
            let limit_per_s = |server: &_| limits.limit_per_s(server);
            dispatch.scheduler().set_limits(limit_per_s, share);
            limits.count()
        };
        tokio::select! {
            () = dispatch.view.limits_changed() => {}
            () = time::sleep(SHARE_INTERVAL), if limited > 0 => {}
        }
    }
}

/// Keeps the scheduler's copy of the servers up to date, and closes pooled connections to
/// runs that are gone: another run may have their address.
pub(super) async fn sync_servers(dispatch: Arc<Dispatch>) {
    let mut addrs: HashMap<BackendName, SocketAddr> = HashMap::new();
    loop {
        if let Some(table) = dispatch.view.table() {
            let directory = dispatch.view.directory();
            let evacuated = directory.evacuated();
            dispatch
                .scheduler()
                .configure(table.config(), directory.used_entries(), evacuated);
            let current = directory.used_entries();
            let current = current.map(|entry| (entry.id.clone(), entry.addr));
            let before = std::mem::replace(&mut addrs, current.collect());
            drop(directory);
            for (run, addr) in before {
                if addrs.get(&run) != Some(&addr) {
                    dispatch.calls.close_connections(addr);
                }
            }
        }
        dispatch.execute_actions();
        dispatch.view.changed().await;
    }
}
