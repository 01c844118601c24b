//! From a caller's HTTP request to one that can be scheduled.

use std::time::Duration;

use actix_http::Method;
use actix_http::RequestHead;
use actix_http::header;
use actix_http::header::HeaderMap;
use bytes::Bytes;

use crate::entry::auth::KeyTable;
use crate::entry::error::CallerError;
use crate::entry::prompt::Prompt;
use crate::headers::end_to_end;
use crate::name::Name;
use crate::settings::Organisation;
use crate::settings::Route;
use crate::settings::RouteKind;
use crate::settings::Settings;
use crate::settings::Upstream;
use crate::settings::UpstreamKind;
use crate::ticket::Work;
use crate::wire::Call;

/// By this header a caller lowers the tier.
pub const TIER_HEADER: &str = "x-almondramp-tier";

/// By this header a caller shortens the deadline, in milliseconds.
pub const DEADLINE_HEADER: &str = "x-almondramp-deadline-ms";

const BEARER: &str = "Bearer ";

/// Headers that concern the entry only.
const OWN_HEADERS: [&str; 3] = ["authorization", TIER_HEADER, DEADLINE_HEADER];

/// What the head of a request says: whose it is, where it goes, how urgent.
#[derive(Clone, Debug)]
pub struct Admission {
    /// The organisation that the key names.
    pub organisation: Name,
    /// The route that the path leads to.
    pub route: Route,
    /// The tier.
    pub tier: Name,
    /// The tier's rank.
    pub order: u8,
    /// The time within which the answer is useful.
    pub deadline: Duration,
}

/// A request that can be scheduled.
#[derive(Clone, Debug)]
pub struct Job {
    /// What the head says.
    pub admission: Admission,
    /// What the upstream receives.
    pub call: Call,
    /// The model or service that is to answer.
    pub target: Name,
    /// What the work is believed to take.
    pub work: Work,
    /// Chained hashes of the prompt's chunks.
    pub prefix: Vec<u64>,
    /// Whether running it twice would do no harm.
    pub idempotent: bool,
    /// Whether the work is worth nothing once the caller has gone.
    pub cancellable: bool,
}

impl Admission {
    /// Reads the head of a request.
    pub fn new(
        head: &RequestHead,
        settings: &Settings,
        keys: &KeyTable,
    ) -> Result<Self, CallerError> {
        let organisation = authenticate(&head.headers, keys)?;
        let path = head.uri.path();
        let (route_name, route) = find_route(settings, path).ok_or(CallerError::NoRoute)?;
        if route.kind == RouteKind::Model && head.method != Method::POST {
            return Err(CallerError::Method);
        }
        let owner = settings.organisations.get(&organisation);
        let owner = owner.ok_or(CallerError::UnknownKey)?;
        let tier = choose_tier(settings, owner, route_name, route, &head.headers)?;
        let rank = settings.tiers.get(&tier).ok_or(CallerError::NotReady)?;
        let deadline = route.deadline.unwrap_or(rank.deadline);
        Ok(Self {
            organisation,
            route: route.clone(),
            order: rank.order,
            tier,
            deadline: shorten(deadline, &head.headers)?,
        })
    }

    /// Completes the request by its body.
    pub fn with_body(
        self,
        head: &RequestHead,
        settings: &Settings,
        body: Bytes,
    ) -> Result<Job, CallerError> {
        match self.route.kind {
            RouteKind::Model => self.model_job(head, settings, body),
            RouteKind::Service => self.service_job(head, body),
        }
    }

    fn model_job(
        self,
        head: &RequestHead,
        settings: &Settings,
        body: Bytes,
    ) -> Result<Job, CallerError> {
        let prompt = Prompt::parse(&body)?;
        let serves = |u: &Upstream| serves(u, RouteKind::Model, &prompt.model);
        if !settings.upstreams.values().any(serves) {
            return Err(CallerError::UnknownModel(prompt.model));
        }
        Ok(Job {
            call: new_call(head, body, prompt.stream),
            target: prompt.model,
            work: prompt.work,
            prefix: prompt.prefix,
            idempotent: false,
            cancellable: true,
            admission: self,
        })
    }

    fn service_job(self, head: &RequestHead, body: Bytes) -> Result<Job, CallerError> {
        let method = Name::new(head.method.as_str());
        let idempotent = self.route.idempotent_methods.contains(&method);
        let target = self.route.service.clone().ok_or(CallerError::NoRoute)?;
        Ok(Job {
            call: new_call(head, body, false),
            target,
            work: Work::default(),
            prefix: Vec::new(),
            idempotent,
            cancellable: idempotent,
            admission: self,
        })
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

/// The route of a path: the whole path of a model, or the longest prefix of a
/// service that ends at a slash.
fn find_route<'a>(settings: &'a Settings, path: &str) -> Option<(&'a Name, &'a Route)> {
    let matches = |route: &Route| match route.kind {
        RouteKind::Model => path == route.path.as_str(),
        RouteKind::Service => path
            .strip_prefix(route.path.trim_end_matches('/'))
            .is_some_and(|rest| rest.is_empty() || rest.starts_with('/')),
    };
    settings
        .routes
        .iter()
        .filter(|(_, route)| matches(route))
        .max_by_key(|(_, route)| (route.kind == RouteKind::Model, route.path.len()))
}

fn choose_tier(
    settings: &Settings,
    owner: &Organisation,
    route_name: &Name,
    route: &Route,
    headers: &HeaderMap,
) -> Result<Name, CallerError> {
    let own = owner.tiers.get(route_name);
    let tier = own.or(route.tier.as_ref()).unwrap_or(&owner.tier);
    let Some(wanted) = headers.get(TIER_HEADER) else {
        return Ok(tier.clone());
    };
    let invalid = CallerError::InvalidHeader(TIER_HEADER);
    let wanted = wanted.to_str().map_err(|_| invalid.clone())?;
    let rank = |name: &str| settings.tiers.get(name).map(|t| t.order);
    let lower = rank(wanted).ok_or(invalid)? > rank(tier).unwrap_or_default();
    Ok(if lower {
        Name::new(wanted)
    } else {
        tier.clone()
    })
}

fn shorten(deadline: Duration, headers: &HeaderMap) -> Result<Duration, CallerError> {
    let Some(wanted) = headers.get(DEADLINE_HEADER) else {
        return Ok(deadline);
    };
    let wanted = wanted.to_str().ok().and_then(|v| v.parse().ok());
    let wanted = wanted.ok_or(CallerError::InvalidHeader(DEADLINE_HEADER))?;
    Ok(deadline.min(Duration::from_millis(wanted)))
}

fn new_call(head: &RequestHead, body: Bytes, stream: bool) -> Call {
    let path = head.uri.path_and_query();
    Call {
        method: Name::new(head.method.as_str()),
        path: Name::new(path.map_or("/", |p| p.as_str())),
        headers: end_to_end(&head.headers, &OWN_HEADERS),
        body,
        stream,
    }
}
