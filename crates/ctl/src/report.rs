//! A cost report as a table and as comma-separated values.

use crate::{
    command::Grouping,
    costs::{CostSum, Line, Report},
    table::{Align, Table},
};

const MICROS: u64 = 1_000_000;
const CSV_HEADER: &str = "row,workspace,pipeline,stage,calls,busy_us,cost_micros,share_percent,\
                        used_micros,wasted_micros,wasted_percent";

/// Renders `report` as a table that ends with a total.
pub(crate) fn table(report: &Report, grouping: Grouping) -> String {
    let names = name_headers(grouping);
    let mut headers: Vec<(&str, Align)> = names.iter().map(|name| (*name, Align::Left)).collect();
    let number_headers = [
        "CALLS", "BUSY s", "COST", "SHARE %", "USED", "WASTED", "WASTED %",
    ];
    headers.extend(number_headers.map(|name| (name, Align::Right)));
    let mut table = Table::new(&headers);
    for line in &report.lines {
        let mut cells = name_cells(line);
        cells.extend(number_cells(&line.sum, line.share_percent));
        table.row(cells);
    }
    let mut cells = vec!["total".to_owned()];
    cells.resize(names.len(), String::new());
    cells.extend(number_cells(&report.total, total_share(report)));
    table.row(cells);
    table.render()
}

/// Renders `report` as comma-separated values with a header and a total.
pub(crate) fn csv(report: &Report) -> String {
    let mut text = format!("{CSV_HEADER}\n");
    for line in &report.lines {
        let names = [&line.workspace, &line.pipeline, &line.stage];
        let names = names.map(|name| name.as_deref().unwrap_or_default());
        csv_row(&mut text, "line", names, &line.sum, line.share_percent);
    }
    let share = total_share(report);
    csv_row(&mut text, "total", [""; 3], &report.total, share);
    text
}

fn csv_row(text: &mut String, row: &str, names: [&str; 3], sum: &CostSum, share_percent: f64) {
    let names = names.map(csv_cell).join(",");
    *text += &format!(
        "{row},{names},{},{},{},{share_percent:.3},{},{},{:.3}\n",
        sum.calls,
        sum.busy_us,
        sum.cost_micros,
        sum.used_micros(),
        sum.wasted_micros,
        sum.wasted_percent(),
    );
}

fn csv_cell(text: &str) -> String {
    if text.contains(['"', ',', '\n', '\r']) {
        format!("\"{}\"", text.replace('"', "\"\""))
    } else {
        text.to_owned()
    }
}

fn name_headers(grouping: Grouping) -> &'static [&'static str] {
    match grouping {
        Grouping::Full => &["WORKSPACE", "PIPELINE", "STAGE"],
        Grouping::Stage => &["PIPELINE", "STAGE"],
        Grouping::Pipeline => &["PIPELINE"],
        Grouping::Workspace => &["WORKSPACE"],
    }
}

fn name_cells(line: &Line) -> Vec<String> {
    let names = [&line.workspace, &line.pipeline, &line.stage];
    names.into_iter().flatten().cloned().collect()
}

fn number_cells(sum: &CostSum, share_percent: f64) -> [String; 7] {
    [
        sum.calls.to_string(),
        format_thousandths(sum.busy_us / 1_000),
        format_micros(sum.cost_micros),
        format!("{share_percent:.1}"),
        format_micros(sum.used_micros()),
        format_micros(sum.wasted_micros),
        format!("{:.1}", sum.wasted_percent()),
    ]
}

fn total_share(report: &Report) -> f64 {
    if report.total.cost_micros == 0 {
        0.0
    } else {
        100.0
    }
}

/// Formats millionths as a decimal number without rounding.
fn format_micros(micros: u64) -> String {
    format!("{}.{:06}", micros / MICROS, micros % MICROS)
}

fn format_thousandths(value: u64) -> String {
    format!("{}.{:03}", value / 1_000, value % 1_000)
}
