//! The configuration in force on this instance: one writer, any number of
//! readers that never wait.

use std::sync::{Arc, Mutex, PoisonError};

use arc_swap::ArcSwap;
use savoryvane_core::{
    config::{Applied, Assembler, Assembly, ConfigRecord, State},
    fleet::Fleet,
    ids::Offset,
};
use savoryvane_wire::{config, platform::LogRecord};
use slog::{Logger, info, warn};
use tokio::{sync::watch, time::Instant};

/// Publishes the configuration and applies records to it.
#[derive(Debug)]
pub(crate) struct Configuration {
    log: Logger,
    fleet: Arc<Mutex<Fleet>>,
    published: ArcSwap<State>,
    next: watch::Sender<Offset>,
    writer: Mutex<Writer>,
}

#[derive(Debug, Default)]
struct Writer {
    state: State,
    assembler: Assembler,
    /// When the head of the stream was last heard of.
    heard_head_at: Option<Instant>,
    /// Time of the newest checkpoint's last part by the log's clock, in ms; of
    /// the first record while there is no checkpoint.
    checkpoint_at_ms: Option<u64>,
}

impl Configuration {
    /// Starts with the state before the first record; `fleet` is told of every
    /// change before anyone can read it.
    pub(crate) fn new(log: Logger, fleet: Arc<Mutex<Fleet>>) -> Self {
        Self {
            log,
            fleet,
            published: ArcSwap::from_pointee(State::new()),
            next: watch::Sender::new(Offset::default()),
            writer: Mutex::default(),
        }
    }

    /// Returns the configuration in force.
    pub(crate) fn state(&self) -> Arc<State> {
        self.published.load_full()
    }

    /// Watches the offset that is expected next.
    pub(crate) fn watch(&self) -> watch::Receiver<Offset> {
        self.next.subscribe()
    }

    /// Applies records in order and publishes the result; returns the offset
    /// to read next.
    pub(crate) fn apply(&self, records: &[LogRecord]) -> Option<Offset> {
        let mut writer = self.lock();
        let before = writer.state.next();
        let mut read_next = None;
        for record in records {
            let adopted = self.apply_one(&mut writer, record);
            read_next = Some(record.offset.next());
            if adopted {
                // What the checkpoint does not cover has to be read again.
                read_next = Some(writer.state.next());
                break;
            }
        }
        if writer.state.next() != before {
            self.publish(&writer.state);
        }
        read_next
    }

    /// Takes over a state that a peer sent, when it is newer than the own one.
    #[expect(dead_code, reason = "peers call it when the log is away")]
    pub(crate) fn adopt(&self, state: State) -> bool {
        let mut writer = self.lock();
        let newer = state.next() > writer.state.next();
        if newer {
            writer.state = state;
            self.publish(&writer.state);
        }
        newer
    }

    /// Notes that the head of the stream was heard of just now.
    pub(crate) fn heard_head(&self) {
        self.lock().heard_head_at = Some(Instant::now());
    }

    /// Returns the time since the head of the stream was heard of, in ms.
    pub(crate) fn head_age_ms(&self) -> Option<u64> {
        let heard_at = self.lock().heard_head_at?;
        Some(u64::try_from(heard_at.elapsed().as_millis()).unwrap_or(u64::MAX))
    }

    /// Returns the time of the newest checkpoint by the log's clock, in ms.
    pub(crate) fn checkpoint_at_ms(&self) -> Option<u64> {
        self.lock().checkpoint_at_ms
    }

    fn apply_one(&self, writer: &mut Writer, record: &LogRecord) -> bool {
        let offset = record.offset;
        let decoded = match config::decode_record(record) {
            Ok(decoded) => decoded,
            Err(err) => {
                metrics::counter!("savoryvane_config_records_undecodable_total").increment(1);
                warn!(self.log, "configuration record can't be decoded";
                    "offset" => offset.0, "error" => %err);
                writer.state.apply_undecodable(offset);
                return false;
            }
        };
        let applied = writer.state.apply(offset, &decoded);
        self.note(offset, &decoded, &applied);
        if applied == Applied::Checkpoint || writer.checkpoint_at_ms.is_none() {
            writer.checkpoint_at_ms = Some(record.appended_at_ms);
        }
        match (applied, decoded) {
            (Applied::Gap { .. }, ConfigRecord::Checkpoint(part)) => {
                match writer.assembler.add(offset, part) {
                    Assembly::Complete(state) if state.next() > writer.state.next() => {
                        info!(self.log, "configuration taken from a checkpoint";
                            "offset" => offset.0, "next" => state.next().0);
                        writer.state = *state;
                        writer.checkpoint_at_ms = Some(record.appended_at_ms);
                        true
                    }
                    _ => false,
                }
            }
            _ => false,
        }
    }

    fn note(&self, offset: Offset, record: &ConfigRecord, applied: &Applied) {
        let ConfigRecord::Change(change) = record else {
            return;
        };
        metrics::counter!("savoryvane_config_changes_total").increment(1);
        info!(self.log, "configuration change applied";
            "offset" => offset.0, "change" => %change.id, "operator" => %change.operator,
            "result" => ?applied);
    }

    fn publish(&self, state: &State) {
        self.fleet
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .configure(state.pools(), state.backends());
        self.published.store(Arc::new(state.clone()));
        metrics::gauge!("savoryvane_config_next_offset").set(state.next().0 as f64);
        self.next.send_replace(state.next());
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Writer> {
        self.writer.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
