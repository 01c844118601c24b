//! Finds parts of a configuration that no request can reach.

use std::collections::BTreeSet;

use super::Cause;
use super::Warnings;
use crate::name::Name;
use crate::settings::Route;
use crate::settings::RouteKind;
use crate::settings::Settings;
use crate::settings::Upstream;
use crate::settings::UpstreamKind;
use crate::settings::join;

/// Last segment of a path that no route is expected to name.
const UNNAMED_SEGMENT: &str = "\u{1}";

/// Reports routes, organisations, services and tiers that no request can reach.
pub fn check(settings: &Settings, warnings: &mut Warnings<'_>) {
    for (name, route) in settings.routes.iter() {
        check_route(settings, name, route, warnings);
    }
    for (name, organisation) in settings.organisations.iter() {
        let key = join("organisations", name);
        if organisation.keys.is_empty() {
            warnings.report(format!("{key}.keys"), Cause::OrganisationWithoutKeys);
        }
        if organisation.tier_first && !organisation.tiers.is_empty() {
            let cause = Cause::NoEffect(format!("{key}.tier_first"));
            warnings.report(format!("{key}.tiers"), cause);
        }
    }
    check_services(settings, warnings);
    check_tiers(settings, warnings);
}

fn check_route(settings: &Settings, name: &Name, route: &Route, warnings: &mut Warnings<'_>) {
    let key = join("routes", name);
    if route.path.contains(['?', '#']) {
        let cause = Cause::ImpossibleRoute("a path has no query or fragment");
        warnings.report(format!("{key}.path"), cause);
    } else if route.host.as_ref().is_some_and(|h| h.contains(':')) {
        let cause = Cause::ImpossibleRoute("hosts are compared without their port");
        warnings.report(format!("{key}.host"), cause);
    } else if let Some(other) = shadowing_route(settings, name, route) {
        warnings.report(format!("{key}.path"), Cause::ShadowedRoute(other));
    }
    for (service, _) in route.split.iter().filter(|(_, weight)| **weight == 0) {
        let key = join(&format!("{key}.split"), service);
        warnings.report(key, Cause::NoWeight);
    }
    if settings.limits.discovered {
        return;
    }
    for service in route.service.iter().chain(route.split.keys()) {
        let serves = |u: &Upstream| is_kind(u.kind, route.kind) && u.serves.contains(service);
        if !settings.upstreams.values().any(serves) {
            let cause = Cause::UnservedService(service.clone());
            warnings.report(key.clone(), cause);
        }
    }
}

/// Returns the route that takes every request of `route`, if there is one. The paths
/// looked up are one of each set of paths for which other routes compete.
fn shadowing_route(settings: &Settings, name: &Name, route: &Route) -> Option<Name> {
    let host = route.host.as_deref();
    let below = match route.path.ends_with('/') {
        true => route.path.to_string(),
        false => format!("{}/", route.path),
    };
    let paths = [
        route.path.to_string(),
        format!("{below}{UNNAMED_SEGMENT}"),
        below,
    ];
    let find = |path: &String| settings.routes.find(host, path).map(|(found, _)| found);
    match paths.iter().any(|path| find(path) == Some(name)) {
        true => None,
        false => find(&paths[0]).cloned(),
    }
}

fn check_services(settings: &Settings, warnings: &mut Warnings<'_>) {
    let targets = |kind: RouteKind| {
        let routes = settings.routes.values().filter(move |r| r.kind == kind);
        routes.flat_map(|r| r.service.iter().chain(r.split.keys()))
    };
    let routed_models: BTreeSet<&Name> = targets(RouteKind::Model).collect();
    let routed_services: BTreeSet<&Name> = targets(RouteKind::Service).collect();
    let by_body =
        |r: &Route| r.kind == RouteKind::Model && r.service.is_none() && r.split.is_empty();
    let routes_any_model = settings.routes.values().any(|route| by_body(route));
    let is_routed = |kind: UpstreamKind, service: &Name| match kind {
        UpstreamKind::Model => routes_any_model || routed_models.contains(service),
        UpstreamKind::Service => routed_services.contains(service),
    };
    for (name, upstream) in settings.upstreams.iter() {
        let key = format!("{}.serves", join("upstreams", name));
        for service in &upstream.serves {
            if !is_routed(upstream.kind, service) {
                let cause = Cause::UnroutedService(service.clone());
                warnings.report(key.clone(), cause);
            }
        }
    }
    for (service, common) in settings.services.iter() {
        let key = join("services", service);
        if !settings.limits.discovered {
            let cause = Cause::NoEffect("limits.discovered".to_owned());
            warnings.report(key, cause);
        } else if !is_routed(common.kind, service) {
            warnings.report(key, Cause::UnroutedService(service.clone()));
        }
    }
}

fn check_tiers(settings: &Settings, warnings: &mut Warnings<'_>) {
    let organisations = settings.organisations.values();
    let of_organisations = organisations.flat_map(|o| o.tiers.values().chain([&o.tier]));
    let of_routes = settings.routes.values().filter_map(|r| r.tier.as_ref());
    let used: BTreeSet<&Name> = of_organisations.chain(of_routes).collect();
    // Public requests without a tier of their route get the lowest one.
    let has_public = settings
        .routes
        .values()
        .any(|r| r.public && r.tier.is_none());
    let lowest = settings.tiers.values().map(|tier| tier.order).max();
    for (name, tier) in settings.tiers.iter() {
        let is_public = has_public && Some(tier.order) == lowest;
        if !used.contains(name) && !is_public {
            warnings.report(join("tiers", name), Cause::UnusedTier);
        }
    }
}

fn is_kind(upstream: UpstreamKind, route: RouteKind) -> bool {
    match upstream {
        UpstreamKind::Model => route == RouteKind::Model,
        UpstreamKind::Service => route == RouteKind::Service,
    }
}
