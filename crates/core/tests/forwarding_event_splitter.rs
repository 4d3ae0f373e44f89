//! What of an event stream is forwarded, and where another server can resume it.

use bytes::Bytes;
use quickcheck::{TestResult, quickcheck};
use savoryvane_core::forwarding::{EventSplitter, MAX_EVENT_BYTES, ResumePoint};

const STREAM: &str = "id: 0\ndata: a\n\n: ping\r\n\r\nid: 1\r\ndata: b\r\n\r\nid: 2\rdata: c\r\r\
                      \n\nid: 3\nid: 4\ndata: d\n\nid: 5\ndata: e\n\n";

/// Pushes the parts of a stream; returns what was forwarded.
fn push_all<'a>(
    splitter: &mut EventSplitter,
    parts: impl IntoIterator<Item = &'a [u8]>,
) -> Vec<u8> {
    let mut forwarded = Vec::new();
    for part in parts {
        forwarded.extend_from_slice(&splitter.push(Bytes::copy_from_slice(part)));
    }
    forwarded
}

fn large_event(number: u32) -> Vec<u8> {
    let data = "x".repeat(MAX_EVENT_BYTES + 1);
    format!("id: {number}\ndata: {data}\n\n").into_bytes()
}

#[test]
fn a_stream_that_is_not_resumable_is_forwarded_as_it_comes() {
    let mut splitter = EventSplitter::new(false);
    assert_eq!(push_all(&mut splitter, [&b"id: 0\nda"[..]]), b"id: 0\nda");
    assert_eq!(push_all(&mut splitter, [&b"ta: a\n\n"[..]]), b"ta: a\n\n");
    assert_eq!(splitter.resume_point(), ResumePoint::None);
}

#[test]
fn a_stream_can_not_be_resumed_inside_an_event_that_is_forwarded_in_parts() {
    let mut splitter = EventSplitter::new(true);
    push_all(&mut splitter, [&b"id: 0\n\n"[..]]);
    let large = large_event(1);
    let (begin, end) = large.split_at(large.len() - 1);
    assert_eq!(push_all(&mut splitter, begin.chunks(1 << 16)), begin);
    assert_eq!(splitter.resume_point(), ResumePoint::None);
    assert_eq!(push_all(&mut splitter, [end]), end);
    assert_eq!(splitter.resume_point(), ResumePoint::After("1"));
    assert!(push_all(&mut splitter, [&b"id: 2\ndata"[..]]).is_empty());
}

#[test]
fn an_event_that_can_not_be_held_back_is_forwarded_in_parts() {
    let mut splitter = EventSplitter::new(true);
    push_all(&mut splitter, [&b"id: 0\n\nid: 1\nda"[..]]);
    assert_eq!(splitter.held_bytes_with(3), b"id: 1\nda".len() + 3);
    assert_eq!(splitter.release_partial(), &b"id: 1\nda"[..]);
    assert_eq!(splitter.resume_point(), ResumePoint::None);
    assert_eq!(splitter.held_bytes_with(3), 0, "the rest is not held");
    assert_eq!(
        push_all(&mut splitter, [&b"ta: b\n\nid: 2"[..]]),
        b"ta: b\n\n"
    );
    assert_eq!(splitter.resume_point(), ResumePoint::After("1"));
    assert_eq!(splitter.release_partial(), &b"id: 2"[..]);
}

#[test]
fn between_two_events_nothing_is_released() {
    let mut splitter = EventSplitter::new(true);
    push_all(&mut splitter, [&b"id: 0\n\n"[..]]);
    assert!(splitter.release_partial().is_empty());
    assert_eq!(splitter.resume_point(), ResumePoint::After("0"));
}

#[test]
fn the_next_server_continues_after_the_last_event_forwarded() {
    let mut splitter = EventSplitter::new(true);
    let mut forwarded = push_all(&mut splitter, [&b"id: 0\r\n\r\nid: 1\r\nda"[..]]);
    assert_eq!(splitter.resume_point(), ResumePoint::After("0"));
    splitter.discard_partial();
    forwarded.extend(push_all(&mut splitter, [&b"id: 1\r\n\r\n"[..]]));
    assert_eq!(forwarded, b"id: 0\r\n\r\nid: 1\r\n\r\n");
    assert_eq!(splitter.position().events(), 2);
}

quickcheck! {
    fn any_reads_of_a_stream_forward_the_same_events(cuts: Vec<usize>) -> bool {
        let mut cuts: Vec<usize> = cuts.iter().map(|cut| cut % STREAM.len()).collect();
        cuts.sort_unstable();
        cuts.push(STREAM.len());
        let mut splitter = EventSplitter::new(true);
        let mut begin = 0;
        let mut forwarded = Vec::new();
        for end in cuts {
            forwarded.extend(push_all(&mut splitter, [&STREAM.as_bytes()[begin..end]]));
            begin = end;
        }
        forwarded == STREAM.as_bytes()
            && splitter.position().events() == 5
            && splitter.resume_point() == ResumePoint::After("5")
    }

    fn a_stream_broken_off_anywhere_is_whole_once_it_is_resumed(cut: usize) -> TestResult {
        let cut = cut % STREAM.len();
        let mut splitter = EventSplitter::new(true);
        let mut forwarded = push_all(&mut splitter, [&STREAM.as_bytes()[..cut]]);
        let rest = match splitter.resume_point() {
            ResumePoint::Start => Some(STREAM),
            ResumePoint::After(id) => rest_after(id),
            ResumePoint::None => None,
        };
        let Some(rest) = rest else {
            return TestResult::failed();
        };
        splitter.discard_partial();
        forwarded.extend(push_all(&mut splitter, [rest.as_bytes()]));
        TestResult::from_bool(events(&forwarded) == events(STREAM.as_bytes()))
    }
}

/// Returns what follows the event `id` in the stream.
fn rest_after(id: &str) -> Option<&'static str> {
    let begins = ["id: 1", "id: 2", "id: 3", "id: 5", ""];
    let index = ["0", "1", "2", "4", "5"]
        .iter()
        .position(|known| *known == id)?;
    match begins[index] {
        "" => Some(""),
        begin => STREAM.find(begin).map(|at| &STREAM[at..]),
    }
}

/// Returns the data of the events of a stream.
fn events(stream: &[u8]) -> Vec<String> {
    let text = String::from_utf8_lossy(stream)
        .replace("\r\n", "\n")
        .replace('\r', "\n");
    let data = text.lines().filter(|line| line.starts_with("data:"));
    data.map(ToOwned::to_owned).collect()
}
