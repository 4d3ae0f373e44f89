//! Frames between instances: messages round-trip, and hostile bytes are refused.

use quickcheck::{Gen, QuickCheck, Testable};
use savoryvane_core::ids::{Incarnation, MAX_NAME_BYTES, Offset, RegionName, ZoneName};
use savoryvane_core::{
    forwarding::{
        CellLayout, Cursor, DirectoryUpdate, EvacuationState, ExpiringServer, GrantPurpose,
        LimitReport, RecordedOrigin, RoutingConfig, ServedVersions, StreamKey, StreamOrigin,
        ZoneOrder,
    },
    poison::{CrashSubject, Evidence, Permit, RequestDigest, RequestSubjects},
    stages::{DonePiece, ResultRef, StageWork},
    topology::Shard,
};
use savoryvane_wire::peer::*;

const SEED: u64 = 13;
const GEN_SIZE: usize = 100;
const TESTS: u64 = 2_000;

fn check(property: impl Testable) {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(GEN_SIZE, SEED))
        .tests(TESTS)
        .quickcheck(property);
}

fn digests(entries: u32) -> Message {
    let entry = |i: u32| AgedDigest {
        digest: Digest {
            instance: format!("entry-{i}").as_str().into(),
            version: savoryvane_core::digest::Version {
                generation: 1,
                incarnation: Incarnation(u64::MAX - u64::from(i)),
                seq: i,
            },
            addr: "127.0.0.1:7000".parse().unwrap(),
            readiness: Default::default(),
            config_next: Offset(9),
            claims_next: Offset(8),
            load: Default::default(),
        },
        age_ms: 12,
    };
    Message::Digests(DigestBatch {
        zone: "hal-gouda".into(),
        entries: (0..entries).map(entry).collect(),
    })
}

fn crash_report() -> CrashReport {
    CrashReport {
        subject: RequestDigest([7; 16]).into(),
        server: "i-1 1796000000000".into(),
        evidence: Evidence::Lapsed,
        age_ms: 1_200,
        is_withdrawn: true,
        is_isolated: true,
    }
}

fn samples() -> Vec<Message> {
    let known_crashes = KnownCrashes {
        incarnation: Incarnation(7),
        revision: 12,
    };
    let digest = RequestDigest([7; 16]);
    let covered = vec![digest.into(), CrashSubject::PromptPart(0x91bd_3f06)];
    let permit = Permit {
        number: 3,
        place: Some(1),
    };
    vec![
        Message::CrashQuery(CrashQuery {
            known: Some(known_crashes),
            records: vec![crash_report()],
        }),
        Message::CrashState(CrashState {
            known: known_crashes,
            records: vec![crash_report(), crash_report()],
        }),
        Message::PermitQuery(PermitQuery {
            subjects: RequestSubjects::new(digest, [0x91bd_3f06, 0x5c1e_07a2]),
            held: Some(2),
            lease_ms: 6_500,
        }),
        Message::PermitState(PermitState::Granted {
            permit,
            covered: covered.clone(),
        }),
        Message::PermitState(PermitState::Out { lapses_in_ms: 400 }),
        Message::PermitState(PermitState::Quarantined(vec![crash_report()])),
        Message::PermitReturn(PermitReturn {
            subjects: covered,
            permit,
        }),
        Message::CrashReports(vec![crash_report()]),
        Message::Hello(Hello {
            version: PROTOCOL_VERSION,
            instance: "entry-1".into(),
            incarnation: Incarnation(7),
        }),
        digests(95),
        Message::Leaving(LeavingNotice {
            leaver: Leaver::Backend("llm-3".into()),
            age_ms: 4,
        }),
        Message::Zones(vec![ZoneDigest {
            zone: ZoneName::from("hal-gouda"),
            region: RegionName::from("nl-midden"),
            age_ms: 1,
            live: 3,
            silent: 0,
            config_min: Offset(1),
            config_max: Offset(2),
            at_max: 1,
            in_flight: 9,
            leaving: vec![LeavingBackend {
                backend: "llm-3".into(),
                age_ms: 3,
            }],
        }]),
        Message::UsageReport(UsageReport {
            shard: Shard(3),
            claimant: QuotaClaimant::Zone("hal-gouda".into()),
            stamp_ms: 1,
            cut: 0,
            demands: vec![Demand {
                key: WorkspaceKey(u64::MAX),
                wanted: Rate(5),
                held: Rate(4),
                missing: 3_000,
            }],
            term: None,
        }),
        Message::Declined(Declined::NotMine),
        Message::StageSubmission(submission()),
        Message::StageOutcome(StageOutcome::Ready(vec![result()])),
        Message::StageOutcome(StageOutcome::Moved {
            done: submission().done,
            to: Some("entry-2".into()),
        }),
        Message::StageRelease(submission().key),
        Message::Ack(Ack),
        Message::SchedulerQuery(SchedulerQuery),
        Message::SchedulerState(SchedulerState {
            is_taking: true,
            known: known(),
            limits_revision: 3,
            cut_off_zones: vec!["hal-gouda".into()],
        }),
        Message::LimitQuery(LimitQuery {
            known_revision: 7,
            reports: vec![limit_report(Some(1.5))],
        }),
        Message::LimitState(LimitState {
            revision: 9,
            reports: vec![limit_report(None)],
        }),
        Message::StreamRecords(vec![stream_record()]),
        Message::StreamQuery(StreamQuery {
            key: Some(stream_record().key),
            route: "quote".to_owned(),
            service: "desk".into(),
        }),
        Message::StreamState(StreamKnowledge {
            origin: RecordedOrigin::Known(stream_record().origin),
            served: ServedVersions::One("v1".into()),
        }),
        Message::GrantQuery(grant_query(1.5)),
        Message::GrantState(GrantState::Granted("i-1".into())),
        Message::GrantState(GrantState::Closed {
            retry_in_ms: 700,
            retry_after_ms: 1_500,
        }),
        Message::RoutingQuery(RoutingQuery {
            version: 4,
            revision: Some(9),
            servers: cursor(70),
            instances: cursor(12),
            has_store: true,
            lapsing: vec!["i-3".into()],
            scope: layout().cell_of(&"entry-1".into()),
        }),
        Message::RoutingState(RoutingState {
            known: known(),
            config: Some(Box::new(RoutingConfig {
                version: 5,
                ..RoutingConfig::default()
            })),
            servers: Some(DirectoryUpdate::Changes(vec![("i-1".into(), None)])),
            store_uptime_ms: 9_000,
            changes_from: cursor(60),
            layout: Some(ListedLayout {
                layout: layout(),
                position: cursor(4).position(),
            }),
            instances: vec![ListedPeer {
                instance: "entry-1".into(),
                addr: "127.0.0.1:7000".parse().unwrap(),
                zone: "z".into(),
                cores: 0.25,
                position: cursor(12).position(),
            }],
            lapsing: vec![ExpiringServer {
                registered_as: "i-2".into(),
                position: cursor(3).position(),
                left_ms: 1_500,
            }],
            evacuations: EvacuationState {
                cursor: cursor(4),
                zones: vec![ZoneOrder {
                    zone: "hal-gouda".into(),
                    is_evacuated: true,
                    position: cursor(3).position(),
                    is_in_turn: true,
                    left_ms: None,
                }],
            },
        }),
    ]
}

fn stream_record() -> StreamRecord {
    StreamRecord {
        key: StreamKey {
            workspace: Some("one".into()),
            request: "3186e43e8892c0b3".into(),
        },
        origin: StreamOrigin {
            service: "desk".into(),
            software: "v1".into(),
        },
        left_ms: 6_000,
    }
}

fn limit_report(limit_per_s: Option<f64>) -> LimitReport {
    LimitReport {
        server: "i-1".into(),
        limit_per_s,
        age_ms: 20,
    }
}

/// Negative and non-finite rate limits are refused before a limiter uses them.
#[test]
fn limits_that_are_no_sound_numbers_are_refused() {
    for limit_per_s in [-1.0, f64::NAN, f64::INFINITY] {
        let message = Message::LimitState(LimitState {
            revision: 1,
            reports: vec![limit_report(Some(limit_per_s))],
        });
        assert_eq!(encode(&message), Err(FrameError::OverLimit(40)));
        let message = Message::GrantQuery(grant_query(limit_per_s));
        assert_eq!(encode(&message), Err(FrameError::OverLimit(41)));
    }
}

fn grant_query(limit_per_s: f64) -> GrantQuery {
    GrantQuery {
        service: "desk".into(),
        purpose: GrantPurpose::Send,
        servers: vec![("i-1".into(), limit_per_s)],
        priority: 1,
    }
}

/// A grant query without candidate servers can't be granted.
#[test]
fn grant_queries_without_servers_are_refused() {
    let mut query = grant_query(1.0);
    query.servers.clear();
    let message = Message::GrantQuery(query);
    assert_eq!(encode(&message), Err(FrameError::OverLimit(41)));
}

fn cursor(offset: u64) -> Cursor {
    Cursor {
        era: 2,
        before: 9,
        offset,
    }
}

fn layout() -> CellLayout {
    CellLayout::new(16).expect("a power of two")
}

fn known() -> KnownState {
    KnownState {
        version: 5,
        version_age_ms: 20,
        incarnation: Incarnation(7),
        revision: 9,
        servers_age_ms: u64::MAX,
        servers: cursor(71),
        instances: cursor(13),
        evacuations: cursor(4),
        has_store: true,
    }
}

fn result() -> ResultRef {
    ResultRef {
        handle: "a/1".to_owned(),
        zone: "hal-gouda".into(),
        bytes: 8_000,
    }
}

fn submission() -> Submission {
    let stage = |after| StageWork {
        service: "archive".into(),
        after,
        pieces: 3,
        result_bytes: 8_000,
    };
    Submission {
        key: RequestKey {
            instance: "entry-1".into(),
            incarnation: Incarnation(7),
            number: 1,
        },
        request: "r1".into(),
        stages: vec![stage(vec![]), stage(vec![0])],
        piece_key: "k".to_owned(),
        goal_left_ms: 1_800,
        deadline_left_ms: 6_000,
        missing_ms: 0,
        rest_ms: 100,
        priority: 1,
        home_zone: Some("hal-gouda".into()),
        done: vec![DonePiece {
            stage: 0,
            piece: 2,
            kept: Some(("i-1".into(), result())),
        }],
        digest: Default::default(),
        ends: 0,
    }
}

/// A stage that depends on itself, on a later stage or on a missing one is refused
/// before it reaches the scheduler, which indexes stages by these numbers.
#[test]
fn stages_with_invalid_dependencies_are_refused() {
    for dependency in [1, 2, 99] {
        let mut hostile = submission();
        hostile.stages[1].after = vec![dependency];
        let message = Message::StageSubmission(hostile);
        assert_eq!(encode(&message), Err(FrameError::OverLimit(18)));
    }
    let mut large = submission();
    large.stages[0].pieces = u32::MAX;
    let message = Message::StageSubmission(large);
    assert_eq!(encode(&message), Err(FrameError::OverLimit(18)));
}

fn read_all(bytes: &[u8], step: usize) -> Result<(Vec<Message>, u64)> {
    let mut reader = FrameReader::new();
    let mut messages = Vec::new();
    for chunk in bytes.chunks(step) {
        reader.push(chunk);
        while let Some(message) = reader.next_message()? {
            messages.push(message);
        }
    }
    Ok((messages, reader.skipped()))
}

#[test]
fn frames_split_at_any_byte_are_reassembled() {
    let bytes: Vec<u8> = samples().iter().flat_map(|m| encode(m).unwrap()).collect();
    for step in [1, 2, 3, 7, 64, bytes.len()] {
        assert_eq!(read_all(&bytes, step), Ok((samples(), 0)));
    }
}

#[test]
fn unknown_kinds_are_skipped_and_added_fields_ignored() {
    let mut bytes = vec![0, 0, 0, 5, 0xff, 0xfe, 1, 2, 3];
    let mut longer = encode(&Message::Declined(Declined::Absent)).unwrap();
    longer.extend_from_slice(&[9, 9]);
    longer[3] += 2;
    bytes.extend(longer);
    let expected = vec![Message::Declined(Declined::Absent)];
    assert_eq!(read_all(&bytes, 4), Ok((expected, 1)));
}

#[test]
fn lengths_out_of_range_are_refused_before_the_body_arrives() {
    for length in [0, 1, MAX_FRAME_BYTES as u32 + 1, u32::MAX] {
        let mut reader = FrameReader::new();
        reader.push(&length.to_be_bytes());
        assert_eq!(
            reader.next_message(),
            Err(FrameError::Length(length as usize))
        );
    }
}

#[test]
fn names_and_payloads_over_their_limits_are_refused() {
    let hello = Message::Hello(Hello {
        version: 1,
        instance: "x".repeat(64).as_str().into(),
        incarnation: Incarnation(0),
    });
    assert_eq!(encode(&hello), Err(FrameError::OverLimit(1)));
    let answer = Message::AnswerState(AnswerState::Answered(vec![0; MAX_PAYLOAD_BYTES + 1]));
    assert_eq!(encode(&answer), Err(FrameError::OverLimit(13)));
    let mut report = crash_report();
    report.server = "x".repeat(MAX_KEY_BYTES + 1).as_str().into();
    let reports = Message::CrashReports(vec![report]);
    assert_eq!(encode(&reports), Err(FrameError::OverLimit(56)));
}

#[test]
fn a_claimed_list_length_reserves_no_memory_that_the_frame_does_not_hold() {
    // kind 2, zone "a", then a list of 2^63 entries
    let mut body = vec![0, 2, 1, b'a', 253];
    body.extend_from_slice(&(1u64 << 63).to_le_bytes());
    let mut bytes = (body.len() as u32).to_be_bytes().to_vec();
    bytes.extend(body);
    assert_eq!(read_all(&bytes, 64), Err(FrameError::Malformed(2)));
}

#[test]
fn hostile_bytes_never_panic() {
    fn property(mut bytes: Vec<u8>, length: u8) {
        let _ = read_all(&bytes, 5);
        // Few random lengths are within the limit, and the bytes after a length out of
        // range are not read.
        bytes.splice(..0, u32::from(length).to_be_bytes());
        let _ = read_all(&bytes, 5);
    }
    check(property as fn(_, _));
}

#[test]
fn hostile_bodies_never_panic() {
    fn property(kind: u16, body: Vec<u8>) {
        let mut bytes = ((body.len() + 2) as u32).to_be_bytes().to_vec();
        bytes.extend((kind % 40).to_be_bytes());
        bytes.extend(body);
        let _ = read_all(&bytes, 64);
    }
    check(property as fn(_, _));
}

#[test]
fn a_flipped_byte_never_panics() {
    fn property(at: usize, mask: u8) {
        let mut bytes: Vec<u8> = samples().iter().flat_map(|m| encode(m).unwrap()).collect();
        let at = at % bytes.len();
        bytes[at] ^= mask;
        let _ = read_all(&bytes, 64);
    }
    check(property as fn(_, _));
}

#[test]
fn records_of_streams_beyond_their_limits_are_neither_sent_nor_accepted() {
    let record = stream_record();
    let long_request = StreamKey {
        request: "r".repeat(MAX_KEY_BYTES + 1).as_str().into(),
        ..record.key.clone()
    };
    let long_version = StreamOrigin {
        software: "v".repeat(MAX_NAME_BYTES + 1).as_str().into(),
        ..record.origin.clone()
    };
    let too_long = [
        StreamRecord {
            key: long_request,
            ..record.clone()
        },
        StreamRecord {
            origin: long_version,
            ..record.clone()
        },
    ];
    for record in too_long {
        assert!(encode(&Message::StreamRecords(vec![record])).is_err());
    }
    let most = vec![record; MAX_STREAM_RECORDS];
    assert!(encode(&Message::StreamRecords(most.clone())).is_ok());
    let too_many = [most, vec![stream_record()]].concat();
    assert!(encode(&Message::StreamRecords(too_many)).is_err());
}

#[test]
fn ages_that_are_unknown_stay_unknown() {
    let known = KnownState {
        servers_age_ms: u64::MAX,
        version_age_ms: 20,
        ..known()
    };
    let aged = known.aged_by(300);
    assert_eq!((aged.servers_age_ms, aged.version_age_ms), (u64::MAX, 320));
    assert_eq!(aged.servers, known.servers);
}
