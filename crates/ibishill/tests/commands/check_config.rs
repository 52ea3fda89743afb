//! `ibishill check-config`: what it finds in a configuration, and how it exits. Guards against a configuration that
//! relays refuse, or that has entries without effect, and is found only after it has been sent.

use std::fs;

use crate::{Run, run};

const CONFIG: &str = r#"{
 "version": 7,
 "routes": [
  {"name": "chat", "host": "shop.example", "prefix": "/chat/", "kind": "stream", "timeout-ms": 3000,
   "target-latency-ms": 300, "gap-aim-ms": 200, "stream-resume": true, "max-attempts": 2,
   "service": "engine", "sizes": ["small", "large"]},
  {"name": "book", "host": "shop.example", "prefix": "/", "kind": "non_idempotent", "timeout-ms": 2000,
   "target-latency-ms": 200,
   "traffic-split": [{"service": "plain", "weight": 9}, {"service": "other", "weight": 1}]}
 ],
 "services": [
  {"name": "engine", "engine": {"slots": 8, "kv-capacity": 1000,
   "models": [{"name": "small", "cost": 0.1}, {"name": "large"}]}},
  {"name": "plain", "max-connections": 10}, {"name": "other"}
 ],
 "limits": {"max-header-bytes": 16384, "max-body-bytes": 100000, "header-timeout-ms": 3000, "idle-timeout-ms": 9000},
 "tenants": [{"name": "shop", "api-keys": ["first-key"]}, {"name": "market", "api-keys": ["other-key"]}]
}"#;

struct Case {
    name: &'static str,
    /// Texts that are replaced in [`CONFIG`].
    changes: &'static [(&'static str, &'static str)],
    code: i32,
    /// Options before the file.
    options: &'static [&'static str],
    /// Parts of the lines of the output, in their order.
    lines: &'static [&'static str],
}

const SOUND: Case = Case { name: "", changes: &[], code: 0, options: &[], lines: &[": ok"] };

/// File with the settings of a relay: two retries for one request, and little memory.
const SETTINGS: &str =
    concat!(env!("CARGO_MANIFEST_DIR"), "/tests/commands/check-config-settings.toml");

const CASES: &[Case] = &[
    Case { name: "as it is", ..SOUND },
    Case {
        name: "no JSON",
        changes: &[("\"version\": 7,", "\"version\": 7")],
        code: 1,
        options: &[],
        lines: &[":3:2: error: expected `,` or `}`"],
    },
    Case {
        name: "several errors together",
        changes: &[
            ("\"kind\": \"stream\"", "\"kind\": \"streams\""),
            ("\"timeout-ms\": 2000", "\"timeout-ms\": -1"),
            ("\"max-body-bytes\": 100000, ", ""),
            ("[\"other-key\"]", "[7]"),
        ],
        code: 1,
        options: &[],
        lines: &[
            ":4:72: error: routes[0].kind: route chat: kind \"streams\" is not known",
            ":7:99: error: routes[1].timeout-ms: invalid value",
            ":16:12: error: limits.max-body-bytes: the key is missing",
            "error: tenants[1].api-keys: must be a list of strings",
        ],
    },
    Case {
        name: "what is not declared",
        changes: &[
            ("\"service\": \"engine\"", "\"service\": \"engin\""),
            ("[\"small\", \"large\"]", "[\"small\"]"),
            ("\"service\": \"other\"", "\"service\": \"engine\""),
        ],
        code: 1,
        options: &[],
        lines: &[
            "error: routes[0].service: service engin is not declared",
            "warning: services[2].name: no route leads to service other",
        ],
    },
    Case {
        name: "a model of another service",
        changes: &[("[\"small\", \"large\"]", "[\"small\", \"huge\"]")],
        code: 1,
        options: &[],
        lines: &["error: routes[0].sizes: service engine has no model huge"],
    },
    Case {
        name: "declared twice",
        changes: &[
            ("\"name\": \"other\"}", "\"name\": \"plain\"}, {\"name\": \"other\"}"),
            ("other-key", "first-key"),
        ],
        code: 1,
        options: &[],
        lines: &[
            "error: services[2].name: service plain is declared twice",
            "error: tenants[1].api-keys: has a key that tenant shop has as well",
        ],
    },
    Case {
        name: "a key that stands twice",
        changes: &[("\"version\": 7", "\"version\": 7, \"version\": 8")],
        code: 1,
        options: &[],
        lines: &[":1:1: error: duplicate field `version`"],
    },
    Case {
        name: "neither service nor split",
        changes: &[("\"service\": \"engine\", ", "")],
        code: 1,
        options: &[],
        lines: &[
            "error: routes[0].service: route chat: neither service nor traffic-split is declared",
            "warning: services[0].name: no route leads to service engine",
        ],
    },
    Case {
        name: "the same host and prefix",
        changes: &[
            ("\"prefix\": \"/\"", "\"prefix\": \"/chat/\""),
            (
                "\"shop.example\", \"prefix\": \"/chat/\", \"kind\": \"non",
                "\"SHOP.example\", \"prefix\": \"/chat/\", \"kind\": \"non",
            ),
        ],
        code: 0,
        options: &[],
        lines: &[
            ":4:54: warning: routes[0].prefix: never matches: route book has the same host and prefix",
        ],
    },
    Case {
        name: "a host with a port, a prefix without a slash",
        changes: &[
            (
                "\"shop.example\", \"prefix\": \"/chat/\"",
                "\"shop.example:80\", \"prefix\": \"/chat/\"",
            ),
            ("\"prefix\": \"/\"", "\"prefix\": \"book\""),
        ],
        code: 0,
        options: &[],
        lines: &[
            "warning: routes[0].host: never matches: hosts are compared without their port",
            "warning: routes[1].prefix: paths begin with a slash, so the route never matches",
        ],
    },
    Case {
        name: "a weight of zero",
        changes: &[("\"weight\": 1", "\"weight\": 0")],
        code: 0,
        options: &[],
        lines: &[
            "warning: routes[1].traffic-split[1].weight: with weight 0, the service gets no request",
        ],
    },
    Case {
        name: "only weights of zero",
        changes: &[("\"weight\": 1", "\"weight\": 0"), ("\"weight\": 9", "\"weight\": 0")],
        code: 1,
        options: &[],
        lines: &[
            "error: routes[1].traffic-split: all weights are 0, so every request is refused",
            "warning: routes[1].traffic-split[0].weight: with weight 0",
            "warning: routes[1].traffic-split[1].weight: with weight 0",
        ],
    },
    Case {
        name: "limits that contradict each other",
        changes: &[
            (
                "\"target-latency-ms\": 300, \"gap-aim-ms\": 200",
                "\"target-latency-ms\": 3001, \"gap-aim-ms\": 3002",
            ),
            ("\"max-attempts\": 2", "\"max-attempts\": 1"),
            ("\"target-latency-ms\": 200,", "\"target-latency-ms\": 200, \"stream-resume\": true,"),
        ],
        code: 0,
        options: &[],
        lines: &[
            "warning: routes[0].target-latency-ms: 3001 is over timeout-ms, 3000",
            "warning: routes[0].gap-aim-ms: 3002 is over timeout-ms, 3000",
            "warning: routes[0].stream-resume: max-attempts is 1, so no stream is resumed",
            "warning: routes[1].stream-resume: has an effect on streams only",
        ],
    },
    Case {
        name: "without effect",
        changes: &[
            ("\"max-connections\": 10", "\"max-conections\": 10"),
            ("[\"other-key\"]", "[]"),
        ],
        code: 0,
        options: &[],
        lines: &[
            "warning: services[1].max-conections: relays do not read this key",
            "warning: tenants[1].api-keys: the tenant has no key, so no request is its own",
        ],
    },
    Case {
        name: "keys that no route asks for",
        changes: &[
            ("\"service\": \"engine\", ", "\"service\": \"engine\", \"public\": true, "),
            ("\"target-latency-ms\": 200,", "\"target-latency-ms\": 200, \"public\": true,"),
        ],
        lines: &["warning: tenants: all routes are public, so no key is asked for"],
        ..SOUND
    },
    // 100,000 bytes for bodies are five sixteenths of the memory.
    Case { name: "enough memory", options: &["--memory-mb", "0.33"], ..SOUND },
    Case {
        name: "a body beyond the memory",
        options: &["--memory-mb", "0.3"],
        code: 1,
        lines: &[":16:58: error: limits.max-body-bytes: the smallest relay has 93750 bytes"],
        ..SOUND
    },
    Case {
        name: "what a relay's settings give",
        changes: &[("\"max-attempts\": 2", "\"max-attempts\": 4")],
        options: &["--settings", SETTINGS],
        code: 1,
        lines: &[
            "warning: routes[0].max-attempts: 4 need more retries than the budget grants",
            "error: limits.max-body-bytes: the smallest relay has 62500 bytes",
        ],
    },
    Case {
        name: "memory beside settings",
        changes: &[("\"max-attempts\": 2", "\"max-attempts\": 3")],
        options: &["--settings", SETTINGS, "--memory-mb", "1"],
        ..SOUND
    },
];

fn write(name: &str, text: &str) -> String {
    let path = format!("{}/check-config-{name}.json", env!("CARGO_TARGET_TMPDIR"));
    fs::write(&path, text).unwrap();
    path
}

fn changed(changes: &[(&str, &str)]) -> String {
    changes.iter().fold(CONFIG.to_owned(), |text, (from, to)| {
        assert!(text.contains(from), "{from}");
        text.replacen(from, to, 1)
    })
}

fn assert_lines(name: &str, result: &Run, expected: &[&str]) {
    let lines: Vec<&str> = result.stdout.lines().collect();
    assert_eq!(lines.len(), expected.len(), "{name}: {}", result.stdout);
    for (line, part) in lines.iter().zip(expected) {
        assert!(line.contains(part), "{name}: {part:?} is missing in {line:?}");
    }
    assert!(!result.stdout.contains("-key\""), "{name}: an API key is shown");
}

#[test]
fn findings_are_reported_together_with_their_position() {
    for (number, case) in CASES.iter().enumerate() {
        let file = write(&format!("case-{number}"), &changed(case.changes));
        let result = run(&[&["check-config"], case.options, &[&file]].concat());
        assert_lines(case.name, &result, case.lines);
        assert_eq!(result.code, case.code, "{}: {}", case.name, result.stdout);
    }
}

#[test]
fn differences_from_the_version_in_force_are_shown() {
    let before = write("before", CONFIG);
    let changes = [
        ("\"version\": 7", "\"version\": 8"),
        ("\"timeout-ms\": 2000", "\"timeout-ms\": 2500"),
        ("{\"service\": \"plain\", \"weight\": 9}, ", ""),
        ("{\"name\": \"plain\", \"max-connections\": 10}, ", ""),
        ("[\"first-key\"]", "[\"first-key\", \"more-key\"]"),
        ("{\"name\": \"market\", ", "{\"name\": \"fair\", "),
    ];
    let after = write("after", &changed(&changes));
    let result = run(&["check-config", &after, &before]);
    let expected = [
        ": ok",
        "~ routes.book.timeout-ms: 2000 -> 2500",
        "- routes.book.traffic-split.plain: {\"service\":\"plain\",\"weight\":9}",
        "- services.plain: {\"max-connections\":10,\"name\":\"plain\"}",
        "+ tenants.fair: {\"api-keys\":\"1 not shown\",\"name\":\"fair\"}",
        "- tenants.market: {\"api-keys\":\"1 not shown\",\"name\":\"market\"}",
        "~ tenants.shop.api-keys: \"1 not shown\" -> \"2 not shown\"",
        "~ version: 7 -> 8",
    ];
    assert_lines("changed", &result, &expected);
    assert_eq!(result.code, 0);
    // Relays keep the configuration with the higher version.
    let older = write("older", &changed(&[("\"version\": 7", "\"version\": 6")]));
    let result = run(&["check-config", &older, &before]);
    let outdated = ":2:13: error: version: 6 is not above the version in force, 7";
    assert_lines("older", &result, &[outdated, "~ version: 7 -> 6"]);
    assert_eq!(result.code, 1);
    let same = run(&["check-config", &before, &before]);
    assert_lines("the same", &same, &[": ok"]);
}

#[test]
fn output_is_json_on_request_and_usage_is_checked() {
    let file = write("json", &changed(&[("\"weight\": 1", "\"weight\": 0")]));
    let result = run(&["check-config", "--json", &file, &file]);
    let shown: serde_json::Value = serde_json::from_str(&result.stdout).unwrap();
    assert_eq!(result.code, 0);
    assert_eq!(shown["findings"][0]["path"], "routes[1].traffic-split[1].weight");
    assert_eq!(shown["findings"][0]["severity"], "warning");
    assert_eq!(shown["differences"], serde_json::json!([]));
    struct Usage<'a>(&'a [&'a str], i32);
    let usages = [
        Usage(&["check-config"], 2),
        Usage(&["check-config", "a", "b", "c"], 2),
        Usage(&["check-config", "--partial", "a"], 2),
        Usage(&["check-config", "does-not-exist.json"], 1),
        Usage(&["check-config", "--memory-mb", "0", "a"], 2),
        Usage(&["check-config", "--memory-mb", "much", "a"], 2),
        Usage(&["check-config", "--settings", "does-not-exist.toml", &file], 1),
    ];
    for Usage(args, code) in usages {
        assert_eq!(run(args).code, code, "{args:?}");
    }
}
