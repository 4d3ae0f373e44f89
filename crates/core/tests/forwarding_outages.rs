//! Servers that the register lacks after an instance could not read it: whether the store was
//! unavailable, or only the instance was partitioned.

use savoryvane_core::{
    forwarding::{
        Cursor, Directory, DirectoryUpdate, Position, REWRITE_WINDOW_MS, Scope, ServerEntry,
        ServerState, StoreUptime, SyncPoint,
    },
    ids::{BackendName, PoolName, ZoneName},
};

/// Interval at which an instance in touch reads the register, in ms.
const READ_INTERVAL_MS: u64 = 800;
/// Time at which a partition or an outage begins, in ms.
const CUT_AT_MS: u64 = 10_000;
/// Time at which it ends, in ms.
const HEALED_AT_MS: u64 = 15_000;

fn at(era: u64, offset: u64) -> Position {
    Position { era, offset }
}

fn up_to(era: u64, offset: u64) -> Cursor {
    Cursor::default().advanced_to(era, offset)
}

fn server(id: &str, position: Position) -> ServerEntry {
    ServerEntry {
        id: id.into(),
        registered_as: id.into(),
        service: PoolName::new("desk"),
        addr: "127.0.0.1:9000".parse().expect("an address"),
        zone: ZoneName::new("hal-gouda"),
        state: ServerState::Ready,
        slots: 4,
        started_ms: None,
        cold_left_ms: 0,
        software: None,
        position,
    }
}

fn servers() -> Vec<ServerEntry> {
    vec![server("i-1", at(0, 0)), server("i-2", at(0, 1))]
}

/// An instance that reads the register.
#[derive(Default)]
struct Instance {
    directory: Directory,
    uptime: StoreUptime,
}

impl Instance {
    /// Returns an instance that has read both servers from `from_ms` until `to_ms`.
    fn in_touch(from_ms: u64, to_ms: u64) -> Self {
        let mut instance = Self::default();
        let listing = DirectoryUpdate::Whole(servers());
        instance.directory.update_to(listing, up_to(0, 2));
        instance.stay_in_touch(from_ms, to_ms, 0);
        instance
    }

    fn stay_in_touch(&mut self, from_ms: u64, to_ms: u64, era: u64) {
        for at_ms in (from_ms..=to_ms).step_by(READ_INTERVAL_MS as usize) {
            self.uptime.on_response(at_ms, era);
        }
    }

    fn remove(&mut self, id: &str) {
        let removal = (at(0, 2), up_to(0, 3));
        self.directory
            .apply_record(&id.into(), None, removal.0, removal.1);
    }

    /// Lists the register without `i-1`, after calls of this instance failed.
    fn list_after_failures(&mut self, now_ms: u64, cursor: Cursor) {
        self.uptime.on_response(now_ms, cursor.era);
        let end_ms = self.uptime.rewrites_end_ms().expect("a response");
        let listing = vec![server("i-2", at(cursor.era, 1))];
        self.directory.update_after_outage(listing, cursor, end_ms);
    }

    /// Asks `other` about the servers that this instance keeps although they are missing.
    fn query(&mut self, other: &Self, now_ms: u64) {
        let asked = self.directory.expiring_names();
        let Some(end_ms) = other.uptime.rewrites_end_ms() else {
            return;
        };
        let missing = other.directory.missing_among(&asked, now_ms, end_ms);
        self.directory.on_expiring(now_ms, &missing, None);
    }

    /// Sends the expiring servers to `other`, which copies the register from this instance.
    fn tell(&self, other: &mut Self, now_ms: u64) {
        let expiring = self.directory.expiring(now_ms);
        let end_ms = other.uptime.rewrites_end_ms();
        other.directory.on_expiring(now_ms, &expiring, end_ms);
    }

    fn has(&mut self, id: &str, now_ms: u64) -> bool {
        self.directory.remove_expired(now_ms);
        self.directory.entry(&BackendName::new(id)).is_some()
    }
}

/// A server that left while an instance was partitioned stayed in use after the partition.
#[test]
fn a_server_that_left_during_a_partition_is_gone_for_the_partitioned_instance() {
    let mut partitioned = Instance::in_touch(0, CUT_AT_MS);
    let mut other = Instance::in_touch(0, HEALED_AT_MS);
    other.remove("i-1");
    partitioned.list_after_failures(HEALED_AT_MS, up_to(0, 3));
    assert!(partitioned.has("i-1", HEALED_AT_MS));
    partitioned.query(&other, HEALED_AT_MS + 100);
    assert!(!partitioned.has("i-1", HEALED_AT_MS + 100));
    assert!(partitioned.has("i-2", HEALED_AT_MS + 100));
}

/// The partitioned instance reads the register for others again before they have read that the
/// server left: they were in touch, and do not keep it for longer.
#[test]
fn instances_that_were_in_touch_do_not_keep_what_a_partitioned_one_keeps() {
    let mut partitioned = Instance::in_touch(0, CUT_AT_MS);
    let mut other = Instance::in_touch(0, HEALED_AT_MS);
    partitioned.list_after_failures(HEALED_AT_MS, up_to(0, 3));
    partitioned.tell(&mut other, HEALED_AT_MS + 50);
    assert!(!other.has("i-1", HEALED_AT_MS + 50));
    partitioned.query(&other, HEALED_AT_MS + 100);
    assert!(!partitioned.has("i-1", HEALED_AT_MS + 100));
}

/// A server registered again and left during a partition. An instance that knows only the first
/// of these records sends it to one that has listed the register after both: that one used the
/// server for good.
#[test]
fn an_entry_from_before_the_listing_does_not_renew_a_server_that_it_lacks() {
    let mut partitioned = Instance::in_touch(0, CUT_AT_MS);
    partitioned.list_after_failures(HEALED_AT_MS, up_to(0, 4));
    let renewed = server("i-1", at(0, 2));
    let update = DirectoryUpdate::Changes(vec![("i-1".into(), Some(renewed))]);
    partitioned.directory.update_to(update, up_to(0, 3));
    let end_ms = HEALED_AT_MS + REWRITE_WINDOW_MS;
    assert!(partitioned.has("i-1", end_ms - 1));
    assert!(!partitioned.has("i-1", end_ms));
}

/// The same record is known to an instance that gets the register from the one that listed it.
#[test]
fn a_server_that_another_instance_lists_as_missing_is_not_kept_for_a_newer_entry() {
    let mut partitioned = Instance::in_touch(0, CUT_AT_MS);
    partitioned.list_after_failures(HEALED_AT_MS, up_to(0, 4));
    let mut other = Instance::in_touch(0, HEALED_AT_MS);
    let renewed = server("i-1", at(0, 2));
    other
        .directory
        .apply_record(&"i-1".into(), Some(renewed), at(0, 2), up_to(0, 3));
    partitioned.tell(&mut other, HEALED_AT_MS + 50);
    assert!(!other.has("i-1", HEALED_AT_MS + 50));
}

/// An instance that was partitioned learns from any other since when the store has responded.
#[test]
fn an_instance_adopts_the_uptime_that_others_know() {
    let mut partitioned = Instance::in_touch(0, CUT_AT_MS);
    let other = Instance::in_touch(0, HEALED_AT_MS);
    partitioned.list_after_failures(HEALED_AT_MS, up_to(0, 3));
    let last_ms = HEALED_AT_MS;
    let first_ms = last_ms - other.uptime.duration_ms();
    partitioned.uptime.merge(first_ms, last_ms, 0);
    let end_ms = partitioned.uptime.rewrites_end_ms();
    partitioned.directory.on_expiring(HEALED_AT_MS, &[], end_ms);
    assert!(!partitioned.has("i-1", HEALED_AT_MS));
}

/// What another instance knew before an outage does not count after it.
#[test]
fn an_uptime_from_before_an_outage_is_not_adopted() {
    let mut instance = Instance::in_touch(0, CUT_AT_MS);
    instance.list_after_failures(HEALED_AT_MS, up_to(0, 3));
    instance.uptime.merge(0, CUT_AT_MS, 0);
    let end_ms = instance.uptime.rewrites_end_ms();
    assert_eq!(end_ms, Some(HEALED_AT_MS + REWRITE_WINDOW_MS));
}

/// A server registers and leaves between two updates of an instance, which never has its entry.
/// Another one has it, and gets the removal only from that instance: it used the server for good.
#[test]
fn the_removal_of_a_server_is_told_on_by_an_instance_that_never_had_it() {
    let entry = server("i-3", at(0, 2));
    let mut reader = Instance::in_touch(0, CUT_AT_MS).directory;
    reader.apply_record(&"i-3".into(), Some(entry), at(0, 2), up_to(0, 3));
    let mut behind = Directory::default();
    let known = SyncPoint::Cursor(behind.cursor());
    let update = reader.update_for(known, Scope::ALL).expect("a directory");
    behind.update_to(update, reader.cursor());
    reader.apply_record(&"i-3".into(), None, at(0, 3), up_to(0, 4));
    let mut between = Instance::in_touch(0, CUT_AT_MS).directory;
    let known = SyncPoint::Cursor(between.cursor());
    let update = reader.update_for(known, Scope::ALL).expect("a directory");
    between.update_to(update, reader.cursor());
    let known = SyncPoint::Cursor(behind.cursor());
    let update = between.update_for(known, Scope::ALL).expect("a directory");
    behind.update_to(update, between.cursor());
    assert!(behind.entry(&"i-3".into()).is_none());
}

/// A server that registers again with the same entry is no change for an instance at which it never
/// expired: that one knows the register beyond it without its new position. When it is told of an
/// earlier listing that lacks the server, the new entry still counts.
#[test]
fn a_running_server_is_not_dropped_for_a_listing_from_before_it_registered_again() {
    let mut partitioned = Instance::in_touch(0, CUT_AT_MS);
    partitioned.list_after_failures(HEALED_AT_MS, up_to(0, 4));
    let mut other = Instance::in_touch(0, HEALED_AT_MS);
    other.directory.advance_cursor(up_to(0, 8));
    other.uptime = StoreUptime::default();
    partitioned.tell(&mut other, HEALED_AT_MS + 50);
    let renewed = server("i-1", at(0, 5));
    let update = DirectoryUpdate::Changes(vec![("i-1".into(), Some(renewed))]);
    other.directory.update_to(update, up_to(0, 8));
    assert!(other.has("i-1", HEALED_AT_MS + REWRITE_WINDOW_MS));
}

/// In an outage of the store, no instance has responses, and all keep the servers.
#[test]
fn servers_are_kept_by_all_after_an_outage_of_the_store() {
    let mut first = Instance::in_touch(0, CUT_AT_MS);
    let mut second = Instance::in_touch(0, CUT_AT_MS);
    first.list_after_failures(HEALED_AT_MS, up_to(0, 3));
    second.uptime.on_response(HEALED_AT_MS, 0);
    first.tell(&mut second, HEALED_AT_MS + 50);
    second.list_after_failures(HEALED_AT_MS + 100, up_to(0, 3));
    first.query(&second, HEALED_AT_MS + 400);
    let end_ms = HEALED_AT_MS + REWRITE_WINDOW_MS;
    for instance in [&mut first, &mut second] {
        assert!(instance.has("i-1", end_ms - 1));
        assert!(!instance.has("i-1", end_ms));
    }
}

/// An instance that restarted knows no earlier responses; one that was in touch all the time does.
#[test]
fn an_instance_that_restarted_does_not_end_the_time_of_others() {
    let mut partitioned = Instance::in_touch(0, CUT_AT_MS);
    let mut restarted = Instance::default();
    restarted.directory.update_to(
        DirectoryUpdate::Whole(vec![server("i-2", at(0, 1))]),
        up_to(0, 3),
    );
    restarted.uptime.on_response(HEALED_AT_MS - 1_000, 0);
    partitioned.list_after_failures(HEALED_AT_MS, up_to(0, 3));
    partitioned.query(&restarted, HEALED_AT_MS + 400);
    let end_ms = HEALED_AT_MS - 1_000 + REWRITE_WINDOW_MS;
    assert!(partitioned.has("i-1", end_ms - 1));
    let mut other = Instance::in_touch(0, HEALED_AT_MS);
    other.remove("i-1");
    partitioned.query(&other, HEALED_AT_MS + 800);
    assert!(!partitioned.has("i-1", HEALED_AT_MS + 800));
}

/// A store that was restored from a copy has lost entries although it always responded.
#[test]
fn servers_that_a_copy_lacks_are_kept_although_the_store_always_responded() {
    let mut instance = Instance::in_touch(0, HEALED_AT_MS);
    instance.list_after_failures(HEALED_AT_MS + READ_INTERVAL_MS, up_to(1, 2));
    let end_ms = HEALED_AT_MS + READ_INTERVAL_MS + REWRITE_WINDOW_MS;
    assert!(instance.has("i-1", end_ms - 1));
    assert!(!instance.has("i-1", end_ms));
}

/// A server that has registered again is kept, whatever another instance still says of it.
#[test]
fn a_server_that_registered_again_is_not_removed_by_an_older_view() {
    let mut partitioned = Instance::in_touch(0, CUT_AT_MS);
    let mut other = Instance::in_touch(0, HEALED_AT_MS);
    other.remove("i-1");
    partitioned.list_after_failures(HEALED_AT_MS, up_to(0, 3));
    let asked = partitioned.directory.expiring_names();
    let renewed = server("i-1", at(0, 3));
    let record = (at(0, 3), up_to(0, 4));
    partitioned
        .directory
        .apply_record(&"i-1".into(), Some(renewed), record.0, record.1);
    let missing = other.directory.missing_among(&asked, HEALED_AT_MS, 0);
    assert_eq!(missing.len(), 1);
    partitioned
        .directory
        .on_expiring(HEALED_AT_MS + 100, &missing, None);
    assert!(partitioned.has("i-1", HEALED_AT_MS + 100));
}
