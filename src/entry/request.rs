//! Converts HTTP requests of callers into jobs that can be scheduled.

use std::rc::Rc;
use std::time::Duration;

use actix_http::Method;
use actix_http::RequestHead;
use actix_http::header;
use actix_http::header::HeaderMap;
use bytes::Bytes;

use crate::admission::RequestClass;
use crate::admission::Urgency;
use crate::dialect::Dialect;
use crate::entry::auth::KeyTable;
use crate::entry::error::CallerError;
use crate::entry::zone_balance::Placed;
use crate::headers::end_to_end;
use crate::ids::RequestId;
use crate::name::Name;
use crate::prompt_parts::PartId;
use crate::settings::Route;
use crate::settings::RouteKind;
use crate::settings::Settings;
use crate::settings::Upstream;
use crate::settings::UpstreamKind;
use crate::stream_origins::StreamId;
use crate::ticket::Work;
use crate::upstream_request::RequestDigest;
use crate::upstream_request::UpstreamRequest;

/// Header by which a caller requests a lower tier than its own.
pub const TIER_HEADER: &str = "x-almondramp-tier";

/// Header by which a caller sets a shorter deadline, in milliseconds.
pub const DEADLINE_HEADER: &str = "x-almondramp-deadline-ms";

const BEARER_PREFIX: &str = "Bearer ";

/// Organisation name under which requests on public routes are counted. An organisation can be
/// named "public".
const PUBLIC_ORGANISATION: &str = "(public)";

/// The objective of a route that sets none is the deadline divided by this.
const DEFAULT_OBJECTIVE_DIVISOR: u32 = 2;

/// Number of scheduling ranks within one tier, to order the requests of an
/// organisation by their routes.
const RANKS_PER_TIER: u8 = 8;

/// Lowest scheduling rank of a request; 0 is the highest.
const LOWEST_RANK: u8 = 120;

/// Organisation, route and urgency of a request, as read from its head.
#[derive(Clone, Debug)]
pub struct Admission {
    /// The organisation that owns the API key, or [`PUBLIC_ORGANISATION`] on a
    /// public route.
    pub organisation: Name,
    /// The route that matches the host and path.
    pub route: Rc<Route>,
    /// The name of the route.
    pub route_name: Name,
    /// How long the caller has been trying: zero at its first attempt.
    pub tried_for: Duration,
    /// Whether the request resumes a stream.
    pub resumes: bool,
    /// The tier of the request.
    pub tier: Name,
    /// The scheduling rank; 0 is the highest.
    pub rank: u8,
    /// The time from arrival within which the answer is useful.
    pub deadline: Duration,
    /// The time from arrival within which the answer should start.
    pub objective: Duration,
    /// The model or service to use, where the route decides; otherwise the body
    /// names the model. The final choice is `Job::target`.
    pub service: Option<Name>,
    /// Where the request is offered; as usual until that is decided.
    pub placed: Placed,
}

/// Complete request of a caller, with the data for scheduling it.
#[derive(Clone, Debug)]
pub struct Job {
    /// The properties read from the head.
    pub admission: Admission,
    /// The request that is sent to the upstream.
    pub upstream_request: UpstreamRequest,
    /// The model or service to use.
    pub target: Name,
    /// The estimated work.
    pub work: Work,
    /// Upper bound on the tokens of the prompt and the answer together, which is
    /// charged to the quota; zero for a plain service.
    pub max_total_tokens: u64,
    /// Chained hashes of the prompt's chunks.
    pub prefix: Vec<u64>,
    /// Parts of the prompt that other requests may share.
    pub parts: Vec<PartId>,
    /// Digest of the whole request.
    pub digest: RequestDigest,
    /// Whether the request can safely run more than once.
    pub idempotent: bool,
    /// Whether the work is useless, and is cancelled, once the caller has
    /// disconnected.
    pub cancellable: bool,
    /// The last event that the caller received before this request, where it
    /// resumes a stream.
    pub last_event: Option<u64>,
    /// The request that brought the first event of the stream that this one resumes,
    /// if the caller names it.
    pub resumes: Option<Name>,
    /// The request id that the caller assigned.
    pub caller_id: Option<Name>,
}

impl Admission {
    /// Reads the head of a request.
    ///
    /// `random_below(total)` returns a random number below `total`. It selects
    /// one of the services of a route in proportion to their weights.
    pub fn new<F>(
        head: &RequestHead,
        dialect: &dyn Dialect,
        settings: &Settings,
        keys: &KeyTable,
        random_below: F,
    ) -> Result<Self, CallerError>
    where
        F: FnOnce(u32) -> u32,
    {
        let path = head.uri.path();
        let matched = settings.routes.find(request_host(head), path);
        let (route_name, route) = matched.ok_or(CallerError::NoRoute)?;
        let organisation = match route.public {
            true => Name::new(PUBLIC_ORGANISATION),
            false => authenticate(&head.headers, keys)?,
        };
        if route.kind == RouteKind::Model && head.method != Method::POST {
            return Err(CallerError::MethodNotAllowed);
        }
        let tier = resolve_tier(settings, &organisation, route_name, route)?;
        let tier = apply_requested_tier(settings, tier, dialect.tier(head)?)?;
        let tier_settings = settings.tiers.get(&tier).ok_or(CallerError::NotReady)?;
        let deadline = route.deadline.unwrap_or(tier_settings.deadline);
        let deadline = dialect
            .deadline(head)?
            .map_or(deadline, |d| d.min(deadline));
        let objective = route
            .objective
            .unwrap_or(deadline / DEFAULT_OBJECTIVE_DIVISOR);
        Ok(Self {
            rank: scheduling_rank(settings, &organisation, route, tier_settings.order),
            organisation,
            route: Rc::clone(route),
            route_name: route_name.clone(),
            tried_for: Duration::ZERO,
            resumes: resumes_stream(route, head),
            tier,
            deadline,
            objective,
            service: pick_service(route, random_below),
            placed: Placed::default(),
        })
    }

    /// Returns the times by which the request is admitted.
    pub fn urgency(&self) -> Urgency {
        Urgency {
            objective: self.objective,
            deadline: self.deadline,
            tried_for: self.tried_for,
            resumes: self.resumes,
        }
    }

    /// Returns the rank by which an entry that is full chooses what to evict. Overdue
    /// requests go before the others of their rank.
    pub fn eviction_rank(&self) -> u8 {
        self.rank * 2 + u8::from(self.urgency().is_overdue())
    }

    /// Returns the class of requests for `service` with the same organisation and
    /// rank.
    pub fn request_class(&self, service: &Name) -> RequestClass {
        RequestClass {
            service: service.clone(),
            rank: self.rank,
            overdue: self.urgency().is_overdue(),
            organisation: self.organisation.clone(),
        }
    }

    /// Completes the request with its body.
    pub fn into_job(
        self,
        head: &RequestHead,
        dialect: &dyn Dialect,
        settings: &Settings,
        body: Bytes,
    ) -> Result<Job, CallerError> {
        let upstream_request = new_upstream_request(head, dialect, body);
        let digest = upstream_request.digest(&self.organisation);
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
                max_total_tokens: 0,
                prefix: Vec::new(),
                parts: Vec::new(),
                digest,
                idempotent: idempotent || self.route.resumable,
                cancellable: idempotent || self.route.resumable,
                last_event: parse_last_event(head).filter(|_| self.route.resumable),
                resumes: dialect.resumed_request(head),
                caller_id,
                admission: self,
            });
        }
        let prompt = dialect.parse_prompt(head, &upstream_request.body)?;
        let target = self.service.clone().or(prompt.model);
        let target = target.ok_or(CallerError::NoRoute)?;
        let serves = |u: &Upstream| serves(u, RouteKind::Model, &target);
        // Discovered upstreams are not listed in the settings, so the model may be
        // served even if no listed upstream serves it.
        if !settings.limits.discovered && !settings.upstreams.values().any(serves) {
            return Err(CallerError::UnknownModel(target));
        }
        Ok(Job {
            upstream_request,
            target,
            work: prompt.work,
            max_total_tokens: prompt.max_total_tokens,
            prefix: prompt.prefix,
            parts: prompt.parts,
            digest,
            idempotent: self.route.resumable || self.route.idempotent.unwrap_or_default(),
            cancellable: true,
            last_event: parse_last_event(head),
            resumes: dialect.resumed_request(head),
            caller_id,
            admission: self,
        })
    }
}

impl Job {
    /// Returns the id to log: the caller's id where it assigned one, otherwise
    /// `request`.
    pub fn logged_id(&self, request: RequestId) -> Name {
        match &self.caller_id {
            Some(id) => id.clone(),
            None => Name::new(&request.to_string()),
        }
    }

    /// Returns whether the request resumes a stream that an upstream has begun.
    pub fn resumes_stream(&self) -> bool {
        self.admission.route.resumable && self.last_event.is_some()
    }

    /// Returns the stream that the answer to `request` begins or continues.
    pub fn stream(&self, request: RequestId) -> StreamId {
        let began = self.resumes.clone();
        let began = began.unwrap_or_else(|| self.logged_id(request));
        StreamId::new(&self.admission.organisation, &began)
    }

    /// Returns the class of requests with the same organisation, rank and target.
    pub fn request_class(&self) -> RequestClass {
        self.admission.request_class(&self.target)
    }
}

/// Returns whether `upstream` can run requests for `target` on routes of this
/// kind.
pub fn serves(upstream: &Upstream, kind: RouteKind, target: &Name) -> bool {
    let kind_matches = matches!(
        (upstream.kind, kind),
        (UpstreamKind::Model, RouteKind::Model) | (UpstreamKind::Service, RouteKind::Service)
    );
    kind_matches && upstream.serves.contains(target)
}

fn authenticate(headers: &HeaderMap, keys: &KeyTable) -> Result<Name, CallerError> {
    let value = headers.get(header::AUTHORIZATION);
    let value = value.and_then(|v| v.to_str().ok());
    let key = value.and_then(|v| v.strip_prefix(BEARER_PREFIX));
    let key = key.ok_or(CallerError::MissingApiKey)?;
    keys.find(key.trim()).ok_or(CallerError::UnknownApiKey)
}

/// Returns the host name in the `Host` header, without the port.
fn request_host(head: &RequestHead) -> Option<&str> {
    let host = head.headers.get(header::HOST)?.to_str().ok()?;
    // The colons of an IPv6 address are inside of brackets.
    let port = host.rfind(':').filter(|at| !host[*at..].contains(']'));
    Some(port.map_or(host, |at| &host[..at]))
}

fn resolve_tier(
    settings: &Settings,
    organisation: &Name,
    route_name: &Name,
    route: &Route,
) -> Result<Name, CallerError> {
    let Some(organisation_settings) = settings.organisations.get(organisation) else {
        return match route.public {
            true => Ok(public_tier(settings, route).ok_or(CallerError::NotReady)?),
            false => Err(CallerError::UnknownApiKey),
        };
    };
    if organisation_settings.tier_first {
        return Ok(organisation_settings.tier.clone());
    }
    let override_tier = organisation_settings.tiers.get(route_name);
    Ok(override_tier
        .or(route.tier.as_ref())
        .unwrap_or(&organisation_settings.tier)
        .clone())
}

/// Returns the tier of requests without an organisation: the tier of the route,
/// or the lowest tier.
fn public_tier(settings: &Settings, route: &Route) -> Option<Name> {
    let lowest = settings.tiers.iter().max_by_key(|(_, tier)| tier.order);
    route.tier.clone().or(lowest.map(|(name, _)| name.clone()))
}

/// Returns the scheduling rank of a request.
///
/// Where the organisation's tier takes precedence (`tier_first`), the tier of
/// the route orders the requests within it.
fn scheduling_rank(settings: &Settings, organisation: &Name, route: &Route, tier_order: u8) -> u8 {
    let organisation_settings = settings.organisations.get(organisation);
    if !organisation_settings.is_some_and(|o| o.tier_first) {
        return tier_order.saturating_mul(RANKS_PER_TIER).min(LOWEST_RANK);
    }
    let route_tier = route.tier.as_ref().and_then(|t| settings.tiers.get(t));
    let rank_in_tier = route_tier.map_or(0, |t| t.order.min(RANKS_PER_TIER - 1));
    let rank = tier_order.saturating_mul(RANKS_PER_TIER);
    rank.saturating_add(rank_in_tier).min(LOWEST_RANK)
}

fn apply_requested_tier(
    settings: &Settings,
    tier: Name,
    requested: Option<Name>,
) -> Result<Name, CallerError> {
    let Some(requested) = requested else {
        return Ok(tier);
    };
    let order_of = |name: &str| settings.tiers.get(name).map(|t| t.order);
    let invalid = CallerError::InvalidHeader(TIER_HEADER);
    let is_lower = order_of(&requested).ok_or(invalid)? > order_of(&tier).unwrap_or_default();
    Ok(if is_lower { requested } else { tier })
}

fn pick_service<F>(route: &Route, random_below: F) -> Option<Name>
where
    F: FnOnce(u32) -> u32,
{
    let total: u32 = route.split.values().sum();
    if total == 0 {
        return route.service.clone();
    }
    let mut remaining = random_below(total);
    for (name, weight) in &route.split {
        if remaining < *weight {
            return Some(name.clone());
        }
        remaining -= weight;
    }
    None
}

/// Returns whether a request on `route` with this head resumes a stream that an upstream
/// has begun.
fn resumes_stream(route: &Route, head: &RequestHead) -> bool {
    route.resumable && parse_last_event(head).is_some()
}

fn parse_last_event(head: &RequestHead) -> Option<u64> {
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
