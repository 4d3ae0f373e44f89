//! Decoding of the configuration stream's payloads.

use base64::{Engine, engine::general_purpose::STANDARD};
use quickcheck::quickcheck;
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
fn records_come_back_as_they_were() {
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

quickcheck! {
    fn cut_or_altered_payloads_never_panic(at: usize, byte: u8, cut: bool) -> bool {
        let mut payload = encode(&record()).unwrap();
        let at = at % payload.len();
        payload[at] = byte;
        if cut {
            payload.truncate(at);
        }
        // Any typed result will do: the altered byte may be part of a name.
        let _ = decode(&payload);
        true
    }

    fn any_bytes_never_panic(bytes: Vec<u8>) -> bool {
        decode(&bytes).is_err()
    }
}
