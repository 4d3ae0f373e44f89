//! Reads the load of the backend servers that this instance uses.

use std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration};

use rand::random_range;
use savoryvane_core::{call::ServingState, ids::BackendName};
use slog::warn;
use tokio::{task::JoinSet, time};

use crate::{instance::Shared, members};

/// Maximum number of concurrent reads.
const MAX_CONCURRENT_READS: usize = 64;
/// Maximum number of pools with a queue gauge.
const MAX_LABELLED_POOLS: usize = 64;

/// Reads loads until the instance stops.
pub(crate) async fn run(shared: Arc<Shared>) {
    let interval_ms = shared.settings.backends.load_interval_ms;
    loop {
        read_all(&shared).await;
        record_queues(&shared);
        shared.backends.prune();
        shared.meters.upkeep();
        let jittered_ms = random_range(interval_ms * 3 / 4..=interval_ms * 5 / 4);
        time::sleep(Duration::from_millis(jittered_ms)).await;
    }
}

async fn read_all(shared: &Arc<Shared>) {
    let mut reads = JoinSet::new();
    for (backend, addr) in backends_in_use(shared) {
        if reads.len() >= MAX_CONCURRENT_READS {
            reads.join_next().await;
        }
        let shared = Arc::clone(shared);
        reads.spawn(async move { read(&shared, &backend, addr).await });
    }
    while reads.join_next().await.is_some() {}
}

async fn read(shared: &Shared, backend: &BackendName, addr: SocketAddr) {
    let Some(report) = shared.backends.load(addr).await else {
        metrics::counter!("savoryvane_load_read_errors_total").increment(1);
        return;
    };
    if report.server != *backend {
        warn!(shared.log, "load report of another backend server";
            "backend" => %backend, "reported" => %report.server);
        return;
    }
    if report.state == ServingState::Leaving {
        members::announce_backend_leaving(shared, backend);
    }
    let mut fleet = shared.fleet();
    fleet.on_load_report(shared.clock.now_ms(), &report);
}

/// Exports the number of running and waiting calls of each pool, as last reported.
fn record_queues(shared: &Shared) {
    let now_ms = shared.clock.now_ms();
    let mut queues = BTreeMap::new();
    for status in shared.fleet().statuses(now_ms) {
        *queues.entry(status.pool).or_insert(0) += status.reported.unwrap_or(0);
    }
    for (pool, calls) in queues.into_iter().take(MAX_LABELLED_POOLS) {
        metrics::gauge!("savoryvane_pool_queue", "pool" => pool.to_string()).set(f64::from(calls));
    }
}

fn backends_in_use(shared: &Shared) -> Vec<(BackendName, SocketAddr)> {
    let state = shared.configuration.state();
    let backends_in_use: Vec<_> = shared.fleet().members().cloned().collect();
    backends_in_use
        .into_iter()
        .filter_map(|name| {
            let addr = state.backend(name.as_str())?.addr;
            Some((name, addr))
        })
        .collect()
}
