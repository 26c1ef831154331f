//! What backends tell of themselves in the fields of their answers.

use caperwind::{LoadField, LoadReport};

/// A figure above this in a load report can't be read for what it is.
const MAX_LOAD: f32 = 1e6;

/// The units that an answer tells. Danger: what is no amount that a request can take would empty or fill
/// its customer's quota at one stroke; it is passed over, and the guess stands.
pub fn parse_billed_units(text: &str, most: f64) -> Option<f64> {
    text.trim().parse::<f64>().ok().filter(|units| (0.0..=most).contains(units))
}

/// A load report: `TEXT name=value, name=value`. Fields that are not asked for are passed over.
pub fn parse_load_report(fields: &[LoadField], text: &str) -> LoadReport {
    // A value that is not told is no number: the module must not take it for a zero.
    let mut report = LoadReport { len: 0, values: [f32::NAN; 4] };
    let text = text.trim().trim_start_matches("TEXT");
    for (name, value) in text.split([',', ' ']).filter_map(|pair| pair.split_once('=')) {
        let field = match name.trim() {
            "inflight" | "active" => LoadField::Active,
            "queue" | "waiting" => LoadField::Waiting,
            "util" | "cpu" => LoadField::Cpu,
            "latency_ms" | "avg_ms" => LoadField::ServiceTimeMs,
            "qps" | "rps" => LoadField::ServedPerSecond,
            "eps" | "err_rps" => LoadField::ErrorsPerSecond,
            _ => continue,
        };
        let place = fields.iter().take(report.values.len()).position(|f| *f == field);
        let value = value.trim().parse::<f32>().ok().filter(|v| (0.0..=MAX_LOAD).contains(v));
        if let (Some(at), Some(value)) = (place, value) {
            report.values[at] = value;
            report.len = report.len.max(at as u8 + 1);
        }
    }
    report
}
