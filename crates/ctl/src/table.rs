//! Text tables.

/// Alignment of a column.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Align {
    Left,
    Right,
}

/// A header and rows, with columns as wide as their widest cell.
#[derive(Debug)]
pub(crate) struct Table {
    aligns: Vec<Align>,
    rows: Vec<Vec<String>>,
}

/// Separator between two columns.
const COLUMN_SEPARATOR: &str = "  ";

impl Table {
    /// Creates a table with column headers.
    pub(crate) fn new(headers: &[(&str, Align)]) -> Self {
        let (names, aligns): (Vec<_>, Vec<_>) = headers
            .iter()
            .map(|(name, align)| (name.to_string(), *align))
            .unzip();
        Self {
            aligns,
            rows: vec![names],
        }
    }

    /// Adds a row; escapes control characters in its cells.
    pub(crate) fn row(&mut self, cells: impl IntoIterator<Item = impl AsRef<str>>) {
        let cells = cells.into_iter().map(|cell| printable(cell.as_ref()));
        self.rows.push(cells.collect());
    }

    /// Renders the table with a line feed after each row.
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
            text.push_str(cells.join(COLUMN_SEPARATOR).trim_end());
            text.push('\n');
        }
        text
    }

    fn width(&self, column: usize) -> usize {
        let cells = self.rows.iter().filter_map(|row| row.get(column));
        cells.map(|cell| cell.chars().count()).max().unwrap_or(0)
    }
}

/// Escapes control characters other than line feeds, so that text from an instance
/// can't control the operator's terminal.
pub(crate) fn printable(text: &str) -> String {
    let mut escaped = String::with_capacity(text.len());
    for c in text.chars() {
        if c.is_control() && c != '\n' {
            escaped.extend(c.escape_default());
        } else {
            escaped.push(c);
        }
    }
    escaped
}
