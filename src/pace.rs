//! Estimates of the time that work takes at an upstream, from measurements of
//! earlier work.

use std::time::Duration;

use crate::clock::Timestamp;
use crate::ticket::Work;

#[cfg(test)]
mod tests;

/// The time constant of the exponential decay of samples.
const DECAY_TIME: Duration = Duration::from_secs(5);

/// The factor by which the shortest time to an answer grows with each sample, so
/// that it follows an upstream that becomes slower.
const MIN_TIME_GROWTH: f64 = 1.0005;

/// The measured pace of one upstream.
///
/// An answer starts once its own prompt and those ahead of it are processed,
/// and ends once its tokens are generated. The times per prompt token and per
/// generated token are each total time over total tokens, summed over samples
/// with exponential decay, so that long work counts in proportion. The shortest
/// time to an answer is the fixed cost of any prompt. Work without tokens is
/// estimated by its mean service time.
#[derive(Debug, Default)]
pub struct Pace {
    /// The shortest time from sending a request to the start of an answer, in
    /// seconds.
    min_answer_start: Option<f64>,
    prefill: TimePerUnit,
    output: TimePerUnit,
    service: TimePerUnit,
}

/// Time per unit: total seconds over total units of samples with exponential
/// decay.
#[derive(Debug, Default)]
struct TimePerUnit {
    last: Option<Timestamp>,
    seconds: f64,
    units: f64,
}

impl Pace {
    /// Creates an estimate without samples.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that an answer started `elapsed` after its request was sent.
    /// `tokens` are the prompt tokens processed until then, including those of
    /// earlier work.
    pub fn record_answer_start(&mut self, now: Timestamp, tokens: u64, elapsed: Duration) {
        let elapsed = elapsed.as_secs_f64();
        let relaxed = self
            .min_answer_start
            .map_or(elapsed, |s| s * MIN_TIME_GROWTH);
        let min_answer_start = elapsed.min(relaxed);
        self.min_answer_start = Some(min_answer_start);
        let above_min = Duration::try_from_secs_f64(elapsed - min_answer_start).unwrap_or_default();
        self.prefill.record(now, tokens as f64, above_min);
    }

    /// Records that `tokens` were generated in `generating` after an answer
    /// started, and that the work took `service` from sending to end.
    pub fn record_finish(
        &mut self,
        now: Timestamp,
        tokens: u64,
        generating: Duration,
        service: Duration,
    ) {
        if tokens > 0 {
            self.output.record(now, tokens as f64, generating);
        }
        self.service.record(now, 1.0, service);
    }

    /// Records that `tokens` were generated in `elapsed`, both summed over the
    /// running requests.
    pub fn record_generated(&mut self, now: Timestamp, tokens: u64, elapsed: Duration) {
        self.output.record(now, tokens as f64, elapsed);
    }

    /// Returns whether any work has ended.
    pub fn is_known(&self) -> bool {
        self.service.units > 0.0
    }

    /// Returns the expected time from sending to end; zero while unknown.
    pub fn service_time(&self, work: Work) -> Duration {
        if work.prefill == 0 && work.output == 0 {
            return self.mean_service_time();
        }
        self.answer_start_time(work.uncached()) + self.output.time_for(work.output as f64)
    }

    /// Returns the expected time from sending to the start of an answer, with
    /// this many prompt tokens to process including its own; the measured
    /// quantities count as zero while unknown.
    pub fn answer_start_time(&self, tokens: u64) -> Duration {
        let min_answer_start =
            Duration::try_from_secs_f64(self.min_answer_start.unwrap_or_default());
        min_answer_start.unwrap_or_default() + self.prefill_time(tokens)
    }

    /// Returns the expected time to process prompt tokens, without the fixed cost
    /// of a prompt; zero while unknown.
    pub fn prefill_time(&self, tokens: u64) -> Duration {
        self.prefill.time_for(tokens as f64)
    }

    /// Returns the mean time from sending to end; zero while unknown.
    pub fn mean_service_time(&self) -> Duration {
        self.service.time_for(1.0)
    }

    /// Returns the seconds per prompt token and per generated token; zero while
    /// unknown.
    pub fn seconds_per_token(&self) -> (f64, f64) {
        (self.prefill.per_unit(), self.output.per_unit())
    }
}

impl TimePerUnit {
    fn record(&mut self, now: Timestamp, units: f64, elapsed: Duration) {
        let age = now.since(self.last.replace(now).unwrap_or(now));
        let decay = (-age.as_secs_f64() / DECAY_TIME.as_secs_f64()).exp();
        self.seconds = self.seconds * decay + elapsed.as_secs_f64();
        self.units = self.units * decay + units;
    }

    fn per_unit(&self) -> f64 {
        match self.units > 0.0 {
            true => self.seconds / self.units,
            false => 0.0,
        }
    }

    fn time_for(&self, units: f64) -> Duration {
        let seconds = self.per_unit() * units;
        Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX)
    }
}
