//! A bar chart of goodput by scenario and policy.

use std::path::Path;

use plotters::prelude::*;

use super::report::Row;

/// Width and height of the image, in pixels.
const SIZE: (u32, u32) = (1_200, 560);
/// The colors of the bars, one for each policy.
const COLORS: [RGBColor; 5] = [
    RGBColor(170, 170, 170),
    RGBColor(120, 160, 200),
    RGBColor(90, 120, 170),
    RGBColor(200, 150, 90),
    RGBColor(200, 160, 0),
];

/// Draws a bar for each row: its goodput as a share of the bound.
pub(crate) fn draw_chart(path: &Path, rows: &[Row]) -> anyhow::Result<()> {
    let mut scenarios: Vec<&str> = rows.iter().map(|r| r.scenario).collect();
    scenarios.dedup();
    let area = SVGBackend::new(path, SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .caption(
            "Goodput as a share of the hardware's bound",
            ("sans-serif", 20),
        )
        .margin(12)
        .x_label_area_size(30)
        .y_label_area_size(50)
        .build_cartesian_2d(0.0..scenarios.len() as f64, 0.0..1.1)?;
    chart
        .configure_mesh()
        .disable_x_mesh()
        .disable_x_axis()
        .draw()?;
    let width = 1.0 / (COLORS.len() + 1) as f64;
    for (i, scenario) in scenarios.iter().enumerate() {
        let style = ("sans-serif", 13);
        chart.draw_series([Text::new(*scenario, (i as f64 + width / 2.0, 1.08), style)])?;
        let scenario_rows = rows.iter().filter(|r| r.scenario == *scenario);
        for (j, row) in scenario_rows.enumerate() {
            let left = i as f64 + width * (j as f64 + 0.5);
            let bar = Rectangle::new([(left, 0.0), (left + width, row.share)], COLORS[j].filled());
            chart.draw_series([bar])?;
            let label_at = (left + width * 0.1, -0.02 - 0.02 * (j % 2) as f64);
            if i == 0 {
                chart.draw_series([Text::new(row.policy, label_at, ("sans-serif", 10))])?;
            }
        }
    }
    area.present()?;
    Ok(())
}
