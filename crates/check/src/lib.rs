//! Reads a YAML file into typed values and reports every fault in it at once.
//!
//! [`read`] parses the text under [`Limits`], which stop oversized, deeply
//! nested and alias-expanding files, and hands the top-level mapping to a closure
//! as [`Fields`]. Readers return `None` after noting a [`Problem`] with the path
//! of the field, what was found and what is allowed. A field that the closure
//! never asked for is unknown and a problem too, so a closure asks for every
//! field first and unwraps with `?` only when it builds the value:
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
//!     let backlog = fields.or("backlog", 128, |f, at| f.u32(at, 1..=4096));
//!     let idle_ms = fields.optional("idle_ms", |f, at| f.u64(at, 1..=60_000));
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
/// `file` is only used to name the file in the problems. An empty file is read
/// as an empty mapping.
///
/// # Errors
///
/// Returns every problem that was found, at least one.
///
/// # Panics
///
/// Panics when `reader` returns `None` without a problem having been noted.
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
                "a reader gave up without a problem"
            );
            Err(problems)
        }
    }
}
