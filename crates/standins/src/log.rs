//! The platform log's streams in memory, without input or output.

use std::collections::{HashMap, VecDeque};

use bytes::Bytes;

/// How long records are kept.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Retention {
    pub(crate) age_ms: u64,
    pub(crate) records: usize,
}

/// One kept record.
#[derive(Clone, Debug)]
pub(crate) struct Kept {
    pub(crate) offset: u64,
    pub(crate) appended_at_ms: u64,
    pub(crate) payload: Bytes,
}

/// What readers may see at the moment.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Delivery {
    /// Records younger than this are not delivered yet.
    pub(crate) delay_ms: u64,
    /// Records appended at or after this time are not delivered.
    pub(crate) paused_since_ms: Option<u64>,
}

impl Delivery {
    fn shows(&self, record: &Kept, now_ms: u64) -> bool {
        let old_enough = record.appended_at_ms + self.delay_ms <= now_ms;
        let before_pause = self
            .paused_since_ms
            .is_none_or(|paused| record.appended_at_ms < paused);
        old_enough && before_pause
    }
}

/// Part of a stream as a reader gets it.
#[derive(Debug)]
pub(crate) struct Slice {
    pub(crate) first: u64,
    pub(crate) next: u64,
    pub(crate) records: Vec<Kept>,
}

/// A read from before the first kept record.
#[derive(Clone, Copy, Debug)]
pub(crate) struct BeforeFirst {
    pub(crate) first: u64,
}

#[derive(Debug, Default)]
struct Stream {
    next: u64,
    kept: VecDeque<Kept>,
}

impl Stream {
    fn first(&self) -> u64 {
        self.kept.front().map_or(self.next, |record| record.offset)
    }

    fn trim(&mut self, retention: Retention, now_ms: u64) {
        while self.kept.len() > retention.records
            || self
                .kept
                .front()
                .is_some_and(|record| record.appended_at_ms + retention.age_ms < now_ms)
        {
            self.kept.pop_front();
        }
    }
}

/// All streams of the log.
#[derive(Debug)]
pub(crate) struct Streams {
    retention: Retention,
    streams: HashMap<String, Stream>,
}

impl Streams {
    /// Starts without any stream.
    pub(crate) fn new(retention: Retention) -> Self {
        Self {
            retention,
            streams: HashMap::new(),
        }
    }

    /// Appends a record and returns its offset.
    pub(crate) fn append(&mut self, stream: &str, now_ms: u64, payload: Bytes) -> u64 {
        let stream = self.streams.entry(stream.to_owned()).or_default();
        let offset = stream.next;
        stream.next += 1;
        stream.kept.push_back(Kept {
            offset,
            appended_at_ms: now_ms,
            payload,
        });
        stream.trim(self.retention, now_ms);
        offset
    }

    /// Reads at most `limit` records from offset `from` on.
    pub(crate) fn read(
        &mut self,
        stream: &str,
        from: u64,
        limit: usize,
        now_ms: u64,
        delivery: Delivery,
    ) -> Result<Slice, BeforeFirst> {
        let Some(stream) = self.streams.get_mut(stream) else {
            return Ok(Slice {
                first: 0,
                next: 0,
                records: Vec::new(),
            });
        };
        stream.trim(self.retention, now_ms);
        let first = stream.first();
        if from < first {
            return Err(BeforeFirst { first });
        }
        let shown = stream
            .kept
            .iter()
            .take_while(|record| delivery.shows(record, now_ms));
        let next = shown
            .clone()
            .last()
            .map_or(first, |record| record.offset + 1);
        let records = shown
            .filter(|record| record.offset >= from)
            .take(limit)
            .cloned()
            .collect();
        Ok(Slice {
            first,
            next,
            records,
        })
    }

    /// Drops every kept record of every stream.
    pub(crate) fn trim_all(&mut self) {
        for stream in self.streams.values_mut() {
            stream.kept.clear();
        }
    }
}
