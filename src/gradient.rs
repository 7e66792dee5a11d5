//! Gradient rule of concurrency limits that adapt to latency.

/// Gradient rule: the limit is scaled by 1 / `excess`, and has room to grow. `excess` is the present latency
/// over the permitted one. The limit is one of `sharers` parts of a total, and so is its room to grow.
pub(crate) fn next_limit(limit: f64, excess: f64, in_flight: f64, sharers: f64, weight: f64) -> f64 {
    let gradient = (1.0 / excess).clamp(0.5, 1.0);
    if gradient == 1.0 && in_flight <= limit / 2.0 {
        return limit;
    }
    let target = gradient * limit + (limit / sharers).sqrt();
    limit + weight * (target - limit)
}
