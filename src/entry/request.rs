//! From a caller's HTTP request to one that can be scheduled.

use std::time::Duration;

use actix_http::Method;
use actix_http::RequestHead;
use actix_http::header;
use actix_http::header::HeaderMap;
use bytes::Bytes;

use crate::dialect::Dialect;
use crate::entry::auth::KeyTable;
use crate::entry::error::CallerError;
use crate::headers::end_to_end;
use crate::ids::RequestId;
use crate::name::Name;
use crate::settings::Route;
use crate::settings::RouteKind;
use crate::settings::Settings;
use crate::settings::Upstream;
use crate::settings::UpstreamKind;
use crate::ticket::Work;
use crate::upstream_request::UpstreamRequest;
use crate::wait_cache::RequestClass;

/// By this header a caller lowers the tier.
pub const TIER_HEADER: &str = "x-almondramp-tier";

/// By this header a caller shortens the deadline, in milliseconds.
pub const DEADLINE_HEADER: &str = "x-almondramp-deadline-ms";

const BEARER: &str = "Bearer ";

/// Under this name are counted requests on routes that need no key.
pub const PUBLIC: &str = "public";

/// The part of the deadline within which an answer should begin, where the
/// route names no objective.
const OBJECTIVE_PART: u32 = 2;

/// How long a request that was left waiting may wait for room, in objectives:
/// an answer that begins late is still worth having.
const PATIENCE: f64 = 1.3;

/// Ranks of routes that are told apart within the tier of an organisation.
const ROUTE_RANKS: u8 = 8;

/// The lowest rank in which a request waits.
const LOWEST_RANK: u8 = 120;

/// The longest expected wait with which a request is left waiting, as a part
/// of its objective. The rest is for its prompt.
const WAIT_PART: f64 = 0.4;

/// What the head of a request says: whose it is, where it goes, how urgent.
#[derive(Clone, Debug)]
pub struct Admission {
    /// The organisation that the key names.
    pub organisation: Name,
    /// The route that the path leads to.
    pub route: Route,
    /// The tier.
    pub tier: Name,
    /// The rank in which it waits; 0 is the highest.
    pub order: u8,
    /// The time within which the answer is useful.
    pub deadline: Duration,
    /// The time within which the answer should begin.
    pub objective: Duration,
    /// The model or service that is to answer, where the route decides.
    pub service: Option<Name>,
}

/// A request that can be scheduled.
#[derive(Clone, Debug)]
pub struct Job {
    /// What the head says.
    pub admission: Admission,
    /// What the upstream receives.
    pub upstream_request: UpstreamRequest,
    /// The model or service that is to answer.
    pub target: Name,
    /// What the work is believed to take.
    pub work: Work,
    /// The most tokens that it counts for.
    pub most_tokens: u64,
    /// Chained hashes of the prompt's chunks.
    pub prefix: Vec<u64>,
    /// Whether running it twice would do no harm.
    pub idempotent: bool,
    /// Whether the work is worth nothing once the caller has gone.
    pub cancellable: bool,
    /// The last event that the caller has received before.
    pub last_event: Option<u64>,
    /// The caller's own id of the request.
    pub caller_id: Option<Name>,
}

impl Admission {
    /// Reads the head of a request. `draw` chooses among the services of a
    /// route in proportion to their weights.
    pub fn new<F>(
        head: &RequestHead,
        dialect: &dyn Dialect,
        settings: &Settings,
        keys: &KeyTable,
        draw: F,
    ) -> Result<Self, CallerError>
    where
        F: FnOnce(u32) -> u32,
    {
        let path = head.uri.path();
        let found = find_route(settings, host_of(head), path);
        let (route_name, route) = found.ok_or(CallerError::NoRoute)?;
        let organisation = match route.public {
            true => Name::new(PUBLIC),
            false => authenticate(&head.headers, keys)?,
        };
        if route.kind == RouteKind::Model && head.method != Method::POST {
            return Err(CallerError::Method);
        }
        let tier = choose_tier(settings, &organisation, route_name, route)?;
        let tier = lower_tier(settings, tier, dialect.tier(head)?)?;
        let rank = settings.tiers.get(&tier).ok_or(CallerError::NotReady)?;
        let deadline = route.deadline.unwrap_or(rank.deadline);
        let deadline = dialect
            .deadline(head)?
            .map_or(deadline, |d| d.min(deadline));
        let objective = route.objective.unwrap_or(deadline / OBJECTIVE_PART);
        Ok(Self {
            order: order(settings, &organisation, route, rank.order),
            organisation,
            route: route.clone(),
            tier,
            deadline,
            objective,
            service: choose_service(route, draw),
        })
    }

    /// The longest useful wait for room.
    pub fn patience(&self) -> Duration {
        self.objective.mul_f64(PATIENCE).min(self.deadline)
    }

    /// The longest expected wait with which it is left waiting.
    pub fn longest_wait(&self) -> Duration {
        self.objective.mul_f64(WAIT_PART)
    }

    /// Completes the request by its body.
    pub fn with_body(
        self,
        head: &RequestHead,
        dialect: &dyn Dialect,
        settings: &Settings,
        body: Bytes,
    ) -> Result<Job, CallerError> {
        let upstream_request = new_upstream_request(head, dialect, body);
        let caller_id = dialect.request_id(head);
        let method = Name::new(head.method.as_str());
        let by_method = self.route.idempotent_methods.contains(&method);
        let idempotent = self.route.idempotent.unwrap_or(by_method);
        if self.route.kind == RouteKind::Service {
            let target = self.service.clone().ok_or(CallerError::NoRoute)?;
            return Ok(Job {
                upstream_request,
                target,
                work: Work::default(),
                most_tokens: 0,
                prefix: Vec::new(),
                idempotent,
                cancellable: idempotent,
                last_event: None,
                caller_id,
                admission: self,
            });
        }
        let prompt = dialect.parse_prompt(head, &upstream_request.body)?;
        let target = self.service.clone().or(prompt.model);
        let target = target.ok_or(CallerError::NoRoute)?;
        let serves = |u: &Upstream| serves(u, RouteKind::Model, &target);
        if !settings.limits.discovered && !settings.upstreams.values().any(serves) {
            return Err(CallerError::UnknownModel(target));
        }
        Ok(Job {
            upstream_request,
            target,
            work: prompt.work,
            most_tokens: prompt.most_tokens,
            prefix: prompt.prefix,
            idempotent: self.route.resumable || self.route.idempotent.unwrap_or_default(),
            cancellable: true,
            last_event: last_event(head),
            caller_id,
            admission: self,
        })
    }
}

impl Job {
    /// The id under which the request is logged: the caller's own, if it has
    /// one.
    pub fn logged_id(&self, request: RequestId) -> Name {
        match &self.caller_id {
            Some(id) => id.clone(),
            None => Name::new(&request.to_string()),
        }
    }

    /// Whose requests wait for what.
    pub fn request_class(&self) -> RequestClass {
        RequestClass {
            service: self.target.clone(),
            order: self.admission.order,
            organisation: self.admission.organisation.clone(),
        }
    }
}

/// Whether `upstream` can run what a route of this kind sends to `target`.
pub fn serves(upstream: &Upstream, kind: RouteKind, target: &Name) -> bool {
    let fits = matches!(
        (upstream.kind, kind),
        (UpstreamKind::Model, RouteKind::Model) | (UpstreamKind::Service, RouteKind::Service)
    );
    fits && upstream.serves.contains(target)
}

fn authenticate(headers: &HeaderMap, keys: &KeyTable) -> Result<Name, CallerError> {
    let value = headers.get(header::AUTHORIZATION);
    let value = value.and_then(|v| v.to_str().ok());
    let key = value.and_then(|v| v.strip_prefix(BEARER));
    let key = key.ok_or(CallerError::MissingKey)?;
    keys.find(key.trim()).ok_or(CallerError::UnknownKey)
}

/// The route of a path on a host: the whole path of a model, or the longest
/// prefix that ends at a slash.
fn find_route<'a>(
    settings: &'a Settings,
    host: Option<&str>,
    path: &str,
) -> Option<(&'a Name, &'a Route)> {
    let matches = |route: &Route| {
        let is_host = |name: &Name| host.is_some_and(|h| h.eq_ignore_ascii_case(name));
        route.host.as_ref().is_none_or(is_host) && matches_path(route, path)
    };
    settings
        .routes
        .iter()
        .filter(|(_, route)| matches(route))
        .max_by_key(|(_, route)| (path == route.path.as_str(), route.path.len()))
}

fn matches_path(route: &Route, path: &str) -> bool {
    if route.kind == RouteKind::Model && !route.path.ends_with('/') {
        return path == route.path.as_str();
    }
    path.strip_prefix(route.path.trim_end_matches('/'))
        .is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
}

/// The host that the caller names, without a port.
fn host_of(head: &RequestHead) -> Option<&str> {
    let host = head.headers.get(header::HOST)?.to_str().ok()?;
    Some(host.rsplit_once(':').map_or(host, |(name, _)| name))
}

fn choose_tier(
    settings: &Settings,
    organisation: &Name,
    route_name: &Name,
    route: &Route,
) -> Result<Name, CallerError> {
    let Some(owner) = settings.organisations.get(organisation) else {
        return match route.public {
            true => Ok(public_tier(settings, route).ok_or(CallerError::NotReady)?),
            false => Err(CallerError::UnknownKey),
        };
    };
    if owner.tier_first {
        return Ok(owner.tier.clone());
    }
    let own = owner.tiers.get(route_name);
    Ok(own.or(route.tier.as_ref()).unwrap_or(&owner.tier).clone())
}

/// The tier of requests without an organisation: the route's, or the lowest.
fn public_tier(settings: &Settings, route: &Route) -> Option<Name> {
    let lowest = settings.tiers.iter().max_by_key(|(_, tier)| tier.order);
    route.tier.clone().or(lowest.map(|(name, _)| name.clone()))
}

/// The rank in which a request waits. Where the organisation's tier goes
/// before the route's, the route's decides among requests of equal rank.
fn order(settings: &Settings, organisation: &Name, route: &Route, rank: u8) -> u8 {
    let owner = settings.organisations.get(organisation);
    if !owner.is_some_and(|o| o.tier_first) {
        return rank.saturating_mul(ROUTE_RANKS).min(LOWEST_RANK);
    }
    let tier = route.tier.as_ref().and_then(|t| settings.tiers.get(t));
    let within = tier.map_or(0, |t| t.order.min(ROUTE_RANKS - 1));
    let rank = rank.saturating_mul(ROUTE_RANKS);
    rank.saturating_add(within).min(LOWEST_RANK)
}

fn lower_tier(settings: &Settings, tier: Name, wanted: Option<Name>) -> Result<Name, CallerError> {
    let Some(wanted) = wanted else {
        return Ok(tier);
    };
    let rank = |name: &str| settings.tiers.get(name).map(|t| t.order);
    let invalid = CallerError::InvalidHeader(TIER_HEADER);
    let lower = rank(&wanted).ok_or(invalid)? > rank(&tier).unwrap_or_default();
    Ok(if lower { wanted } else { tier })
}

fn choose_service<F>(route: &Route, draw: F) -> Option<Name>
where
    F: FnOnce(u32) -> u32,
{
    let total: u32 = route.split.values().sum();
    if total == 0 {
        return route.service.clone();
    }
    let mut drawn = draw(total);
    for (name, weight) in &route.split {
        if drawn < *weight {
            return Some(name.clone());
        }
        drawn -= weight;
    }
    None
}

fn last_event(head: &RequestHead) -> Option<u64> {
    let value = head.headers.get("last-event-id")?;
    value.to_str().ok()?.parse().ok()
}

fn new_upstream_request(head: &RequestHead, dialect: &dyn Dialect, body: Bytes) -> UpstreamRequest {
    let path = head.uri.path_and_query();
    let host = head.headers.get(header::HOST);
    UpstreamRequest {
        method: Name::new(head.method.as_str()),
        host: host.and_then(|h| h.to_str().ok()).map(Name::new),
        path: Name::new(path.map_or("/", |p| p.as_str())),
        headers: end_to_end(&head.headers, dialect.stripped_headers()),
        body,
    }
}
