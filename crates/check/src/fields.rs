//! Typed readers of a mapping's fields and of a list's items.

use std::{net::SocketAddr, ops::RangeInclusive};

use savoryvane_core::ids::{MAX_NAME_BYTES, is_sha256, is_valid_name};

use crate::{
    node::{Node, join},
    problem::Problems,
};

/// Allowed form of a digest.
const SHA256: &str = "SHA-256 as 64 lower-case hex digits";

/// A value in the file with its path.
pub struct Item<'a> {
    node: &'a Node,
    path: String,
    problems: &'a mut Problems,
}

impl<'a> Item<'a> {
    pub(crate) fn new(node: &'a Node, path: String, problems: &'a mut Problems) -> Self {
        Self {
            node,
            path,
            problems,
        }
    }

    /// Reads a mapping with `reader` and reports the fields that it did not read.
    pub fn map<T>(self, reader: impl FnOnce(&mut Fields<'_>) -> Option<T>) -> Option<T> {
        let Node::Map(entries) = self.node else {
            return self.refuse("a mapping of fields");
        };
        let mut fields = Fields {
            entries,
            path: self.path,
            known_fields: Vec::new(),
            problems: self.problems,
        };
        let value = reader(&mut fields);
        fields.report_unknown();
        value
    }

    /// Reads a list, each item with `reader`; returns `None` if any item has a
    /// problem.
    pub fn list<T>(
        self,
        lengths: RangeInclusive<usize>,
        mut reader: impl FnMut(Item<'_>) -> Option<T>,
    ) -> Option<Vec<T>> {
        let items = match self.node {
            Node::List(items) if lengths.contains(&items.len()) => items,
            _ => {
                let allowed = format!("a list of {} to {} items", lengths.start(), lengths.end());
                return self.refuse(&allowed);
            }
        };
        let mut values = Vec::with_capacity(items.len());
        for (index, node) in items.iter().enumerate() {
            let path = format!("{}[{index}]", self.path);
            values.extend(reader(Item::new(node, path, self.problems)));
        }
        (values.len() == items.len()).then_some(values)
    }

    /// Reads text with `parse`; `allowed` describes what `parse` accepts.
    pub fn parsed<T>(self, allowed: &str, parse: impl FnOnce(&str) -> Option<T>) -> Option<T> {
        let value = match self.node {
            Node::Text(text) => parse(text),
            _ => None,
        };
        match value {
            Some(value) => Some(value),
            None => self.refuse(allowed),
        }
    }

    /// Reads text of `lengths` bytes.
    pub fn text(self, lengths: RangeInclusive<usize>) -> Option<String> {
        let allowed = describe_text(&lengths);
        self.parsed(&allowed, |text| {
            lengths.contains(&text.len()).then(|| text.to_owned())
        })
    }

    /// Reads text of `lengths` bytes whose value must not be printed.
    pub fn secret(self, lengths: RangeInclusive<usize>) -> Option<String> {
        match self.node {
            Node::Text(text) if lengths.contains(&text.len()) => Some(text.clone()),
            node => {
                let found = node.describe_type();
                self.problems
                    .report(self.path, found, describe_text(&lengths));
                None
            }
        }
    }

    /// Reads a SHA-256 digest in lower-case hex. An invalid value is not printed,
    /// since it may be the secret that should have been hashed.
    pub fn sha256(self) -> Option<String> {
        match self.node {
            Node::Text(text) if is_sha256(text) => Some(text.clone()),
            node => {
                let found = node.describe_type();
                self.problems.report(self.path, found, SHA256.to_owned());
                None
            }
        }
    }

    /// Reads a name that is valid according to [`is_valid_name`].
    pub fn name(self) -> Option<String> {
        let allowed = format!(
            "1 to {MAX_NAME_BYTES} lower-case letters, digits, '-' or '.', \
             beginning and ending with a letter or digit (quote digits)"
        );
        self.parsed(&allowed, |text| {
            is_valid_name(text).then(|| text.to_owned())
        })
    }

    /// Reads an IP address with a port.
    pub fn addr(self) -> Option<SocketAddr> {
        self.parsed("IP address and port, such as 127.0.0.1:8080", |text| {
            text.parse().ok()
        })
    }

    /// Reads one of `choices` by its name.
    pub fn choice<T: Clone>(self, choices: &[(&str, T)]) -> Option<T> {
        let names: Vec<&str> = choices.iter().map(|(name, _)| *name).collect();
        self.parsed(&names.join(", "), |text| {
            let found = choices.iter().find(|(name, _)| *name == text);
            found.map(|(_, value)| value.clone())
        })
    }

    /// Reads an unsigned integer within `range`.
    pub fn u64(self, range: RangeInclusive<u64>) -> Option<u64> {
        match self.node {
            Node::Unsigned(value) if range.contains(value) => Some(*value),
            _ => {
                let allowed = format!("a whole number from {} to {}", range.start(), range.end());
                self.refuse(&allowed)
            }
        }
    }

    /// Reads an unsigned integer within `range`.
    pub fn u32(self, range: RangeInclusive<u32>) -> Option<u32> {
        let range_u64 = u64::from(*range.start())..=u64::from(*range.end());
        self.u64(range_u64)
            .and_then(|value| u32::try_from(value).ok())
    }

    /// Reads a number within `range`.
    pub fn f64(self, range: RangeInclusive<f64>) -> Option<f64> {
        let value = match self.node {
            Node::Unsigned(value) => Some(*value as f64),
            Node::Signed(value) => Some(*value as f64),
            Node::Float(value) => Some(*value),
            _ => None,
        };
        match value {
            Some(value) if range.contains(&value) => Some(value),
            _ => {
                let allowed = format!("a number from {} to {}", range.start(), range.end());
                self.refuse(&allowed)
            }
        }
    }

    /// Reads `true` or `false`.
    pub fn bool(self) -> Option<bool> {
        match self.node {
            Node::Bool(value) => Some(*value),
            _ => self.refuse("true or false"),
        }
    }

    fn refuse<T>(self, allowed: &str) -> Option<T> {
        let found = self.node.describe();
        self.problems.report(self.path, found, allowed.to_owned());
        None
    }
}

fn describe_text(lengths: &RangeInclusive<usize>) -> String {
    format!("text of {} to {} bytes", lengths.start(), lengths.end())
}

/// The fields of a mapping. Each reader takes the name of a required field;
/// [`Fields::optional`] and [`Fields::or`] make it optional.
pub struct Fields<'a> {
    entries: &'a [(String, Node)],
    path: String,
    known_fields: Vec<&'static str>,
    problems: &'a mut Problems,
}

impl Fields<'_> {
    /// Returns whether the field is present with a value other than null.
    pub fn has(&self, field: &str) -> bool {
        !matches!(self.find(field), None | Some(Node::Null))
    }

    /// Reports a problem that the readers can't detect, such as two mutually
    /// exclusive fields.
    pub fn problem(&mut self, field: &'static str, found: &str, allowed: &str) {
        let path = join(&self.path, field);
        self.problems
            .report(path, found.to_owned(), allowed.to_owned());
    }

    /// Reads a field with `reader` if it is present; returns `Some(None)` if it is not.
    pub fn optional<T>(
        &mut self,
        field: &'static str,
        reader: impl FnOnce(&mut Self, &'static str) -> Option<T>,
    ) -> Option<Option<T>> {
        if self.has(field) {
            reader(self, field).map(Some)
        } else {
            self.mark_known(field);
            Some(None)
        }
    }

    /// Reads a field with `reader`, or returns `default` if it is not present.
    pub fn or<T>(
        &mut self,
        field: &'static str,
        default: T,
        reader: impl FnOnce(&mut Self, &'static str) -> Option<T>,
    ) -> Option<T> {
        self.optional(field, reader)
            .map(|value| value.unwrap_or(default))
    }

    /// Reads an unsigned integer, or returns `default` if it is not present or not
    /// allowed; a value that is not allowed is reported, so the file is refused.
    pub fn number(&mut self, field: &'static str, range: RangeInclusive<u64>, default: u64) -> u64 {
        self.or(field, default, |fields, key| fields.u64(key, range))
            .unwrap_or(default)
    }

    /// Reads an optional mapping; a missing one is read as empty, so that its required
    /// fields are reported.
    pub fn section<T>(
        &mut self,
        field: &'static str,
        reader: impl FnOnce(&mut Fields<'_>) -> Option<T>,
    ) -> Option<T> {
        if self.has(field) {
            return self.map(field, reader);
        }
        self.mark_known(field);
        let path = join(&self.path, field);
        Item::new(&Node::Map(Vec::new()), path, self.problems).map(reader)
    }

    /// Reads a mapping.
    pub fn map<T>(
        &mut self,
        field: &'static str,
        reader: impl FnOnce(&mut Fields<'_>) -> Option<T>,
    ) -> Option<T> {
        self.item(field, "a mapping of fields")?.map(reader)
    }

    /// Reads a list, each item with `reader`.
    pub fn list<T>(
        &mut self,
        field: &'static str,
        lengths: RangeInclusive<usize>,
        reader: impl FnMut(Item<'_>) -> Option<T>,
    ) -> Option<Vec<T>> {
        self.item(field, "a list")?.list(lengths, reader)
    }

    /// Reads text with `parse`; `allowed` describes what `parse` accepts.
    pub fn parsed<T>(
        &mut self,
        field: &'static str,
        allowed: &str,
        parse: impl FnOnce(&str) -> Option<T>,
    ) -> Option<T> {
        self.item(field, allowed)?.parsed(allowed, parse)
    }

    /// Reads text of `lengths` bytes.
    pub fn text(&mut self, field: &'static str, lengths: RangeInclusive<usize>) -> Option<String> {
        self.item(field, &describe_text(&lengths))?.text(lengths)
    }

    /// Reads text of `lengths` bytes whose value must not be printed.
    pub fn secret(
        &mut self,
        field: &'static str,
        lengths: RangeInclusive<usize>,
    ) -> Option<String> {
        self.item(field, &describe_text(&lengths))?.secret(lengths)
    }

    /// Reads a SHA-256 digest in lower-case hex.
    pub fn sha256(&mut self, field: &'static str) -> Option<String> {
        self.item(field, SHA256)?.sha256()
    }

    /// Reads a name.
    pub fn name(&mut self, field: &'static str) -> Option<String> {
        self.item(field, "a name")?.name()
    }

    /// Reads an IP address with a port.
    pub fn addr(&mut self, field: &'static str) -> Option<SocketAddr> {
        self.item(field, "IP address and port")?.addr()
    }

    /// Reads one of `choices` by its name.
    pub fn choice<T: Clone>(&mut self, field: &'static str, choices: &[(&str, T)]) -> Option<T> {
        let names: Vec<&str> = choices.iter().map(|(name, _)| *name).collect();
        self.item(field, &names.join(", "))?.choice(choices)
    }

    /// Reads an unsigned integer within `range`.
    pub fn u64(&mut self, field: &'static str, range: RangeInclusive<u64>) -> Option<u64> {
        self.item(field, "a whole number")?.u64(range)
    }

    /// Reads an unsigned integer within `range`.
    pub fn u32(&mut self, field: &'static str, range: RangeInclusive<u32>) -> Option<u32> {
        self.item(field, "a whole number")?.u32(range)
    }

    /// Reads a number within `range`.
    pub fn f64(&mut self, field: &'static str, range: RangeInclusive<f64>) -> Option<f64> {
        self.item(field, "a number")?.f64(range)
    }

    /// Reads `true` or `false`.
    pub fn bool(&mut self, field: &'static str) -> Option<bool> {
        self.item(field, "true or false")?.bool()
    }

    fn mark_known(&mut self, field: &'static str) {
        if !self.known_fields.contains(&field) {
            self.known_fields.push(field);
        }
    }

    fn find(&self, field: &str) -> Option<&Node> {
        let entry = self.entries.iter().find(|(key, _)| key == field);
        entry.map(|(_, node)| node)
    }

    fn item(&mut self, field: &'static str, allowed: &str) -> Option<Item<'_>> {
        self.mark_known(field);
        let path = join(&self.path, field);
        match self.entries.iter().find(|(key, _)| key == field) {
            Some((_, node)) => Some(Item::new(node, path, self.problems)),
            None => {
                let allowed = format!("{allowed} (required)");
                self.problems.report(path, "nothing".to_owned(), allowed);
                None
            }
        }
    }

    fn report_unknown(self) {
        for (key, _) in self.entries {
            if self.known_fields.contains(&key.as_str()) {
                continue;
            }
            let found = "an unknown field".to_owned();
            let allowed = format!("one of {}", self.known_fields.join(", "));
            self.problems.report(join(&self.path, key), found, allowed);
        }
    }
}
