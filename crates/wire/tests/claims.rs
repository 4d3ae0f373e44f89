//! Encoding and decoding of claim stream payloads, valid and hostile.

use quickcheck::{Arbitrary, Gen, QuickCheck};
use savoryvane_core::{ids::Incarnation, outcome::Outcome};
use savoryvane_wire::claims::{
    Batch, ClaimId, ClaimsError, Completion, Entry, Fingerprint, KeyHash, MAX_ANSWER_BYTES,
    MAX_ENTRIES, MAX_PAYLOAD_BYTES, VERSION, decode, encode,
};

const SEED: u64 = 0x5eed;
const GEN_SIZE: usize = 64;

fn seeded() -> QuickCheck {
    QuickCheck::new().rng(Gen::from_size_and_seed(GEN_SIZE, SEED))
}

#[derive(Clone, Debug)]
struct AnyBatch(Batch);

fn bytes16(g: &mut Gen) -> [u8; 16] {
    u128::arbitrary(g).to_le_bytes()
}

fn any_entry(g: &mut Gen) -> Entry {
    let key = KeyHash(bytes16(g));
    let id = ClaimId {
        incarnation: Incarnation(u64::arbitrary(g)),
        seq: u64::arbitrary(g),
    };
    match u8::arbitrary(g) % 3 {
        0 => Entry::Claim {
            key,
            id,
            fingerprint: Fingerprint(bytes16(g)),
            instance: "entry-1".into(),
        },
        1 => Entry::Release {
            key,
            id,
            ran: bool::arbitrary(g),
        },
        _ => Entry::Done {
            key,
            id,
            completion: Completion::new(Outcome::Complete, &Vec::<u8>::arbitrary(g)),
        },
    }
}

impl Arbitrary for AnyBatch {
    fn arbitrary(g: &mut Gen) -> Self {
        let count = usize::arbitrary(g) % 8;
        let entries = (0..count).map(|_| any_entry(g)).collect();
        Self(Batch { entries })
    }
}

fn done(answer: Vec<u8>) -> Entry {
    let id = ClaimId {
        incarnation: Incarnation(1),
        seq: 1,
    };
    let completion = Completion {
        outcome: Outcome::Complete,
        answer: Some(answer),
    };
    let key = KeyHash([7; 16]);
    Entry::Done {
        key,
        id,
        completion,
    }
}

#[test]
fn batches_round_trip() {
    fn property(batch: AnyBatch) -> bool {
        let payload = encode(&batch.0).expect("within the limits");
        let sizes = batch.0.entries.iter().map(Entry::max_encoded_bytes);
        payload.len() <= 8 + sizes.sum::<usize>() && decode(&payload) == Ok(batch.0)
    }
    seeded().tests(500).quickcheck(property as fn(_) -> _);
}

#[test]
fn changed_bytes_are_an_error_or_a_batch_within_the_limits() {
    fn property(batch: AnyBatch, at: usize, to: u8, cut: usize, tail: Vec<u8>) -> bool {
        let mut payload = encode(&batch.0).expect("within the limits");
        let len = payload.len();
        payload[at % len] = to;
        payload.truncate(1 + cut % len);
        payload.extend(tail);
        decode(&payload).is_err() || encode(&decode(&payload).unwrap()).is_ok()
    }
    seeded()
        .tests(5_000)
        .quickcheck(property as fn(_, _, _, _, _) -> _);
}

#[test]
fn arbitrary_bytes_decode_without_panic() {
    fn property(mut bytes: Vec<u8>) -> bool {
        bytes.insert(0, VERSION);
        decode(&bytes).is_err() || encode(&decode(&bytes).unwrap()).is_ok()
    }
    seeded().tests(5_000).quickcheck(property as fn(_) -> _);
}

#[test]
fn payloads_over_a_limit_are_refused() {
    let large = Batch {
        entries: vec![done(vec![0; MAX_ANSWER_BYTES + 1])],
    };
    assert_eq!(encode(&large), Err(ClaimsError::TooLarge));
    let many = Batch {
        entries: vec![done(Vec::new()); MAX_ENTRIES + 1],
    };
    assert_eq!(encode(&many), Err(ClaimsError::TooLarge));
    let long = vec![VERSION; MAX_PAYLOAD_BYTES + 1];
    assert_eq!(decode(&long), Err(ClaimsError::TooLarge));
}

#[test]
fn a_huge_declared_length_is_refused_without_a_large_allocation() {
    // The version, then an entry count of 2^63.
    let mut payload = vec![VERSION, 253];
    payload.extend((1_u64 << 63).to_le_bytes());
    assert_eq!(decode(&payload), Err(ClaimsError::Malformed));
}

#[test]
fn another_version_is_named() {
    assert_eq!(decode(&[]), Err(ClaimsError::Version(None)));
    assert_eq!(decode(&[9, 0]), Err(ClaimsError::Version(Some(9))));
}

#[test]
fn bytes_after_the_batch_are_refused() {
    let mut payload = encode(&Batch::default()).expect("empty");
    payload.push(0);
    assert_eq!(decode(&payload), Err(ClaimsError::Malformed));
}
