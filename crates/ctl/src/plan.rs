//! Reads, writes and renders plans.

use std::{fmt::Write, path::Path};

use savoryvane_wire::admin::Plan;

use crate::{
    error::{Error, Result},
    file,
    table::printable,
};

/// Longest accepted plan file, in bytes.
const MAX_PLAN_BYTES: u64 = 4 << 20;

/// Reads the plan file at `path`.
pub(crate) fn load(path: &Path) -> Result<Plan> {
    let bytes = file::read(path, MAX_PLAN_BYTES)?;
    serde_json::from_slice(&bytes).map_err(|err| Error::NotAPlan(path.to_owned(), err.to_string()))
}

/// Writes `plan` to the file at `path`.
pub(crate) fn save(path: &Path, plan: &Plan) -> Result<()> {
    let mut text = serde_json::to_string_pretty(plan).expect("plans have string keys only");
    text.push('\n');
    file::write(path, &text)
}

/// Renders `plan` for the operator.
pub(crate) fn render(plan: &Plan) -> String {
    let change = &plan.change;
    let mut text = format!(
        "plan {}, by {}, against the configuration before offset {}\n",
        printable(change.id.as_str()),
        printable(change.operator.as_str()),
        change.base,
    );
    write_section(&mut text, "changes", &plan.summary);
    write_section(&mut text, "moves that would follow", &plan.moves);
    write_section(&mut text, "warnings", &plan.warnings);
    text
}

fn write_section(text: &mut String, title: &str, lines: &[String]) {
    if lines.is_empty() {
        return;
    }
    let _ = writeln!(text, "{title}:");
    for line in lines {
        let _ = writeln!(text, "  {}", printable(line));
    }
}
