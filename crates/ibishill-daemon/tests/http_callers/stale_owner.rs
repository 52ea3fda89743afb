//! Requests that were planned under a newer configuration version than the owner has.

use ibishill_config::change;
use ibishill_core::{clock, id, outcome, time};
use ibishill_daemon::run;
use ibishill_peer::frame;
use ibishill_state::log;

use super::deployment;

const ROUNDS: u32 = 8;

fn work(config: u64) -> frame::Request {
    frame::Request {
        tried: Default::default(),
        waits: false,
        request: "req-1".parse().unwrap(),
        workspace: "demo".parse().unwrap(),
        target: id::Target::Version("assistant@v2".parse().unwrap()),
        config,
        remaining: time::Millis(10_000),
        repeat: ibishill_core::repeat::Repeat::Never,
        method: "POST".into(),
        path: "/v1/chat/completions".into(),
        content_type: "application/json".into(),
        headers: Vec::new(),
        prefix: None,
        priority: Default::default(),
        stream: false,
        show_usage: false,
        body: r#"{"model":"assistant@v2","messages":[]}"#.into(),
    }
}

async fn start_with_stale_owner() -> deployment::Deployment {
    let (_engine, address) = deployment::engine(Default::default());
    // The log is not read again, so the far daemon gets a newer version only with a request.
    let setup = deployment::Setup { far: Some(address), freeze_config: true, ..Default::default() };
    setup.start().await
}

// Declares a new model version, which only the first daemon applies.
async fn allow(deployment: &deployment::Deployment, version: &str) {
    let context = &deployment.daemons[0].context;
    let mut declared = context.config.get().declared.clone();
    let known = declared.versions[&"assistant@v2".parse().unwrap()].clone();
    declared.versions.insert(version.parse().unwrap(), known);
    let endpoint = declared.endpoints.get_mut(&"far".parse().unwrap()).unwrap();
    endpoint.versions.insert(version.parse().unwrap());
    let proposal = log::Proposal {
        id: format!("allow-{}", version.replace('@', "-")).parse().unwrap(),
        author: "test".parse().unwrap(),
        action: "apply".into(),
        expected: None,
        steps: change::diff(&context.config.get().declared, &declared),
    };
    context.log.accept(&proposal, clock::wall_now()).await.unwrap();
    let next = context.log.poll(&context.config.get()).await.unwrap().unwrap();
    assert!(context.refresh.update_if_newer(&context.config, next));
}

#[tokio::test(flavor = "multi_thread")]
async fn stale_owner_catches_up_and_runs_the_request() {
    let deployment = start_with_stale_owner().await;
    // A heartbeat may deliver the configuration before the request in some rounds, but not in all.
    for round in 3..3 + ROUNDS {
        let version = format!("assistant@v{round}");
        allow(&deployment, &version).await;
        let answer = deployment.chat(&version, false).send().await.unwrap();
        assert_eq!(answer.status(), 200, "{version}: {}", answer.text().await.unwrap());
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn owner_that_stays_stale_refuses_as_not_run() {
    let deployment = start_with_stale_owner().await;
    let (near, far) = (&deployment.daemons[0].context, &deployment.daemons[1].context);
    let version = far.config.get().version.0;
    let views = near.views.get();
    let member = views.zones[&far.location.zone].members[0].clone();
    let mut call = near.link.call(&far.location.zone, &member, &work(version + 1)).await.unwrap();
    let Some(frame::Frame::Failed(refusal)) = call.next().await.unwrap() else {
        panic!("the request was not refused")
    };
    assert_eq!(refusal.outcome, outcome::Outcome::NotRun);
    assert_eq!(refusal.reason, outcome::Reason::NotReady);
    assert!(refusal.retry_after.is_some());
    // The wait for the configuration ends at the request's deadline.
    let short = frame::Request { remaining: time::Millis(1), ..work(version + 1) };
    let frame = run::run(far, short).recv().await.unwrap();
    assert!(
        matches!(frame, frame::Frame::Failed(refusal) if refusal.outcome == outcome::Outcome::NotRun)
    );
    // An owner with a newer version plans the request again under it.
    let mut call = near.link.call(&far.location.zone, &member, &work(version - 1)).await.unwrap();
    assert!(
        matches!(call.next().await.unwrap(), Some(frame::Frame::Head(head)) if head.status == 200)
    );
}
