//! Finds limits that contradict each other.

use std::time::Duration;

use super::Cause;
use super::Warnings;
use crate::quota::QuotaBounds;
use crate::retry_budget::RetryBounds;
use crate::settings::QuotaRate;
use crate::settings::QuotaUnit;
use crate::settings::Route;
use crate::settings::RouteKind;
use crate::settings::Settings;
use crate::settings::UpstreamKind;
use crate::settings::join;

/// Reports limits that contradict each other.
pub fn check(settings: &Settings, warnings: &mut Warnings<'_>) {
    for (name, organisation) in settings.organisations.iter() {
        if let Some(rate) = organisation.quota {
            let key = format!("{}.quota", join("organisations", name));
            check_quota(settings, key, rate, warnings);
        }
    }
    for (name, route) in settings.routes.iter() {
        let key = join("routes", name);
        check_times(settings, &key, route, warnings);
        check_attempts(settings, &key, route, warnings);
    }
}

fn check_quota(settings: &Settings, key: String, rate: QuotaRate, warnings: &mut Warnings<'_>) {
    let bounds = QuotaBounds {
        window: settings.limits.quota_window,
        over: settings.limits.quota_over,
        slack: settings.limits.quota_slack,
    };
    let allowed = bounds.allowed(rate);
    let request = match rate.unit {
        QuotaUnit::Requests => Some(1.0),
        QuotaUnit::Tokens => {
            let is_plain = |r: &Route| r.kind == RouteKind::Service;
            let has_plain = settings.routes.values().any(|route| is_plain(route));
            let plain = has_plain.then_some(rate.plain as f64);
            let prompt = slot_tokens(settings);
            [plain, prompt].into_iter().flatten().reduce(f64::max)
        }
    };
    if let Some(request) = request.filter(|request| allowed < *request) {
        warnings.report(key, Cause::QuotaBelowRequest { allowed, request });
    }
}

/// Returns the tokens of one slot of the engine where they are fewest; `None` if the memory
/// of no engine is known.
fn slot_tokens(settings: &Settings) -> Option<f64> {
    let listed = settings.upstreams.values();
    let listed = listed.map(|u| (u.kind, u.memory_tokens, u.slots));
    let discovered = settings.services.values();
    let discovered = discovered.map(|s| (s.kind, s.memory_tokens, s.slots));
    let models = listed.chain(discovered);
    let models = models.filter(|(kind, _, _)| *kind == UpstreamKind::Model);
    let tokens = models.filter_map(|(_, memory, slots)| Some((memory?, slots.max(1))));
    let per_slot = tokens.map(|(memory, slots)| memory / u64::from(slots));
    per_slot.min().map(|tokens| tokens as f64)
}

fn check_times(settings: &Settings, key: &str, route: &Route, warnings: &mut Warnings<'_>) {
    let (limit_key, limit) = match route.timeout {
        Some(timeout) => (format!("{key}.timeout"), timeout),
        None => ("limits.run".to_owned(), settings.limits.run),
    };
    let mut compare = |name: &str, time: Option<Duration>| {
        if time.is_some_and(|time| time > limit) {
            warnings.report(format!("{key}.{name}"), Cause::Longer(limit_key.clone()));
        }
    };
    compare("objective", route.objective);
    compare("pause", route.pause);
    let deadline = route.deadline;
    if deadline.zip(route.objective).is_some_and(|(d, o)| o > d) {
        let cause = Cause::Longer(format!("{key}.deadline"));
        warnings.report(format!("{key}.objective"), cause);
    }
}

fn check_attempts(settings: &Settings, key: &str, route: &Route, warnings: &mut Warnings<'_>) {
    let limits = &settings.limits;
    // With any share of the requests, enough requests allow any number of retries.
    if limits.retry_ratio > 0.0 {
        return;
    }
    let bounds = RetryBounds {
        ratio: limits.retry_ratio,
        slack: limits.retry_slack,
        window: limits.retry_window,
        entries: 1,
    };
    let retries = bounds.max_retries(1);
    if f64::from(route.attempts.saturating_sub(1)) > retries.floor() {
        let cause = Cause::AttemptsAboveBudget(retries as u64);
        warnings.report(format!("{key}.attempts"), cause);
    }
}
