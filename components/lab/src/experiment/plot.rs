//! Draws figures as SVG files, one for each study and measure.

use std::path::{Path, PathBuf};

use plotters::prelude::*;

use super::Row;

/// Width and height of a plot, in pixels.
const SIZE: (u32, u32) = (900, 480);
/// Size of letters, in pixels.
const LETTERS: u32 = 14;
/// Room for the names of the axes, in pixels.
const MARGIN: u32 = 80;
/// Radius of a point, in pixels.
const RADIUS: u32 = 4;
/// Half the width of a median's mark, in places of the axis.
const MARK: f64 = 0.25;
/// Free part above the greatest value.
const HEADROOM: f64 = 1.1;

/// A plot can't be written.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
#[error("can't draw {}", path.display())]
pub struct PlotError {
    /// The file.
    pub path: PathBuf,
    /// The cause.
    source: Box<dyn std::error::Error + Send + Sync>,
}

/// Draws all rows into `directory`, which must be there: a point for each
/// seed, a mark at the median. Gives the files' paths.
///
/// # Errors
///
/// If a file can't be written.
///
/// ```
/// assert!(lab::experiment::plot(&[], std::path::Path::new("/")).unwrap().is_empty());
/// ```
pub fn plot(rows: &[Row], directory: &Path) -> Result<Vec<PathBuf>, PlotError> {
    let mut paths = Vec::new();
    let mut done: Vec<&Row> = Vec::new();
    for row in rows {
        let same = |other: &&Row| other.study == row.study && other.measure == row.measure;
        if done.iter().any(same) {
            continue;
        }
        done.push(row);
        let together: Vec<&Row> = rows.iter().filter(same).collect();
        let path = directory.join(format!("{}-{}.svg", row.study, row.measure));
        let drawn = draw(&together, &path);
        drawn.map_err(|source| PlotError { path: path.clone(), source })?;
        paths.push(path);
    }
    Ok(paths)
}

fn draw(rows: &[&Row], path: &Path) -> Result<(), Box<dyn std::error::Error + Send + Sync>> {
    let area = SVGBackend::new(path, SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let most = rows.iter().map(|row| row.most).fold(0.0, f64::max);
    let top = if most > 0.0 { most * HEADROOM } else { 1.0 };
    let caption = rows.first().map(|row| format!("{}: {}", row.study, row.measure));
    let mut chart = ChartBuilder::on(&area)
        .caption(caption.unwrap_or_default(), ("sans-serif", LETTERS * 3 / 2))
        .x_label_area_size(MARGIN)
        .y_label_area_size(MARGIN)
        .build_cartesian_2d(-0.5..rows.len() as f64 - 0.5, 0.0..top)?;
    let name = |place: &f64| label(rows, *place);
    chart
        .configure_mesh()
        .disable_x_mesh()
        .x_labels(rows.len() * 2 + 1)
        .x_label_formatter(&name)
        .label_style(("sans-serif", LETTERS))
        .draw()?;
    for (place, row) in rows.iter().enumerate() {
        let place = place as f64;
        let points = row.values.iter().map(|value| Circle::new((place, *value), RADIUS, BLUE));
        chart.draw_series(points)?;
        let mark = [(place - MARK, row.median), (place + MARK, row.median)];
        chart.draw_series(LineSeries::new(mark, BLACK.stroke_width(2)))?;
    }
    area.present()?;
    Ok(())
}

/// The policy at a place of the axis; nothing between the places.
fn label(rows: &[&Row], place: f64) -> String {
    let nearest = place.round();
    if (place - nearest).abs() > 1e-6 || nearest < 0.0 {
        return String::new();
    }
    rows.get(nearest as usize).map(|row| row.policy.to_string()).unwrap_or_default()
}
