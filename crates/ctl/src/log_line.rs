//! One line of the log of an instance.

use serde_json::{Map, Value};

/// One line of a log.
#[derive(Clone, Debug)]
pub(crate) struct LogLine {
    /// Time of day, as the instance wrote it.
    pub(crate) at: String,
    /// The instance.
    pub(crate) instance: String,
    /// What happened.
    pub(crate) message: String,
    /// All other fields.
    pub(crate) fields: Map<String, Value>,
}

impl LogLine {
    /// Reads a line; what a collector has put before it is passed over. Returns
    /// nothing for a line that is not of a log.
    pub(crate) fn parse(text: &str) -> Option<Self> {
        let object = &text[text.find('{')?..];
        let mut fields: Map<String, Value> = serde_json::from_str(object).ok()?;
        let mut take = |name: &str| match fields.remove(name) {
            Some(Value::String(text)) => Some(text),
            _ => None,
        };
        Some(Self {
            at: take("ts")?,
            instance: take("instance")?,
            message: take("msg")?,
            fields,
        })
    }

    /// Returns its time in a form whose text has the same order, with or
    /// without a fraction of a second.
    pub(crate) fn order(&self) -> &str {
        self.at.trim_end_matches('Z')
    }

    /// Returns a field that is text.
    pub(crate) fn text(&self, field: &str) -> Option<&str> {
        self.fields.get(field).and_then(Value::as_str)
    }

    /// Returns a field that is a whole number.
    pub(crate) fn number(&self, field: &str) -> Option<u64> {
        self.fields.get(field).and_then(Value::as_u64)
    }
}
