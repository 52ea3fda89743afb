use std::collections::BTreeMap;

use ibishill_core::{route, time};
use ibishill_decide::routing;

fn route(name: &str, prefix: &str, is_public: bool) -> route::Route {
    let share =
        |service: &str, weight| route::Destination { service: service.parse().unwrap(), weight };
    route::Route {
        name: name.parse().unwrap(),
        host: "shop.example".into(),
        prefix: prefix.into(),
        kind: route::Kind::Idempotent,
        timeout: time::Millis(1_000),
        latency_target: time::Millis(100),
        gap_target: None,
        priority: 0,
        models: Vec::new(),
        destinations: vec![share("old", 90), share("new", 10)],
        max_attempts: 2,
        is_public,
    }
}

fn catalog() -> route::Catalog {
    route::Catalog {
        version: 1,
        routes: vec![
            route("short", "/a/", false),
            route("long", "/a/b/", false),
            route("open", "/p/", true),
        ],
        services: BTreeMap::new(),
        limits: route::Limits {
            header_bytes: 1,
            body_bytes: 1,
            header_timeout: time::Millis(1),
            idle_timeout: time::Millis(1),
        },
        workspaces: vec![route::Workspace { name: "shop".parse().unwrap(), priority: None }],
        keys: BTreeMap::from([("key".to_owned(), 0)]),
    }
}

struct Case {
    host: &'static str,
    path: &'static str,
    key: Option<&'static str>,
    expected: Option<(&'static str, Result<Option<&'static str>, ()>)>,
}

#[test]
fn request_resolves_to_longest_prefix_and_workspace_of_key() {
    let shop = Ok(Some("shop"));
    let cases = [
        Case {
            host: "shop.example",
            path: "/a/x",
            key: Some("key"),
            expected: Some(("short", shop)),
        },
        Case {
            host: "SHOP.example:80",
            path: "/a/b/x",
            key: Some("key"),
            expected: Some(("long", shop)),
        },
        Case { host: "shop.example", path: "/a/b/", key: None, expected: Some(("long", Err(()))) },
        Case {
            host: "shop.example",
            path: "/a/",
            key: Some("lost"),
            expected: Some(("short", Err(()))),
        },
        Case { host: "shop.example", path: "/p/x", key: None, expected: Some(("open", Ok(None))) },
        Case { host: "shop.example", path: "/a", key: Some("key"), expected: None },
        Case { host: "else.example", path: "/a/x", key: Some("key"), expected: None },
    ];
    let catalog = catalog();
    for case in cases {
        let found = routing::find(&catalog, case.host, case.path).map(|route| {
            let workspace = routing::workspace(&catalog, route, case.key);
            (route.name.as_str(), workspace.map(|w| w.map(|w| w.name.as_str())).map_err(|_| ()))
        });
        assert_eq!(found, case.expected, "{} {}", case.host, case.path);
    }
}

#[test]
fn requests_are_split_by_weight_and_retries_keep_their_service() {
    let route = route("split", "/a/", false);
    let service = |at: u32| routing::select_service(&route, &at.to_le_bytes()).unwrap().as_str();
    let count = (0..10_000).filter(|at| service(*at) == "new").count();
    assert!((850..1_150).contains(&count), "{count}");
    assert!((0..100).all(|at| service(at) == service(at)));
    let none = route::Route { destinations: Vec::new(), ..route.clone() };
    assert_eq!(routing::select_service(&none, b"x"), None);
}
