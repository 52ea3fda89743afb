//! Checks by the entry daemon on the sequence of an owner's frames.

use bytes::Bytes;
use ibishill_core::{outcome, view};
use ibishill_peer::{frame, server};
use tokio::sync::mpsc;

use super::deployment;

struct Case {
    name: &'static str,
    frames: Vec<frame::Frame>,
    status: u16,
    outcome: &'static str,
}

fn head() -> frame::Frame {
    frame::Frame::Head(frame::Head {
        status: 200,
        content_type: "application/json".into(),
        length: None,
        headers: Vec::new(),
        endpoint: "far".parse().unwrap(),
        zone: "zone-b".parse().unwrap(),
        capacity: Default::default(),
    })
}

fn end(bytes: u64) -> frame::Frame {
    frame::Frame::End(frame::End { usage: Default::default(), bytes })
}

fn cases() -> Vec<Case> {
    use frame::Frame::Failed;
    let chunk = || frame::Frame::Chunk(Bytes::from_static(b"body"));
    let not_run = || outcome::Refusal::not_run(outcome::Reason::Overloaded, "full");
    let unknown = || outcome::Refusal::unknown(outcome::Reason::EndpointFailed, "cut");
    let case = |name, frames, status, outcome| Case { name, frames, status, outcome };
    vec![
        case("whole", vec![head(), chunk(), chunk(), end(8)], 200, "ran"),
        case("bytes lost", vec![head(), chunk(), end(8)], 502, "unknown"),
        case("bytes too many", vec![head(), chunk(), end(3)], 502, "unknown"),
        case("no end", vec![head(), chunk()], 502, "unknown"),
        case("two starts", vec![head(), head(), end(0)], 502, "unknown"),
        case("no start", vec![chunk(), end(4)], 502, "unknown"),
        case("nothing", vec![], 502, "unknown"),
        case("refused", vec![Failed(not_run())], 429, "not-run"),
        case("refused after the start", vec![head(), Failed(not_run())], 502, "unknown"),
        case("failed", vec![Failed(unknown())], 502, "unknown"),
    ]
}

#[tokio::test(flavor = "multi_thread")]
async fn owner_frames_are_verified() {
    let deployment = deployment::Setup { freeze_views: true, ..Default::default() }.start().await;
    let (vm, zone) = ("vm-b".parse().unwrap(), "zone-b".parse().unwrap());
    let identity = deployment.authority.sign(&vm, &zone).unwrap();
    for case in cases() {
        let socket = server::bind("127.0.0.1:0".parse().unwrap(), &identity).unwrap();
        let peers = socket.local_addr().unwrap();
        let (frames, name) = (case.frames, case.name);
        let run = move |_caller, _work| {
            let (sender, receiver) = mpsc::channel(16);
            for frame in &frames {
                sender.try_send(frame.clone()).unwrap();
            }
            receiver
        };
        tokio::spawn(server::accept(socket, run, |_caller, _ask| {
            frame::Reply::ConfigSnapshot(Bytes::new())
        }));
        let mut views = (*deployment.daemons[0].context.views.get()).clone();
        let members = vec![view::Member { vm: vm.clone(), peers }];
        views.zones.insert(zone.clone(), view::View { members, ..Default::default() });
        deployment.daemons[0].context.views.set(views);
        let before = deployment.refusal_total().await;
        let answer = deployment.chat("assistant@v2", false).send().await.unwrap();
        assert_eq!(answer.status(), case.status, "{name}");
        assert_eq!(answer.headers()["x-ibishill-outcome"], case.outcome, "{name}");
        let refused = u64::from(case.outcome != "ran");
        assert_eq!(deployment.refusal_total().await - before, refused, "{name}");
    }
}
