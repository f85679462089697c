//! Plots prefix reuse against load skew as SVG.

use std::fmt::Write;

use base_types::message_types;

const WIDTH: f64 = 760.0;
const HEIGHT: f64 = 480.0;
const MARGIN: f64 = 60.0;
const COLOURS: [&str; 6] = ["#1b6ca8", "#b3541e", "#3f7d20", "#7b2d8b", "#555555", "#a80f3c"];

message_types! {
    /// A point of the plot: one policy in one scenario.
    pub struct CurvePoint {
        /// Name of the series; the points of a series are connected.
        pub series: Box<str>,
        /// Text next to the point.
        pub label: Box<str>,
        /// Load of the busiest target divided by the mean load, 99th percentile of all samples.
        pub skew: f64,
        /// Share of prompt tokens that were found in caches.
        pub reuse: f64,
    }
}

/// Renders points as SVG. The points of a series are connected in the given order.
pub fn render_curve(title: &str, points: &[CurvePoint]) -> String {
    let scale = PlotScale::of(points);
    let mut svg = format!(
        "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"{WIDTH}\" height=\"{HEIGHT}\" font-family=\"sans-serif\" font-size=\"11\">\n<rect width=\"100%\" height=\"100%\" fill=\"white\"/>\n<text x=\"{MARGIN}\" y=\"24\" font-size=\"14\">{title}</text>\n"
    );
    draw_axes(&mut svg, &scale);
    let mut series: Vec<&str> = points.iter().map(|point| &*point.series).collect();
    series.dedup();
    for (index, name) in series.iter().enumerate() {
        let series_points: Vec<_> = points.iter().filter(|point| &*point.series == *name).collect();
        draw_series(&mut svg, &scale, &series_points, COLOURS[index % COLOURS.len()]);
    }
    svg.push_str("</svg>\n");
    svg
}

/// Value ranges of the axes, with padding.
#[derive(Debug, Clone, Copy)]
struct PlotScale {
    skew: (f64, f64),
    reuse: (f64, f64),
}

impl PlotScale {
    fn of(points: &[CurvePoint]) -> Self {
        let range = |values: Vec<f64>| {
            let low = values.iter().copied().fold(f64::MAX, f64::min);
            let high = values.iter().copied().fold(f64::MIN, f64::max);
            let padding = ((high - low) * 0.08).max(0.01);
            (low - padding, high + padding)
        };
        Self {
            skew: range(points.iter().map(|point| point.skew).collect()),
            reuse: range(points.iter().map(|point| point.reuse).collect()),
        }
    }

    fn x(&self, skew: f64) -> f64 {
        MARGIN + (skew - self.skew.0) / (self.skew.1 - self.skew.0) * (WIDTH - 2.0 * MARGIN)
    }

    fn y(&self, reuse: f64) -> f64 {
        let fraction = (reuse - self.reuse.0) / (self.reuse.1 - self.reuse.0);
        HEIGHT - MARGIN - fraction * (HEIGHT - 2.0 * MARGIN)
    }
}

fn draw_axes(svg: &mut String, scale: &PlotScale) {
    let (right, bottom) = (WIDTH - MARGIN, HEIGHT - MARGIN);
    let _ = writeln!(
        svg,
        "<path d=\"M{MARGIN},{MARGIN} V{bottom} H{right}\" fill=\"none\" stroke=\"black\"/>"
    );
    for step in 0..=5 {
        let fraction = f64::from(step) / 5.0;
        let skew = scale.skew.0 + fraction * (scale.skew.1 - scale.skew.0);
        let reuse = scale.reuse.0 + fraction * (scale.reuse.1 - scale.reuse.0);
        let (x, y) = (scale.x(skew), scale.y(reuse));
        let _ = writeln!(svg, "<text x=\"{x:.0}\" y=\"{:.0}\">{skew:.2}</text>", bottom + 16.0);
        let _ = writeln!(svg, "<text x=\"{:.0}\" y=\"{y:.0}\">{reuse:.2}</text>", MARGIN - 34.0);
    }
    let _ = writeln!(
        svg,
        "<text x=\"{:.0}\" y=\"{:.0}\">busiest over mean, p99 over time</text>",
        WIDTH / 2.0 - 80.0,
        bottom + 36.0
    );
    let _ = writeln!(svg, "<text x=\"12\" y=\"{:.0}\">prefix reuse</text>", MARGIN - 10.0);
}

fn draw_series(svg: &mut String, scale: &PlotScale, points: &[&CurvePoint], colour: &str) {
    let line: Vec<String> = points
        .iter()
        .map(|point| format!("{:.1},{:.1}", scale.x(point.skew), scale.y(point.reuse)))
        .collect();
    let line = line.join(" ");
    let _ = writeln!(svg, "<polyline points=\"{line}\" fill=\"none\" stroke=\"{colour}\"/>");
    for point in points {
        let (x, y) = (scale.x(point.skew), scale.y(point.reuse));
        let _ = writeln!(svg, "<circle cx=\"{x:.1}\" cy=\"{y:.1}\" r=\"3\" fill=\"{colour}\"/>");
        let _ = writeln!(
            svg,
            "<text x=\"{:.1}\" y=\"{:.1}\" fill=\"{colour}\">{}</text>",
            x + 5.0,
            y - 4.0,
            point.label
        );
    }
}
