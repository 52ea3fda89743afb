//! `ibishill explain` on a sample of two relays' logs.

use std::io::Write;
use std::process::{Command, Stdio};

const SAMPLE: &str = r#"0.100 vm1 {"event":2101,"text":"declared configuration in force","version":"2"}
0.200 vm2 {"event":2101,"text":"declared configuration in force","version":"1"}
0.900 vm1 {"event":2103,"text":"store lost","detail":"the store answered 503"}
a line of the collector
1.000 vm1 {"event":2401,"text":"request sent to an endpoint","request":"r1","endpoint":"e1","left":"900ms"}
1.100 vm2 {"event":2401,"text":"request sent to an endpoint","request":"r2","endpoint":"e2","left":"900ms"}
1.300 vm1 {"event":2402,"text":"attempt ended","request":"r1","endpoint":"e1","outcome":"unknown"}
1.301 vm1 {"event":2404,"text":"request refused by the relay","request":"r1","status":"502"}
"#;

struct Case {
    id: &'static str,
    is_logged: bool,
    // Numbers of the printed events, in order.
    events: &'static [&'static str],
}

#[test]
fn request_lines_follow_state_changes_of_their_daemon() {
    let cases = [
        Case { id: "r1", is_logged: true, events: &["E2101", "E2103", "E2401", "E2402", "E2404"] },
        Case { id: "r2", is_logged: true, events: &["E2101", "E2401"] },
        Case { id: "r3", is_logged: false, events: &[] },
    ];
    for case in cases {
        let mut child = Command::new(env!("CARGO_BIN_EXE_ibishill"))
            .args(["explain", case.id])
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .spawn()
            .unwrap();
        child.stdin.take().unwrap().write_all(SAMPLE.as_bytes()).unwrap();
        let output = child.wait_with_output().unwrap();
        assert_eq!(output.status.success(), case.is_logged, "{}", case.id);
        let text = String::from_utf8(output.stdout).unwrap();
        let events: Vec<_> =
            text.split_whitespace().filter(|word| word.starts_with("E2")).collect();
        assert_eq!(events, case.events, "{}: {text}", case.id);
    }
}
