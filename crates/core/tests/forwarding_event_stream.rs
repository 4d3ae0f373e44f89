//! Where the events of an event stream end.

use quickcheck::{TestResult, quickcheck};
use savoryvane_core::forwarding::{BodyEnd, EventPosition, Framing};

const LINE_ENDS: [&str; 3] = ["\n", "\r\n", "\r"];

fn after(text: &str) -> EventPosition {
    let mut position = EventPosition::default();
    position.advance(text.as_bytes());
    position
}

/// Returns two events whose lines end with `line_end`.
fn two_events(line_end: &str) -> String {
    "id: 0|data: a||id: 1|data: b|data: c||".replace('|', line_end)
}

#[test]
fn a_blank_line_ends_an_event_whatever_ends_the_lines() {
    for line_end in LINE_ENDS {
        let text = two_events(line_end);
        let position = after(&text);
        assert!(!position.is_inside_event(), "{text:?}");
        assert_eq!(position.events(), 2, "{text:?}");
        assert_eq!(position.last_id(), Some("1"), "{text:?}");
    }
}

#[test]
fn every_shorter_part_of_an_event_is_inside_it() {
    for line_end in LINE_ENDS {
        let text = two_events(line_end);
        let first_len = "id: 0|data: a||".replace('|', line_end).len();
        // The LF of a CRLF that ends an event belongs to no event.
        let end_len = usize::from(line_end == "\r\n");
        for length in 1..first_len - end_len {
            assert!(
                after(&text[..length]).is_inside_event(),
                "{:?}",
                &text[..length]
            );
        }
        for length in first_len + 1..text.len() - end_len {
            assert!(
                after(&text[..length]).is_inside_event(),
                "{:?}",
                &text[..length]
            );
        }
    }
}

#[test]
fn comments_and_blank_lines_belong_to_no_event() {
    for text in [
        "",
        "\n",
        "\r\n\r\n",
        ": ping\n",
        ": ping\n\n:\n",
        "id: 0\n\n: ping\r\n",
    ] {
        assert!(!after(text).is_inside_event(), "{text:?}");
    }
    for text in [": pi", "id: 0\n: ping\n", "data\n", "id: 0\n\n: pi"] {
        assert!(after(text).is_inside_event(), "{text:?}");
    }
    assert_eq!(after("\n\n: ping\n\n").events(), 0);
}

#[test]
fn a_partial_event_that_is_discarded_is_not_counted() {
    let mut position = after("id: 0\n\nid: 1\nda");
    position.discard_partial();
    assert!(!position.is_inside_event());
    position.advance(b"id: 1\n\n");
    assert_eq!(position.events(), 2);
}

#[test]
fn the_last_identifier_is_that_of_the_last_event() {
    let long_id = format!("id: {}\n\n", "7".repeat(2_000));
    for (text, id) in [
        ("id: 3\n\n", Some("3")),
        ("data: x\nid:3\ndata: y\n\n: ping\n\n", Some("3")),
        ("id: 3\n\nid: 4\nda", Some("3")),
        ("id: 3\n\ndata: x\n\n", None),
        ("data: id: 3\n\n", None),
        ("idle: 3\nid\nid:\n\n", None),
        ("id: \u{e9}\n\n", None),
        (&long_id, None),
    ] {
        assert_eq!(after(text).last_id(), id, "{text:?}");
    }
}

quickcheck! {
    fn any_split_of_a_stream_gives_the_same_position(choices: Vec<u8>, split_at: usize) -> TestResult {
        let alphabet = b"\n\r:di \n";
        let bytes: Vec<u8> =
            choices.iter().map(|choice| alphabet[usize::from(*choice) % alphabet.len()]).collect();
        let (first, second) = bytes.split_at(split_at % (bytes.len() + 1));
        let mut whole = EventPosition::default();
        let whole_len = whole.advance(&bytes);
        let mut split = EventPosition::default();
        let first_len = split.advance(first);
        let second_len = split.advance(second);
        let outside_len = if second_len > 0 { first.len() + second_len } else { first_len };
        TestResult::from_bool(
            whole_len == outside_len
                && whole.events() == split.events()
                && whole.last_id() == split.last_id()
                && whole.is_inside_event() == split.is_inside_event(),
        )
    }
}

#[test]
fn a_stream_without_events_is_complete_only_if_its_framing_says_so() {
    for text in ["", "\n", ": ping\n\n"] {
        let ends = [Framing::Length, Framing::Chunked, Framing::Connection]
            .map(|framing| BodyEnd::of_stream(framing, &after(text)));
        let expected = [BodyEnd::Complete, BodyEnd::Complete, BodyEnd::Truncated];
        assert_eq!(ends, expected, "{text:?}");
    }
}

#[test]
fn only_a_length_or_chunks_show_that_a_stream_is_complete() {
    let framings = [Framing::Length, Framing::Chunked, Framing::Connection];
    for framing in framings {
        for partial in ["id: 0", "id: 0\n\nid: 1\n", "id: 0\n\n: pi"] {
            let end = BodyEnd::of_stream(framing, &after(partial));
            assert_eq!(end, BodyEnd::Truncated, "{framing:?} {partial:?}");
        }
    }
    let ends = framings.map(|framing| BodyEnd::of_stream(framing, &after("id: 0\n\n")));
    assert_eq!(
        ends,
        [BodyEnd::Complete, BodyEnd::Complete, BodyEnd::Unmarked]
    );
}

#[test]
fn an_empty_body_without_a_mark_of_its_end_is_truncated() {
    let ends = [Framing::Length, Framing::Chunked, Framing::Connection]
        .map(|framing| BodyEnd::of_whole_body(framing, true));
    let expected = [BodyEnd::Complete, BodyEnd::Complete, BodyEnd::Truncated];
    assert_eq!(ends, expected);
    let end = BodyEnd::of_whole_body(Framing::Connection, false);
    assert_eq!(end, BodyEnd::Unmarked);
}
