//! Estimates of what JSON values take in memory.

use quickcheck::{Arbitrary, Gen, QuickCheck};
use savoryvane_core::json_cost::value_bytes;
use serde_json::{Map, Value};

/// A value of any shape.
#[derive(Clone, Debug)]
struct AnyValue(Value);

impl Arbitrary for AnyValue {
    fn arbitrary(g: &mut Gen) -> Self {
        Self(any_value(g, 4))
    }
}

fn any_value(g: &mut Gen, depth: u32) -> Value {
    let count = u32::arbitrary(g) % 6;
    match u8::arbitrary(g) % if depth == 0 { 3 } else { 5 } {
        0 => Value::Null,
        1 => Value::from(i64::arbitrary(g)),
        2 => Value::from(String::arbitrary(g)),
        3 => (0..count).map(|_| any_value(g, depth - 1)).collect(),
        _ => {
            let entries = (0..count).map(|_| (String::arbitrary(g), any_value(g, depth - 1)));
            Value::Object(entries.collect::<Map<_, _>>())
        }
    }
}

/// Returns what a value takes at least: the sizes of its parts without unused capacity.
fn least_bytes(value: &Value) -> u64 {
    let own = size_of::<Value>() as u64;
    own + match value {
        Value::String(text) => text.len() as u64,
        Value::Array(items) => items.iter().map(least_bytes).sum(),
        Value::Object(entries) => entries
            .iter()
            .map(|(key, value)| size_of::<String>() as u64 + key.len() as u64 + least_bytes(value))
            .sum(),
        _ => 0,
    }
}

#[test]
fn no_value_takes_more_than_is_estimated() {
    fn property(value: AnyValue) -> bool {
        let text = serde_json::to_vec(&value.0).unwrap();
        value_bytes(&text) >= least_bytes(&value.0)
    }
    QuickCheck::new().quickcheck(property as fn(AnyValue) -> bool);
}

#[test]
fn small_objects_count_many_times_their_text_and_long_strings_do_not() {
    let objects = format!("[{}0]", r#"{"":0},"#.repeat(1_000));
    let string = format!(r#""{}""#, "x".repeat(objects.len()));
    let length = objects.len() as u64;

    assert!(value_bytes(objects.as_bytes()) > 90 * length);
    assert!(value_bytes(string.as_bytes()) < 2 * length);
}

#[test]
fn text_that_is_not_json_is_estimated() {
    for text in ["", "\"", "\"\\", "]]]}", "{\"a", "[[[[", ",,,"] {
        assert!(value_bytes(text.as_bytes()) > 0, "{text}");
    }
}

/// A parser does not read on behind the depth at which it stops.
#[test]
fn lists_that_are_nested_too_deeply_cost_nothing_beyond_the_parsers_limit() {
    let nested = |depth: usize| "[".repeat(depth) + &"]".repeat(depth);
    let deepest = (1..1_000).rev();
    let deepest = deepest.max_by_key(|depth| {
        let is_read = serde_json::from_str::<Value>(&nested(*depth)).is_ok();
        (is_read, *depth)
    });
    let deepest = nested(deepest.unwrap());
    let brackets = "[".repeat(4 << 20);

    assert!(value_bytes(brackets.as_bytes()) <= 2 * value_bytes(deepest.as_bytes()));
}
