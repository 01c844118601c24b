//! Sequential comparison of the rates of an event at two versions.
//!
//! The counts of each window form a table of two versions by event or none. Given how many
//! events there were in all, their number at the target is hypergeometric if the versions are
//! alike, whatever the rate of both is at that time. The likelihood ratio of an odds ratio above
//! one to that is multiplied over the windows. Such a product exceeds `x` with a probability of
//! `1 / x` at most, at whatever times it is looked at (Ville's inequality).

#[cfg(test)]
mod tests;

/// Odds ratios that are tried. They cover a tripled rate as well as a failure of all requests.
const ODDS_RATIOS: [f64; 4] = [2.0, 5.0, 20.0, 100.0];

/// Largest logarithm of the likelihood ratio that a window adds.
const MAX_WINDOW: f64 = 2.4;

/// Largest logarithm that the last [`RECENT_WINDOWS`] add together. Requests that fail with one
/// crash are not independent; with reports that are lost, they end up in as many windows.
const MAX_RECENT: f64 = 4.0;

/// The same for evidence on the time before an entry began to act. It may be about many windows,
/// but does not suffice for an alarm.
const MAX_PAST: f64 = 8.0;

/// Windows in which one crash may show.
const RECENT_WINDOWS: usize = 4;

/// The sum of logarithms does not fall below this, so that a version that turns bad is found.
const MIN_SUM: f64 = -3.0;

/// Counts above this are scaled down, to bound the work. The result is conservative.
const MAX_COUNT: f64 = 400.0;

/// Requests of a version and events among them in a window.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct Rate {
    pub(super) events: u64,
    pub(super) total: u64,
}

/// Time that some evidence is about.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(super) enum Span {
    /// The time since the last evidence.
    #[default]
    Window,
    /// All the time since the order.
    Past,
}

/// Comparison of an event between the target and the other versions.
#[derive(Clone, Debug, Default)]
pub(super) struct Comparison {
    by_ratio: [Sum; ODDS_RATIOS.len()],
}

/// Sum of the logarithms of the likelihood ratios of one odds ratio.
#[derive(Clone, Debug, Default)]
struct Sum {
    log: f64,
    /// What the last windows added; nothing for those that reduced the sum.
    recent: [f64; RECENT_WINDOWS - 1],
}

impl Sum {
    fn add(&mut self, log_ratio: f64, span: Span) {
        let (max_window, max_recent) = match span {
            Span::Window => (MAX_WINDOW, MAX_RECENT),
            Span::Past => (MAX_PAST, MAX_PAST),
        };
        let most = max_recent - self.recent.iter().sum::<f64>();
        let added = log_ratio.min(max_window).min(most.max(0.0));
        self.log = (self.log + added).max(MIN_SUM);
        self.recent.rotate_right(1);
        self.recent[0] = added.max(0.0);
    }
}

impl Comparison {
    /// Adds a window.
    pub(super) fn add(&mut self, target: Rate, others: Rate, span: Span) {
        let ratios = log_ratios(target, others);
        for (sum, ratio) in self.by_ratio.iter_mut().zip(ratios) {
            sum.add(ratio, span);
        }
    }

    /// Returns the logarithm of the evidence for a higher rate at the target.
    pub(super) fn log_evidence(&self) -> f64 {
        let mean =
            self.by_ratio.iter().map(|s| s.log.exp()).sum::<f64>() / ODDS_RATIOS.len() as f64;
        mean.ln()
    }
}

/// Returns the logarithm of the likelihood ratio of a table for each odds ratio.
fn log_ratios(target: Rate, others: Rate) -> [f64; ODDS_RATIOS.len()] {
    let largest = target.total.max(target.events + others.events) as f64;
    let scale = (MAX_COUNT / largest.max(1.0)).min(1.0);
    let scaled = |count: u64| (count as f64 * scale).round();
    let (seen, events) = (
        scaled(target.events),
        scaled(target.events) + scaled(others.events),
    );
    let (total, rest) = (scaled(target.total).max(seen), scaled(others.total));
    let rest = rest.max(events - seen);
    if events == 0.0 || total == 0.0 || rest == 0.0 {
        return [0.0; ODDS_RATIOS.len()];
    }
    // Logarithms of the hypergeometric weights, up to a constant.
    let first = (events - rest).max(0.0);
    let mut weights = vec![(first, 0.0)];
    let (mut k, mut weight) = (first, 0.0_f64);
    while k < total.min(events) {
        let numerator: f64 = (total - k) * (events - k);
        weight += (numerator / ((k + 1.0) * (rest - events + k + 1.0))).ln();
        k += 1.0;
        weights.push((k, weight));
    }
    let normalizer = log_sum(weights.iter().map(|(_, w)| *w));
    ODDS_RATIOS.map(|ratio| {
        let log = ratio.ln();
        seen * log - log_sum(weights.iter().map(|(k, w)| w + k * log)) + normalizer
    })
}

fn log_sum<I>(logs: I) -> f64
where
    I: Iterator<Item = f64> + Clone,
{
    let largest = logs.clone().fold(f64::NEG_INFINITY, f64::max);
    largest + logs.map(|l| (l - largest).exp()).sum::<f64>().ln()
}
