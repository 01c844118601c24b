//! The report on service-level burn, summed over all entries.

use std::collections::BTreeMap;
use std::fmt::Write;

use serde::Deserialize;
use serde::Serialize;

use crate::burn::Alert;
use crate::burn::BurnKey;
use crate::burn::BurnRow;
use crate::burn::RequestCount;
use crate::burn::Window;
use crate::burn::alert;
use crate::name::Name;
use crate::outcome::Outcome;

#[cfg(test)]
mod tests;

/// The counts of one entry, as served at `/burn`.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct EntryBurn {
    /// The name of the entry.
    pub entry: Name,
    /// The objective of each tier: the fraction of requests that should be good.
    pub objectives: BTreeMap<Name, f64>,
    /// The counts by tier and organisation.
    pub rows: Vec<BurnRow>,
    /// The number of dispatched requests by upstream and outcome since the entry
    /// started.
    pub upstreams: BTreeMap<Name, BTreeMap<Outcome, u64>>,
}

/// The burn of one tier and organisation over all entries that answered.
#[derive(Clone, Debug, Serialize)]
pub struct ReportRow {
    /// The tier and organisation.
    #[serde(flatten)]
    pub key: BurnKey,
    /// The fraction of requests that should be good.
    pub objective: f64,
    /// The fraction of the budget for six hours that is left; negative if more
    /// than the budget was used.
    pub budget_left: f64,
    /// The counts by window.
    pub windows: BTreeMap<Window, RequestCount>,
    /// The burn rate by window.
    pub burn: BTreeMap<Window, f64>,
    /// The alert that the burn rates raise.
    pub alert: Alert,
    /// The number of requests by outcome over six hours.
    pub outcomes: BTreeMap<Outcome, u64>,
}

/// The counts of one upstream over all entries that answered.
#[derive(Clone, Debug, Serialize)]
pub struct UpstreamRow {
    /// The name of the upstream.
    pub upstream: Name,
    /// The dispatched requests that count for an objective.
    pub count: RequestCount,
}

/// The burn report of a site.
#[derive(Clone, Debug, Serialize)]
pub struct BurnReport {
    /// The burn by tier and organisation.
    pub rows: Vec<ReportRow>,
    /// The upstreams in descending order of bad requests.
    pub upstreams: Vec<UpstreamRow>,
    /// The entries that could not be reached. Their requests are counted neither
    /// as good nor as bad.
    pub unreachable: Vec<String>,
}

impl BurnReport {
    /// Sums the counts of `entries`.
    pub fn new(entries: &[EntryBurn], unreachable: Vec<String>) -> Self {
        let mut objectives: BTreeMap<Name, f64> = BTreeMap::new();
        let mut rows: BTreeMap<BurnKey, BurnRow> = BTreeMap::new();
        let mut upstreams: BTreeMap<Name, RequestCount> = BTreeMap::new();
        for entry in entries {
            objectives.extend(entry.objectives.clone());
            entry.rows.iter().for_each(|row| add_row(&mut rows, row));
            for (upstream, outcomes) in &entry.upstreams {
                let count = upstreams.entry(upstream.clone()).or_default();
                count.add(request_count(outcomes));
            }
        }
        let rows = rows.into_values();
        Self {
            rows: rows.map(|row| report_row(row, &objectives)).collect(),
            upstreams: sort_by_bad_requests(upstreams),
            unreachable,
        }
    }

    /// Formats the report as tables of text.
    pub fn table(&self) -> String {
        let mut text = format!(
            "{:<12} {:<20} {:>9} {:>8} {:>8} {:>8} {:>8} {:>8} {:>8} {:>6}\n",
            "tier",
            "organisation",
            "objective",
            "requests",
            "bad",
            "left",
            "5m",
            "1h",
            "6h",
            "alert"
        );
        for row in &self.rows {
            let count = row
                .windows
                .get(&Window::SixHours)
                .copied()
                .unwrap_or_default();
            let burn = |w| row.burn.get(&w).copied().unwrap_or_default();
            let alert = match row.alert {
                Alert::None => "-",
                Alert::Slow => "slow",
                Alert::Fast => "FAST",
            };
            let _ = writeln!(
                text,
                "{:<12} {:<20} {:>9} {:>8} {:>8} {:>7.0}% {:>8.1} {:>8.1} {:>8.1} {:>6}",
                row.key.tier,
                row.key.organisation,
                row.objective,
                count.total,
                count.bad,
                row.budget_left * 100.0,
                burn(Window::FiveMinutes),
                burn(Window::Hour),
                burn(Window::SixHours),
                alert,
            );
            for (outcome, n) in row.outcomes.iter().filter(|(o, _)| **o != Outcome::good) {
                let _ = writeln!(text, "{:<12}   {}: {n}", "", outcome.name());
            }
        }
        for row in self.upstreams.iter().filter(|u| u.count.bad > 0) {
            let RequestCount { total, bad } = row.count;
            let _ = writeln!(text, "upstream {}: {bad} of {total} bad", row.upstream);
        }
        for entry in &self.unreachable {
            let _ = writeln!(text, "not reached, not counted: {entry}");
        }
        text
    }
}

fn add_row(rows: &mut BTreeMap<BurnKey, BurnRow>, row: &BurnRow) {
    let sum = rows.entry(row.key.clone()).or_insert_with(|| BurnRow {
        key: row.key.clone(),
        windows: BTreeMap::new(),
        outcomes: BTreeMap::new(),
    });
    for (window, count) in &row.windows {
        sum.windows.entry(*window).or_default().add(*count);
    }
    for (outcome, n) in &row.outcomes {
        *sum.outcomes.entry(*outcome).or_default() += n;
    }
}

fn report_row(row: BurnRow, objectives: &BTreeMap<Name, f64>) -> ReportRow {
    let objective = objectives.get(&row.key.tier).copied().unwrap_or_default();
    let burn: BTreeMap<Window, f64> = row
        .windows
        .iter()
        .map(|(window, count)| (*window, count.burn(objective)))
        .collect();
    ReportRow {
        objective,
        budget_left: 1.0 - burn.get(&Window::SixHours).copied().unwrap_or_default(),
        alert: alert(&row.windows, objective),
        burn,
        key: row.key,
        windows: row.windows,
        outcomes: row.outcomes,
    }
}

fn request_count(outcomes: &BTreeMap<Outcome, u64>) -> RequestCount {
    let counted = outcomes
        .iter()
        .filter(|(outcome, _)| outcome.counts_for_objective());
    let mut count = RequestCount::default();
    for (outcome, n) in counted {
        count.total += n;
        count.bad += if *outcome == Outcome::good { 0 } else { *n };
    }
    count
}

fn sort_by_bad_requests(upstreams: BTreeMap<Name, RequestCount>) -> Vec<UpstreamRow> {
    let mut rows: Vec<UpstreamRow> = upstreams
        .into_iter()
        .map(|(upstream, count)| UpstreamRow { upstream, count })
        .collect();
    rows.sort_by_key(|row| std::cmp::Reverse(row.count.bad));
    rows
}
