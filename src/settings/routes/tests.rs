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

// Review 12, ROUTE: the prefix `/orders/` took the path `/orders`, which it does not begin.
#[test]
fn prefix_with_a_slash_begins_the_path() {
    for kind in [RouteKind::Service, RouteKind::Model] {
        let routes: Routes = [
            ("all", "/"),
            ("orders", "/orders/"),
            ("open", "/orders/open/"),
            ("double", "/orders//"),
        ]
        .into_iter()
        .map(|(name, path)| (Name::new(name), route(kind, Some("x"), path)))
        .collect();
        let find = |path| routes.find(Some("x"), path).map(|(name, _)| name.as_str());
        for (path, expected) in [
            ("/orders", "all"),
            ("/orders/", "orders"),
            ("/orders/1", "orders"),
            ("/ordersx", "all"),
            ("/Orders/", "all"),
            ("/orders%2F1", "all"),
            ("/%6Frders/1", "all"),
            ("//orders/1", "all"),
            ("/./orders/1", "all"),
            ("/orders/../1", "orders"),
            ("/orders/open", "orders"),
            ("/orders/open/", "open"),
            ("/orders/open/1", "open"),
            ("/orders/opening/", "orders"),
            ("/orders//open/", "double"),
            ("/orders//", "double"),
        ] {
            assert_eq!(find(path), Some(expected), "{path}");
        }
        assert_eq!(find("*"), None);
        assert_eq!(find(""), None);
    }
}

#[test]
fn path_of_a_service_without_a_slash_takes_all_below_it() {
    let routes: Routes = [("a", "/a"), ("b", "/a/b/")]
        .into_iter()
        .map(|(name, path)| (Name::new(name), route(RouteKind::Service, None, path)))
        .collect();
    let find = |path| routes.find(None, path).map(|(name, _)| name.as_str());
    assert_eq!(find("/a"), Some("a"));
    assert_eq!(find("/a/"), Some("a"));
    assert_eq!(find("/a/b"), Some("a"));
    assert_eq!(find("/a/b/"), Some("b"));
    assert_eq!(find("/ab"), None);
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
