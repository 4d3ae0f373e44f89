//! Draws how requests ended over time.

use std::{io, path::Path};

use plotters::prelude::{
    BLACK, BLUE, ChartBuilder, Color, IntoDrawingArea, RED, RGBColor, Rectangle, SVGBackend, WHITE,
};

use crate::{
    account::{Group, Timeline},
    error::{Error, Result},
};

/// Width and height of the chart, in pixels.
const SIZE_PX: (u32, u32) = (960, 360);
/// Colour of requests that were answered in time.
const GREEN: RGBColor = RGBColor(0x4c, 0x9f, 0x50);
/// Colour of requests that were answered late.
const ORANGE: RGBColor = RGBColor(0xf0, 0xa0, 0x30);

/// Draws a stacked bar chart of `timeline` into the file `path` as SVG: one bar for
/// each interval of `interval_s` seconds, with the groups in order from the bottom up.
///
/// # Errors
///
/// Returns [`Error::Write`] when the file can't be written.
pub(crate) fn draw(path: &Path, timeline: &Timeline, interval_s: u64) -> Result<()> {
    let write_error = |err: String| Error::Write(path.to_owned(), io::Error::other(err));
    let end_s = timeline
        .keys()
        .last()
        .map_or(interval_s, |last| last + interval_s);
    let max_requests = timeline.values().map(|groups| groups.values().sum());
    let max_requests: usize = max_requests.max().unwrap_or(1);
    let area = SVGBackend::new(path, SIZE_PX).into_drawing_area();
    area.fill(&WHITE)
        .map_err(|err| write_error(err.to_string()))?;
    let mut chart = ChartBuilder::on(&area)
        .margin(12)
        .x_label_area_size(36)
        .y_label_area_size(48)
        .build_cartesian_2d(0..end_s, 0..max_requests + max_requests / 20 + 1)
        .map_err(|err| write_error(err.to_string()))?;
    chart
        .configure_mesh()
        .x_desc("second")
        .y_desc(format!("requests in {interval_s} s"))
        .draw()
        .map_err(|err| write_error(err.to_string()))?;
    for (index, group) in Group::ALL.into_iter().enumerate() {
        let color = color(group);
        let bars = timeline.iter().map(|(second, groups)| {
            let lower_groups = Group::ALL[..index].iter();
            let bottom: usize = lower_groups.filter_map(|lower| groups.get(lower)).sum();
            let top = bottom + groups.get(&group).copied().unwrap_or(0);
            let corners = [(*second, bottom), (second + interval_s, top)];
            Rectangle::new(corners, color.filled())
        });
        chart
            .draw_series(bars)
            .map_err(|err| write_error(err.to_string()))?
            .label(group.as_str())
            .legend(move |(x, y)| Rectangle::new([(x, y - 5), (x + 10, y + 5)], color.filled()));
    }
    chart
        .configure_series_labels()
        .background_style(WHITE.mix(0.8))
        .border_style(BLACK)
        .draw()
        .map_err(|err| write_error(err.to_string()))?;
    area.present().map_err(|err| write_error(err.to_string()))
}

fn color(group: Group) -> RGBColor {
    match group {
        Group::InTime => GREEN,
        Group::Late => ORANGE,
        Group::Refused => BLUE,
        Group::NotServed => RED,
    }
}
