//! Trace context in the W3C `traceparent` header.

use http::HeaderMap;
use peridotfold_core::message::request::TraceContext;

/// Name of the trace context header.
pub const HEADER: &str = "traceparent";

/// Returns the trace context of a request: the caller's trace ID, or a new one, with a new span ID.
pub fn context(headers: &HeaderMap) -> TraceContext {
    let text = headers.get(HEADER).and_then(|value| value.to_str().ok()).unwrap_or_default();
    let trace = parse(text).unwrap_or_else(|| fastrand::u128(1..));
    TraceContext { trace, span: fastrand::u64(1..) }
}

/// Formats a trace context as a header value.
pub fn format(context: &TraceContext) -> String {
    format!("00-{:032x}-{:016x}-01", context.trace, context.span)
}

/// Returns the trace ID of a header value, or `None` if malformed.
fn parse(text: &str) -> Option<u128> {
    let mut parts = text.split('-');
    let (version, trace, span) = (parts.next()?, parts.next()?, parts.next()?);
    if version.len() != 2 || trace.len() != 32 || span.len() != 16 || !trace.is_ascii() {
        return None;
    }
    u128::from_str_radix(trace, 16).ok().filter(|trace| *trace != 0)
}
