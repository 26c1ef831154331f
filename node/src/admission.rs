//! Validation of request heads before they reach the decision module.

use crate::body::MAX_BODY_BYTES;
use caperwind::{ClassIndex, Config, CustomerId, Effect, Micros, PlanIndex};
use hyper::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use hyper::http::request::Parts;
use hyper::{HeaderMap, Method, StatusCode};
use std::rc::Rc;

/// Customer ids are below this.
const CUSTOMER_ID_LIMIT: u64 = 1 << 33;
/// The maximum length of the `X-Correlation-Id` header, in bytes.
const MAX_CORRELATION_ID_BYTES: usize = 128;
/// The header fields that decide how a request is handled. None may occur twice, as two readers of the request may
/// use different ones.
const SINGLE_VALUE_FIELDS: [&str; 8] = [
    "content-length",
    "transfer-encoding",
    "idempotency-key",
    "plan",
    "quota-info",
    "x-correlation-id",
    "x-repeat",
    "x-time-left-ms",
];

/// The status and text of the answer to a request that is rejected before the decision module sees it.
pub type Rejection = (StatusCode, &'static str);

fn bad_request(text: &'static str) -> Rejection {
    (StatusCode::BAD_REQUEST, text)
}

fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name).and_then(|v| v.to_str().ok()).map(str::trim)
}

/// Parses a number that consists of digits only.
fn parse_digits(text: &str) -> Option<u32> {
    text.bytes().all(|b| b.is_ascii_digit()).then(|| text.parse().ok()).flatten()
}

/// The contents of a `Quota-Info` header, such as `units=2,spread=3,first=1`.
struct QuotaInfo {
    /// The units that the request costs.
    units: u32,
    /// The number of gateways that the customer's requests come through.
    spread: u32,
    /// The index of the first of these gateways.
    first_gateway: u32,
}

impl QuotaInfo {
    /// Parses the header. Returns `None` if a value is missing, repeated or out of range. The values steer a
    /// customer's quota, and a client may send a request in another customer's name, so values that no regular client
    /// sends are rejected.
    fn parse(text: &str, config: &Config) -> Option<Self> {
        let (mut units, mut spread, mut first) = (None, None, None);
        for pair in text.split(',') {
            let (name, value) = pair.split_once('=')?;
            let value_slot = match name.trim() {
                "units" => &mut units,
                "spread" => &mut spread,
                "first" => &mut first,
                _ => continue,
            };
            if value_slot.replace(parse_digits(value.trim())?).is_some() {
                return None;
            }
        }
        let info = QuotaInfo { units: units?, spread: spread?, first_gateway: first? };
        let in_range = info.units >= 1
            && f64::from(info.units) <= config.max_units.max(1.0)
            && (1..=config.gateways).contains(&info.spread)
            && info.first_gateway < config.gateways;
        in_range.then_some(info)
    }
}

/// The properties of a request that its head gives beside the message to forward.
pub struct RequestMetadata {
    /// The value of its `X-Correlation-Id` header.
    pub correlation_id: Rc<str>,
    /// The class, from the path.
    pub class: ClassIndex,
    /// The plan, from the `Plan` header.
    pub plan: PlanIndex,
    /// The customer, from the path.
    pub customer: CustomerId,
    /// The units that the request costs.
    pub units: f64,
    /// The number of gateways that the customer's requests come through.
    pub spread: f64,
    /// The index of the first of these gateways.
    pub first_gateway: f64,
    /// Whether the client marks it as a repeat (`X-Repeat: 1`).
    pub client_repeat: bool,
    /// The time limit in microseconds: what the client has left, at most the deadline of the class.
    pub time_limit: Micros,
}

/// Validates a request head, so that nothing malformed reaches the decision module. Returns the properties of the
/// request and the length of its body in bytes (`None` for a chunked one), or the answer that rejects it.
pub fn admit(head: &Parts, config: &Config) -> Result<(RequestMetadata, Option<u64>), Rejection> {
    let headers = &head.headers;
    let chunked = headers.contains_key(TRANSFER_ENCODING);
    let mut codings = headers.get_all(TRANSFER_ENCODING).iter();
    if chunked && !(codings.all(|v| v.as_bytes().trim_ascii().eq_ignore_ascii_case(b"chunked"))) {
        return Err((StatusCode::NOT_IMPLEMENTED, "Transfer-Encoding: chunked alone\n"));
    }
    let length = match (header_text(headers, CONTENT_LENGTH.as_str()), &head.method) {
        _ if chunked => None,
        (Some(text), _) => Some(text.parse().map_err(|_| bad_request("Content-Length: malformed\n"))?),
        (None, &Method::GET) => Some(0),
        (None, _) => return Err((StatusCode::LENGTH_REQUIRED, "Content-Length: missing\n")),
    };
    if length.is_some_and(|n| n > MAX_BODY_BYTES) {
        return Err((StatusCode::PAYLOAD_TOO_LARGE, "body over 40 MiB\n"));
    }
    if length.is_some_and(|n| n > 0) && head.method == Method::GET {
        return Err(bad_request("GET takes no body\n"));
    }
    if SINGLE_VALUE_FIELDS.iter().any(|name| headers.get_all(*name).iter().nth(1).is_some()) {
        return Err(bad_request("a field came twice\n"));
    }
    let parts: Vec<&str> = head.uri.path().split('/').skip(1).collect();
    let [class, .., customer] = parts[..] else {
        return Err((StatusCode::NOT_FOUND, "no such path\n"));
    };
    let class_index = config.classes.iter().position(|c| c.name == class);
    let class_index = class_index.ok_or((StatusCode::NOT_FOUND, "unknown class\n"))?;
    let well_formed = customer.len() == 16 && customer.bytes().all(|b| b.is_ascii_hexdigit());
    let customer = u64::from_str_radix(customer, 16).ok().filter(|n| well_formed && *n < CUSTOMER_ID_LIMIT);
    let customer = customer.ok_or((StatusCode::NOT_FOUND, "no such customer\n"))?;
    let method = match config.classes[class_index].effect {
        Effect::Pure => Method::GET,
        Effect::Keyed { .. } | Effect::Unsafe => Method::POST,
    };
    if head.method != method {
        return Err((StatusCode::METHOD_NOT_ALLOWED, "not this class's method\n"));
    }
    let keyed = matches!(config.classes[class_index].effect, Effect::Keyed { .. });
    let has_key = headers.get("idempotency-key").is_some_and(|v| !v.is_empty());
    if keyed != has_key {
        return Err(bad_request("Idempotency-Key goes with keyed classes, and only with these\n"));
    }
    let id = header_text(headers, "x-correlation-id")
        .filter(|v| !v.is_empty() && v.len() <= MAX_CORRELATION_ID_BYTES);
    let id = id.ok_or(bad_request("X-Correlation-Id: missing or malformed\n"))?;
    let plan = header_text(headers, "plan").and_then(|v| config.plans.iter().position(|p| p.name == v));
    let plan = plan.ok_or(bad_request("Plan: missing or unknown\n"))?;
    let time_left_ms = header_text(headers, "x-time-left-ms").and_then(parse_digits);
    let time_left_ms = time_left_ms.ok_or(bad_request("X-Time-Left-Ms: missing or malformed\n"))?;
    let info = header_text(headers, "quota-info").and_then(|text| QuotaInfo::parse(text, config));
    let info = info.ok_or(bad_request("Quota-Info: missing or malformed\n"))?;
    let metadata = RequestMetadata {
        correlation_id: id.into(),
        class: ClassIndex(class_index as u16),
        plan: PlanIndex(plan as u16),
        customer: CustomerId(customer),
        units: f64::from(info.units),
        spread: f64::from(info.spread),
        first_gateway: f64::from(info.first_gateway),
        client_repeat: header_text(headers, "x-repeat") == Some("1"),
        // Over all its tries, no client waits longer than the deadline of the class.
        time_limit: (u64::from(time_left_ms) * 1000).min(config.classes[class_index].deadline),
    };
    Ok((metadata, length))
}
