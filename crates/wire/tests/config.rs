//! Encoding and decoding of configuration stream payloads.

use base64::{Engine, engine::general_purpose::STANDARD};
use quickcheck::{Gen, QuickCheck};
use savoryvane_core::{
    change::Intent,
    config::{ConfigRecord, State},
    ids::Offset,
};
use savoryvane_wire::{
    config::{ConfigPayloadError, MAX_CONFIG_PAYLOAD_BYTES, decode, decode_record, encode},
    platform::LogRecord,
};

fn record() -> ConfigRecord {
    let plan = State::new().plan(&Intent::default(), &"anna".into());
    ConfigRecord::Change(plan.unwrap().change)
}

#[test]
fn records_round_trip() {
    let checkpoint = State::new().checkpoint().remove(0);
    for record in [record(), ConfigRecord::Checkpoint(checkpoint)] {
        let payload = encode(&record).unwrap();
        assert_eq!(decode(&payload).unwrap(), record);
        let logged = LogRecord {
            offset: Offset(3),
            appended_at_ms: 0,
            payload: STANDARD.encode(&payload),
        };
        assert_eq!(decode_record(&logged).unwrap(), record);
    }
}

#[test]
fn wrong_payloads_get_typed_errors() {
    let unknown = decode(br#"{"version":2,"record":{"other":1}}"#);
    assert!(matches!(unknown, Err(ConfigPayloadError::Version(2))));
    let huge = decode(&vec![b'['; MAX_CONFIG_PAYLOAD_BYTES + 1]);
    assert!(matches!(huge, Err(ConfigPayloadError::TooLarge(_))));
    let deep = decode(&vec![b'['; MAX_CONFIG_PAYLOAD_BYTES]);
    assert!(matches!(deep, Err(ConfigPayloadError::Json(_))));
    let nested = format!(
        r#"{{"version":1,"record":{{"change":{}"#,
        "[".repeat(10_000)
    );
    assert!(matches!(
        decode(nested.as_bytes()),
        Err(ConfigPayloadError::Json(_))
    ));
    let logged = LogRecord {
        offset: Offset(0),
        appended_at_ms: 0,
        payload: "%%%".to_owned(),
    };
    let not_base64 = decode_record(&logged);
    assert!(matches!(not_base64, Err(ConfigPayloadError::Base64(_))));
}

fn decodes_without_panic(at: usize, byte: u8, cut: bool) -> bool {
    let mut payload = encode(&record()).unwrap();
    let at = at % payload.len();
    payload[at] = byte;
    if cut {
        payload.truncate(at);
    }
    // The result may be `Ok`, since the altered byte may be part of a name.
    let _ = decode(&payload);
    true
}

fn is_refused(bytes: Vec<u8>) -> bool {
    decode(&bytes).is_err()
}

#[test]
fn cut_altered_and_random_payloads_never_panic() {
    let rng = || Gen::from_size_and_seed(4_096, 3);
    QuickCheck::new()
        .rng(rng())
        .tests(2_000)
        .quickcheck(decodes_without_panic as fn(usize, u8, bool) -> bool);
    QuickCheck::new()
        .rng(rng())
        .quickcheck(is_refused as fn(Vec<u8>) -> bool);
}
