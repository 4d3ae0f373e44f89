//! JSON of the external interfaces: invalid messages are refused without a panic,
//! and accepted ones round-trip.

use std::fmt::Debug;

use quickcheck::{Gen, QuickCheck, Testable};
use savoryvane_wire::{admin, backend, caller, platform};
use serde::{Serialize, de::DeserializeOwned};
use serde_json::Value;

const SEED: u64 = 11;
const GEN_SIZE: usize = 60;
const TESTS: u64 = 3_000;

/// Decodes bytes and returns an error when they are refused.
type Decoder = fn(&[u8]) -> Result<(), String>;

fn decode<T>(bytes: &[u8]) -> Result<(), String>
where
    T: DeserializeOwned + Serialize + PartialEq + Debug,
{
    let value: T = serde_json::from_slice(bytes).map_err(|err| err.to_string())?;
    let encoded = serde_json::to_vec(&value).expect("an accepted message can be encoded");
    let decoded: T = serde_json::from_slice(&encoded).expect("an encoded message is accepted");
    assert_eq!(value, decoded);
    Ok(())
}

const MESSAGES: [(Decoder, &str); 27] = [
    (decode::<platform::Appended>, r#"{"offset":7}"#),
    (
        decode::<platform::Records>,
        r#"{"first":1,"next":4,"records":[{"offset":3,"appended_at_ms":9,"payload":"YQ=="}]}"#,
    ),
    (decode::<platform::Trimmed>, r#"{"first":9}"#),
    (
        decode::<platform::Listing>,
        r#"{"as_of_ms":5,"entries":[{"name":"e1","role":"entry","zone":"a","addr":"127.0.0.1:8","state":"live"}]}"#,
    ),
    (
        decode::<backend::StageCall>,
        r#"{"request":"r","stage":"s","attempt":1,"kind":"generate","model":"chat","input":{"text":"x"},"previous":null,"max_tokens":4,"resume_from":1,"priority":2,"deadline_ms":50}"#,
    ),
    (
        decode::<backend::StageEvent>,
        r#"{"event":"token","request":"r","stage":"s","attempt":1,"index":0,"text":"x"}"#,
    ),
    (
        decode::<backend::StageEvent>,
        r#"{"event":"done","request":"r","stage":"s","attempt":1,"output":["x"],"tokens":1,"busy_us":9}"#,
    ),
    (
        decode::<backend::StageEvent>,
        r#"{"event":"error","request":"r","stage":"s","attempt":1,"message":"m","busy_us":9}"#,
    ),
    (decode::<backend::Refusal>, r#"{"reason":"no_model"}"#),
    (
        decode::<backend::Cancel>,
        r#"{"request":"r","stage":"s","attempt":1}"#,
    ),
    (
        decode::<backend::LoadReport>,
        r#"{"server":"b1","state":"serving","running":1,"queued":0,"slots":4,"age_ms":3,"models":["chat"]}"#,
    ),
    (
        decode::<backend::Order>,
        r#"{"fence":4,"action":"load","model":"chat"}"#,
    ),
    (
        decode::<backend::OrderReply>,
        r#"{"applied":true,"highest_fence":4,"models":["chat"]}"#,
    ),
    (
        decode::<backend::CacheEvents>,
        r#"{"events":[{"seq":1,"prefix":2,"cached":true}],"next":2}"#,
    ),
    (decode::<caller::Submission>, r#"{"input":{"text":"x"}}"#),
    (
        decode::<caller::Answer>,
        r#"{"request_id":"r","outcome":"complete","output":"x","stages":[{"stage":"s","elapsed_us":1,"busy_us":1,"cost_micros":1,"wasted_micros":0,"calls":1}]}"#,
    ),
    (
        decode::<caller::AnswerEvent>,
        r#"{"event":"token","index":0,"text":"x"}"#,
    ),
    (
        decode::<caller::AnswerEvent>,
        r#"{"event":"final","request_id":"r","outcome":"not_run","reason":"quota","retry_after_ms":9,"stages":[]}"#,
    ),
    (decode::<caller::Ticket>, r#"{"ticket":"t","valid_ms":9}"#),
    (
        decode::<admin::Plan>,
        r#"{"change":{"id":"c","base":1,"operator":"o","ops":[{"put":{"pool":{"name":"p","kind":"call","price_micros_per_s":1,"fencing":"ignored"}}},{"delete":{"kind":"model","name":"m"}}]},"summary":["s"],"moves":[],"warnings":[]}"#,
    ),
    (
        decode::<admin::Intent>,
        r#"{"backends":[{"name":"b","pool":"p","zone":"z","addr":"127.0.0.1:8","slots":1}],"pipelines":[{"name":"q","deadline_ms":5,"stages":[{"name":"s","pool":"p"}]}],"workspaces":[{"name":"w","credential_sha256":"","pipelines":["q"],"weight":1,"quota_per_s":1}]}"#,
    ),
    (
        decode::<admin::Confirmation>,
        r#"{"id":"c","offset":1,"reach":{"offset":1,"in_force":1,"listed":2,"missing":["e2"]}}"#,
    ),
    (
        decode::<admin::Status>,
        r#"{"instance":"e1","incarnation":1,"zone":"z","ready":true,"leaving":false,"config_next":1,"config_age_ms":1,"in_flight":0}"#,
    ),
    (
        decode::<Vec<admin::HistoryEntry>>,
        r#"[{"offset":1,"id":"c","operator":"o","result":"in force"}]"#,
    ),
    (
        decode::<Vec<admin::InstanceView>>,
        r#"[{"name":"e1","zone":"z","state":"live","config_next":1,"age_ms":null}]"#,
    ),
    (
        decode::<Vec<admin::CostLine>>,
        r#"[{"workspace":"w","pipeline":"p","stage":"s","calls":1,"busy_us":1,"cost_micros":1,"wasted_micros":0}]"#,
    ),
    (decode::<admin::Drain>, r#"{"instance":"e1"}"#),
];

/// Values to put into fields of other types.
const HOSTILE: [&str; 14] = [
    "null",
    "true",
    "-1",
    "0",
    "1.5",
    "18446744073709551615",
    "18446744073709551616",
    "[]",
    "{}",
    r#""""#,
    r#""\u0000\u001b[2J""#,
    r#""127.0.0.1:99999""#,
    r#"[{"a":[]}]"#,
    r#"{"a":{}}"#,
];

fn check(property: impl Testable) {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(GEN_SIZE, SEED))
        .tests(TESTS)
        .quickcheck(property);
}

#[test]
fn messages_are_taken_and_cut_ones_refused() {
    for (decode, text) in MESSAGES {
        decode(text.as_bytes()).unwrap_or_else(|err| panic!("{text}: {err}"));
        for end in 0..text.len() {
            assert!(decode(&text.as_bytes()[..end]).is_err(), "{text} to {end}");
        }
    }
}

#[test]
fn arbitrary_bytes_decode_without_panic() {
    fn property(bytes: Vec<u8>) {
        for (decode, _) in MESSAGES {
            let _ = decode(&bytes);
        }
    }
    check(property as fn(_));
}

#[test]
fn damaged_messages_end_in_a_result() {
    fn property(message: usize, at: usize, byte: u8, other: usize) -> bool {
        let (decode, text) = MESSAGES[message % MESSAGES.len()];
        let mut bytes = text.as_bytes().to_vec();
        let at = at % bytes.len();
        bytes[at] = byte;
        let _ = decode(&bytes);
        bytes.remove(at);
        let _ = decode(&bytes);
        let (_, other) = MESSAGES[other % MESSAGES.len()];
        bytes.splice(at.., other.bytes());
        decode(&bytes).is_err() || at == 0
    }
    check(property as fn(_, _, _, _) -> _);
}

#[test]
fn fields_with_hostile_values_end_in_a_result() {
    for (decode, text) in MESSAGES {
        let message: Value = serde_json::from_str(text).unwrap();
        let paths = paths(&message, String::new());
        for (path, hostile) in paths.iter().flat_map(|p| HOSTILE.map(|h| (p, h))) {
            let mut message = message.clone();
            let field = message.pointer_mut(path).unwrap();
            *field = serde_json::from_str(hostile).unwrap();
            let _ = decode(message.to_string().as_bytes());
        }
    }
}

/// Lists the pointers to every value within `value`.
fn paths(value: &Value, at: String) -> Vec<String> {
    let mut found = vec![at.clone()];
    match value {
        Value::Object(map) => {
            found.extend(map.iter().flat_map(|(k, v)| paths(v, format!("{at}/{k}"))));
        }
        Value::Array(items) => {
            let items = items.iter().enumerate();
            found.extend(items.flat_map(|(i, v)| paths(v, format!("{at}/{i}"))));
        }
        _ => {}
    }
    found
}

#[test]
fn deep_nesting_is_refused() {
    let deep = "[".repeat(200_000) + &"]".repeat(200_000);
    for (decode, text) in MESSAGES {
        assert!(decode(deep.as_bytes()).is_err());
        for (at, _) in text.match_indices(':') {
            let text = format!("{}:{deep},{}", &text[..at], &text[at + 1..]);
            assert!(decode(text.as_bytes()).is_err());
        }
    }
}

/// A message with two values for one field is ambiguous, for example between two calls.
#[test]
fn fields_that_are_given_twice_are_refused() {
    for (decode, text) in MESSAGES {
        let Value::Object(fields) = serde_json::from_str(text).unwrap() else {
            continue;
        };
        for (field, value) in fields {
            let twice = format!("{},\"{field}\":{value}}}", &text[..text.len() - 1]);
            assert!(decode(twice.as_bytes()).is_err(), "{twice}");
        }
    }
}
