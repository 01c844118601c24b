use proptest::prelude::*;

use super::*;

fn route(kind: RouteKind, host: Option<&str>, path: &str) -> Rc<Route> {
    let kind = match kind {
        RouteKind::Model => "model",
        RouteKind::Service => "service",
    };
    let host = host.map(|h| format!("host = {h:?}\n")).unwrap_or_default();
    let text = format!("kind = {kind:?}\npath = {path:?}\n{host}");
    Rc::new(toml::from_str(&text).expect("it is a route"))
}

/// Finds a route by a walk over all routes.
fn find_by_walk<'a>(routes: &'a Routes, host: Option<&str>, path: &str) -> Option<&'a Name> {
    let is_host = |name: &Name| host.is_some_and(|h| h.eq_ignore_ascii_case(name));
    let matches =
        |route: &Route| route.host.as_ref().is_none_or(is_host) && matches_path(route, path);
    let matching = routes.iter().filter(|(_, route)| matches(route));
    let best = matching.max_by_key(|(_, route)| (path == route.path.as_str(), route.path.len()));
    best.map(|(name, _)| name)
}

#[test]
fn an_exact_path_takes_precedence_over_a_longer_host_match() {
    let routes: Routes = [
        ("a", route(RouteKind::Service, Some("x.example"), "/v1/")),
        ("b", route(RouteKind::Model, None, "/v1/chat")),
    ]
    .into_iter()
    .map(|(name, route)| (Name::new(name), route))
    .collect();
    let find = |host, path| routes.find(host, path).map(|(name, _)| name.as_str());
    assert_eq!(find(Some("X.example"), "/v1/chat"), Some("b"));
    assert_eq!(find(Some("x.example"), "/v1/other"), Some("a"));
    assert_eq!(find(Some("y.example"), "/v1/other"), None);
    assert_eq!(find(None, "/v1/chat"), Some("b"));
}

fn path() -> impl Strategy<Value = String> {
    "(/[ab]?){0,4}"
}

fn host() -> impl Strategy<Value = Option<&'static str>> {
    prop::sample::select(vec![None, Some("x"), Some("X"), Some("y")])
}

proptest! {
    #[test]
    fn the_index_finds_what_a_walk_over_all_routes_finds(
        routes in prop::collection::btree_map(
            "[a-d]",
            (any::<bool>(), host(), path()),
            0..6,
        ),
        host in host(),
        path in path(),
    ) {
        let kind = |is_model| match is_model {
            true => RouteKind::Model,
            false => RouteKind::Service,
        };
        let routes = routes.iter().map(|(name, (is_model, host, path))| {
            (Name::new(name), route(kind(*is_model), *host, path))
        });
        let routes: Routes = routes.collect();
        let found = routes.find(host, &path).map(|(name, _)| name);
        prop_assert_eq!(found, find_by_walk(&routes, host, &path));
    }
}
