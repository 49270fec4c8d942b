//! Renders a report as one self-contained HTML page.

use crate::report::Report;
use crate::report::Second;
use std::fmt::Write;

/// Width of a plot, in pixels.
const WIDTH: f64 = 900.0;

/// Height of a plot, in pixels.
const HEIGHT: f64 = 160.0;

const HEAD: &str = "<!doctype html><meta charset=utf-8><style>\
body{font:14px sans-serif;margin:2em;max-width:960px}pre{background:#f4f4f4;padding:1em;overflow:auto}\
svg{background:#fafafa;border:1px solid #ddd}text{font:11px sans-serif}</style>";

/// One line of a plot, with the figure that it shows for each second.
struct Line {
    name: &'static str,
    color: &'static str,
    value: fn(&Second) -> f64,
}

/// Renders a report: its table, and plots of its figures per second.
pub fn render(report: &Report) -> String {
    let mut page = format!("{HEAD}<h1>{}</h1>", escape(&report.title));
    let _ = write!(page, "<pre>{}</pre>", escape(&report.table()));
    plot(
        &mut page,
        report,
        "Latency of those served, in ms",
        &[
            line("p50", "#2a6", |s| s.p50_ms),
            line("p99", "#c33", |s| s.p99_ms),
        ],
    );
    plot(
        &mut page,
        report,
        "Coverage, in percent",
        &[line("coverage", "#26c", |s| s.coverage * 100.0)],
    );
    plot(
        &mut page,
        report,
        "Requests per second",
        &[
            line("due", "#999", |s| s.requests as f64),
            line("served", "#2a6", |s| s.served as f64),
            line("refused", "#e90", |s| s.refused as f64),
            line("lost", "#c33", |s| s.lost as f64),
        ],
    );
    plot(
        &mut page,
        report,
        "Requests of the busiest backend server, per second",
        &[line("busiest", "#26c", |s| s.busiest as f64)],
    );
    page
}

fn line(name: &'static str, color: &'static str, value: fn(&Second) -> f64) -> Line {
    Line { name, color, value }
}

/// Appends a plot with one point per second and a dashed line at each mark.
fn plot(page: &mut String, report: &Report, title: &str, lines: &[Line]) {
    let seconds = &report.seconds;
    let values = lines.iter().flat_map(|line| seconds.iter().map(line.value));
    let max = values.fold(1.0, f64::max);
    let step = WIDTH / (seconds.len().max(2) - 1) as f64;
    let _ = write!(
        page,
        "<h2>{title}</h2><svg width={WIDTH} height={}>",
        HEIGHT + 20.0
    );
    for line in lines {
        let points = seconds.iter().enumerate().map(|(at, second)| {
            let x = at as f64 * step;
            let y = HEIGHT - (line.value)(second) / max * (HEIGHT - 10.0);
            format!("{x:.1},{y:.1}")
        });
        let points: Vec<String> = points.collect();
        let _ = write!(
            page,
            "<polyline fill=none stroke={} points=\"{}\"/>",
            line.color,
            points.join(" ")
        );
    }
    for (at, text) in &report.marks {
        let x = at * step;
        let _ = write!(
            page,
            "<line x1={x:.1} x2={x:.1} y1=0 y2={HEIGHT} stroke=#aaa stroke-dasharray=4><title>{}</title></line>",
            escape(text)
        );
    }
    for (at, line) in lines.iter().enumerate() {
        let x = 10 + at * 80;
        let y = HEIGHT + 14.0;
        let _ = write!(
            page,
            "<text x={x} y={y} fill={}>{}</text>",
            line.color, line.name
        );
    }
    let _ = write!(page, "<text x=4 y=12>{max:.1}</text></svg>");
}

fn escape(text: &str) -> String {
    let text = text.replace('&', "&amp;");
    text.replace('<', "&lt;").replace('>', "&gt;")
}
