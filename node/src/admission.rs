//! What is let in of what clients send: the checks of a head.

use crate::body::MAX_BODY_BYTES;
use caperwind::{ClassIndex, Config, CustomerId, Effect, Micros, PlanIndex};
use hyper::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use hyper::http::request::Parts;
use hyper::{HeaderMap, Method, StatusCode};
use std::rc::Rc;

/// Customers are numbers below this.
const CUSTOMER_ID_LIMIT: u64 = 1 << 33;
const MAX_CORRELATION_ID_BYTES: usize = 128;
/// The fields that a request is judged by: none may come twice, as two readers may each take another.
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

/// Why a request is turned away unseen.
pub type Rejection = (StatusCode, &'static str);

fn bad_request(text: &'static str) -> Rejection {
    (StatusCode::BAD_REQUEST, text)
}

fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name).and_then(|v| v.to_str().ok()).map(str::trim)
}

/// A whole number in plain digits.
fn parse_digits(text: &str) -> Option<u32> {
    text.bytes().all(|b| b.is_ascii_digit()).then(|| text.parse().ok()).flatten()
}

/// `units=2,spread=3,first=1`
struct QuotaInfo {
    units: u32,
    spread: u32,
    first_gateway: u32,
}

impl QuotaInfo {
    /// Danger: these figures steer a customer's quota, also that of another in whose name they are sent:
    /// what no usual client can have said is not believed.
    fn parse(text: &str, module: &Config) -> Option<Self> {
        let (mut units, mut spread, mut first) = (None, None, None);
        for pair in text.split(',') {
            let (name, value) = pair.split_once('=')?;
            let place = match name.trim() {
                "units" => &mut units,
                "spread" => &mut spread,
                "first" => &mut first,
                _ => continue,
            };
            if place.replace(parse_digits(value.trim())?).is_some() {
                return None;
            }
        }
        let info = QuotaInfo { units: units?, spread: spread?, first_gateway: first? };
        let sound = info.units >= 1
            && f64::from(info.units) <= module.max_units.max(1.0)
            && (1..=module.gateways).contains(&info.spread)
            && info.first_gateway < module.gateways;
        sound.then_some(info)
    }
}

/// What the server knows of a request beside its message.
pub struct RequestMetadata {
    /// What the client calls it.
    pub correlation_id: Rc<str>,
    pub class: ClassIndex,
    pub plan: PlanIndex,
    pub customer: CustomerId,
    pub units: f64,
    pub spread: f64,
    pub first_gateway: f64,
    pub client_repeat: bool,
    pub time_limit: Micros,
}

/// Checks a head against the protocol, and tells how long the body is (in chunks, nobody knows): nothing malformed reaches the module.
pub fn admit(head: &Parts, module: &Config) -> Result<(RequestMetadata, Option<u64>), Rejection> {
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
    let class_at = module.classes.iter().position(|c| c.name == class);
    let class_at = class_at.ok_or((StatusCode::NOT_FOUND, "unknown class\n"))?;
    let digits = customer.len() == 16 && customer.bytes().all(|b| b.is_ascii_hexdigit());
    let customer = u64::from_str_radix(customer, 16).ok().filter(|n| digits && *n < CUSTOMER_ID_LIMIT);
    let customer = customer.ok_or((StatusCode::NOT_FOUND, "no such customer\n"))?;
    let wanted = match module.classes[class_at].effect {
        Effect::Pure => Method::GET,
        Effect::Keyed { .. } | Effect::Unsafe => Method::POST,
    };
    if head.method != wanted {
        return Err((StatusCode::METHOD_NOT_ALLOWED, "not this class's method\n"));
    }
    let keyed = matches!(module.classes[class_at].effect, Effect::Keyed { .. });
    let key = headers.get("idempotency-key").is_some_and(|v| !v.is_empty());
    if keyed != key {
        return Err(bad_request("Idempotency-Key goes with keyed classes, and only with these\n"));
    }
    let id = header_text(headers, "x-correlation-id")
        .filter(|v| !v.is_empty() && v.len() <= MAX_CORRELATION_ID_BYTES);
    let id = id.ok_or(bad_request("X-Correlation-Id: missing or malformed\n"))?;
    let plan = header_text(headers, "plan").and_then(|v| module.plans.iter().position(|p| p.name == v));
    let plan = plan.ok_or(bad_request("Plan: missing or unknown\n"))?;
    let left = header_text(headers, "x-time-left-ms").and_then(parse_digits);
    let left = left.ok_or(bad_request("X-Time-Left-Ms: missing or malformed\n"))?;
    let info = header_text(headers, "quota-info").and_then(|text| QuotaInfo::parse(text, module));
    let info = info.ok_or(bad_request("Quota-Info: missing or malformed\n"))?;
    let terms = RequestMetadata {
        correlation_id: id.into(),
        class: ClassIndex(class_at as u16),
        plan: PlanIndex(plan as u16),
        customer: CustomerId(customer),
        units: f64::from(info.units),
        spread: f64::from(info.spread),
        first_gateway: f64::from(info.first_gateway),
        client_repeat: header_text(headers, "x-repeat") == Some("1"),
        // No client waits longer than its class allows over all tries.
        time_limit: (u64::from(left) * 1000).min(module.classes[class_at].deadline),
    };
    Ok((terms, length))
}
