//! Straight lines through measured points.

/// Points of one measure and the line through them.
#[derive(Clone, Debug)]
pub(crate) struct Series {
    /// What was measured, with its unit.
    pub(crate) measure: &'static str,
    /// What it was measured against.
    pub(crate) variable: &'static str,
    /// Pairs of the two.
    pub(crate) points: Vec<(f64, f64)>,
}

/// A least-squares line.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Line {
    /// Value at 0.
    pub(crate) intercept: f64,
    /// Increase for each one of the variable.
    pub(crate) slope: f64,
    /// Part of the variance that the line explains.
    pub(crate) r2: f64,
}

impl Series {
    /// Returns the line through the points.
    pub(crate) fn line(&self) -> Line {
        let count = self.points.len() as f64;
        let mean = |of: fn(&(f64, f64)) -> f64| self.points.iter().map(of).sum::<f64>() / count;
        let (mean_x, mean_y) = (mean(|p| p.0), mean(|p| p.1));
        let sum = |of: &dyn Fn(f64, f64) -> f64| {
            let terms = self.points.iter();
            terms.map(|(x, y)| of(x - mean_x, y - mean_y)).sum::<f64>()
        };
        let (xx, xy, yy) = (sum(&|x, _| x * x), sum(&|x, y| x * y), sum(&|_, y| y * y));
        let slope = xy / xx;
        let r2 = if yy == 0.0 { 1.0 } else { xy * xy / (xx * yy) };
        Line {
            intercept: mean_y - slope * mean_x,
            slope,
            r2,
        }
    }

    /// Prints the series as a row of a table.
    pub(crate) fn print(&self) {
        let Line {
            intercept,
            slope,
            r2,
        } = self.line();
        let points: Vec<_> = self
            .points
            .iter()
            .map(|(x, y)| format!("{x}: {}", short(*y)))
            .collect();
        println!(
            "| {} | {} | {} | {} | {} | {r2:.3} |",
            self.measure,
            self.variable,
            points.join(", "),
            short(intercept),
            short(slope),
        );
    }
}

/// Prints the head of the table.
pub(crate) fn print_head(title: &str) {
    println!("\n{title}\n");
    println!("| measure | against | points | at 0 | slope | R² |");
    println!("|---|---|---|---|---|---|");
}

fn short(value: f64) -> String {
    match value.abs() {
        v if v >= 100.0 => format!("{value:.0}"),
        v if v >= 1.0 => format!("{value:.1}"),
        _ => format!("{value:.4}"),
    }
}
