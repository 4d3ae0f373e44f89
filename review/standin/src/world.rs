//! What all stand-ins of one run share: the record, the requests that clients sent, the results
//! that runners keep, and the rules that were broken.

use std::{
    collections::{BTreeMap, HashMap, HashSet},
    fmt::Write as _,
    fs,
    path::Path,
    sync::{Mutex, MutexGuard},
    time::{Duration, Instant},
};

/// Time after which no request reaches a runner whose client has closed its connection.
const GONE_AFTER: Duration = Duration::from_millis(500);
/// Count of the requests that did.
pub const REACHED_LATE: &str = "of these over half a second later";

/// A request as its client sent it.
#[derive(Clone, Debug)]
pub struct Sent {
    /// Number of pieces of each of its stages.
    pub pieces: Vec<u32>,
    /// Indices of the stages that each of its stages comes after.
    pub after: Vec<Vec<usize>>,
}

/// A result that a stage runner keeps.
#[derive(Clone, Debug)]
pub struct Kept {
    pub request: String,
    pub stage: usize,
    pub piece: u32,
    pub until: Instant,
}

#[derive(Default)]
struct State {
    lines: Vec<String>,
    sent: HashMap<String, Sent>,
    results: HashMap<String, Kept>,
    /// When the clients of requests closed their connections before the end of the answer.
    closed: HashMap<String, Instant>,
    /// Runs of requests by plain runners, with the tenant that each was given.
    runs: Vec<(String, String)>,
    breaks: BTreeMap<String, u32>,
    counts: BTreeMap<String, u32>,
}

/// Shared state of a run.
pub struct World {
    pub began: Instant,
    state: Mutex<State>,
}

/// What the inputs of a piece or a request turn out to be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Inputs {
    Right,
    /// A result is not kept any more.
    Gone,
    /// They break the rule MIXED.
    Mixed,
}

impl World {
    pub fn new() -> Self {
        Self {
            began: Instant::now(),
            state: Mutex::default(),
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    /// Adds a line to the record.
    pub fn note(&self, text: impl AsRef<str>) {
        let at_ms = self.began.elapsed().as_millis();
        let line = format!("{at_ms:>7} ms  {}", text.as_ref());
        self.state().lines.push(line);
    }

    /// Records that a rule was broken.
    pub fn on_break(&self, rule: &str, text: impl AsRef<str>) {
        self.note(format!("BROKEN {rule}: {}", text.as_ref()));
        *self.state().breaks.entry(rule.to_owned()).or_default() += 1;
    }

    pub fn count(&self, what: &str) {
        *self.state().counts.entry(what.to_owned()).or_default() += 1;
    }

    pub fn on_sent(&self, id: &str, sent: Sent) {
        self.state().sent.insert(id.to_owned(), sent);
    }

    /// Records that the client of request `id` closes its connection.
    pub fn on_closed(&self, id: &str) {
        self.note(format!("client closes {id}"));
        self.state().closed.insert(id.to_owned(), Instant::now());
    }

    /// Returns how long ago the client of request `id` closed its connection, if it did.
    pub fn closed_for(&self, id: &str) -> Option<Duration> {
        self.state().closed.get(id).map(Instant::elapsed)
    }

    /// Records that request `id` reaches a model runner.
    pub fn on_model_gets(&self, id: &str) {
        let Some(closed_for) = self.closed_for(id) else {
            return;
        };
        self.count("requests that reach a model runner after their client has closed");
        let ms = closed_for.as_millis();
        self.note(format!(
            "request {id} reaches it {ms} ms after its client closed"
        ));
        if closed_for > GONE_AFTER {
            self.count(REACHED_LATE);
        }
    }

    /// Records that a plain runner runs request `id` for `tenant`.
    pub fn on_run(&self, id: &str, tenant: &str) {
        self.state().runs.push((id.to_owned(), tenant.to_owned()));
    }

    /// Returns the tenants that the runs of request `id` were for.
    pub fn runs_of(&self, id: &str) -> Vec<String> {
        let state = self.state();
        let runs = state.runs.iter().filter(|(run, _)| run == id);
        runs.map(|(_, tenant)| tenant.clone()).collect()
    }

    pub fn keep(&self, handle: &str, kept: Kept) {
        self.state().results.insert(handle.to_owned(), kept);
    }

    pub fn free(&self, handle: &str) {
        self.state().results.remove(handle);
    }

    /// Extends the time for which a result is kept until `until`.
    pub fn keep_until(&self, handle: &str, until: Instant) {
        if let Some(kept) = self.state().results.get_mut(handle) {
            kept.until = until;
        }
    }

    /// Checks the inputs `handles` of request `id`, which have to be all results of the stages
    /// `needed`, each once.
    pub fn check_inputs(&self, id: &str, needed: &[usize], handles: &[String], of: &str) -> Inputs {
        let now = Instant::now();
        let (sent, found) = {
            let state = self.state();
            let found: Vec<Option<Kept>> = handles
                .iter()
                .map(|handle| state.results.get(handle).cloned())
                .map(|kept| kept.filter(|kept| kept.until > now))
                .collect();
            (state.sent.get(id).cloned(), found)
        };
        let Some(sent) = sent else {
            self.on_break("UNASKED", format!("{of}: no client sent request {id}"));
            return Inputs::Mixed;
        };
        let mut given = HashSet::new();
        let mut faults = Vec::new();
        for (handle, kept) in handles.iter().zip(&found) {
            let Some(kept) = kept else { continue };
            if kept.request != id {
                let whose = format!("{handle} is of request {}", kept.request);
                faults.push(whose);
            } else if !needed.contains(&kept.stage) {
                faults.push(format!("{handle} is of stage {}", kept.stage));
            } else if !given.insert((kept.stage, kept.piece)) {
                let (stage, piece) = (kept.stage, kept.piece);
                faults.push(format!("{handle} is stage {stage} piece {piece} once more"));
            }
        }
        if faults.is_empty() && found.iter().any(Option::is_none) {
            return Inputs::Gone;
        }
        let wanted: u32 = needed.iter().map(|stage| sent.pieces[*stage]).sum();
        if faults.is_empty() && given.len() as u32 != wanted {
            faults.push(format!("{} of {wanted} results are given", given.len()));
        }
        if faults.is_empty() {
            return Inputs::Right;
        }
        self.on_break(
            "MIXED",
            format!("{of} of request {id}: {}", faults.join("; ")),
        );
        Inputs::Mixed
    }

    /// Returns the stages whose results a model runner needs for request `id`.
    pub fn last_stages(&self, id: &str) -> Option<Vec<usize>> {
        let state = self.state();
        let sent = state.sent.get(id)?;
        let is_last = |stage: &usize| !sent.after.iter().any(|after| after.contains(stage));
        Some((0..sent.pieces.len()).filter(is_last).collect())
    }

    /// Returns the stages that `stage` of request `id` comes after.
    pub fn after(&self, id: &str, stage: usize) -> Option<Vec<usize>> {
        self.state().sent.get(id)?.after.get(stage).cloned()
    }

    /// Returns how often each rule was broken.
    pub fn breaks(&self) -> BTreeMap<String, u32> {
        self.state().breaks.clone()
    }

    /// Returns how often `what` was counted.
    pub fn counted(&self, what: &str) -> u32 {
        self.state().counts.get(what).copied().unwrap_or(0)
    }

    /// Writes the record: the summary first.
    pub fn write(&self, path: &Path, title: &str) {
        let state = self.state();
        let mut text = format!("{title}\n");
        for (what, count) in &state.counts {
            let _ = writeln!(text, "{count:>7}  {what}");
        }
        for (rule, count) in &state.breaks {
            let _ = writeln!(text, "{count:>7}  times broken: {rule}");
        }
        text.push('\n');
        for line in &state.lines {
            let _ = writeln!(text, "{line}");
        }
        if let Err(err) = fs::write(path, text) {
            eprintln!("{}: {err}", path.display());
        }
    }
}

/// A small random generator (xorshift).
pub struct Random(u64);

impl Random {
    pub fn new(seed: u64) -> Self {
        Self(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1)
    }

    pub fn next(&mut self) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0.wrapping_mul(0x2545_f491_4f6c_dd1d)
    }

    /// Returns a number from 0 to 1.
    pub fn share(&mut self) -> f64 {
        (self.next() >> 11) as f64 / (1u64 << 53) as f64
    }

    pub fn between(&mut self, from: u32, to: u32) -> u32 {
        from + (self.next() % u64::from(to - from + 1)) as u32
    }
}

/// Sleeps until `at` after the begin of the run.
pub fn sleep_until(world: &World, at: Duration) {
    std::thread::sleep(at.saturating_sub(world.began.elapsed()));
}
