use crate::time::Timestamp;

/// Number of samples that ends a measuring window.
const WINDOW_SAMPLES: u32 = 16;

/// Time after which a window ends with fewer samples, in milliseconds.
const WINDOW_MS: u64 = 500;

/// Fewest samples with which a window may end.
const MIN_WINDOW_SAMPLES: u32 = 4;

/// Ratio of window latency to baseline latency up to which a rise counts as
/// noise.
const TOLERANCE: f32 = 1.5;

/// Weight of the target limit against the current one.
const SMOOTHING: f32 = 0.3;

/// Weight of a window's latency in the baseline if it is lower.
const FALL_WEIGHT: f32 = 0.05;

/// Weight of a window's latency in the baseline if it is higher.
///
/// With equal weights, the baseline includes the latency of a persistent queue
/// within a few windows, and the limit grows back and sustains the queue.
const RISE_WEIGHT: f32 = 0.002;

/// Requests that are added to the target limit per window, to probe for free
/// capacity.
const PROBE_REQUESTS: f32 = 1.0;

/// Factor by which an overload of the upstream lowers the limit.
const BACKOFF: f32 = 0.8;

/// Concurrency limit of one upstream, derived from latency gradients.
///
/// The limit shrinks when the latency of the latest window rises above the
/// baseline, which indicates a queue at the upstream. Otherwise it grows by at
/// most one request per window. It does not grow while less than half of it is
/// used, because latency under a low load says nothing about a higher one.
///
/// Several entry processes share an upstream's slots without coordination. The
/// slots are therefore only the initial value and the upper bound of the limit;
/// latency tells each process how many of them the others use.
#[derive(Clone, Debug)]
pub struct UpstreamLimit {
    slots: u32,
    limit: f32,
    baseline_us: f32,
    window_sum_us: f32,
    window_samples: u32,
    window_peak: u32,
    window_end: Timestamp,
}

impl UpstreamLimit {
    /// Returns a limit whose initial value is `slots`, but at least 1.
    pub fn new(slots: u32) -> UpstreamLimit {
        let slots = slots.max(1);
        UpstreamLimit {
            slots,
            limit: slots as f32,
            baseline_us: 0.0,
            window_sum_us: 0.0,
            window_samples: 0,
            window_peak: 0,
            window_end: Timestamp(0),
        }
    }

    /// Returns the number of requests that may be in flight, from 1 to the
    /// number of slots.
    pub fn get(&self) -> u32 {
        (self.limit as u32).clamp(1, self.slots)
    }

    /// Records a request that ended after `latency_us` microseconds, when
    /// `in_flight` requests including it were in flight.
    pub fn on_sample(&mut self, now: Timestamp, latency_us: u64, in_flight: u32) {
        if self.window_samples == 0 {
            self.window_end = now.plus_ms(WINDOW_MS);
        }
        self.window_sum_us += latency_us as f32;
        self.window_samples += 1;
        self.window_peak = self.window_peak.max(in_flight);
        let enough = WINDOW_SAMPLES <= self.window_samples;
        let is_due = self.window_end <= now && MIN_WINDOW_SAMPLES <= self.window_samples;
        if enough || is_due {
            self.end_window();
        }
    }

    /// Records a request that the upstream refused for lack of capacity, or
    /// that timed out.
    pub fn on_overload(&mut self) {
        self.limit = (self.limit * BACKOFF).max(1.0);
    }

    fn end_window(&mut self) {
        let window_us = (self.window_sum_us / self.window_samples as f32).max(1.0);
        let peak = self.window_peak as f32;
        self.window_sum_us = 0.0;
        self.window_samples = 0;
        self.window_peak = 0;
        if self.baseline_us == 0.0 {
            self.baseline_us = window_us;
        }
        let weight = if window_us < self.baseline_us { FALL_WEIGHT } else { RISE_WEIGHT };
        self.baseline_us += (window_us - self.baseline_us) * weight;
        let gradient = (TOLERANCE * self.baseline_us / window_us).clamp(0.5, 1.0);
        let target = self.limit * gradient + PROBE_REQUESTS;
        let grows = self.limit < target;
        if grows && peak < self.limit / 2.0 {
            return;
        }
        let next = self.limit + (target - self.limit) * SMOOTHING;
        self.limit = next.clamp(1.0, self.slots as f32);
    }
}
