//! Plain-text tables.

use std::fmt;

/// Rows under a heading. Columns of numbers are aligned right, others left.
#[derive(Debug, Clone)]
pub struct Table {
    heading: Vec<String>,
    rows: Vec<Vec<String>>,
}

impl Table {
    /// Creates an empty table.
    pub fn new(heading: &[&str]) -> Self {
        Self {
            heading: heading.iter().map(|cell| (*cell).to_owned()).collect(),
            rows: Vec::new(),
        }
    }

    /// Appends a row.
    pub fn add(&mut self, row: Vec<String>) {
        self.rows.push(row);
    }

    /// Returns whether the table has no rows; the heading does not count.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    fn width(&self, column: usize) -> usize {
        let lines = std::iter::once(&self.heading).chain(&self.rows);
        let widths = lines
            .filter_map(|row| row.get(column))
            .map(|cell| cell.chars().count());
        widths.max().unwrap_or(0)
    }

    fn is_numeric(&self, column: usize) -> bool {
        let mut cells = self.rows.iter().filter_map(|row| row.get(column));
        cells.all(|cell| cell.parse::<f64>().is_ok() || cell == "-")
    }
}

impl fmt::Display for Table {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let columns: Vec<(usize, bool)> = (0..self.heading.len())
            .map(|column| (self.width(column), self.is_numeric(column)))
            .collect();
        for row in std::iter::once(&self.heading).chain(&self.rows) {
            let mut line = String::new();
            for (cell, (width, is_numeric)) in row.iter().zip(&columns) {
                let padded = if *is_numeric {
                    format!("{cell:>width$}  ")
                } else {
                    format!("{cell:<width$}  ")
                };
                line.push_str(&padded);
            }
            writeln!(f, "{}", line.trim_end())?;
        }
        Ok(())
    }
}
