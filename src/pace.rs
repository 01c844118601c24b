//! How long work takes at an upstream, learnt from work that has begun and
//! ended.

use std::time::Duration;

use crate::clock::Timestamp;
use crate::ticket::Work;

#[cfg(test)]
mod tests;

/// The time after which a sample counts for a third of a new one.
const MEMORY: Duration = Duration::from_secs(5);

/// By how much the shortest time to an answer's begin grows with each sample,
/// so that it follows an upstream that becomes slower.
const SHORTEST_GROWTH: f64 = 1.0005;

/// The pace of one upstream.
///
/// An answer begins once the prompts in front of it and its own are processed,
/// and ends once its tokens are generated. Both are measured as time over
/// tokens, summed over samples that fade with time, so that long work counts
/// for what it takes. The shortest time in which an answer began is what any
/// prompt takes. Work without tokens is known by its mean time.
#[derive(Debug, Default)]
pub struct Pace {
    shortest: Option<f64>,
    prefill: Rate,
    output: Rate,
    whole: Rate,
}

/// Time over units, summed over samples that fade.
#[derive(Debug, Default)]
struct Rate {
    last: Option<Timestamp>,
    seconds: f64,
    units: f64,
}

impl Pace {
    /// An upstream of unknown pace.
    pub fn new() -> Self {
        Self::default()
    }

    /// Notes that an answer began `took` after its dispatch, with this many
    /// prompt tokens to process until then, those of earlier work included.
    pub fn record_answer_start(&mut self, now: Timestamp, tokens: u64, took: Duration) {
        let took = took.as_secs_f64();
        let grown = self.shortest.map_or(took, |s| s * SHORTEST_GROWTH);
        let shortest = took.min(grown);
        self.shortest = Some(shortest);
        let beyond = Duration::try_from_secs_f64(took - shortest).unwrap_or_default();
        self.prefill.note(now, tokens as f64, beyond);
    }

    /// Notes that this many tokens were generated in `generating` after an
    /// answer began, and that the work took `whole` from its dispatch.
    pub fn record_finish(
        &mut self,
        now: Timestamp,
        tokens: u64,
        generating: Duration,
        whole: Duration,
    ) {
        if tokens > 0 {
            self.output.note(now, tokens as f64, generating);
        }
        self.whole.note(now, 1.0, whole);
    }

    /// Notes that this many tokens were generated in `took`, summed over the
    /// requests that were running.
    pub fn record_generated(&mut self, now: Timestamp, tokens: u64, took: Duration) {
        self.output.note(now, tokens as f64, took);
    }

    /// Whether any work has ended.
    pub fn is_known(&self) -> bool {
        self.whole.units > 0.0
    }

    /// The expected time from dispatch to end; zero while unknown.
    pub fn service_time(&self, work: Work) -> Duration {
        if work.prefill == 0 && work.output == 0 {
            return self.mean_time();
        }
        self.answer_start_time(work.uncached()) + self.output.time(work.output as f64)
    }

    /// The expected time until an answer begins behind this many prompt
    /// tokens, its own included; zero while unknown.
    pub fn answer_start_time(&self, tokens: u64) -> Duration {
        let shortest = Duration::try_from_secs_f64(self.shortest.unwrap_or_default());
        shortest.unwrap_or_default() + self.prefill_time(tokens)
    }

    /// The expected time for prompt tokens alone; zero while unknown.
    pub fn prefill_time(&self, tokens: u64) -> Duration {
        self.prefill.time(tokens as f64)
    }

    /// The mean time from dispatch to end; zero while unknown.
    pub fn mean_time(&self) -> Duration {
        self.whole.time(1.0)
    }

    /// Seconds for a prompt token and for a generated token.
    pub fn seconds_per_token(&self) -> (f64, f64) {
        (self.prefill.per_unit(), self.output.per_unit())
    }
}

impl Rate {
    fn note(&mut self, now: Timestamp, units: f64, took: Duration) {
        let since = now.since(self.last.replace(now).unwrap_or(now));
        let kept = (-since.as_secs_f64() / MEMORY.as_secs_f64()).exp();
        self.seconds = self.seconds * kept + took.as_secs_f64();
        self.units = self.units * kept + units;
    }

    fn per_unit(&self) -> f64 {
        match self.units > 0.0 {
            true => self.seconds / self.units,
            false => 0.0,
        }
    }

    fn time(&self, units: f64) -> Duration {
        let seconds = self.per_unit() * units;
        Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX)
    }
}
