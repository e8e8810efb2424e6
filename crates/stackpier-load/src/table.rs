// SPDX-License-Identifier: Apache-2.0
//! Prints rows of figures as an aligned text table or as JSON.

use anyhow::Result;
use serde::Serialize;
use serde_json::Value;

/// print prints rows as JSON, or as a table under a title with the field names as column heads.
pub fn print<T: Serialize>(title: &str, rows: &[T], json: bool) -> Result<()> {
    if json {
        println!("{}", serde_json::to_string_pretty(rows)?);
        return Ok(());
    }
    println!("\n{title}");
    let values: Vec<Value> = rows
        .iter()
        .map(serde_json::to_value)
        .collect::<Result<_, _>>()?;
    let Some(Value::Object(first)) = values.first() else {
        return Ok(());
    };
    let names: Vec<&String> = first.keys().collect();
    let mut lines: Vec<Line> = vec![names.iter().map(|name| name.to_string()).collect()];
    lines.extend(values.iter().map(|value| format_row(value, &names)));
    let widths: Vec<usize> = (0..names.len())
        .map(|column| column_width(&lines, column))
        .collect();
    for line in &lines {
        println!("{}", align(line, &widths));
    }
    Ok(())
}

/// Line holds the cells of one printed line.
type Line = Vec<String>;

fn format_row(value: &Value, names: &[&String]) -> Line {
    names
        .iter()
        .map(|name| format_cell(&value[name.as_str()]))
        .collect()
}

/// column_width returns the length in bytes of a column's longest cell.
fn column_width(lines: &[Line], column: usize) -> usize {
    let widths = lines.iter().map(|line| line[column].len());
    widths.max().unwrap_or(0)
}

fn align(line: &Line, widths: &[usize]) -> String {
    let cells = line
        .iter()
        .zip(widths)
        .map(|(cell, width)| format!("{cell:>width$}"));
    cells.collect::<Vec<_>>().join("  ")
}

fn format_cell(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        Value::Number(number) if number.is_f64() => {
            format!("{:.2}", number.as_f64().unwrap_or(0.0))
        }
        other => other.to_string(),
    }
}
