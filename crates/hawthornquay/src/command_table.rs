//! Plain-text tables.

/// Formats rows as a table with columns of equal width.
pub(crate) fn format_table<const COLUMNS: usize>(rows: &[[String; COLUMNS]]) -> String {
    let width = |column: usize| {
        let widths = rows.iter().map(|row| row[column].chars().count());
        widths.max().unwrap_or(0)
    };
    let widths: Vec<usize> = (0..COLUMNS).map(width).collect();
    rows.iter().fold(String::new(), |mut text, row| {
        let mut line = String::new();
        for (cell, width) in row.iter().zip(&widths) {
            line += &format!("{cell:width$}  ");
        }
        text += line.trim_end();
        text.push('\n');
        text
    })
}
