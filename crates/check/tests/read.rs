//! Problems of ordinary and hostile files, all reported at once and within limits.

use quickcheck::{Gen, QuickCheck, Testable};
use savoryvane_check::{Fields, Limits, Problems, read};

const FILE: &str = "test.yaml";

#[derive(Debug, PartialEq)]
struct Listener {
    name: String,
    port: u32,
    mode: u8,
    note: Option<String>,
}

fn listener(fields: &mut Fields<'_>) -> Option<Listener> {
    let name = fields.name("name");
    let port = fields.or("port", 80, |f, key| f.u32(key, 1..=65_535));
    let mode = fields.or("mode", 0, |f, key| {
        f.choice(key, &[("plain", 0), ("tls", 1)])
    });
    let note = fields.optional("note", |f, key| f.secret(key, 4..=8));
    Some(Listener {
        name: name?,
        port: port?,
        mode: mode?,
        note: note?,
    })
}

fn listeners(text: &[u8]) -> Result<Vec<Listener>, Problems> {
    read(FILE, text, &Limits::default(), |fields| {
        fields.list("listeners", 1..=100, |item| item.map(listener))
    })
}

fn lines(text: &str) -> Vec<String> {
    let problems = listeners(text.as_bytes()).unwrap_err();
    problems.to_string().lines().map(str::to_owned).collect()
}

#[test]
fn reads_values_and_defaults() {
    let read = listeners(b"listeners:\n- {name: a, port: 9, mode: tls, note: word}\n- name: b\n");
    let read = read.unwrap();
    let note = Some("word".to_owned());
    assert_eq!((read[0].port, read[0].mode, &read[0].note), (9, 1, &note));
    assert_eq!((read[1].port, read[1].mode, &read[1].note), (80, 0, &None));
}

#[test]
fn reports_every_problem_with_its_path() {
    let text =
        "listeners:\n- {name: A, port: 0, mode: off}\n- {prot: 1, note: overlong!}\nmore: 1\n";
    let lines = lines(text);
    let starts = [
        "test.yaml: listeners[0].name: found \"A\", allowed is 1 to 63 lower-case",
        "test.yaml: listeners[0].port: found 0, allowed is a whole number from 1 to 65535",
        "test.yaml: listeners[0].mode: found \"off\", allowed is plain, tls",
        "test.yaml: listeners[1].name: found nothing, allowed is a name (required)",
        "test.yaml: listeners[1].note: found a text of 9 bytes, allowed is text of 4 to 8 bytes",
        "test.yaml: listeners[1].prot: found an unknown field, allowed is one of name, port,",
        "test.yaml: more: found an unknown field, allowed is one of listeners",
    ];
    assert_eq!(lines.len(), starts.len(), "{lines:#?}");
    for (line, start) in lines.iter().zip(starts) {
        assert!(line.starts_with(start), "{line}");
    }
}

#[test]
fn reports_wrong_types() {
    assert_eq!(
        lines("listeners: 5"),
        ["test.yaml: listeners: found 5, allowed is a list of 1 to 100 items"]
    );
    assert_eq!(
        lines("- 5"),
        ["test.yaml: found a list of 1, allowed is a mapping of fields"]
    );
    assert_eq!(
        lines(""),
        ["test.yaml: listeners: found nothing, allowed is a list (required)"]
    );
}

#[test]
fn reports_a_duplicate_key() {
    assert_eq!(
        lines("listeners: [{name: a, port: 1, port: 2}]"),
        ["test.yaml: listeners[0].port: found the field a second time, allowed is each field once"]
    );
}

#[test]
fn refuses_alias_bombs() {
    let mut text = format!("a0: &a0 [{}]\n", ["lol"; 9].join(","));
    for level in 1..9 {
        let items = vec![format!("*a{}", level - 1); 9].join(",");
        text += &format!("a{level}: &a{level} [{items}]\n");
    }
    assert_eq!(lines(&text).len(), 1);

    let long = "x".repeat(100_000);
    let aliases = vec!["*a"; 10_000].join(",");
    let lines = lines(&format!("a: &a {long}\nb: [{aliases}]\n"));
    assert!(lines[0].contains("once aliases are expanded"), "{lines:?}");
}

#[test]
fn refuses_deep_and_large_files() {
    for (open, close) in [("[", "]"), ("{a: ", "}"), ("- ", "")] {
        for depth in [17, 4_000, 200_000] {
            let text = open.repeat(depth) + &close.repeat(depth);
            assert_eq!(lines(&text).len(), 1);
        }
    }
    let lines = lines(&"#".repeat((1 << 20) + 1));
    assert!(lines[0].contains("at most 1048576 bytes"), "{lines:?}");
}

#[test]
fn refuses_what_is_not_one_plain_document() {
    for text in [
        "a: 1\n---\nb: 2\n",
        "a: !tag {b: 1}\n",
        "a: *none\n",
        "a: [1",
    ] {
        assert_eq!(lines(text).len(), 1, "{text}");
    }
    let problems = listeners(b"\xff\xfe").unwrap_err();
    assert_eq!(problems.list()[0].found, "invalid UTF-8");
}

#[test]
fn escapes_and_shortens_what_it_quotes() {
    let text = format!("listeners: [{{name: \"\\e[2J{}\"}}]", "y".repeat(500));
    let lines = lines(&text);
    assert_eq!(lines.len(), 1);
    assert!(!lines[0].contains('\u{1b}') && lines[0].len() < 400);
}

#[test]
fn keeps_the_list_of_problems_short() {
    let fields: Vec<String> = (0..500).map(|n| format!("f{n}: 1")).collect();
    let lines = lines(&fields.join("\n"));
    assert_eq!(lines.len(), 101);
    assert_eq!(lines[100], "test.yaml: 401 more problems");
}

fn check(property: impl Testable) {
    let rng = Gen::from_size_and_seed(60, 13);
    QuickCheck::new().rng(rng).tests(2_000).quickcheck(property);
}

#[test]
fn any_bytes_end_in_a_result() {
    fn property(bytes: Vec<u8>) -> bool {
        listeners(&bytes).is_err()
    }
    check(property as fn(_) -> _);
}

#[test]
fn damaged_text_ends_in_a_result() {
    fn property(at: usize, byte: u8) {
        let text = "listeners: [{name: \"a\", port: &p 9, mode: tls}, {name: b, port: *p}]";
        let mut text = text.as_bytes().to_vec();
        let at = at % text.len();
        text[at] = byte;
        let _ = listeners(&text);
        let _ = listeners(&text[..at]);
    }
    check(property as fn(_, _));
}
