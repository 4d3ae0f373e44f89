//! Streams that callers take up again: records, who keeps them, and where a stream goes on.

use std::collections::{BTreeMap, BTreeSet};

use quickcheck::quickcheck;
use savoryvane_core::{
    forwarding::{
        MAX_CALLER_WAIT_MS, RECORD_REPLICAS, RecordBacklog, RecordedOrigin, Route, RouteKind,
        RoutingConfig, ServedSoftware, ServedVersions, StreamKey, StreamKnowledge, StreamOrigin,
        StreamRecord, StreamRecords, TakeUp, TakeUpSearch, Target, record_keepers, record_left_ms,
    },
    ids::{InstanceName, PoolName, SoftwareVersion, ZoneName},
};

const SERVICE: &str = "engine";
const ROUTE: &str = "quote";
/// Time after which an instance that knows the register can tell what has served, in ms.
const SETTLED_MS: u64 = MAX_CALLER_WAIT_MS + 10_000;

fn key(workspace: &str, request: usize) -> StreamKey {
    StreamKey {
        workspace: Some(workspace.into()),
        request: format!("r{request}").as_str().into(),
    }
}

fn origin(version: u8) -> StreamOrigin {
    StreamOrigin {
        service: SERVICE.into(),
        software: name(version),
    }
}

fn name(version: u8) -> SoftwareVersion {
    SoftwareVersion::new(format!("v{version}"))
}

fn record(request: usize, version: u8) -> StreamRecord {
    StreamRecord {
        key: key("one", request),
        origin: origin(version),
        left_ms: record_left_ms(6_000),
    }
}

fn route(targets: &[(&str, u32)]) -> RoutingConfig {
    let targets = targets.iter().map(|(service, weight)| Target {
        service: PoolName::new(service),
        weight: *weight,
    });
    RoutingConfig {
        version: 1,
        routes: vec![Route {
            name: ROUTE.to_owned(),
            host: String::new(),
            path_prefix: "/".to_owned(),
            kind: RouteKind::Stream,
            targets: targets.collect(),
            max_servers: 2,
            timeout_ms: 6_000,
            goal_ms: 1_000,
            priority: 0,
            is_public: false,
            has_prompts: false,
            is_resumable: true,
            event_gap_ms: None,
            stages: Vec::new(),
        }],
        ..RoutingConfig::default()
    }
}

/// Records that servers of `versions` are registered.
fn register(served: &mut ServedSoftware, now_ms: u64, versions: &[Option<u8>]) {
    let service = PoolName::new(SERVICE);
    let names: Vec<Option<SoftwareVersion>> =
        versions.iter().map(|version| version.map(name)).collect();
    served.on_registered(now_ms, names.iter().map(|name| (&service, name.as_ref())));
}

/// Returns the knowledge of an instance that has seen `versions` since 0.
fn served(versions: &[Option<u8>]) -> ServedSoftware {
    let mut served = ServedSoftware::default();
    served.on_routes(0, &route(&[(SERVICE, 100)]));
    served.on_register_age(0, 0);
    register(&mut served, 0, versions);
    register(&mut served, SETTLED_MS, versions);
    served
}

fn versions_at(served: &ServedSoftware, now_ms: u64) -> ServedVersions {
    served.versions(now_ms, ROUTE, &SERVICE.into())
}

fn absent(served: ServedVersions) -> StreamKnowledge {
    StreamKnowledge {
        origin: RecordedOrigin::Absent,
        served,
    }
}

fn search(cells: u32) -> TakeUpSearch {
    TakeUpSearch::new(SERVICE.into(), cells)
}

/// Returns the knowledge of an instance that starts at 0 and inherits that version 1 alone had
/// served.
fn heir(versions: &[Option<u8>]) -> ServedSoftware {
    let mut served = ServedSoftware::default();
    served.on_routes(0, &route(&[(SERVICE, 100)]));
    served.on_register_age(0, 0);
    register(&mut served, 0, versions);
    served.inherit(0, BTreeMap::from([(SERVICE.into(), name(1))]));
    served
}

#[test]
fn what_an_earlier_instance_knew_holds_at_once() {
    let served = heir(&[Some(1)]);
    assert_eq!(versions_at(&served, 0), ServedVersions::One(name(1)));
    let sole = BTreeMap::from([(SERVICE.into(), name(1))]);
    assert_eq!(served.sole_versions(0), sole);
    assert_eq!(versions_at(&heir(&[Some(2)]), 0), ServedVersions::Unknown);
    assert_eq!(versions_at(&heir(&[None]), 0), ServedVersions::Unknown);
    let several = versions_at(&heir(&[Some(1), Some(2)]), 0);
    assert_eq!(several, ServedVersions::Several);
}

#[test]
fn what_an_earlier_instance_knew_ends_with_a_gap_or_a_move() {
    let mut gap = heir(&[Some(1)]);
    gap.on_register_age(1_000, 5_000);
    gap.on_register_age(1_200, 0);
    assert_eq!(versions_at(&gap, 1_200), ServedVersions::Unknown);
    let mut moved = heir(&[Some(1)]);
    moved.on_routes(1_000, &route(&[("other", 100)]));
    moved.on_routes(2_000, &route(&[(SERVICE, 100)]));
    assert_eq!(versions_at(&moved, 2_000), ServedVersions::Unknown);
    let mut joined = heir(&[Some(1)]);
    register(&mut joined, 1_000, &[Some(1), Some(2)]);
    register(&mut joined, 2_000, &[Some(1)]);
    assert_eq!(versions_at(&joined, 2_000), ServedVersions::Several);
}

/// The register is current again at the first check after the freeze.
#[test]
fn a_freeze_between_two_checks_of_the_register_is_a_gap() {
    let mut served = served(&[Some(1)]);
    for at_ms in (0..=SETTLED_MS).step_by(200) {
        served.on_register_age(at_ms, 100);
    }
    assert_eq!(
        versions_at(&served, SETTLED_MS),
        ServedVersions::One(name(1))
    );
    served.on_register_age(SETTLED_MS + 5_000, 100);
    assert_eq!(
        versions_at(&served, SETTLED_MS + 5_000),
        ServedVersions::Unknown
    );
}

#[test]
fn a_backlog_has_each_stream_once_and_drops_the_earliest() {
    let mut backlog = RecordBacklog::default();
    assert_eq!(backlog.push(record(0, 1)) + backlog.push(record(0, 1)), 0);
    assert_eq!(backlog.take(10).len(), 1);
    let dropped: usize = (0..5_000)
        .map(|request| backlog.push(record(request, 1)))
        .sum();
    assert!(dropped > 0);
    assert_eq!(backlog.take(1)[0].key, key("one", dropped));
    assert_eq!(backlog.take(5_000).len(), 5_000 - dropped - 1);
    assert!(backlog.is_empty());
}

#[test]
fn a_record_is_kept_until_its_caller_can_come_back_no_more() {
    let mut records = StreamRecords::default();
    records.insert_shared(1_000, record(1, 1));
    assert_eq!(
        records.origin(6_999, &key("one", 1)),
        RecordedOrigin::Known(origin(1))
    );
    assert_eq!(
        records.origin(9_000, &key("one", 1)),
        RecordedOrigin::Absent
    );
    records.remove_expired(9_000);
    assert_eq!(records.count(), 0);
}

#[test]
fn a_stream_that_is_taken_up_is_remembered_for_longer() {
    let mut records = StreamRecords::default();
    records.insert_shared(0, record(1, 1));
    records.insert_shared(5_000, record(1, 1));
    let known = records.origin(12_000, &key("one", 1));
    assert_eq!(known, RecordedOrigin::Known(origin(1)));
}

#[test]
fn two_streams_with_the_same_request_go_on_nowhere() {
    let mut records = StreamRecords::default();
    records.insert_shared(0, record(1, 1));
    records.insert_shared(0, record(1, 2));
    assert_eq!(records.origin(1, &key("one", 1)), RecordedOrigin::Ambiguous);
    let mut search = search(1);
    let knowledge = StreamKnowledge {
        origin: RecordedOrigin::Ambiguous,
        served: ServedVersions::One(name(1)),
    };
    assert_eq!(search.on_knowledge(0, knowledge), Some(TakeUp::Unknown));
}

#[test]
fn a_workspace_neither_reads_nor_changes_the_streams_of_another() {
    let mut records = StreamRecords::default();
    records.insert_shared(0, record(1, 1));
    assert_eq!(records.origin(1, &key("two", 1)), RecordedOrigin::Absent);
    let foreign = StreamRecord {
        key: key("two", 1),
        ..record(1, 2)
    };
    records.insert_shared(0, foreign);
    let own = records.origin(1, &key("one", 1));
    assert_eq!(own, RecordedOrigin::Known(origin(1)));
}

#[test]
fn records_are_bounded_and_those_that_end_first_go_first() {
    let mut records = StreamRecords::default();
    for request in 0..40_000 {
        records.insert_shared(request as u64 / 10, record(request, 1));
    }
    assert!(records.count() < 20_000, "{}", records.count());
    let last = records.origin(4_000, &key("one", 39_999));
    assert_eq!(last, RecordedOrigin::Known(origin(1)));
}

#[test]
fn records_of_this_instance_are_sent_once_when_they_are_needed() {
    let mut records = StreamRecords::default();
    records.insert_own(0, record(1, 1));
    records.insert_shared(0, record(2, 1));
    assert!(records.take_pending(1, |_| false).is_empty());
    let pending = records.take_pending(1_000, |_| true);
    assert_eq!(pending.len(), 1);
    assert_eq!(pending[0].left_ms, record_left_ms(6_000) - 1_000);
    assert!(records.take_pending(1_000, |_| true).is_empty());
    assert_eq!(records.shared(1_000).len(), 2);
}

#[test]
fn an_instance_tells_the_version_only_after_it_has_known_the_register_for_long() {
    let served = served(&[Some(1)]);
    assert_eq!(versions_at(&served, 5_000), ServedVersions::Unknown);
    let settled = versions_at(&served, SETTLED_MS);
    assert_eq!(settled, ServedVersions::One(name(1)));
}

#[test]
fn a_version_that_left_counts_until_callers_of_its_streams_can_come_back_no_more() {
    let mut served = served(&[Some(1)]);
    register(&mut served, SETTLED_MS, &[Some(1), Some(2)]);
    register(&mut served, SETTLED_MS + 1_000, &[Some(1)]);
    let now_ms = SETTLED_MS + 1_000 + MAX_CALLER_WAIT_MS;
    assert_eq!(versions_at(&served, now_ms), ServedVersions::Several);
    let now_ms = now_ms + 10_000;
    assert_eq!(versions_at(&served, now_ms), ServedVersions::One(name(1)));
}

#[test]
fn an_instance_that_did_not_know_the_register_for_a_while_can_not_tell() {
    let mut served = served(&[Some(1)]);
    served.on_register_age(SETTLED_MS, 10_000);
    served.on_register_age(SETTLED_MS + 1, 0);
    let versions = versions_at(&served, SETTLED_MS + 1);
    assert_eq!(versions, ServedVersions::Unknown);
}

#[test]
fn servers_without_a_version_count_as_several() {
    let unknown = served(&[None]);
    assert_eq!(versions_at(&unknown, SETTLED_MS), ServedVersions::Unknown);
    let mixed = served(&[None, Some(1)]);
    assert_eq!(versions_at(&mixed, SETTLED_MS), ServedVersions::Several);
}

#[test]
fn a_route_that_was_moved_or_is_split_says_nothing_of_its_streams() {
    let mut served = served(&[Some(1)]);
    served.on_routes(SETTLED_MS, &route(&[("other", 100)]));
    served.on_routes(SETTLED_MS, &route(&[(SERVICE, 100)]));
    assert_eq!(versions_at(&served, SETTLED_MS), ServedVersions::Unknown);
    served.on_routes(SETTLED_MS, &route(&[(SERVICE, 90), ("other", 10)]));
    let later_ms = SETTLED_MS + MAX_CALLER_WAIT_MS;
    assert_eq!(versions_at(&served, later_ms), ServedVersions::Several);
    served.on_routes(later_ms, &route(&[(SERVICE, 100), ("other", 0)]));
    register(&mut served, 2 * later_ms, &[Some(1)]);
    let alone = versions_at(&served, 2 * later_ms);
    assert_eq!(alone, ServedVersions::One(name(1)));
}

#[test]
fn without_a_record_every_cell_has_to_know_the_same_version() {
    let one = |version| absent(ServedVersions::One(name(version)));
    let mut both = search(2);
    assert_eq!(both.on_current_knowledge(0, one(1)), None);
    assert_eq!(both.on_knowledge(1, absent(ServedVersions::Unknown)), None);
    assert_eq!(both.on_knowledge(1, one(1)), None);
    assert_eq!(both.conclude(), TakeUp::At(origin(1)));
    let mut half = search(2);
    half.on_current_knowledge(0, one(1));
    assert_eq!(half.conclude(), TakeUp::Unknown);
    let mut different = search(2);
    different.on_current_knowledge(0, one(1));
    different.on_knowledge(1, one(2));
    assert_eq!(different.conclude(), TakeUp::Unknown);
    let mut several = search(1);
    several.on_current_knowledge(0, one(1));
    several.on_knowledge(0, absent(ServedVersions::Several));
    assert_eq!(several.conclude(), TakeUp::Unknown);
}

#[test]
fn without_a_record_the_own_cell_has_to_be_known_up_to_now() {
    let one = || absent(ServedVersions::One(name(1)));
    let mut alone = search(1);
    alone.on_knowledge(0, one());
    alone.on_knowledge(0, one());
    assert!(alone.lacks_confirmation());
    assert_eq!(alone.conclude(), TakeUp::Unknown);
    let mut scheduled = search(1);
    scheduled.on_knowledge(0, one());
    scheduled.on_current_knowledge(0, one());
    assert_eq!(scheduled.conclude(), TakeUp::At(origin(1)));
    let mut started = search(1);
    started.on_knowledge(0, one());
    started.on_current_knowledge(0, absent(ServedVersions::Unknown));
    assert_eq!(started.conclude(), TakeUp::Unknown, "it has just started");
}

#[test]
fn a_record_decides_before_others_respond() {
    let knowledge = StreamKnowledge {
        origin: RecordedOrigin::Known(origin(2)),
        served: ServedVersions::Several,
    };
    let decided = search(4).on_knowledge(3, knowledge);
    assert_eq!(decided, Some(TakeUp::At(origin(2))));
}

fn instances(count: usize, zones: usize) -> Vec<(InstanceName, ZoneName)> {
    let instances = (0..count).map(|index| {
        let zone = ZoneName::new(format!("z{}", index % zones));
        (InstanceName::new(format!("entry-{index}")), zone)
    });
    instances.collect()
}

fn keepers(request: usize, listed: &[(InstanceName, ZoneName)]) -> Vec<InstanceName> {
    let listed = listed.iter().map(|(instance, zone)| (instance, zone));
    record_keepers(Some(&key("one", request)), listed)
}

#[test]
fn the_records_of_a_cell_are_spread_over_a_bounded_number_of_instances() {
    for (count, zones) in [(7, 4), (9, 3), (64, 5), (96, 3), (30, 1)] {
        let listed = instances(count, zones);
        let mut load: BTreeMap<InstanceName, usize> = BTreeMap::new();
        for request in 0..3_000 {
            let keepers = keepers(request, &listed);
            for keeper in keepers.into_iter().take(RECORD_REPLICAS) {
                *load.entry(keeper).or_default() += 1;
            }
        }
        assert!(load.len() <= 24, "{count} in {zones}: {load:?}");
        let busiest = load.values().max().unwrap_or(&0);
        let mean = 3_000 * RECORD_REPLICAS / load.len();
        assert!(*busiest < 2 * mean, "{count} in {zones}: {load:?}");
    }
}

quickcheck! {
    /// A record survives the loss of a zone, and all instances agree on who has it.
    fn a_record_is_kept_in_different_zones(request: usize, count: u8, zones: u8, order: u8) -> bool {
        let (count, zones) = (usize::from(count % 90) + 1, usize::from(zones % 5) + 1);
        let mut listed = instances(count, zones);
        let expected = keepers(request, &listed);
        listed.rotate_left(usize::from(order) % count);
        let kept_in: BTreeSet<&ZoneName> = expected
            .iter()
            .take(RECORD_REPLICAS)
            .filter_map(|keeper| listed.iter().find(|(name, _)| name == keeper))
            .map(|(_, zone)| zone)
            .collect();
        let has_zones = zones.min(count).min(RECORD_REPLICAS) == kept_in.len();
        let unique: BTreeSet<&InstanceName> = expected.iter().collect();
        has_zones && unique.len() == expected.len() && keepers(request, &listed) == expected
    }
}

/// One instance of the model below.
#[derive(Default)]
struct Instance {
    records: StreamRecords,
    served: ServedSoftware,
    /// Versions that were registered when it knew the register last.
    known_versions: BTreeSet<u8>,
    /// Time since which it does not know the register, in ms.
    cut_since_ms: Option<u64>,
}

/// Instances, the versions that are registered, and the streams that have begun.
struct Model {
    now_ms: u64,
    instances: Vec<Instance>,
    /// Versions that are registered, with the time since when, in ms.
    registered: BTreeMap<u8, u64>,
    /// Versions of the streams and when they began, in ms.
    streams: Vec<(u8, u64)>,
    has_joined: bool,
}

impl Model {
    fn new() -> Self {
        let mut model = Self {
            now_ms: 0,
            instances: (0..3).map(|_| Instance::default()).collect(),
            registered: BTreeMap::from([(1, 0)]),
            streams: Vec::new(),
            has_joined: false,
        };
        for instance in &mut model.instances {
            instance.served.on_routes(0, &route(&[(SERVICE, 100)]));
        }
        model.advance(SETTLED_MS);
        model
    }

    /// Lets time pass in steps in which all instances check the register.
    fn advance(&mut self, time_ms: u64) {
        let until_ms = self.now_ms + time_ms;
        loop {
            let versions: Vec<Option<u8>> = self.registered.keys().copied().map(Some).collect();
            for instance in &mut self.instances {
                let age_ms = instance.cut_since_ms.map_or(0, |since| self.now_ms - since);
                if age_ms == 0 {
                    register(&mut instance.served, self.now_ms, &versions);
                    instance.known_versions = self.registered.keys().copied().collect();
                }
                instance.served.on_register_age(self.now_ms, age_ms);
            }
            for index in 0..self.instances.len() {
                self.send_pending(index);
            }
            if self.now_ms >= until_ms {
                return;
            }
            self.now_ms = (self.now_ms + 500).min(until_ms);
        }
    }

    fn send_pending(&mut self, index: usize) {
        let now_ms = self.now_ms;
        let Instance {
            records, served, ..
        } = &mut self.instances[index];
        let pending = records.take_pending(now_ms, |origin| {
            let versions = served.versions_of(now_ms, &origin.service);
            !matches!(versions, ServedVersions::One(_))
        });
        for record in pending {
            self.send(index, &record, u8::MAX);
        }
    }

    /// Sends a record to the other instances that `reached` selects.
    fn send(&mut self, from: usize, record: &StreamRecord, reached: u8) {
        for (index, other) in self.instances.iter_mut().enumerate() {
            if index != from && reached & (1 << index) != 0 {
                other.records.insert_shared(self.now_ms, record.clone());
            }
        }
    }

    /// Returns the instance from which the others have the register.
    fn scheduler(&self) -> Option<usize> {
        let mut instances = self.instances.iter();
        instances.position(|instance| instance.cut_since_ms.is_none())
    }

    /// Returns whether an instance knows that servers of a version are registered.
    fn knows(&self, index: usize, version: u8) -> bool {
        let instance = &self.instances[index];
        instance.cut_since_ms.is_none() && instance.known_versions.contains(&version)
    }

    fn begin(&mut self, index: usize, version: u8, reached: u8) {
        if !self.registered.contains_key(&version) || !self.knows(index, version) {
            return;
        }
        let record = record(self.streams.len(), version);
        self.streams.push((version, self.now_ms));
        let instance = &mut self.instances[index];
        match versions_at(&instance.served, self.now_ms) {
            ServedVersions::One(_) => instance.records.insert_own(self.now_ms, record),
            ServedVersions::Several | ServedVersions::Unknown => {
                instance.records.insert_shared(self.now_ms, record.clone());
                self.send(index, &record, reached);
            }
        }
    }

    fn take_up(&mut self, index: usize, stream: usize, reached: u8) {
        let Some((version, began_ms)) = self.streams.get(stream).copied() else {
            return;
        };
        if self.now_ms > began_ms + MAX_CALLER_WAIT_MS {
            return;
        }
        let mut search = search(1);
        let mut decided = None;
        for (other, instance) in self.instances.iter().enumerate() {
            if other == index || reached & (1 << other) != 0 {
                let knowledge = StreamKnowledge {
                    origin: instance.records.origin(self.now_ms, &key("one", stream)),
                    served: versions_at(&instance.served, self.now_ms),
                };
                let is_current = match other == index {
                    true => instance.cut_since_ms.is_none(),
                    false => Some(other) == self.scheduler(),
                };
                let decision = if is_current {
                    search.on_current_knowledge(0, knowledge)
                } else {
                    search.on_knowledge(0, knowledge)
                };
                decided = decided.or(decision);
            }
        }
        let take_up = decided.unwrap_or_else(|| search.conclude());
        if let TakeUp::At(found) = take_up {
            self.has_joined |= found != origin(version);
        }
    }

    fn step(&mut self, kind: u8, index: u8, value: u8) {
        let instance = usize::from(index) % self.instances.len();
        match kind % 8 {
            0 => self.advance(u64::from(value) * 40),
            1 => {
                let version = value % 3 + 1;
                if self.registered.remove(&version).is_none() {
                    self.registered.insert(version, self.now_ms);
                }
            }
            2 => self.instances[instance].cut_since_ms = Some(self.now_ms),
            3 => self.instances[instance].cut_since_ms = None,
            4 => {
                self.instances[instance] = Instance::default();
                let served = &mut self.instances[instance].served;
                served.on_routes(self.now_ms, &route(&[(SERVICE, 100)]));
            }
            5 | 6 => self.begin(instance, value % 3 + 1, value >> 2),
            _ => self.take_up(instance, usize::from(value >> 3), value),
        }
    }
}

/// Guards against a stream that goes on at another version: an instance that is cut off, or has
/// stood still, knows one version of a register that is up to 2 s old. Servers of another version
/// have joined meanwhile, and the stream began at one of them through another instance.
#[test]
fn an_instance_that_is_cut_off_does_not_take_up_streams_of_a_version_that_it_does_not_know() {
    for lag_ms in [0, 200, 1_000, 1_900] {
        let mut model = Model::new();
        model.instances[2].cut_since_ms = Some(model.now_ms);
        model.advance(lag_ms);
        model.registered.insert(2, model.now_ms);
        model.advance(50);
        model.begin(0, 2, 0b010);
        assert_eq!(model.streams.len(), 1, "it began");
        for reached in 0..8 {
            model.take_up(2, 0, reached);
        }
        assert!(!model.has_joined, "{lag_ms} ms");
    }
}

quickcheck! {
    /// Whatever instances know, lose or can't reach, a stream goes on at its version or nowhere.
    fn no_order_of_events_joins_two_versions(steps: Vec<(u8, u8, u8)>) -> bool {
        let mut model = Model::new();
        for (kind, index, value) in steps {
            model.step(kind, index, value);
        }
        !model.has_joined
    }
}
