//! Describes the differences between two versions of the settings in terms of callers.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::fmt;
use std::time::Duration;

use serde::Serialize;

use super::capacity::capacity_effects;
use crate::name::Name;
use crate::settings::Organisation;
use crate::settings::QuotaUnit;
use crate::settings::Route;
use crate::settings::Settings;
use crate::settings::Tier;

/// Smallest share of requests that is reported as moved: half of the precision of the report.
const MIN_MOVED_SHARE: f64 = 0.0005;

/// Part of the settings that an effect is about.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "lowercase")]
pub enum Area {
    /// Requests to a path.
    Route,
    /// Requests of an organisation.
    Organisation,
    /// Upstreams of a service.
    Service,
    /// Requests of a tier.
    Tier,
}

/// What changes for some callers.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Effect {
    /// Part of the settings.
    pub area: Area,
    /// Path, organisation, service or tier.
    pub subject: String,
    /// What changes.
    pub description: String,
}

impl Effect {
    pub(super) fn new(area: Area, subject: &str, description: String) -> Self {
        Self {
            area,
            subject: subject.to_owned(),
            description,
        }
    }
}

impl fmt::Display for Effect {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let subject = &self.subject;
        match self.area {
            Area::Route => write!(f, "requests to {subject} {}", self.description),
            Area::Organisation => write!(f, "requests of {subject} {}", self.description),
            Area::Service => write!(f, "service {subject} {}", self.description),
            Area::Tier => write!(f, "requests of tier {subject} {}", self.description),
        }
    }
}

/// Returns what changes for callers between two versions.
pub fn effects(before: &Settings, after: &Settings) -> Vec<Effect> {
    let mut effects = route_effects(before, after);
    effects.extend(organisation_effects(before, after));
    effects.extend(tier_effects(before, after));
    effects.extend(capacity_effects(before, after));
    effects
}

fn route_effects(before: &Settings, after: &Settings) -> Vec<Effect> {
    let routes = before.routes.values().chain(after.routes.values());
    let paths: BTreeSet<(Option<&Name>, &Name)> =
        routes.map(|r| (r.host.as_ref(), &r.path)).collect();
    let mut effects = Vec::new();
    for (host, path) in paths {
        let find = |settings: &Settings| {
            let found = settings.routes.find(host.map(Name::as_str), path);
            found.map(|(_, route)| Route::clone(route))
        };
        let subject = format!("{}{path}", host.map_or("", Name::as_str));
        let descriptions = match (find(before), find(after)) {
            (None, None) => Vec::new(),
            (None, Some(route)) => vec![format!("are served by {}", join_targets(&route))],
            (Some(_), None) => vec!["are refused, no route matches them".to_owned()],
            (Some(before), Some(after)) => compare_routes(&before, &after),
        };
        effects.extend(
            descriptions
                .into_iter()
                .map(|d| Effect::new(Area::Route, &subject, d)),
        );
    }
    effects
}

fn compare_routes(before: &Route, after: &Route) -> Vec<String> {
    let mut descriptions = moves(&shares(before), &shares(after));
    if before.public != after.public {
        descriptions.push(match after.public {
            true => "need no API key any more".to_owned(),
            false => "are refused without an API key".to_owned(),
        });
    }
    let mut compare = |what: &str, before: String, after: String| {
        if before != after {
            descriptions.push(format!("get {what} {after} instead of {before}"));
        }
    };
    let attempts = |route: &Route| route.attempts.to_string();
    compare("attempts", attempts(before), attempts(after));
    compare("timeout", time(before.timeout), time(after.timeout));
    compare("objective", time(before.objective), time(after.objective));
    compare("deadline", time(before.deadline), time(after.deadline));
    compare("pause", time(before.pause), time(after.pause));
    let tier = |route: &Route| route.tier.as_deref().unwrap_or("of the caller").to_owned();
    compare("tier", tier(before), tier(after));
    if before.resumable != after.resumable {
        let not = if after.resumable { "" } else { "not " };
        descriptions.push(format!("can {not}be resumed after an interruption"));
    }
    let may_rerun = |r: &Route| (r.idempotent, r.idempotent_methods.clone());
    if may_rerun(before) != may_rerun(after) {
        descriptions.push("follow other rules on when they may run twice".to_owned());
    }
    descriptions
}

/// Returns the share of a route's requests that each of its services gets.
fn shares(route: &Route) -> BTreeMap<String, f64> {
    let total: u64 = route.split.values().map(|w| u64::from(*w)).sum();
    if total == 0 {
        let by_body = || "upstreams of their model".to_owned();
        let target = route.service.as_ref().map_or_else(by_body, Name::to_string);
        return BTreeMap::from([(target, 1.0)]);
    }
    let share = |weight: u32| f64::from(weight) / total as f64;
    let split = route.split.iter().filter(|(_, weight)| **weight > 0);
    split
        .map(|(name, weight)| (name.to_string(), share(*weight)))
        .collect()
}

fn join_targets(route: &Route) -> String {
    let targets: Vec<String> = shares(route).into_keys().collect();
    targets.join(", ")
}

/// Describes which share moves from which services to which. Losses are matched with gains in
/// the order of the names, which describes the result, not what happens to single requests.
fn moves(before: &BTreeMap<String, f64>, after: &BTreeMap<String, f64>) -> Vec<String> {
    let gain = |name: &String| {
        let share = |shares: &BTreeMap<String, f64>| shares.get(name).copied().unwrap_or(0.0);
        share(after) - share(before)
    };
    let names: BTreeSet<&String> = before.keys().chain(after.keys()).collect();
    let mut gains: Vec<(&String, f64)> = names.iter().map(|n| (*n, gain(n))).collect();
    let losses: Vec<(&String, f64)> = gains.iter().filter(|(_, g)| *g < 0.0).copied().collect();
    gains.retain(|(_, gain)| *gain > 0.0);
    let mut descriptions = Vec::new();
    for (from, loss) in losses {
        let mut left = -loss;
        for (to, gain) in &mut gains {
            let moved = left.min(*gain);
            left -= moved;
            *gain -= moved;
            if moved >= MIN_MOVED_SHARE {
                let percent = (moved * 1000.0).round() / 10.0;
                descriptions.push(format!("move from {from} to {to}: {percent}%"));
            }
        }
    }
    descriptions
}

fn organisation_effects(before: &Settings, after: &Settings) -> Vec<Effect> {
    let (old, new) = (&before.organisations, &after.organisations);
    let names: BTreeSet<&Name> = old.keys().chain(new.keys()).collect();
    let mut effects = Vec::new();
    for name in names {
        let descriptions = match (old.get(name), new.get(name)) {
            (Some(before), Some(after)) => compare_organisations(before, after),
            (Some(_), None) => vec!["are refused, their keys are unknown".to_owned()],
            (None, _) => vec!["are admitted".to_owned()],
        };
        let descriptions = descriptions.into_iter();
        effects.extend(descriptions.map(|d| Effect::new(Area::Organisation, name, d)));
    }
    effects
}

fn compare_organisations(before: &Organisation, after: &Organisation) -> Vec<String> {
    let mut descriptions = Vec::new();
    let lost = before.keys.iter().filter(|key| !after.keys.contains(key));
    let lost = lost.count();
    if lost > 0 {
        descriptions.push(format!("with {lost} of their keys are refused"));
    }
    let gained = after.keys.iter().filter(|key| !before.keys.contains(key));
    let gained = gained.count();
    if gained > 0 {
        descriptions.push(format!("are admitted with {gained} more keys"));
    }
    let mut compare = |what: &str, before: String, after: String| {
        if before != after {
            descriptions.push(format!("get {what} {after} instead of {before}"));
        }
    };
    compare("quota", quota(before), quota(after));
    let concurrency = |o: &Organisation| {
        let limit = o.concurrency.map(|limit| limit.to_string());
        limit.unwrap_or_else(|| "unlimited".to_owned())
    };
    compare("concurrency", concurrency(before), concurrency(after));
    compare(
        "weight",
        before.weight.to_string(),
        after.weight.to_string(),
    );
    compare("tier", before.tier.to_string(), after.tier.to_string());
    if before.tiers != after.tiers || before.tier_first != after.tier_first {
        descriptions.push("get other tiers on some routes".to_owned());
    }
    descriptions
}

fn quota(organisation: &Organisation) -> String {
    let Some(rate) = organisation.quota else {
        return "unlimited".to_owned();
    };
    let unit = match rate.unit {
        QuotaUnit::Requests => "requests",
        QuotaUnit::Tokens => "tokens",
    };
    let (per_second, burst, plain) = (rate.per_second, rate.burst, rate.plain);
    match rate.unit {
        QuotaUnit::Requests => format!("{per_second} {unit}/s (burst {burst})"),
        QuotaUnit::Tokens => format!("{per_second} {unit}/s (burst {burst}, plain {plain})"),
    }
}

fn tier_effects(before: &Settings, after: &Settings) -> Vec<Effect> {
    let mut effects = Vec::new();
    for (name, old) in before.tiers.iter() {
        let Some(new) = after.tiers.get(name) else {
            continue;
        };
        let mut compare = |what: &str, before: String, after: String| {
            if before != after {
                let description = format!("get {what} {after} instead of {before}");
                effects.push(Effect::new(Area::Tier, name, description));
            }
        };
        let objective = |tier: &Tier| tier.objective.to_string();
        compare("order", old.order.to_string(), new.order.to_string());
        compare(
            "deadline",
            time(Some(old.deadline)),
            time(Some(new.deadline)),
        );
        compare("objective", objective(old), objective(new));
    }
    effects
}

fn time(duration: Option<Duration>) -> String {
    let text = duration.map(|d| humantime::format_duration(d).to_string());
    text.unwrap_or_else(|| "by default".to_owned())
}
