//! Encodes the fields of a hand-off for its host.
use crate::msgpack::VisitRequest;
use bytes::Bytes;
use cherrypass::calls::Fill;
use cherrypass::time::Span;
use std::fmt::Write;

/// Encodes the fields of a hand-off. Ages are rounded down to milliseconds, so that no older copy is
/// accepted.
pub(super) fn encode(request: &VisitRequest, fill: Option<Fill>, source: Option<&str>) -> String {
    let text = |bytes: &Bytes| String::from_utf8_lossy(bytes).into_owned();
    let mut fields = String::with_capacity(160);
    let _ = write!(fields, "c={},k={},p={}", text(&request.class), text(&request.item), request.block);
    if let Some(key) = &request.dedup_key {
        let _ = write!(fields, ",i={}", text(key));
    }
    if let Some(tag) = &request.cached_tag {
        let _ = write!(fields, ",seen={}", text(tag));
    }
    if let Some(fill) = fill {
        write_fill(&mut fields, &fill, source);
    }
    fields
}

fn write_fill(fields: &mut String, fill: &Fill, source: Option<&str>) {
    if let Some(source) = source {
        let _ = write!(fields, ",from={source}");
    }
    if fill.rank > 0 {
        let _ = write!(fields, ",rank={}", fill.rank);
    }
    if fill.max_age > Span::ZERO {
        let _ = write!(fields, ",oldest={}", (fill.max_age.0 / 1000).max(1));
    }
    let modes =
        [(fill.may_join, "collapse"), (fill.cached_only, "only-if-cached"), (fill.refresh_stale, "refresh")];
    let modes: Vec<&str> = modes.iter().filter(|(is_on, _)| *is_on).map(|(_, mode)| *mode).collect();
    if !modes.is_empty() {
        let _ = write!(fields, ",mode={}", modes.join("+"));
    }
}
