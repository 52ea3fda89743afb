//! SVG plots of reports.

use std::path::Path;

use plotters::prelude::{
    ChartBuilder, Color, IntoDrawingArea, LineSeries, Palette, Palette99, PathElement, SVGBackend,
    WHITE,
};

use crate::report;

const SIZE_PIXELS: (u32, u32) = (900, 500);
const MARGIN_PIXELS: i32 = 12;
const LABEL_PIXELS: u32 = 48;

/// Draws the series of `report` into an SVG file in `dir`; without series, does nothing.
///
/// # Errors
///
/// Fails if the file can't be written.
pub fn draw(report: &report::Report, dir: &Path) -> Result<(), String> {
    if report.series.is_empty() {
        return Ok(());
    }
    let file = dir.join(format!("{}.svg", report.name));
    let area = SVGBackend::new(&file, SIZE_PIXELS).into_drawing_area();
    draw_on(report, &area).map_err(|error| format!("{}: {error}", file.display()))
}

fn draw_on(
    report: &report::Report,
    area: &plotters::drawing::DrawingArea<SVGBackend<'_>, plotters::coord::Shift>,
) -> Result<(), String> {
    let message = |error: &dyn std::fmt::Display| error.to_string();
    area.fill(&WHITE).map_err(|error| message(&error))?;
    let points = || report.series.iter().flat_map(|series| series.points.iter());
    let max = |pick: fn(&(f64, f64)) -> f64| points().map(pick).fold(f64::MIN_POSITIVE, f64::max);
    let (width, height) = (max(|point| point.0), max(|point| point.1));
    let mut chart = ChartBuilder::on(area)
        .margin(MARGIN_PIXELS)
        .x_label_area_size(LABEL_PIXELS)
        .y_label_area_size(LABEL_PIXELS)
        .build_cartesian_2d(0.0..width, 0.0..height * 1.05)
        .map_err(|error| message(&error))?;
    chart
        .configure_mesh()
        .x_desc(report.axes.0.as_str())
        .y_desc(report.axes.1.as_str())
        .draw()
        .map_err(|error| message(&error))?;
    for (index, series) in report.series.iter().enumerate() {
        let color = Palette99::pick(index).to_rgba();
        let line = LineSeries::new(series.points.iter().copied(), color.stroke_width(2));
        chart
            .draw_series(line)
            .map_err(|error| message(&error))?
            .label(series.name.as_str())
            .legend(move |(x, y)| PathElement::new(vec![(x, y), (x + 16, y)], color));
    }
    chart
        .configure_series_labels()
        .background_style(WHITE.mix(0.8))
        .draw()
        .map_err(|error| message(&error))?;
    area.present().map_err(|error| message(&error))
}
