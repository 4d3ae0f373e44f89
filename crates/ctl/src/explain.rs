//! Explains a request from the log lines of all instances: what each instance
//! decided, and its state at that time.

use std::{
    collections::HashSet,
    io::{BufRead, Write},
};

use serde_json::Value;

use crate::{
    error::{Error, Result},
    log_line::LogLine,
};

/// Messages about the state of an instance rather than about a request.
const STATE_MESSAGES: [&str; 15] = [
    "configuration in force",
    "draining",
    "instance started",
    "leaving",
    "ready",
    "records expired",
    "scheduler chosen",
    "scheduler lost",
    "server changed",
    "server reached again",
    "servers changed",
    "settings read again",
    "store lost",
    "store regained",
    "zones passed over",
];
/// Messages about crashes and quarantine of a request or prompt part; matched by what is
/// quarantined, since other requests may have crashed the servers.
const CRASH_MESSAGES: [&str; 3] = [
    "quarantine kept",
    "server crashed under request",
    "suspect cleared",
];
/// Maximum number of state lines per instance shown from before the request's first line.
const MAX_STATE_LINES_BEFORE: usize = 5;
/// Fields left out of the list of fields: they have their own column or add nothing.
const OMITTED_FIELDS: [&str; 5] = ["msg", "level", "ts", "zone", "instance"];

/// Reads log lines, one JSON object each, and writes those that explain `request` in order of
/// time: its own lines, those of the other requests of its stream if its caller took that up, and
/// the state lines of the instances that handled them. For a request that was refused because
/// servers crashed under it, the lines about these crashes are shown too, from any instance and
/// for any identifier. Lines that are not log lines are skipped.
///
/// # Errors
///
/// Returns [`Error::NoSuchRequest`] when no line names the request.
pub fn explain(request: &str, logs: impl BufRead, out: &mut impl Write) -> Result<()> {
    let mut lines: Vec<LogLine> = Vec::new();
    for line in logs.lines() {
        lines.extend(LogLine::parse(&line?));
    }
    lines.sort_by(|a, b| a.sort_key().cmp(b.sort_key()));
    let attempts = attempts_of_stream(&lines, request);
    let is_of_request =
        |line: &&LogLine| line.text("request").is_some_and(|id| attempts.contains(id));
    let request_lines: Vec<&LogLine> = lines.iter().filter(is_of_request).collect();
    let (Some(first), Some(last)) = (request_lines.first(), request_lines.last()) else {
        return Err(Error::NoSuchRequest(request.to_owned()));
    };
    let mut selected: Vec<&LogLine> = request_lines.clone();
    let mut instances: Vec<&str> = request_lines
        .iter()
        .map(|line| line.instance.as_str())
        .collect();
    instances.sort_unstable();
    instances.dedup();
    for instance in instances {
        let state_lines = lines.iter().filter(|line| {
            line.instance == instance && STATE_MESSAGES.contains(&line.message.as_str())
        });
        let (before, after): (Vec<&LogLine>, Vec<&LogLine>) =
            state_lines.partition(|line| line.sort_key() < first.sort_key());
        selected.extend(before.iter().rev().take(MAX_STATE_LINES_BEFORE));
        selected.extend(
            after
                .into_iter()
                .filter(|line| line.sort_key() <= last.sort_key()),
        );
    }
    selected.extend(crash_lines_before(&lines, &request_lines));
    selected.sort_by(|a, b| a.sort_key().cmp(b.sort_key()));
    for line in selected {
        writeln!(
            out,
            "{}",
            render(line, |id| id != request && attempts.contains(id))
        )?;
    }
    Ok(())
}

/// Returns all requests of the stream that `request` began or takes up, if its caller took it up
/// at least once.
fn attempts_of_stream<'a>(lines: &'a [LogLine], request: &'a str) -> HashSet<&'a str> {
    let named = lines.iter().filter_map(|line| {
        let resumes = line.text("resumes")?;
        Some((line.text("request")?, resumes))
    });
    let named: Vec<(&str, &str)> = named.collect();
    let own = named.iter().find(|(attempt, _)| *attempt == request);
    let first = own.map_or(request, |(_, first)| *first);
    let attempts = named.iter().filter(|(_, resumes)| *resumes == first);
    let attempts = attempts.map(|(attempt, _)| *attempt);
    attempts.chain([first]).collect()
}

/// Returns the lines about crashes that led to the refusal of a request, if it was refused
/// for that reason.
fn crash_lines_before<'a>(lines: &'a [LogLine], request_lines: &[&'a LogLine]) -> Vec<&'a LogLine> {
    let refused = request_lines
        .iter()
        .find(|line| line.text("ends_from").is_some());
    let Some(refused) = refused else {
        return Vec::new();
    };
    let Some(subject) = refused.text("subject").or(refused.text("digest")) else {
        return Vec::new();
    };
    let is_about_subject = |line: &LogLine| {
        let parts = line.text("parts").unwrap_or_default();
        line.text("digest") == Some(subject)
            || line.text("subject") == Some(subject)
            || parts.split(',').any(|part| part == subject)
    };
    let is_crash_line = |line: &&LogLine| {
        CRASH_MESSAGES.contains(&line.message.as_str())
            && is_about_subject(line)
            && line.text("request") != refused.text("request")
            && line.sort_key() <= refused.sort_key()
    };
    lines.iter().filter(is_crash_line).collect()
}

/// Formats a line, with the request that it is about if `names_request`.
fn render(line: &LogLine, names_request: impl Fn(&str) -> bool) -> String {
    let is_omitted = |name: &str, value: &Value| match name {
        "request" => !value.as_str().is_some_and(&names_request),
        name => OMITTED_FIELDS.contains(&name),
    };
    let listed_fields = line
        .fields
        .iter()
        .filter(|(name, value)| !is_omitted(name, value) && !value.is_null());
    let fields: Vec<String> = listed_fields
        .map(|(name, value)| match value {
            Value::String(text) => format!("{name}={text}"),
            value => format!("{name}={value}"),
        })
        .collect();
    let (timestamp, instance, message) = (&line.timestamp, &line.instance, &line.message);
    format!("{timestamp}  {instance}  {message}  {}", fields.join(" "))
}
