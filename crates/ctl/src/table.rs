//! Text in columns.

/// Side on which a column's text stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Align {
    Left,
    Right,
}

/// Rows under a head, with columns as wide as their widest cell.
#[derive(Debug)]
pub(crate) struct Table {
    aligns: Vec<Align>,
    rows: Vec<Vec<String>>,
}

/// Space between two columns.
const GAP: &str = "  ";

impl Table {
    /// Starts a table with the heads of its columns.
    pub(crate) fn new(heads: &[(&str, Align)]) -> Self {
        let (names, aligns): (Vec<_>, Vec<_>) = heads
            .iter()
            .map(|(name, align)| (name.to_string(), *align))
            .unzip();
        Self {
            aligns,
            rows: vec![names],
        }
    }

    /// Adds a row; control characters of its cells are escaped.
    pub(crate) fn row(&mut self, cells: impl IntoIterator<Item = impl AsRef<str>>) {
        let cells = cells.into_iter().map(|cell| printable(cell.as_ref()));
        self.rows.push(cells.collect());
    }

    /// Renders the table, each row ended by a line feed.
    pub(crate) fn render(&self) -> String {
        let widths: Vec<usize> = (0..self.aligns.len())
            .map(|column| self.width(column))
            .collect();
        let mut text = String::new();
        for row in &self.rows {
            let cells = row.iter().zip(&widths).zip(&self.aligns);
            let cells: Vec<String> = cells
                .map(|((cell, width), align)| match align {
                    Align::Left => format!("{cell:<width$}"),
                    Align::Right => format!("{cell:>width$}"),
                })
                .collect();
            text.push_str(cells.join(GAP).trim_end());
            text.push('\n');
        }
        text
    }

    fn width(&self, column: usize) -> usize {
        let cells = self.rows.iter().filter_map(|row| row.get(column));
        cells.map(|cell| cell.chars().count()).max().unwrap_or(0)
    }
}

/// Escapes control characters, so that what an instance says can't steer the
/// operator's terminal.
pub(crate) fn printable(text: &str) -> String {
    let mut safe = String::with_capacity(text.len());
    for c in text.chars() {
        if c.is_control() && c != '\n' {
            safe.extend(c.escape_default());
        } else {
            safe.push(c);
        }
    }
    safe
}
