//! Reads a YAML file into typed values and reports all its problems at once.
//!
//! [`read`] parses the text under [`Limits`], which refuse oversized, deeply
//! nested and alias-expanding files, and passes the top-level mapping to a closure
//! as [`Fields`]. Readers report a [`Problem`] with the path of the field, what was
//! found and what is allowed, and return `None`. A field that the closure never
//! reads is unknown and also a problem, so a closure reads all fields first and
//! unwraps them with `?` only when it builds the value:
//!
//! ```
//! use savoryvane_check::{Fields, Limits, read};
//!
//! struct Listener {
//!     name: String,
//!     backlog: u32,
//!     idle_ms: Option<u64>,
//! }
//!
//! fn listener(fields: &mut Fields<'_>) -> Option<Listener> {
//!     let name = fields.name("name");
//!     let backlog = fields.or("backlog", 128, |f, key| f.u32(key, 1..=4096));
//!     let idle_ms = fields.optional("idle_ms", |f, key| f.u64(key, 1..=60_000));
//!     Some(Listener {
//!         name: name?,
//!         backlog: backlog?,
//!         idle_ms: idle_ms?,
//!     })
//! }
//!
//! let text = b"listeners: [{name: public}]";
//! let listeners = read("server.yaml", text, &Limits::default(), |fields| {
//!     fields.list("listeners", 1..=8, |item| item.map(listener))
//! });
//! assert_eq!(listeners.unwrap()[0].backlog, 128);
//!
//! let text = b"listeners: [{name: Public, port: 1}]";
//! let problems = read("server.yaml", text, &Limits::default(), |fields| {
//!     fields.list("listeners", 1..=8, |item| item.map(listener))
//! });
//! assert_eq!(problems.err().unwrap().list().len(), 2);
//! ```

mod fields;
mod limits;
mod node;
mod problem;

pub use fields::{Fields, Item};
pub use limits::Limits;
pub use problem::{Problem, Problems};

/// Parses `text` and reads its top-level mapping with `reader`.
///
/// `file` is the file name shown in problems. An empty file is read as an empty
/// mapping.
///
/// # Errors
///
/// Returns all problems found, at least one.
///
/// # Panics
///
/// Panics if `reader` returns `None` without a reported problem.
pub fn read<T>(
    file: &str,
    text: &[u8],
    limits: &Limits,
    reader: impl FnOnce(&mut Fields<'_>) -> Option<T>,
) -> Result<T, Problems> {
    let mut problems = Problems::new(file);
    let Some(root) = node::parse(text, limits, &mut problems) else {
        return Err(problems);
    };
    let value = Item::new(&root, String::new(), &mut problems).map(reader);
    match value {
        Some(value) if problems.list().is_empty() => Ok(value),
        _ => {
            assert!(
                !problems.list().is_empty(),
                "a reader returned `None` without a reported problem"
            );
            Err(problems)
        }
    }
}
