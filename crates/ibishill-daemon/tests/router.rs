//! Router thread: permits, the queue and the lease.

use ibishill_config::{change, declared, in_force, yaml};
use ibishill_core::{id, outcome, priority, time, view};
use ibishill_daemon::{context, lease_clock, router};
use ibishill_decide::{admit, limiter, plan};

const DECLARED: &str = "
zones: {z: {region: r}}
versions: {m@v1: {prompt-price: 1, output-price: 1, quality: 0.9}}
workspaces: {w: {keys: [], models: [m]}}
endpoints:
  e: {zone: z, address: '127.0.0.1:8000', versions: [m@v1], slots: 1, cold-slots: 1}
";

const NEVER: time::Tick = time::Tick(u64::MAX);

struct World {
    config: in_force::Cell,
    lease: lease_clock::LeaseClock,
    router: router::Handle,
}

fn world() -> World {
    let config = in_force::Cell::default();
    let declared: declared::Declared = yaml::read("test", DECLARED).unwrap();
    config.update_if_newer(in_force::InForce { version: change::ConfigVersion(1), declared });
    let views = context::ViewCell::default();
    let peers = "127.0.0.1:7000".parse().unwrap();
    let member = view::Member { vm: "vm".parse().unwrap(), peers };
    let own = view::View { number: view::ViewNumber(1), members: vec![member] };
    views.set(view::Views { zones: [("z".parse().unwrap(), own)].into() });
    let lease = lease_clock::LeaseClock::default();
    let periods = admit::Periods { lease: time::Millis(1_000), run_max: time::Millis(1_000) };
    let location = plan::Location { vm: "vm".parse().unwrap(), zone: "z".parse().unwrap() };
    let sources =
        router::Sources { location, config: config.clone(), views, lease: lease.clone(), periods };
    World { config, lease, router: router::spawn(sources).unwrap() }
}

fn job(n: u32) -> admit::Job {
    admit::Job {
        request: format!("req-{n}").parse().unwrap(),
        workspace: "w".parse().unwrap(),
        target: id::Target::Version("m@v1".parse().unwrap()),
        prefix: None,
        priority: priority::Priority::Normal,
        prompt: None,
        deadline: NEVER,
        tried: Default::default(),
        waits: true,
    }
}

#[tokio::test]
async fn requests_are_refused_without_a_lease() {
    let world = world();
    let refusal = world.router.admit(job(1)).await.unwrap_err();
    assert_eq!(refusal.reason, outcome::Reason::NotReady);
    world.lease.set(NEVER);
    assert!(world.router.admit(job(2)).await.is_ok());
    world.lease.set(time::Tick(0));
    assert!(world.router.admit(job(3)).await.is_err());
}

#[tokio::test]
async fn dropped_permit_admits_the_next_request() {
    let world = world();
    world.lease.set(NEVER);
    let mut permit = world.router.admit(job(0)).await.unwrap();
    for n in 1..200 {
        let next = world.router.admit(job(n));
        tokio::pin!(next);
        assert!(futures::poll!(&mut next).is_pending());
        assert_eq!(world.router.status().await[0].running, 1);
        drop(permit);
        permit = next.await.unwrap();
    }
}

#[tokio::test]
async fn unused_permit_does_not_lower_the_limit() {
    let world = world();
    world.lease.set(NEVER);
    let mut declared = world.config.get().declared.clone();
    declared.endpoints.values_mut().for_each(|endpoint| endpoint.slots = 16);
    world.config.update_if_newer(in_force::InForce { version: change::ConfigVersion(2), declared });
    let limit = async || world.router.status().await[0].limit;
    for n in 0..200 {
        world.router.admit(job(n)).await.unwrap().record_outcome(limiter::Outcome::Good);
    }
    let limit_before = limit().await;
    assert!(limit_before > 1);
    for n in 200..300 {
        // As when the deadline or the lease has passed, or the caller has left.
        drop(world.router.admit(job(n)).await.unwrap());
        assert_eq!(limit().await, limit_before);
    }
    world.router.admit(job(300)).await.unwrap().record_outcome(limiter::Outcome::Failed);
    assert!(limit().await < limit_before);
}

#[tokio::test]
async fn withdrawal_refuses_queued_requests() {
    let world = world();
    world.lease.set(NEVER);
    let _permit = world.router.admit(job(1)).await.unwrap();
    let next = world.router.admit(job(2));
    tokio::pin!(next);
    assert!(futures::poll!(&mut next).is_pending());
    let mut declared = world.config.get().declared.clone();
    let versions = declared.versions.values_mut();
    versions.for_each(|version| version.state = declared::VersionState::Withdrawn);
    world.config.update_if_newer(in_force::InForce { version: change::ConfigVersion(2), declared });
    let refusal = next.await.unwrap_err();
    assert_eq!(refusal.reason, outcome::Reason::Withdrawn);
    assert_eq!(refusal.outcome, outcome::Outcome::NotRun);
}
