// SPDX-License-Identifier: Apache-2.0
//! A straight line through points, by least squares.

/// Line is `fixed + per_item * count`.
#[derive(Clone, Copy, Debug)]
pub struct Line {
    /// Value at a count of zero.
    pub fixed: f64,
    /// What each item adds.
    pub per_item: f64,
    /// Largest distance of a point from the line, as a share of the point.
    pub worst_error: f64,
}

/// fit_line fits points of count and value.
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
