//! Runs of servers that are registered under one identifier, and records that come late.

use quickcheck::quickcheck;
use savoryvane_core::{
    forwarding::{
        Cursor, Directory, DirectoryUpdate, Position, ServerEntry, ServerState, SyncPoint,
    },
    ids::{BackendName, PoolName, ZoneName},
};

/// What the run of the server `i-1` that started at `started_ms` says at `position`.
fn run(started_ms: Option<u64>, position: u64, state: ServerState) -> ServerEntry {
    run_of("i-1", started_ms, position, state)
}

fn run_of(id: &str, started_ms: Option<u64>, position: u64, state: ServerState) -> ServerEntry {
    let suffix = started_ms.map_or(String::new(), |started_ms| format!(" {started_ms}"));
    ServerEntry {
        id: BackendName::new(format!("{id}{suffix}")),
        registered_as: BackendName::new(id),
        started_ms,
        position: at(position),
        service: PoolName::new("s"),
        addr: "10.0.0.1:80".parse().unwrap(),
        zone: ZoneName::new("z"),
        slots: 4,
        state,
        cold_left_ms: 0,
    }
}

/// Returns the position of the record at `offset` of a store that has lost nothing.
fn at(offset: u64) -> Position {
    Position { era: 0, offset }
}

/// Returns how far the register is known before the record at `offset`.
fn up_to(offset: u64) -> Cursor {
    Cursor {
        offset,
        ..Cursor::default()
    }
}

fn name() -> BackendName {
    BackendName::new("i-1")
}

fn state_of(directory: &Directory, run: &str) -> Option<ServerState> {
    let entry = directory.entry(&BackendName::new(run));
    entry.map(|entry| entry.state)
}

fn take(directory: &mut Directory, entry: ServerEntry) -> bool {
    let cursor = up_to(entry.position.offset + 1);
    let update = DirectoryUpdate::Changes(vec![(entry.registered_as.clone(), Some(entry))]);
    directory.update_to(update, cursor)
}

#[test]
fn a_server_that_starts_again_takes_work_although_its_last_run_left() {
    let mut directory = Directory::default();
    take(&mut directory, run(Some(1_000), 1, ServerState::Ready));
    take(&mut directory, run(Some(1_000), 2, ServerState::Leaving));
    assert!(take(
        &mut directory,
        run(Some(9_000), 3, ServerState::Ready)
    ));
    assert_eq!(state_of(&directory, "i-1 9000"), Some(ServerState::Ready));
    assert_eq!(state_of(&directory, "i-1 1000"), None, "that run is gone");
}

#[test]
fn a_late_record_of_the_run_before_changes_nothing() {
    let mut directory = Directory::default();
    take(&mut directory, run(Some(1_000), 1, ServerState::Ready));
    take(&mut directory, run(Some(9_000), 5, ServerState::Ready));
    let late = run(Some(1_000), 4, ServerState::Leaving);
    let update = DirectoryUpdate::Changes(vec![(name(), Some(late))]);
    assert!(!directory.update_to(update, up_to(6)));
    assert_eq!(state_of(&directory, "i-1 9000"), Some(ServerState::Ready));
}

/// The register's order tells which run is the later one, not the servers' clocks.
#[test]
fn a_run_whose_clock_went_back_is_the_later_one() {
    let mut directory = Directory::default();
    take(&mut directory, run(Some(9_000), 1, ServerState::Leaving));
    assert!(take(
        &mut directory,
        run(Some(1_000), 2, ServerState::Ready)
    ));
    assert_eq!(state_of(&directory, "i-1 1000"), Some(ServerState::Ready));
}

#[test]
fn an_entry_without_a_start_goes_on_with_the_run_that_is_known() {
    let mut directory = Directory::default();
    take(&mut directory, run(Some(1_000), 1, ServerState::Ready));
    assert!(take(&mut directory, run(None, 2, ServerState::Leaving)));
    assert_eq!(state_of(&directory, "i-1 1000"), Some(ServerState::Leaving));
    assert!(take(
        &mut directory,
        run(Some(2_000), 3, ServerState::Ready)
    ));
    assert_eq!(state_of(&directory, "i-1 2000"), Some(ServerState::Ready));
}

#[test]
fn a_run_that_says_in_an_answer_that_it_leaves_says_nothing_of_the_next_one() {
    let mut directory = Directory::default();
    take(&mut directory, run(Some(1_000), 1, ServerState::Ready));
    assert!(directory.on_leaving(&BackendName::new("i-1 1000")));
    assert!(!take(
        &mut directory,
        run(Some(1_000), 2, ServerState::Ready)
    ));
    assert_eq!(state_of(&directory, "i-1 1000"), Some(ServerState::Leaving));
    assert!(take(
        &mut directory,
        run(Some(2_000), 3, ServerState::Ready)
    ));
    assert!(!directory.on_leaving(&BackendName::new("i-1 1000")));
    assert_eq!(state_of(&directory, "i-1 2000"), Some(ServerState::Ready));
}

#[test]
fn what_is_known_to_a_later_position_is_not_replaced_by_what_is_older() {
    let mut directory = Directory::default();
    take(&mut directory, run(Some(1_000), 1, ServerState::Ready));
    take(&mut directory, run(Some(9_000), 8, ServerState::Ready));
    let stale = DirectoryUpdate::Whole(vec![run(Some(1_000), 1, ServerState::Ready)]);
    assert!(!directory.update_to(stale, up_to(5)));
    assert!(!directory.update_to(DirectoryUpdate::Whole(Vec::new()), up_to(7)));
    assert_eq!(state_of(&directory, "i-1 9000"), Some(ServerState::Ready));
    assert!(directory.update_to(DirectoryUpdate::Whole(Vec::new()), up_to(20)));
    assert!(directory.is_empty());
}

/// After an outage the one that reads for all waits before it takes servers for gone, and
/// does not say so far that it knows the register; what it knows of those that leave holds
/// for others that have read further.
#[test]
fn one_that_knows_less_of_the_register_is_believed_where_it_knows_more() {
    let mut source = Directory::default();
    let mut told = Directory::default();
    for directory in [&mut source, &mut told] {
        let listing = vec![run_of("i-1", Some(1), 1, ServerState::Ready)];
        directory.update_to(DirectoryUpdate::Whole(listing), up_to(37));
    }
    told.advance_cursor(up_to(39));
    let revision = source.revision();
    let leaving = run_of("i-1", Some(1), 39, ServerState::Leaving);
    let record = vec![("i-1".into(), Some(leaving))];
    source.update_to(DirectoryUpdate::Changes(record), up_to(37));
    for known in [SyncPoint::Revision(revision), SyncPoint::Cursor(up_to(39))] {
        let mut told = Directory::default();
        let listing = vec![run_of("i-1", Some(1), 1, ServerState::Ready)];
        told.update_to(DirectoryUpdate::Whole(listing), up_to(39));
        assert!(told.update_to(source.update_for(known), source.cursor()));
        assert_eq!(state_of(&told, "i-1 1"), Some(ServerState::Leaving));
    }
    // What it does not know says nothing.
    let newer = run_of("i-2", Some(1), 38, ServerState::Ready);
    assert!(take(&mut told, newer));
    let whole = source.update_for(SyncPoint::Cursor(up_to(0)));
    told.update_to(whole, source.cursor());
    assert_eq!(state_of(&told, "i-2 1"), Some(ServerState::Ready));
}

/// An instance that has just started has read who is registered, and knows nothing of
/// those that had left before. Told its changes alone, others kept these for good.
#[test]
fn one_that_has_just_read_the_register_tells_all_of_it() {
    let mut known = Directory::default();
    let listing = vec![
        run_of("i-1", Some(1), 1, ServerState::Ready),
        run_of("i-2", Some(1), 2, ServerState::Ready),
    ];
    known.update_to(DirectoryUpdate::Whole(listing), up_to(352));
    let mut started = Directory::default();
    let listing = vec![run_of("i-2", Some(1), 2, ServerState::Ready)];
    started.update_to(DirectoryUpdate::Whole(listing), up_to(362));
    let update = started.update_for(SyncPoint::Cursor(known.cursor()));
    known.update_to(update, started.cursor());
    assert_eq!(
        state_of(&known, "i-1 1"),
        None,
        "it left before the other one started"
    );
    assert_eq!(state_of(&known, "i-2 1"), Some(ServerState::Ready));
    assert_eq!(told(&started, 362), (false, 0));
}

/// Returns whether one that knows the register up to `position` is told all, and how
/// many servers it is told.
fn told(directory: &Directory, position: u64) -> (bool, usize) {
    match directory.update_for(SyncPoint::Cursor(up_to(position))) {
        DirectoryUpdate::Whole(all) => (true, all.len()),
        DirectoryUpdate::Changes(changes) => (false, changes.len()),
    }
}

/// One that has read the register itself, or was told by another instance, is told by
/// the next one only what it does not know.
#[test]
fn one_that_knows_the_register_from_elsewhere_is_told_only_what_is_new() {
    let mut directory = Directory::default();
    let listing = (0..300).map(|n| run_of(&format!("i-{n}"), Some(1), n, ServerState::Ready));
    directory.update_to(DirectoryUpdate::Whole(listing.collect()), up_to(300));
    take(
        &mut directory,
        run_of("i-7", Some(2), 310, ServerState::Ready),
    );
    directory.update_to(
        DirectoryUpdate::Changes(vec![("i-9".into(), None)]),
        up_to(320),
    );
    assert_eq!(
        told(&directory, 0),
        (true, 299),
        "who knows nothing is told all"
    );
    assert_eq!(told(&directory, 300), (false, 2));
    assert_eq!(told(&directory, 311), (false, 1));
    assert_eq!(told(&directory, 320), (false, 0));
    directory.on_leaving(&BackendName::new("i-3 1"));
    let of_answers = told(&directory, 320);
    assert_eq!(of_answers, (false, 1), "the register does not say this");
}

quickcheck! {
    /// Whoever is told changes, in whichever pieces and however late, ends with what the
    /// register says.
    fn all_end_with_the_same_whatever_they_were_told_when(
        records: Vec<(u8, u8, bool, bool)>,
        tells: Vec<(u8, bool)>
    ) -> bool {
        let mut source = Directory::default();
        let mut told = Directory::default();
        let mut updates = Vec::new();
        for (index, (id, started, is_gone, is_leaving)) in records.iter().enumerate() {
            let position = index as u64 + 1;
            let id = format!("i-{}", id % 4);
            let state = match is_leaving {
                true => ServerState::Leaving,
                false => ServerState::Ready,
            };
            let entry = run_of(&id, Some(u64::from(started % 3)), position, state);
            let (pick, is_withheld) = tells.get(index).copied().unwrap_or_default();
            let record = (BackendName::new(&id), (!is_gone).then_some(entry));
            let known_to = match is_withheld && !is_gone {
                true => source.cursor(),
                false => up_to(position + 1),
            };
            source.update_to(DirectoryUpdate::Changes(vec![record]), known_to);
            let known = SyncPoint::Cursor(told.cursor());
            updates.push((source.update_for(known), source.cursor()));
            // Some updates arrive late, after later ones.
            let picked = usize::from(pick) % updates.len();
            let (update, position) = updates[picked].clone();
            told.update_to(update, position);
        }
        source.advance_cursor(up_to(records.len() as u64 + 1));
        let last = source.update_for(SyncPoint::Cursor(told.cursor()));
        told.update_to(last, source.cursor());
        let of = |directory: &Directory| -> Vec<(BackendName, ServerState)> {
            let entries = directory.entries();
            entries.map(|entry| (entry.id.clone(), entry.state)).collect()
        };
        of(&source) == of(&told)
    }
}

/// A step of a schedule of the register, of peers and of the store.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// The server writes that it is ready.
    Ready,
    /// Its entry is removed.
    Removed,
    /// The register is read anew, with an entry of it that says that it is ready.
    Listed,
    /// The register is read anew, and lacks it.
    Lacking,
    /// The first listing after an outage lacks it.
    LackingAfterOutage,
    /// Servers that have lapsed count as gone.
    Lapsed,
    /// A peer that knows less of the register tells that it is ready.
    ToldByPeer,
    /// The store comes back from a copy that has its entry.
    Copied,
}

const STEPS: [Step; 8] = [
    Step::Ready,
    Step::Removed,
    Step::Listed,
    Step::Lacking,
    Step::LackingAfterOutage,
    Step::Lapsed,
    Step::ToldByPeer,
    Step::Copied,
];

/// A register as one directory reads it, in its era.
#[derive(Default)]
struct Register {
    directory: Directory,
    cursor: Cursor,
    now_ms: u64,
}

impl Register {
    /// Returns an entry of the server that says that it is ready, at the next position.
    fn ready(&mut self) -> ServerEntry {
        let position = self.cursor.position();
        self.cursor.offset += 1;
        ServerEntry {
            position,
            ..run(Some(1_000), 0, ServerState::Ready)
        }
    }

    fn take(&mut self, step: Step) {
        self.now_ms += 1_000;
        let gone_at_ms = self.now_ms + 1_500;
        match step {
            Step::Ready => {
                let entry = self.ready();
                let at = entry.position;
                self.directory
                    .apply_record(&name(), Some(entry), at, self.cursor);
            }
            Step::Removed => {
                let at = self.cursor.position();
                self.cursor.offset += 1;
                self.directory.apply_record(&name(), None, at, self.cursor);
            }
            Step::Listed => {
                let listing = DirectoryUpdate::Whole(vec![self.ready()]);
                self.directory.update_to(listing, self.cursor);
            }
            Step::Lacking => {
                let listing = DirectoryUpdate::Whole(Vec::new());
                self.directory.update_to(listing, self.cursor);
            }
            Step::LackingAfterOutage => {
                self.directory
                    .update_after_outage(Vec::new(), self.cursor, gone_at_ms);
            }
            Step::Lapsed => {
                self.directory.remove_expired(self.now_ms);
            }
            Step::ToldByPeer => {
                let entry = run(Some(1_000), 0, ServerState::Ready);
                let told = DirectoryUpdate::Changes(vec![(name(), Some(entry))]);
                self.directory.update_to(told, Cursor::default());
            }
            Step::Copied => {
                self.cursor = Cursor {
                    era: self.cursor.era + 1,
                    before: self.cursor.offset + 1,
                    offset: 0,
                };
                let listing = vec![self.ready()];
                self.directory
                    .update_after_outage(listing, self.cursor, gone_at_ms);
            }
        }
    }
}

fn is_ready(directory: &Directory) -> bool {
    state_of(directory, "i-1 1000") == Some(ServerState::Ready)
}

quickcheck! {
    /// Whatever comes before and after the answer in which a run says that it leaves, it takes
    /// nothing new from then on, at the instance that got the answer and at one that it tells.
    fn a_run_that_says_that_it_leaves_is_never_ready_again(
        before: Vec<u8>,
        after: Vec<u8>,
        peer_steps: Vec<u8>
    ) -> bool {
        let step = |number: &u8| STEPS[usize::from(*number) % STEPS.len()];
        let (mut own, mut peer) = (Register::default(), Register::default());
        before.iter().map(step).for_each(|step| own.take(step));
        peer_steps.iter().map(step).for_each(|step| peer.take(step));
        let revision = own.directory.revision();
        let is_known = own.directory.entry(&BackendName::new("i-1 1000")).is_some();
        own.directory.on_leaving(&BackendName::new("i-1 1000"));
        let told = own.directory.update_for(SyncPoint::Revision(revision));
        peer.directory.update_to(told, own.directory.cursor());
        let is_told = !is_known || !is_ready(&peer.directory);
        let is_kept = after.iter().map(step).all(|step| {
            own.take(step);
            !is_ready(&own.directory)
        });
        is_told && is_kept
    }
}
