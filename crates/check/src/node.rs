//! The tree of a parsed file, built within the limits.

use std::{cell::RefCell, fmt};

use serde::de::{DeserializeSeed, Deserializer, Error, MapAccess, SeqAccess, Visitor};

use crate::{
    limits::Limits,
    problem::{Problems, quote},
};

/// A scalar, list or mapping.
#[derive(Debug)]
pub(crate) enum Node {
    Null,
    Bool(bool),
    Unsigned(u64),
    Signed(i64),
    Float(f64),
    Text(String),
    List(Vec<Node>),
    Map(Vec<(String, Node)>),
}

impl Node {
    /// Describes the node for [`Problem::found`](crate::Problem::found).
    pub(crate) fn describe(&self) -> String {
        match self {
            Self::Null => "nothing".to_owned(),
            Self::Bool(value) => value.to_string(),
            Self::Unsigned(value) => value.to_string(),
            Self::Signed(value) => value.to_string(),
            Self::Float(value) => value.to_string(),
            Self::Text(text) => quote(text),
            Self::List(items) => format!("a list of {}", items.len()),
            Self::Map(_) => "a mapping".to_owned(),
        }
    }

    /// Describes the node only by its type, for secret values.
    pub(crate) fn describe_type(&self) -> String {
        match self {
            Self::Null => "nothing".to_owned(),
            Self::Bool(_) => "a truth value".to_owned(),
            Self::Unsigned(_) | Self::Signed(_) | Self::Float(_) => "a number".to_owned(),
            Self::Text(text) => format!("a text of {} bytes", text.len()),
            Self::List(_) => "a list".to_owned(),
            Self::Map(_) => "a mapping".to_owned(),
        }
    }
}

/// Parses `text`; reports a problem and returns `None` if it is not valid YAML or
/// exceeds the limits.
pub(crate) fn parse(text: &[u8], limits: &Limits, problems: &mut Problems) -> Option<Node> {
    if text.len() > limits.file_bytes {
        let found = "a longer file".to_owned();
        let allowed = format!("at most {} bytes", limits.file_bytes);
        problems.report(String::new(), found, allowed);
        return None;
    }
    let Ok(text) = std::str::from_utf8(text) else {
        problems.report(String::new(), "invalid UTF-8".into(), "UTF-8 text".into());
        return None;
    };
    let flow_bracket_count = text.bytes().filter(|b| matches!(b, b'[' | b'{')).count();
    if flow_bracket_count.saturating_mul(text.len()) > limits.flow_work {
        let found = format!("{flow_bracket_count} opening brackets and braces");
        let allowed = "fewer in a file of this length: use block style or several files";
        problems.report(String::new(), found, allowed.to_owned());
        return None;
    }
    let budget = RefCell::new(Budget {
        remaining_bytes: limits.expanded_bytes,
        problems,
    });
    let seed = Seed {
        path: "",
        remaining_depth: limits.depth,
        limits,
        budget: &budget,
    };
    match seed.deserialize(serde_yaml_ng::Deserializer::from_str(text)) {
        Ok(Node::Null) => Some(Node::Map(Vec::new())),
        Ok(root) => Some(root),
        Err(error) => {
            let allowed = "one YAML document without tags, within the limits on depth and size";
            problems.report(String::new(), error.to_string(), allowed.to_owned());
            None
        }
    }
}

/// Remaining size budget of a file, and the list to which duplicate keys are reported.
struct Budget<'a> {
    remaining_bytes: usize,
    problems: &'a mut Problems,
}

/// Deserialises the node at `path`.
#[derive(Clone, Copy)]
struct Seed<'a, 'b> {
    path: &'a str,
    remaining_depth: usize,
    limits: &'a Limits,
    budget: &'a RefCell<Budget<'b>>,
}

impl Seed<'_, '_> {
    fn spend<E: Error>(&self, text_bytes: usize) -> Result<(), E> {
        let mut budget = self.budget.borrow_mut();
        let cost = text_bytes.saturating_add(Limits::NODE_BYTES);
        match budget.remaining_bytes.checked_sub(cost) {
            Some(remaining) => {
                budget.remaining_bytes = remaining;
                Ok(())
            }
            None => Err(E::custom(format_args!(
                "more than {} bytes once aliases are expanded",
                self.limits.expanded_bytes
            ))),
        }
    }

    fn child_depth<E: Error>(&self) -> Result<usize, E> {
        self.remaining_depth.checked_sub(1).ok_or_else(|| {
            E::custom(format_args!(
                "nesting deeper than {} levels",
                self.limits.depth
            ))
        })
    }

    fn report_duplicate(&self, path: String) {
        let found = "the field a second time".to_owned();
        let allowed = "each field once".to_owned();
        let mut budget = self.budget.borrow_mut();
        budget.problems.report(path, found, allowed);
    }
}

impl<'de> DeserializeSeed<'de> for Seed<'_, '_> {
    type Value = Node;

    fn deserialize<D: Deserializer<'de>>(self, deserializer: D) -> Result<Node, D::Error> {
        deserializer.deserialize_any(self)
    }
}

impl<'de> Visitor<'de> for Seed<'_, '_> {
    type Value = Node;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a scalar, list or mapping without a tag")
    }

    fn visit_unit<E: Error>(self) -> Result<Node, E> {
        self.spend(0)?;
        Ok(Node::Null)
    }

    fn visit_none<E: Error>(self) -> Result<Node, E> {
        self.visit_unit()
    }

    fn visit_bool<E: Error>(self, value: bool) -> Result<Node, E> {
        self.spend(0)?;
        Ok(Node::Bool(value))
    }

    fn visit_u64<E: Error>(self, value: u64) -> Result<Node, E> {
        self.spend(0)?;
        Ok(Node::Unsigned(value))
    }

    fn visit_i64<E: Error>(self, value: i64) -> Result<Node, E> {
        self.spend(0)?;
        Ok(u64::try_from(value).map_or(Node::Signed(value), Node::Unsigned))
    }

    fn visit_f64<E: Error>(self, value: f64) -> Result<Node, E> {
        self.spend(0)?;
        Ok(Node::Float(value))
    }

    fn visit_str<E: Error>(self, text: &str) -> Result<Node, E> {
        self.spend(text.len())?;
        Ok(Node::Text(text.to_owned()))
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut access: A) -> Result<Node, A::Error> {
        self.spend(0)?;
        let remaining_depth = self.child_depth()?;
        let mut items = Vec::new();
        loop {
            let path = format!("{}[{}]", self.path, items.len());
            let seed = Seed {
                path: &path,
                remaining_depth,
                ..self
            };
            match access.next_element_seed(seed)? {
                Some(item) => items.push(item),
                None => return Ok(Node::List(items)),
            }
        }
    }

    fn visit_map<A: MapAccess<'de>>(self, mut access: A) -> Result<Node, A::Error> {
        self.spend(0)?;
        let remaining_depth = self.child_depth()?;
        let mut entries: Vec<(String, Node)> = Vec::new();
        let mut seen = std::collections::HashSet::new();
        while let Some(key) = access.next_key::<String>()? {
            self.spend(key.len())?;
            let path = join(self.path, &key);
            let seed = Seed {
                path: &path,
                remaining_depth,
                ..self
            };
            let value = access.next_value_seed(seed)?;
            if seen.insert(key.clone()) {
                entries.push((key, value));
            } else {
                self.report_duplicate(path);
            }
        }
        Ok(Node::Map(entries))
    }
}

/// Appends a field to a path; quotes a key that is not a plain word.
pub(crate) fn join(path: &str, key: &str) -> String {
    let is_plain = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'_' | b'-');
    let key = if !key.is_empty() && key.len() <= 64 && key.bytes().all(is_plain) {
        key.to_owned()
    } else {
        quote(key)
    };
    if path.is_empty() {
        key
    } else {
        format!("{path}.{key}")
    }
}
