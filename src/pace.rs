//! How long work takes at an upstream, learnt from work that has ended.

use std::time::Duration;

use crate::clock::Moment;
use crate::ticket::Work;

#[cfg(test)]
mod tests;

/// The time after which a sample counts for a third of a new one.
const MEMORY: Duration = Duration::from_secs(5);

/// Samples, decayed ones counted in part, below which nothing is known.
const MIN_SAMPLES: f64 = 4.0;

/// Keeps the fit well-posed where all samples are alike, as a part of the
/// samples' own size.
const RIDGE: f64 = 1e-3;

/// The pace of one upstream.
///
/// The time from the dispatch of a request to its end is modelled as
/// `base + prefill * uncached prompt tokens + output * generated tokens`, and
/// fitted by least squares over samples that fade with time. Both parts grow
/// with the number of requests that run together, which the samples reflect.
#[derive(Debug, Default)]
pub struct Pace {
    last: Option<Moment>,
    samples: f64,
    time: f64,
    /// Sums over samples: prompt and output tokens, their squares and their
    /// products with each other and with the time taken.
    prefill: f64,
    output: f64,
    prefill_squared: f64,
    output_squared: f64,
    prefill_output: f64,
    prefill_time: f64,
    output_time: f64,
}

impl Pace {
    /// An upstream of unknown pace.
    pub fn new() -> Self {
        Self::default()
    }

    /// Notes that work ended `took` after its dispatch.
    pub fn finished(&mut self, now: Moment, work: Work, took: Duration) {
        self.fade(now);
        let (prefill, output) = tokens(work);
        let time = took.as_secs_f64();
        self.samples += 1.0;
        self.time += time;
        self.prefill += prefill;
        self.output += output;
        self.prefill_squared += prefill * prefill;
        self.output_squared += output * output;
        self.prefill_output += prefill * output;
        self.prefill_time += prefill * time;
        self.output_time += output * time;
    }

    /// Whether enough work has ended to know the pace.
    pub fn is_known(&self) -> bool {
        self.samples >= MIN_SAMPLES
    }

    /// The expected time from dispatch to end; zero while unknown.
    pub fn service_time(&self, work: Work) -> Duration {
        if !self.is_known() {
            return Duration::ZERO;
        }
        let (prefill, output) = tokens(work);
        let (per_prefill, per_output) = self.fit();
        let mean_prefill = self.prefill / self.samples;
        let mean_output = self.output / self.samples;
        let mean = self.time / self.samples;
        let time =
            mean + per_prefill * (prefill - mean_prefill) + per_output * (output - mean_output);
        seconds(time.max(0.0))
    }

    /// The expected time for prompt tokens alone; zero while unknown.
    pub fn prefill_time(&self, tokens: u64) -> Duration {
        seconds(self.fit().0 * tokens as f64)
    }

    /// The mean time from dispatch to end; zero while unknown.
    pub fn mean_time(&self) -> Duration {
        seconds(self.time / self.samples.max(1.0))
    }

    /// Seconds for a prompt token and for a generated token.
    pub fn fit(&self) -> (f64, f64) {
        if !self.is_known() {
            return (0.0, 0.0);
        }
        let n = self.samples;
        let centred = |product: f64, a: f64, b: f64| product - a * b / n;
        let pp = centred(self.prefill_squared, self.prefill, self.prefill);
        let oo = centred(self.output_squared, self.output, self.output);
        let po = centred(self.prefill_output, self.prefill, self.output);
        let pt = centred(self.prefill_time, self.prefill, self.time);
        let ot = centred(self.output_time, self.output, self.time);
        let pp = pp + RIDGE * self.prefill_squared;
        let oo = oo + RIDGE * self.output_squared;
        solve((pp, oo, po), (pt, ot))
    }

    fn fade(&mut self, now: Moment) {
        let since = now.since(self.last.replace(now).unwrap_or(now));
        let factor = (-since.as_secs_f64() / MEMORY.as_secs_f64()).exp();
        // However rarely work ends, the last samples stay known.
        let factor = factor.max(MIN_SAMPLES / self.samples).min(1.0);
        for sum in [
            &mut self.samples,
            &mut self.time,
            &mut self.prefill,
            &mut self.output,
            &mut self.prefill_squared,
            &mut self.output_squared,
            &mut self.prefill_output,
            &mut self.prefill_time,
            &mut self.output_time,
        ] {
            *sum *= factor;
        }
    }
}

/// Solves the normal equations of two variables; neither result is negative.
fn solve((pp, oo, po): (f64, f64, f64), (pt, ot): (f64, f64)) -> (f64, f64) {
    let alone = |square: f64, product: f64| match square > 0.0 {
        true => (product / square).max(0.0),
        false => 0.0,
    };
    let determinant = pp * oo - po * po;
    if determinant <= 0.0 {
        return (alone(pp, pt), alone(oo, ot));
    }
    let prefill = (pt * oo - ot * po) / determinant;
    let output = (ot * pp - pt * po) / determinant;
    match (prefill < 0.0, output < 0.0) {
        (true, _) => (0.0, alone(oo, ot)),
        (_, true) => (alone(pp, pt), 0.0),
        (false, false) => (prefill, output),
    }
}

fn tokens(work: Work) -> (f64, f64) {
    (work.uncached() as f64, work.output as f64)
}

fn seconds(value: f64) -> Duration {
    Duration::try_from_secs_f64(value).unwrap_or(Duration::MAX)
}
