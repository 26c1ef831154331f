//! Parses the load reports and billed units in backends' responses.

use caperwind::{LoadField, LoadReport};

/// The largest value accepted in a load report; anything above it is taken for garbage and ignored.
const MAX_LOAD: f32 = 1e6;

/// Parses the units that a response bills. Returns `None` for a value that is not between 0 and `max_units`, the most
/// that a request can cost: such a value would empty or refill the customer's quota at once. The units estimated
/// beforehand are kept in that case.
pub fn parse_billed_units(text: &str, max_units: f64) -> Option<f64> {
    text.trim().parse::<f64>().ok().filter(|units| (0.0..=max_units).contains(units))
}

/// Parses a load report of the form `TEXT name=value, name=value`. Names that are not among `fields` and values that
/// are not numbers from 0 to `MAX_LOAD` are ignored.
pub fn parse_load_report(fields: &[LoadField], text: &str) -> LoadReport {
    // A value that is not reported is NaN, so that the decision module does not take it for zero.
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
        let index = fields.iter().take(report.values.len()).position(|f| *f == field);
        let value = value.trim().parse::<f32>().ok().filter(|v| (0.0..=MAX_LOAD).contains(v));
        if let (Some(index), Some(value)) = (index, value) {
            report.values[index] = value;
            report.len = report.len.max(index as u8 + 1);
        }
    }
    report
}
