//! Plain text tables.

use std::fmt;

/// Rows under a heading; numbers stand right, texts left.
#[derive(Debug, Clone)]
pub struct Table {
    heading: Vec<String>,
    rows: Vec<Vec<String>>,
}

impl Table {
    /// An empty table.
    pub fn new(heading: &[&str]) -> Self {
        Self {
            heading: heading.iter().map(|cell| (*cell).to_owned()).collect(),
            rows: Vec::new(),
        }
    }

    /// Adds a row.
    pub fn add(&mut self, row: Vec<String>) {
        self.rows.push(row);
    }

    fn width(&self, column: usize) -> usize {
        let all = std::iter::once(&self.heading).chain(&self.rows);
        let widths = all
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
        for row in std::iter::once(&self.heading).chain(&self.rows) {
            let mut line = String::new();
            for (column, cell) in row.iter().enumerate() {
                let width = self.width(column);
                let padded = if self.is_numeric(column) {
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
