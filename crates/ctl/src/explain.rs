//! Explains a request from the log lines of all instances: what each decided,
//! and what it knew then.

use std::io::{BufRead, Write};

use serde_json::{Map, Value};

use crate::error::{Error, Result};

/// Messages that say what an instance believes, not what it did with a request.
const BELIEFS: [&str; 15] = [
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
/// Beliefs of an instance that are shown from before a request's first line.
const BELIEFS_BEFORE: usize = 5;
/// Fields that are shown in columns of their own, or say nothing more.
const SHOWN: [&str; 6] = ["msg", "level", "ts", "zone", "instance", "request"];

/// One line of a log.
#[derive(Clone, Debug)]
struct Line {
    at: String,
    instance: String,
    message: String,
    fields: Map<String, Value>,
}

/// Reads log lines, one JSON object each, and writes those that explain
/// `request` in the order of their time: its own, and what the instances that
/// had it believed. Lines that are not of a log are passed over.
///
/// # Errors
///
/// Returns [`Error::NoSuchRequest`] when no line names the request.
pub fn explain(request: &str, logs: impl BufRead, out: &mut impl Write) -> Result<()> {
    let mut lines: Vec<Line> = Vec::new();
    for text in logs.lines() {
        lines.extend(parse(&text?));
    }
    lines.sort_by(|a, b| a.order().cmp(b.order()));
    let is_own = |line: &&Line| line.fields.get("request").and_then(Value::as_str) == Some(request);
    let own: Vec<&Line> = lines.iter().filter(is_own).collect();
    let (Some(first), Some(last)) = (own.first(), own.last()) else {
        return Err(Error::NoSuchRequest(request.to_owned()));
    };
    let mut shown: Vec<&Line> = own.clone();
    let mut instances: Vec<&str> = own.iter().map(|line| line.instance.as_str()).collect();
    instances.sort_unstable();
    instances.dedup();
    for instance in instances {
        let beliefs = lines
            .iter()
            .filter(|line| line.instance == instance && BELIEFS.contains(&line.message.as_str()));
        let (before, after): (Vec<&Line>, Vec<&Line>) =
            beliefs.partition(|line| line.order() < first.order());
        shown.extend(before.iter().rev().take(BELIEFS_BEFORE));
        shown.extend(
            after
                .into_iter()
                .filter(|line| line.order() <= last.order()),
        );
    }
    shown.sort_by(|a, b| a.order().cmp(b.order()));
    for line in shown {
        writeln!(out, "{}", line.render())?;
    }
    Ok(())
}

/// Reads a line of a log; what a collector has put before it is passed over.
fn parse(text: &str) -> Option<Line> {
    let object = &text[text.find('{')?..];
    let mut fields: Map<String, Value> = serde_json::from_str(object).ok()?;
    let mut take = |name: &str| match fields.remove(name) {
        Some(Value::String(text)) => Some(text),
        _ => None,
    };
    Some(Line {
        at: take("ts")?,
        instance: take("instance")?,
        message: take("msg")?,
        fields,
    })
}

impl Line {
    /// Returns its time in a form whose text has the same order, with or
    /// without a fraction of a second.
    fn order(&self) -> &str {
        self.at.trim_end_matches('Z')
    }

    fn render(&self) -> String {
        let shown = self
            .fields
            .iter()
            .filter(|(name, value)| !SHOWN.contains(&name.as_str()) && !value.is_null());
        let fields: Vec<String> = shown
            .map(|(name, value)| match value {
                Value::String(text) => format!("{name}={text}"),
                value => format!("{name}={value}"),
            })
            .collect();
        let (at, instance, message) = (&self.at, &self.instance, &self.message);
        format!("{at}  {instance}  {message}  {}", fields.join(" "))
    }
}
