//! Reads which prompt prefixes the engines have cached. Events arrive late and with gaps;
//! a missed event costs only a routing hint.

use std::{collections::HashMap, net::SocketAddr, sync::Arc, time::Duration};

use rand::random_range;
use savoryvane_core::{ids::BackendName, objects::StageKind};
use tokio::time;

use crate::instance::Shared;

/// Interval between two reads.
const READ_INTERVAL_MS: u64 = 1_000;

/// Reads cache events until the instance stops.
pub(crate) async fn run(shared: Arc<Shared>) {
    let mut cursors = HashMap::new();
    loop {
        let engines = engines(&shared);
        cursors.retain(|name, _| engines.iter().any(|engine| engine.name == *name));
        for engine in engines {
            let cursor = cursors.entry(engine.name.clone()).or_insert(0);
            *cursor = read(&shared, &engine, *cursor).await;
        }
        let jittered_ms = random_range(READ_INTERVAL_MS * 3 / 4..=READ_INTERVAL_MS * 5 / 4);
        time::sleep(Duration::from_millis(jittered_ms)).await;
    }
}

struct Engine {
    name: BackendName,
    addr: SocketAddr,
}

/// Applies the new cache events of one engine and returns the next sequence number to read.
async fn read(shared: &Shared, engine: &Engine, from: u64) -> u64 {
    let Some(page) = shared.backends.cache_events(engine.addr, from).await else {
        return from;
    };
    let mut fleet = shared.fleet();
    for event in page.events {
        fleet.on_cache_event(&engine.name, event.prefix, event.cached);
    }
    // An engine that restarted numbers its events from 0 again.
    if page.next < from { 0 } else { page.next }
}

/// Returns the engines that this instance sends calls to.
fn engines(shared: &Shared) -> Vec<Engine> {
    let state = shared.configuration.state();
    let fleet = shared.fleet();
    let engine = |name: &BackendName| {
        let backend = state.backend(name.as_str())?;
        let pool = state.pool(backend.pool.as_str())?;
        (pool.kind == StageKind::Generate).then(|| Engine {
            name: name.clone(),
            addr: backend.addr,
        })
    };
    fleet.members().filter_map(engine).collect()
}
