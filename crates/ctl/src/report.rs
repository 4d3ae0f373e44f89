//! A cost report as a table and as comma-separated values.

use crate::{
    command::Grouping,
    costs::{Line, Report, Spent},
    table::{Align, Table},
};

const MICROS: u64 = 1_000_000;
const CSV_HEAD: &str = "row,workspace,pipeline,stage,calls,busy_us,cost_micros,share_percent,\
                        used_micros,wasted_micros,wasted_percent";

/// Renders `report` as a table with a total below.
pub(crate) fn table(report: &Report, grouping: Grouping) -> String {
    let names = name_heads(grouping);
    let mut heads: Vec<(&str, Align)> = names.iter().map(|name| (*name, Align::Left)).collect();
    let numbers = [
        "CALLS", "BUSY s", "COST", "SHARE %", "USED", "WASTED", "WASTED %",
    ];
    heads.extend(numbers.map(|name| (name, Align::Right)));
    let mut table = Table::new(&heads);
    for line in &report.lines {
        let mut cells = line_names(line);
        cells.extend(numbers_of(&line.spent, line.share_percent));
        table.row(cells);
    }
    let mut cells = vec!["total".to_owned()];
    cells.resize(names.len(), String::new());
    cells.extend(numbers_of(&report.total, total_share(report)));
    table.row(cells);
    table.render()
}

/// Renders `report` as comma-separated values with a head and a total.
pub(crate) fn csv(report: &Report) -> String {
    let mut text = format!("{CSV_HEAD}\n");
    for line in &report.lines {
        let names = [&line.workspace, &line.pipeline, &line.stage];
        let names = names.map(|name| name.as_deref().unwrap_or_default());
        csv_row(&mut text, "line", names, &line.spent, line.share_percent);
    }
    let share = total_share(report);
    csv_row(&mut text, "total", [""; 3], &report.total, share);
    text
}

fn csv_row(text: &mut String, row: &str, names: [&str; 3], spent: &Spent, share_percent: f64) {
    let names = names.map(csv_cell).join(",");
    *text += &format!(
        "{row},{names},{},{},{},{share_percent:.3},{},{},{:.3}\n",
        spent.calls,
        spent.busy_us,
        spent.cost_micros,
        spent.used_micros(),
        spent.wasted_micros,
        spent.wasted_percent(),
    );
}

fn csv_cell(text: &str) -> String {
    if text.contains(['"', ',', '\n', '\r']) {
        format!("\"{}\"", text.replace('"', "\"\""))
    } else {
        text.to_owned()
    }
}

fn name_heads(grouping: Grouping) -> &'static [&'static str] {
    match grouping {
        Grouping::Full => &["WORKSPACE", "PIPELINE", "STAGE"],
        Grouping::Stage => &["PIPELINE", "STAGE"],
        Grouping::Pipeline => &["PIPELINE"],
        Grouping::Workspace => &["WORKSPACE"],
    }
}

fn line_names(line: &Line) -> Vec<String> {
    let names = [&line.workspace, &line.pipeline, &line.stage];
    names.into_iter().flatten().cloned().collect()
}

fn numbers_of(spent: &Spent, share_percent: f64) -> [String; 7] {
    [
        spent.calls.to_string(),
        thousandths(spent.busy_us / 1_000),
        currency(spent.cost_micros),
        format!("{share_percent:.1}"),
        currency(spent.used_micros()),
        currency(spent.wasted_micros),
        format!("{:.1}", spent.wasted_percent()),
    ]
}

fn total_share(report: &Report) -> f64 {
    if report.total.cost_micros == 0 {
        0.0
    } else {
        100.0
    }
}

/// Writes millionths as a decimal number without rounding.
fn currency(micros: u64) -> String {
    format!("{}.{:06}", micros / MICROS, micros % MICROS)
}

fn thousandths(value: u64) -> String {
    format!("{}.{:03}", value / 1_000, value % 1_000)
}
