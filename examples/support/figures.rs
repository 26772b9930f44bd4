//! Quantiles, linear fits, printed tables and JSON output.

use serde::Serialize;

/// Quantiles of a sample.
#[derive(Debug, Clone, Copy, Default, Serialize)]
pub struct Summary {
    pub count: usize,
    pub p50: f64,
    pub p99: f64,
    pub max: f64,
}

impl Summary {
    /// Computes the quantiles by nearest rank; all are 0 for an empty sample.
    pub fn of(mut values: Vec<f64>) -> Self {
        values.sort_by(f64::total_cmp);
        let quantile = |q: f64| {
            let i = (q * values.len() as f64).ceil() as usize;
            values.get(i.saturating_sub(1)).copied().unwrap_or(0.0)
        };
        Self {
            count: values.len(),
            p50: quantile(0.5),
            p99: quantile(0.99),
            max: quantile(1.0),
        }
    }
}

/// Least-squares line through points, with its residuals.
#[derive(Debug, Clone, Default, Serialize)]
pub struct Fit {
    pub slope: f64,
    pub intercept: f64,
    /// Measured minus fitted value of each point.
    pub residuals: Vec<f64>,
}

impl Fit {
    pub fn of(points: &[(f64, f64)]) -> Self {
        let n = points.len() as f64;
        let mean_x = points.iter().map(|p| p.0).sum::<f64>() / n;
        let mean_y = points.iter().map(|p| p.1).sum::<f64>() / n;
        let sxx: f64 = points.iter().map(|p| (p.0 - mean_x).powi(2)).sum();
        let sxy: f64 = points.iter().map(|p| (p.0 - mean_x) * (p.1 - mean_y)).sum();
        let slope = if sxx > 0.0 { sxy / sxx } else { 0.0 };
        let intercept = mean_y - slope * mean_x;
        let residual = |p: &(f64, f64)| p.1 - (intercept + slope * p.0);
        Self {
            slope,
            intercept,
            residuals: points.iter().map(residual).collect(),
        }
    }
}

/// Prints rows in aligned columns; the first row is the heading.
pub fn print_table(title: &str, rows: &[Vec<String>]) {
    println!("\n{title}");
    let columns = rows.first().map_or(0, Vec::len);
    let width = |c: usize| rows.iter().filter_map(|r| r.get(c)).map(String::len).max();
    let widths: Vec<_> = (0..columns).map(|c| width(c).unwrap_or(0)).collect();
    for row in rows {
        let cells = row
            .iter()
            .zip(&widths)
            .enumerate()
            .map(|(i, (cell, w))| match i {
                0 => format!("{cell:<w$}"),
                _ => format!("{cell:>w$}"),
            });
        println!("{}", cells.collect::<Vec<_>>().join("  "));
    }
}

/// Builds a table row from values that implement `Display`.
#[macro_export]
macro_rules! row {
    ($($cell:expr),* $(,)?) => { vec![$($cell.to_string()),*] };
}

/// Writes the results as JSON to the file `path`, or to standard output if there is none.
pub fn write_json<T>(results: &T, path: Option<&str>) -> super::Result<()>
where
    T: Serialize,
{
    let text = serde_json::to_string_pretty(results).map_err(|e| e.to_string())?;
    match path {
        Some(p) => std::fs::write(p, text).map_err(|e| format!("{p}: {e}")),
        None => {
            println!("\n{text}");
            Ok(())
        }
    }
}
