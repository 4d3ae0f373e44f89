//! Encoding and decoding of quarantine stream payloads.

mod common;

use common::damaged;
use quickcheck::QuickCheck;
use savoryvane_core::{
    ids::BackendName,
    poison::{Evidence, RequestDigest, StoredCrash, StoredCrashes},
};
use savoryvane_wire::quarantine::{QuarantinePayloadError, decode, encode};

fn stored(crash_count: usize, name: &str) -> StoredCrashes {
    let crash = |number| StoredCrash {
        server: BackendName::new(format!("{name}-{number}")),
        evidence: Evidence::Refused,
        is_isolated: false,
    };
    StoredCrashes {
        subject: RequestDigest([7; 16]).into(),
        ends: (0..crash_count).map(crash).collect(),
    }
}

#[test]
fn stored_crashes_round_trip() {
    // A record without crashes removes the request; at most ten crashes are stored.
    for crash_count in [0, 3, 10] {
        let crashes = stored(crash_count, "press");
        assert_eq!(decode(&encode(&crashes).unwrap()).unwrap(), crashes);
    }
    let longest = "x".repeat(600);
    assert!(encode(&stored(10, &longest)).is_ok());
}

#[test]
fn payloads_of_another_version_are_refused() {
    let text = String::from_utf8(encode(&stored(3, "press")).unwrap()).unwrap();
    let newer = text.replacen("\"version\":1", "\"version\":2", 1);
    assert!(matches!(
        decode(newer.as_bytes()),
        Err(QuarantinePayloadError::Version(2))
    ));
}

#[test]
fn arbitrary_and_damaged_bytes_decode_without_panic() {
    fn property(cut: usize, at: usize, byte: u8, noise: Vec<u8>) -> bool {
        let payload = damaged(encode(&stored(3, "press")).unwrap(), cut, at, byte);
        let _ = decode(&payload);
        let _ = decode(&noise);
        true
    }
    QuickCheck::new().quickcheck(property as fn(usize, usize, u8, Vec<u8>) -> bool);
}
