//! Successive runs of a server under one identifier, and records that arrive late.

use quickcheck::quickcheck;
use savoryvane_core::{
    forwarding::{
        Cursor, Directory, DirectoryUpdate, Position, Scope, ServerEntry, ServerState, SyncPoint,
    },
    ids::{BackendName, PoolName, ZoneName},
};

/// Returns the entry at `position` of the run of server `i-1` that started at `started_ms`.
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
        software: None,
        service: PoolName::new("s"),
        addr: "10.0.0.1:80".parse().unwrap(),
        zone: ZoneName::new("z"),
        slots: 4,
        state,
        cold_left_ms: 0,
    }
}

/// Returns the position of the record at `offset` in the first era of the store.
fn at(offset: u64) -> Position {
    Position { era: 0, offset }
}

/// Returns the cursor up to the record at `offset`, exclusively.
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
    assert_eq!(
        state_of(&directory, "i-1 1000"),
        None,
        "the earlier run was replaced"
    );
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

/// The order of the register decides which run is the later one, not the servers' clocks.
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
fn an_entry_without_a_start_belongs_to_the_known_run() {
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
fn a_departure_announced_in_a_response_does_not_apply_to_the_next_run() {
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

/// After an outage the scheduler waits before it removes servers, and does not advance its cursor
/// until then. The departures that it knows still apply at instances that have read further.
#[test]
fn one_that_knows_less_of_the_register_is_believed_where_it_knows_more() {
    let mut source = Directory::default();
    let mut receiver = Directory::default();
    for directory in [&mut source, &mut receiver] {
        let listing = vec![run_of("i-1", Some(1), 1, ServerState::Ready)];
        directory.update_to(DirectoryUpdate::Whole(listing), up_to(37));
    }
    receiver.advance_cursor(up_to(39));
    let revision = source.revision();
    let leaving = run_of("i-1", Some(1), 39, ServerState::Leaving);
    let record = vec![("i-1".into(), Some(leaving))];
    source.update_to(DirectoryUpdate::Changes(record), up_to(37));
    for known in [SyncPoint::Revision(revision), SyncPoint::Cursor(up_to(39))] {
        let mut receiver = Directory::default();
        let listing = vec![run_of("i-1", Some(1), 1, ServerState::Ready)];
        receiver.update_to(DirectoryUpdate::Whole(listing), up_to(39));
        assert!(
            receiver.update_to(
                source
                    .update_for(known, Scope::ALL)
                    .expect("a complete directory"),
                source.cursor()
            )
        );
        assert_eq!(state_of(&receiver, "i-1 1"), Some(ServerState::Leaving));
    }
    // Servers that it does not know are not removed.
    let newer = run_of("i-2", Some(1), 38, ServerState::Ready);
    assert!(take(&mut receiver, newer));
    let whole = source
        .update_for(SyncPoint::Cursor(up_to(0)), Scope::ALL)
        .expect("a complete directory");
    receiver.update_to(whole, source.cursor());
    assert_eq!(state_of(&receiver, "i-2 1"), Some(ServerState::Ready));
}

/// An instance that has just started has read the current entries, and does not know servers that
/// had left before. An update with only its changes would never remove these elsewhere.
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
    let update = started
        .update_for(SyncPoint::Cursor(known.cursor()), Scope::ALL)
        .expect("a complete directory");
    known.update_to(update, started.cursor());
    assert_eq!(
        state_of(&known, "i-1 1"),
        None,
        "it left before the other instance started"
    );
    assert_eq!(state_of(&known, "i-2 1"), Some(ServerState::Ready));
    assert_eq!(update_size(&started, 362), (false, 0));
}

/// Returns whether the update for an instance that knows the register up to `position` is a
/// complete listing, and its number of servers.
fn update_size(directory: &Directory, position: u64) -> (bool, usize) {
    match directory
        .update_for(SyncPoint::Cursor(up_to(position)), Scope::ALL)
        .expect("a complete directory")
    {
        DirectoryUpdate::Whole(all) => (true, all.len()),
        DirectoryUpdate::Changes(changes) => (false, changes.len()),
    }
}

/// An instance that knows the register from the store or from another instance gets only the
/// changes that it does not know.
#[test]
fn an_update_for_a_cursor_from_another_source_has_only_the_changes() {
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
        update_size(&directory, 0),
        (true, 299),
        "an instance that knows nothing gets a complete listing"
    );
    assert_eq!(update_size(&directory, 300), (false, 2));
    assert_eq!(update_size(&directory, 311), (false, 1));
    assert_eq!(update_size(&directory, 320), (false, 0));
    directory.on_leaving(&BackendName::new("i-3 1"));
    let of_responses = update_size(&directory, 320);
    assert_eq!(of_responses, (false, 1), "the register lacks the departure");
}

quickcheck! {
    /// An instance that gets updates, in any batches and with any delay, ends with the state of the
    /// register.
    fn all_end_with_the_same_whatever_they_were_told_when(
        records: Vec<(u8, u8, bool, bool)>,
        deliveries: Vec<(u8, bool)>
    ) -> bool {
        let mut source = Directory::default();
        let mut receiver = Directory::default();
        let mut updates = Vec::new();
        for (index, (id, started, is_gone, is_leaving)) in records.iter().enumerate() {
            let position = index as u64 + 1;
            let id = format!("i-{}", id % 4);
            let state = match is_leaving {
                true => ServerState::Leaving,
                false => ServerState::Ready,
            };
            let entry = run_of(&id, Some(u64::from(started % 3)), position, state);
            let (pick, is_withheld) = deliveries.get(index).copied().unwrap_or_default();
            let record = (BackendName::new(&id), (!is_gone).then_some(entry));
            let known_up_to = match is_withheld && !is_gone {
                true => source.cursor(),
                false => up_to(position + 1),
            };
            source.update_to(DirectoryUpdate::Changes(vec![record]), known_up_to);
            let known = SyncPoint::Cursor(receiver.cursor());
            updates.push((source.update_for(known, Scope::ALL).expect("a complete directory"), source.cursor()));
            // Some updates arrive late, after later ones.
            let picked = usize::from(pick) % updates.len();
            let (update, position) = updates[picked].clone();
            receiver.update_to(update, position);
        }
        source.advance_cursor(up_to(records.len() as u64 + 1));
        let last = source.update_for(SyncPoint::Cursor(receiver.cursor()), Scope::ALL).expect("a complete directory");
        receiver.update_to(last, source.cursor());
        let of = |directory: &Directory| -> Vec<(BackendName, ServerState)> {
            let entries = directory.entries();
            entries.map(|entry| (entry.id.clone(), entry.state)).collect()
        };
        of(&source) == of(&receiver)
    }
}

/// One event of the register, a peer or the store.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// The server writes an entry with the state ready.
    Ready,
    /// Its entry is removed.
    Removed,
    /// A listing of the register has the server as ready.
    Listed,
    /// A listing of the register lacks the server.
    Lacking,
    /// The first listing after an outage lacks the server.
    LackingAfterOutage,
    /// Servers whose expiry is due are removed.
    Expired,
    /// A peer that knows less of the register reports the server as ready.
    ReportedByPeer,
    /// The store is restored from a copy that has the server's entry.
    Restored,
}

const STEPS: [Step; 8] = [
    Step::Ready,
    Step::Removed,
    Step::Listed,
    Step::Lacking,
    Step::LackingAfterOutage,
    Step::Expired,
    Step::ReportedByPeer,
    Step::Restored,
];

/// A register, and a directory that reads it.
#[derive(Default)]
struct Register {
    directory: Directory,
    cursor: Cursor,
    now_ms: u64,
}

impl Register {
    /// Returns an entry of the server with the state ready, at the next position.
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
        let expires_at_ms = self.now_ms + 1_500;
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
                    .update_after_outage(Vec::new(), self.cursor, expires_at_ms);
            }
            Step::Expired => {
                self.directory.remove_expired(self.now_ms);
            }
            Step::ReportedByPeer => {
                let entry = run(Some(1_000), 0, ServerState::Ready);
                let receiver = DirectoryUpdate::Changes(vec![(name(), Some(entry))]);
                self.directory.update_to(receiver, Cursor::default());
            }
            Step::Restored => {
                self.cursor = Cursor {
                    era: self.cursor.era + 1,
                    before: self.cursor.offset + 1,
                    offset: 0,
                };
                let listing = vec![self.ready()];
                self.directory
                    .update_after_outage(listing, self.cursor, expires_at_ms);
            }
        }
    }
}

fn is_ready(directory: &Directory) -> bool {
    state_of(directory, "i-1 1000") == Some(ServerState::Ready)
}

quickcheck! {
    /// For any events before and after the response in which a run announces its departure, it is
    /// never ready again, at the instance that got the response and at one that gets its update.
    fn a_run_that_says_that_it_leaves_is_never_ready_again(
        before: Vec<u8>,
        after: Vec<u8>,
        peer_steps: Vec<u8>
    ) -> bool {
        let step = |number: &u8| STEPS[usize::from(*number) % STEPS.len()];
        let (mut local, mut peer) = (Register::default(), Register::default());
        before.iter().map(step).for_each(|step| local.take(step));
        peer_steps.iter().map(step).for_each(|step| peer.take(step));
        let revision = local.directory.revision();
        let is_known = local.directory.entry(&BackendName::new("i-1 1000")).is_some();
        local.directory.on_leaving(&BackendName::new("i-1 1000"));
        let receiver = local.directory.update_for(SyncPoint::Revision(revision), Scope::ALL).expect("a complete directory");
        peer.directory.update_to(receiver, local.directory.cursor());
        let holds_at_peer = !is_known || !is_ready(&peer.directory);
        let holds_locally = after.iter().map(step).all(|step| {
            local.take(step);
            !is_ready(&local.directory)
        });
        holds_at_peer && holds_locally
    }
}
