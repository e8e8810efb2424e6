// SPDX-License-Identifier: Apache-2.0
//! Least-squares fit of a straight line.

/// Line is a fitted line `fixed + per_item * count`.
#[derive(Clone, Copy, Debug)]
pub struct Line {
    /// The value at a count of zero.
    pub fixed: f64,
    /// The increase of the value per item.
    pub per_item: f64,
    /// The largest error of the line at a point, as a share of the point's value.
    pub worst_error: f64,
}

/// fit_line fits a line to points of (count, value).
pub fn fit_line(points: &[(f64, f64)]) -> Line {
    let count = points.len() as f64;
    let mean = |values: &dyn Fn(&(f64, f64)) -> f64| points.iter().map(values).sum::<f64>() / count;
    let (mean_x, mean_y) = (mean(&|p| p.0), mean(&|p| p.1));
    let covariance = mean(&|p| (p.0 - mean_x) * (p.1 - mean_y));
    let variance = mean(&|p| (p.0 - mean_x).powi(2));
    let per_item = covariance / variance;
    let fixed = mean_y - per_item * mean_x;
    let error = |p: &(f64, f64)| ((fixed + per_item * p.0 - p.1) / p.1).abs();
    Line {
        fixed,
        per_item,
        worst_error: points.iter().map(error).fold(0.0, f64::max),
    }
}
