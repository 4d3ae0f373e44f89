//! Runs `savoryvanectl explain` on recorded log lines; the operators' page shows the
//! same output.

mod common;

use std::{fs, path::PathBuf, process::Output};

use common::run_with_input;

/// Log file and request identifier of each example on the operators' page.
const PAGE_EXAMPLES: [(&str, &str); 3] = [
    ("burst", "b9be3820a9282112"),
    ("answer_lost", "a1283417b017f6ee"),
    ("cut_off", "2680628b7c465751"),
];

fn manifest(path: &str) -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join(path)
}

fn explain(request: &str, logs: &[u8]) -> Output {
    run_with_input(&["explain", request], logs)
}

#[test]
fn the_page_shows_what_the_command_prints() {
    let page = fs::read_to_string(manifest("../../docs/OPERATIONS.md")).unwrap();
    for (name, request) in PAGE_EXAMPLES {
        let logs = fs::read(manifest(&format!("tests/explain_logs/{name}.jsonl"))).unwrap();
        let output = explain(request, &logs);
        assert!(output.status.success());
        let printed = String::from_utf8(output.stdout).unwrap();
        assert!(printed.lines().count() > 3, "{name}: {printed}");
        assert!(
            page.contains(printed.trim_end()),
            "{name} is not on the page:\n{printed}"
        );
    }
}

#[test]
fn lines_of_other_requests_and_of_collectors_are_passed_over() {
    let logs = br#"not a line of a log
collector-7 {"msg":"request refused","ts":"2026-01-01T00:00:02Z","instance":"a","request":"r1","reason":"no_route"}
{"msg":"request answered","ts":"2026-01-01T00:00:01Z","instance":"a","request":"r2"}
{"msg":"server chosen","ts":"2026-01-01T00:00:01Z","instance":"b","request":"r1","server":"i-1"}
{"msg":"store lost","ts":"2026-01-01T00:00:01.5Z","instance":"a","topic":"servers"}
{"msg":"store lost","ts":"2026-01-01T00:00:01.5Z","instance":"c","topic":"servers"}
"#;
    let output = explain("r1", logs);
    let printed = String::from_utf8(output.stdout).unwrap();
    let expected = "2026-01-01T00:00:01Z  b  server chosen  server=i-1\n\
        2026-01-01T00:00:01.5Z  a  store lost  topic=servers\n\
        2026-01-01T00:00:02Z  a  request refused  reason=no_route\n";
    assert_eq!(printed, expected);
}

#[test]
fn a_stream_is_explained_over_the_attempts_of_its_caller() {
    let logs = br#"{"msg":"server chosen","ts":"2026-01-01T00:00:01Z","instance":"a","request":"r1","server":"i-1","software":"v1","resumes":null}
{"msg":"stream taken up","ts":"2026-01-01T00:00:02Z","instance":"b","request":"r2","resumes":"r1","outcome":"same_version"}
{"msg":"server chosen","ts":"2026-01-01T00:00:03Z","instance":"b","request":"r2","server":"i-2","software":"v1","resumes":"r1"}
{"msg":"stream taken up","ts":"2026-01-01T00:00:04Z","instance":"c","request":"r3","resumes":"r1","outcome":"version_gone"}
{"msg":"stream taken up","ts":"2026-01-01T00:00:04Z","instance":"c","request":"r9","resumes":"r8","outcome":"stream_unknown"}
"#;
    for (request, own_line) in [
        (
            "r1",
            "2026-01-01T00:00:01Z  a  server chosen  server=i-1 software=v1",
        ),
        (
            "r2",
            "2026-01-01T00:00:02Z  b  stream taken up  outcome=same_version resumes=r1",
        ),
        (
            "r3",
            "2026-01-01T00:00:04Z  c  stream taken up  outcome=version_gone resumes=r1",
        ),
    ] {
        let output = explain(request, logs);
        let printed = String::from_utf8(output.stdout).unwrap();
        assert_eq!(printed.lines().count(), 4, "{request}: {printed}");
        assert!(printed.contains(own_line), "{request}: {printed}");
        let others = printed.matches(" request=r").count();
        assert_eq!(
            others,
            printed.lines().count() - if request == "r2" { 2 } else { 1 }
        );
    }
}

#[test]
fn an_unknown_request_is_an_error() {
    let output = explain("r9", b"");
    assert_eq!(output.status.code(), Some(1));
    let errors = String::from_utf8(output.stderr).unwrap();
    assert!(
        errors.contains("no log line names the request r9"),
        "{errors}"
    );
}

/// The explanation of a quarantined request includes the earlier crashes of servers that
/// ran the same request under other identifiers, but not later ones.
#[test]
fn a_quarantined_request_leads_to_the_servers_that_ended() {
    let logs = br#"{"msg":"server crashed under request","ts":"2026-01-01T00:00:01Z","instance":"a","request":"r1","digest":"d1","server":"i-1","ends":1,"evidence":"refused"}
{"msg":"server crashed under request","ts":"2026-01-01T00:00:01Z","instance":"b","request":"r8","digest":"d2","server":"i-1","ends":1,"evidence":"refused"}
{"msg":"server crashed under request","ts":"2026-01-01T00:00:02Z","instance":"b","request":"r2","digest":"d1","server":"i-2","ends":2,"evidence":"lapsed"}
{"msg":"server crashed under request","ts":"2026-01-01T00:00:03Z","instance":"a","request":"r3","digest":"d1","server":"i-3","ends":3,"evidence":"refused"}
{"msg":"quarantined request refused","ts":"2026-01-01T00:00:04Z","instance":"c","request":"r4","digest":"d1","ends":3,"ends_from":"permit"}
{"msg":"request refused","ts":"2026-01-01T00:00:04Z","instance":"c","request":"r4","reason":"ends_servers"}
{"msg":"server crashed under request","ts":"2026-01-01T00:00:09Z","instance":"a","request":"r5","digest":"d1","server":"i-4","ends":4,"evidence":"refused"}
"#;
    let output = explain("r4", logs);
    let printed = String::from_utf8(output.stdout).unwrap();
    let expected = "\
2026-01-01T00:00:01Z  a  server crashed under request  digest=d1 ends=1 evidence=refused server=i-1
2026-01-01T00:00:02Z  b  server crashed under request  digest=d1 ends=2 evidence=lapsed server=i-2
2026-01-01T00:00:03Z  a  server crashed under request  digest=d1 ends=3 evidence=refused server=i-3
2026-01-01T00:00:04Z  c  quarantined request refused  digest=d1 ends=3 ends_from=permit
2026-01-01T00:00:04Z  c  request refused  reason=ends_servers
";
    assert_eq!(printed, expected);
}

/// The requests that crashed the servers share only a part of their prompts.
#[test]
fn a_quarantined_part_leads_to_the_servers_that_ended_under_other_requests() {
    let logs = br#"{"msg":"server crashed under request","ts":"2026-01-01T00:00:01Z","instance":"a","request":"r1","digest":"d1","parts":"part-1,part-bad","server":"i-1","part_ends":"part-1:1,part-bad:1"}
{"msg":"suspect cleared","ts":"2026-01-01T00:00:02Z","instance":"a","subject":"part-1","reason":"response has begun"}
{"msg":"server crashed under request","ts":"2026-01-01T00:00:03Z","instance":"b","request":"r2","digest":"d2","parts":"part-1,part-bad2","server":"i-2"}
{"msg":"quarantine kept","ts":"2026-01-01T00:00:04Z","instance":"b","subject":"part-bad","ends":3}
{"msg":"quarantined request refused","ts":"2026-01-01T00:00:05Z","instance":"c","request":"r3","digest":"d3","subject":"part-bad","ends":3,"ends_from":"own"}
"#;
    let printed = String::from_utf8(explain("r3", logs).stdout).unwrap();
    let expected = "\
2026-01-01T00:00:01Z  a  server crashed under request  digest=d1 part_ends=part-1:1,part-bad:1 parts=part-1,part-bad server=i-1
2026-01-01T00:00:04Z  b  quarantine kept  ends=3 subject=part-bad
2026-01-01T00:00:05Z  c  quarantined request refused  digest=d3 ends=3 ends_from=own subject=part-bad
";
    assert_eq!(printed, expected);
}
