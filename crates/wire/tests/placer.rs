//! Encoding and decoding of placer stream payloads.

mod common;

use common::damaged;
use quickcheck::QuickCheck;
use savoryvane_core::{
    ids::{Incarnation, Offset},
    placer::PlacerRecord,
};
use savoryvane_wire::placer::{PlacerPayloadError, decode, encode};

fn renewal() -> PlacerRecord {
    PlacerRecord::Renewal {
        term: Offset(7),
        instance: "entry-1".into(),
        incarnation: Incarnation(9),
        seq: 3,
    }
}

#[test]
fn placer_records_round_trip() {
    let claim = PlacerRecord::Claim {
        expected: Offset(u64::MAX),
        instance: "entry-1".into(),
        incarnation: Incarnation(u64::MAX),
        seq: 0,
    };
    let resignation = PlacerRecord::Resignation {
        term: Offset(7),
        incarnation: Incarnation(9),
    };
    for record in [claim, renewal(), resignation] {
        assert_eq!(decode(&encode(&record).unwrap()).unwrap(), record);
    }
}

#[test]
fn placer_payloads_of_another_version_or_size_are_refused() {
    let payload = encode(&renewal()).unwrap();
    let text = String::from_utf8(payload).unwrap();
    let newer = text.replacen("\"version\":1", "\"version\":2", 1);
    assert!(matches!(
        decode(newer.as_bytes()),
        Err(PlacerPayloadError::Version(2))
    ));
    let long = vec![b' '; 5_000];
    assert!(matches!(
        decode(&long),
        Err(PlacerPayloadError::TooLarge(5_000))
    ));
}

#[test]
fn arbitrary_and_damaged_bytes_decode_without_panic() {
    fn property(cut: usize, at: usize, byte: u8, noise: Vec<u8>) -> bool {
        let payload = damaged(encode(&renewal()).unwrap(), cut, at, byte);
        let _ = decode(&payload);
        let _ = decode(&noise);
        true
    }
    QuickCheck::new().quickcheck(property as fn(_, _, _, _) -> _);
}
