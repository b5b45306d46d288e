//! Chart of a load run.

use plotters::{
    chart::ChartBuilder,
    drawing::IntoDrawingArea,
    series::LineSeries,
    style::{BLACK, BLUE, Color, RED, WHITE},
};

use crate::LoadSummary;

const CHART_SIZE_PX: (u32, u32) = (900, 600);
const LABEL_AREA_PX: u32 = 50;

/// Returns an SVG chart of the latency and the refusals in each second.
///
/// # Errors
///
/// Returns the error message of the drawing library if the chart cannot be drawn.
pub fn render_load_chart(summary: &LoadSummary) -> Result<String, String> {
    let mut svg = String::new();
    draw(summary, &mut svg).map_err(|err| err.to_string())?;
    Ok(svg)
}

fn draw(summary: &LoadSummary, svg: &mut String) -> Result<(), Box<dyn std::error::Error>> {
    let root = plotters::backend::SVGBackend::with_string(svg, CHART_SIZE_PX).into_drawing_area();
    root.fill(&WHITE)?;
    let (upper, lower) = root.split_vertically(CHART_SIZE_PX.1 / 2);
    let duration_s = summary.seconds.len().max(1) as f64;
    let quantile_series = |quantile: f64| -> Vec<(f64, f64)> {
        let seconds = summary.seconds.iter().enumerate();
        seconds
            .filter_map(|(n, second)| Some((n as f64, second.quantile_ms(quantile)?)))
            .collect()
    };
    let (p50, p95) = (quantile_series(0.5), quantile_series(0.95));
    let refused: Vec<(f64, f64)> = summary
        .seconds
        .iter()
        .enumerate()
        .map(|(n, second)| (n as f64, second.refused as f64))
        .collect();
    let panels = [
        (
            upper,
            "total time in ms: p50 black, p95 blue",
            vec![(p50, BLACK), (p95, BLUE)],
        ),
        (lower, "refusals a second", vec![(refused, RED)]),
    ];
    for (area, caption, lines) in panels {
        let values = lines
            .iter()
            .flat_map(|(points, _)| points.iter().map(|point| point.1));
        let highest = values.fold(1.0, f64::max) * 1.05;
        let mut chart = ChartBuilder::on(&area)
            .caption(caption, ("sans-serif", 18))
            .margin(10)
            .x_label_area_size(LABEL_AREA_PX)
            .y_label_area_size(LABEL_AREA_PX)
            .build_cartesian_2d(0.0..duration_s, 0.0..highest)?;
        chart.configure_mesh().x_desc("seconds").draw()?;
        for (points, colour) in lines {
            chart.draw_series(LineSeries::new(points, colour.stroke_width(2)))?;
        }
    }
    root.present()?;
    Ok(())
}
