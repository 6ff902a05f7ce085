use crate::time::Timestamp;

/// Samples that end a measuring window.
const WINDOW_SAMPLES: u32 = 16;

/// Time after which a window ends with fewer samples, in milliseconds.
const WINDOW_MS: u64 = 500;

/// Fewest samples from which a window is judged.
const MIN_WINDOW_SAMPLES: u32 = 4;

/// Ratio of window latency to usual latency that is still taken as noise.
const TOLERANCE: f32 = 1.5;

/// Weight of a new limit against the present one.
const SMOOTHING: f32 = 0.3;

/// Weight of a window's latency in the usual latency when it is lower.
const FALL_WEIGHT: f32 = 0.05;

/// Weight of a window's latency in the usual latency when it is higher.
///
/// With equal weights the usual latency takes in a lasting queue within a few
/// windows, and the limit grows back into the queue.
const RISE_WEIGHT: f32 = 0.002;

/// Requests that the limit adds per window to find out whether more fit.
const PROBE_REQUESTS: f32 = 1.0;

/// Factor by which a refusal for lack of capacity lowers the limit.
const BACKOFF: f32 = 0.8;

/// Concurrency limit of one upstream, derived from latency gradients.
///
/// The limit shrinks when the latency of the newest window rises above the
/// usual latency, which shows a queue at the upstream, and grows by a request
/// at a time otherwise. It does not grow while it is not used, because latency
/// under a small load says nothing about a larger one.
///
/// Several entry processes share an upstream's slots without talking to each
/// other, so the slots bound the limit from above but are not its start value
/// for ever: latency tells each process how much of them the others use.
#[derive(Clone, Debug)]
pub struct UpstreamLimit {
    slots: u32,
    limit: f32,
    usual_us: f32,
    window_sum_us: f32,
    window_samples: u32,
    window_peak: u32,
    window_end: Timestamp,
}

impl UpstreamLimit {
    /// Returns a limit that begins at `slots`, at least 1.
    pub fn new(slots: u32) -> UpstreamLimit {
        let slots = slots.max(1);
        UpstreamLimit {
            slots,
            limit: slots as f32,
            usual_us: 0.0,
            window_sum_us: 0.0,
            window_samples: 0,
            window_peak: 0,
            window_end: Timestamp(0),
        }
    }

    /// Returns how many requests may be in flight; from 1 to the slots.
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
        let late = self.window_end <= now && MIN_WINDOW_SAMPLES <= self.window_samples;
        if enough || late {
            self.end_window();
        }
    }

    /// Records a request that the upstream refused for lack of capacity, or
    /// that ended by a time-out.
    pub fn on_overload(&mut self) {
        self.limit = (self.limit * BACKOFF).max(1.0);
    }

    fn end_window(&mut self) {
        let window_us = (self.window_sum_us / self.window_samples as f32).max(1.0);
        let peak = self.window_peak as f32;
        self.window_sum_us = 0.0;
        self.window_samples = 0;
        self.window_peak = 0;
        if self.usual_us == 0.0 {
            self.usual_us = window_us;
        }
        let weight = if window_us < self.usual_us { FALL_WEIGHT } else { RISE_WEIGHT };
        self.usual_us += (window_us - self.usual_us) * weight;
        let gradient = (TOLERANCE * self.usual_us / window_us).clamp(0.5, 1.0);
        let target = self.limit * gradient + PROBE_REQUESTS;
        let grows = self.limit < target;
        if grows && peak < self.limit / 2.0 {
            return;
        }
        let next = self.limit + (target - self.limit) * SMOOTHING;
        self.limit = next.clamp(1.0, self.slots as f32);
    }
}
