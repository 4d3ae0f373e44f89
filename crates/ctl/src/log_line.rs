//! Parsing of the log lines of an instance.

use serde_json::{Map, Value};

/// A parsed log line.
#[derive(Clone, Debug)]
pub(crate) struct LogLine {
    /// Timestamp, as written by the instance.
    pub(crate) timestamp: String,
    /// Name of the instance.
    pub(crate) instance: String,
    /// Log message.
    pub(crate) message: String,
    /// All other fields.
    pub(crate) fields: Map<String, Value>,
}

impl LogLine {
    /// Parses a line and skips any prefix that a log collector has added. Returns
    /// `None` if it is not a log line.
    pub(crate) fn parse(text: &str) -> Option<Self> {
        let object = &text[text.find('{')?..];
        let mut fields: Map<String, Value> = serde_json::from_str(object).ok()?;
        let mut take = |name: &str| match fields.remove(name) {
            Some(Value::String(text)) => Some(text),
            _ => None,
        };
        Some(Self {
            timestamp: take("ts")?,
            instance: take("instance")?,
            message: take("msg")?,
            fields,
        })
    }

    /// Returns the timestamp without the final `Z`, so that timestamps with and without
    /// fractions of a second sort by time.
    pub(crate) fn sort_key(&self) -> &str {
        self.timestamp.trim_end_matches('Z')
    }

    /// Returns the value of a text field.
    pub(crate) fn text(&self, field: &str) -> Option<&str> {
        self.fields.get(field).and_then(Value::as_str)
    }

    /// Returns the value of an unsigned integer field.
    pub(crate) fn number(&self, field: &str) -> Option<u64> {
        self.fields.get(field).and_then(Value::as_u64)
    }
}
