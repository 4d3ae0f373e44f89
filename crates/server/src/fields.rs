//! Reads a YAML mapping field by field and gathers every fault on the way.

use std::{fmt, net::SocketAddr, ops::RangeInclusive};

use serde_yaml_ng::{Mapping, Value};

/// Longest excerpt of a found value that a fault repeats, in characters.
const MAX_FOUND_CHARS: usize = 60;

/// One thing that is wrong with the settings.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// Path of the field, such as `listen.caller`.
    pub path: String,
    /// What was found there.
    pub found: String,
    /// What is allowed there.
    pub allowed: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{}: found {}, allowed is {}",
            self.path, self.found, self.allowed
        )
    }
}

/// One mapping of the settings; fields are taken out as they are read, so that
/// what is left over is unknown.
pub(crate) struct Fields<'a> {
    path: String,
    rest: Mapping,
    known: Vec<&'static str>,
    faults: &'a mut Vec<Fault>,
}

impl<'a> Fields<'a> {
    /// Opens the mapping at the root of the document.
    pub(crate) fn root(document: Value, faults: &'a mut Vec<Fault>) -> Self {
        let rest = take_mapping("settings", document, faults);
        Self {
            path: String::new(),
            rest,
            known: Vec::new(),
            faults,
        }
    }

    /// Opens the mapping in field `name`; an absent one is empty.
    pub(crate) fn section(&mut self, name: &'static str) -> Fields<'_> {
        let path = self.path_of(name);
        let rest = match self.take(name) {
            Some(value) => take_mapping(&path, value, self.faults),
            None => Mapping::new(),
        };
        Fields {
            path,
            rest,
            known: Vec::new(),
            faults: self.faults,
        }
    }

    /// Reads text that `parse` accepts; the field may be absent.
    pub(crate) fn optional<T>(
        &mut self,
        name: &'static str,
        allowed: &str,
        parse: impl FnOnce(&str) -> Option<T>,
    ) -> Option<T> {
        let value = self.take(name)?;
        let parsed = value.as_str().and_then(parse);
        if parsed.is_none() {
            self.fault(name, describe(&value), allowed);
        }
        parsed
    }

    /// Reads text that `parse` accepts; an absent field is a fault.
    pub(crate) fn required<T>(
        &mut self,
        name: &'static str,
        allowed: &str,
        parse: impl FnOnce(&str) -> Option<T>,
    ) -> Option<T> {
        if !self.rest.contains_key(name) {
            self.known.push(name);
            self.fault(name, "nothing".to_owned(), allowed);
            return None;
        }
        self.optional(name, allowed, parse)
    }

    /// Reads an IP address with port; an absent field is a fault.
    pub(crate) fn addr(&mut self, name: &'static str) -> Option<SocketAddr> {
        self.required(
            name,
            "an IP address with port, such as 10.0.0.5:8080",
            |text| text.parse().ok(),
        )
    }

    /// Reads a whole number within `range`, or takes `default`.
    pub(crate) fn number(
        &mut self,
        name: &'static str,
        range: RangeInclusive<u64>,
        default: u64,
    ) -> u64 {
        let Some(value) = self.take(name) else {
            return default;
        };
        if let Some(number) = value.as_u64().filter(|number| range.contains(number)) {
            return number;
        }
        let allowed = format!("a whole number from {} to {}", range.start(), range.end());
        self.fault(name, describe(&value), &allowed);
        default
    }

    /// Records a fault of field `name`.
    pub(crate) fn fault(&mut self, name: &str, found: String, allowed: &str) {
        let path = self.path_of(name);
        self.faults.push(Fault {
            path,
            found,
            allowed: allowed.to_owned(),
        });
    }

    /// Tells whether a field of this mapping already has a fault.
    pub(crate) fn has_fault(&self) -> bool {
        let prefix = format!("{}.", self.path);
        self.faults
            .iter()
            .any(|fault| fault.path.starts_with(&prefix))
    }

    /// Reports every field that was not read as unknown.
    pub(crate) fn finish(mut self) {
        let allowed = format!("one of {}", self.known.join(", "));
        for (key, _) in std::mem::take(&mut self.rest) {
            let name = match key {
                Value::String(name) => excerpt(&name),
                other => describe(&other),
            };
            self.fault(&name, "an unknown field".to_owned(), &allowed);
        }
    }

    fn take(&mut self, name: &'static str) -> Option<Value> {
        self.known.push(name);
        self.rest.remove(name)
    }

    fn path_of(&self, name: &str) -> String {
        if self.path.is_empty() {
            name.to_owned()
        } else {
            format!("{}.{name}", self.path)
        }
    }
}

fn take_mapping(path: &str, value: Value, faults: &mut Vec<Fault>) -> Mapping {
    match value {
        Value::Mapping(mapping) => mapping,
        other => {
            faults.push(Fault {
                path: path.to_owned(),
                found: describe(&other),
                allowed: "a mapping of fields".to_owned(),
            });
            Mapping::new()
        }
    }
}

fn describe(value: &Value) -> String {
    match value {
        Value::Null => "nothing".to_owned(),
        Value::Bool(flag) => flag.to_string(),
        Value::Number(number) => number.to_string(),
        Value::String(text) => format!("{:?}", excerpt(text)),
        Value::Sequence(_) => "a list".to_owned(),
        Value::Mapping(_) => "a mapping".to_owned(),
        Value::Tagged(_) => "a tagged value".to_owned(),
    }
}

fn excerpt(text: &str) -> String {
    text.chars().take(MAX_FOUND_CHARS).collect()
}
