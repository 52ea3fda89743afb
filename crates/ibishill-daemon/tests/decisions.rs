//! Cascade, roll-out and session pins of a complete daemon with stand-ins on loopback.

use std::net::SocketAddr;
use std::time::Duration;

use ibishill_config::{change, declared, key, settings};
use ibishill_core::{clock, id, secret};
use ibishill_daemon::start;
use ibishill_peer::tls;
use ibishill_standin::{engine, memory, port};
use ibishill_state::{billing, log};
use serde_json::json;

const KEY: &str = "demo-key";
const DOCUMENT: &str = "
zones: {zone-a: {region: region-1}}
versions:
  m@v1: {prompt-price: 100, output-price: 100, quality: 0.85}
  m@v2: {prompt-price: 100, output-price: 100, quality: 0.85, state: candidate}
  costly@v1: {prompt-price: 2000, output-price: 2000, quality: 0.97}
";

struct World {
    daemon: Option<start::Daemon>,
    memory: memory::Memory,
    engines: Vec<engine::Engine>,
    http: reqwest::Client,
    url: String,
    log: log::Log,
    serial: u32,
}

fn settings(callers: SocketAddr) -> settings::Settings {
    settings::Settings {
        vm: "vm-1".parse().unwrap(),
        zone: "zone-a".parse().unwrap(),
        callers,
        operators: port::free_address(),
        peers: port::free_address(),
        platform: String::new(),
        security: settings::Security {
            insecure: true,
            session_keys: vec![secret::Secret::new("session-key")],
            ..settings::Security::default()
        },
        limits: settings::Limits::default(),
        periods: settings::Periods {
            poll: ibishill_core::time::Millis(50),
            renew: ibishill_core::time::Millis(50),
            rollout: ibishill_core::time::Millis(50),
            drain: ibishill_core::time::Millis(0),
            ..settings::Periods::default()
        },
    }
}

impl World {
    async fn start() -> Self {
        let memory = memory::Memory::new(1);
        let callers = port::free_address();
        let identity = tls::Authority::generate()
            .unwrap()
            .sign(&"vm-1".parse().unwrap(), &"zone-a".parse().unwrap())
            .unwrap();
        let platform = memory.platform();
        let log = log::Log::new(&platform);
        let start_daemon = move || start::start(settings(callers), &platform, &identity).unwrap();
        let daemon = tokio::task::spawn_blocking(start_daemon).await.unwrap();
        let mut world = Self {
            daemon: Some(daemon),
            memory,
            engines: Vec::new(),
            http: reqwest::Client::builder().no_proxy().build().unwrap(),
            url: format!("http://{callers}/v1/chat/completions"),
            log,
            serial: 0,
        };
        world.declare().await;
        world.until_ready().await;
        world
    }

    async fn declare(&mut self) {
        let mut document = DOCUMENT.to_owned();
        let hash = key::KeyHash::of(KEY.as_bytes());
        document += &format!("workspaces: {{demo: {{keys: [{hash}], models: [m, costly]}}}}\n");
        document += "endpoints:\n";
        for (number, version) in ["m@v1", "m@v2", "costly@v1"].iter().enumerate() {
            let behaviour = engine::Behaviour { first_ms: 1, token_ms: 0, ..Default::default() };
            let (engine, address) = (engine::Engine::new(behaviour), port::free_address());
            tokio::spawn(engine::server(engine.clone(), address).launch());
            self.engines.push(engine);
            document += &format!(
                "  engine-{number}: {{zone: zone-a, address: '{address}', versions: [{version}], \
                 slots: 64, cold-slots: 64}}\n"
            );
        }
        let next: declared::Declared = ibishill_config::yaml::read("test", &document).unwrap();
        self.propose(change::diff(&declared::Declared::default(), &next)).await;
    }

    async fn propose(&mut self, steps: Vec<change::Step>) {
        self.serial += 1;
        let proposal = log::Proposal {
            id: format!("change-{}", self.serial).parse().unwrap(),
            author: "tester".parse().unwrap(),
            action: "apply".into(),
            expected: None,
            steps,
        };
        let change = self.log.accept(&proposal, clock::wall_now()).await.unwrap();
        let context = &self.daemon.as_ref().unwrap().context;
        while context.config.get().version < change.version {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    }

    async fn until_ready(&self) {
        while !self.chat("m@v1", None).await.status().is_success() {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    async fn chat(&self, model: &str, session: Option<&str>) -> reqwest::Response {
        let body = json!({"model": model, "messages": [{"role": "user", "content": "dings"}]});
        let mut request = self.http.post(&self.url).bearer_auth(KEY).json(&body);
        if let Some(session) = session {
            request = request.header("x-ibishill-session", session);
        }
        request.send().await.unwrap()
    }

    fn version(&self, name: &str) -> (id::VersionRef, declared::Version) {
        let name: id::VersionRef = name.parse().unwrap();
        let config = self.daemon.as_ref().unwrap().context.config.get();
        (name.clone(), config.declared.versions[&name].clone())
    }

    async fn stop(mut self) {
        self.daemon.take().unwrap().stop().await;
    }
}

fn header(answer: &reqwest::Response, name: &str) -> String {
    answer.headers().get(name).map_or_else(String::new, |text| text.to_str().unwrap().to_owned())
}

fn rollout(stage: usize) -> change::Step {
    let rollout = declared::Rollout {
        from: "m@v1".parse().unwrap(),
        to: "m@v2".parse().unwrap(),
        stages: vec![1, 50, 100],
        stage,
        dwell: ibishill_core::time::Millis::from_secs(3_600),
        state: declared::RolloutState::Running,
        reason: None,
    };
    change::Step::PutRollout("roll-1".parse().unwrap(), rollout)
}

#[tokio::test(flavor = "multi_thread")]
async fn low_rated_answer_is_escalated_and_both_runs_are_billed_once() {
    let world = World::start().await;
    let low_rated = engine::Behaviour { bad: true, first_ms: 1, token_ms: 0, ..Default::default() };
    world.engines[0].set_behaviour(low_rated);
    let before = world.engines[0].request_count();
    let answer = world.chat("auto", None).await;
    assert_eq!(answer.status(), 200);
    assert_eq!(header(&answer, "x-ibishill-model"), "costly");
    assert_eq!(header(&answer, "x-ibishill-attempts"), "2");
    assert_eq!(world.engines[0].request_count(), before + 1);
    let objects = world.memory.platform().objects;
    world.stop().await;
    let totals = billing::Billing::new(objects).totals().await.unwrap();
    let of = |target: &str| totals.iter().find(|(line, _)| line.target == target).unwrap().1;
    assert_eq!(of("costly@v1").requests, 1);
    // The readiness request is billed there; the cheap run adds tokens but no request.
    assert_eq!(of("m@v1").requests, 1);
    assert_eq!(of("m@v1").output, 2 * of("costly@v1").output);
}

#[tokio::test(flavor = "multi_thread")]
async fn session_keeps_its_version_until_withdrawal() {
    let mut world = World::start().await;
    let first = world.chat("m", Some("session-1")).await;
    assert_eq!(header(&first, "x-ibishill-session-pin"), "new");
    assert_eq!(header(&first, "x-ibishill-version"), "v1");
    let token = header(&first, "x-ibishill-session-token");

    world.propose(vec![rollout(2)]).await;
    let moved = world.chat("m", Some("session-1")).await;
    assert_eq!(header(&moved, "x-ibishill-version"), "v2");
    let kept = world.chat("m", Some(&token)).await;
    assert_eq!(header(&kept, "x-ibishill-version"), "v1");
    assert_eq!(header(&kept, "x-ibishill-session-pin"), "kept");
    let forged = world.chat("m", Some(&token.replace("v1", "v2"))).await;
    assert_eq!(forged.status(), 403);

    let (name, version) = world.version("m@v1");
    let state = declared::VersionState::Withdrawn;
    let withdrawn = declared::Version { state, ..version };
    world.propose(vec![change::Step::PutVersion(name, withdrawn)]).await;
    let ended = world.chat("m", Some(&token)).await;
    assert_eq!(header(&ended, "x-ibishill-session-pin"), "ended");
    let token = header(&ended, "x-ibishill-session-token");
    let kept = world.chat("m", Some(&token)).await;
    assert_eq!(header(&kept, "x-ibishill-session-pin"), "kept");
    world.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn rollout_of_failing_version_halts_with_reason() {
    let mut world = World::start().await;
    let fail = engine::Behaviour { fail: true, first_ms: 1, ..Default::default() };
    world.engines[1].set_behaviour(fail);
    let policy = change::Step::Policy(declared::Policy::Cost);
    world.propose(vec![policy, rollout(1)]).await;
    let name: id::RolloutId = "roll-1".parse().unwrap();
    let state = |world: &World| {
        let config = world.daemon.as_ref().unwrap().context.config.get();
        config.declared.rollouts[&name].clone()
    };
    for _ in 0..2_000 {
        if state(&world).state == declared::RolloutState::Halted {
            break;
        }
        let _answer = world.chat("m", None).await;
    }
    let halted = state(&world);
    assert_eq!(halted.state, declared::RolloutState::Halted);
    assert!(halted.reason.unwrap().starts_with("errors: "));
    assert_eq!(world.version("m@v2").1.state, declared::VersionState::Withdrawn);
    let changes = world.log.tail(change::ConfigVersion(0)).await.unwrap();
    let halts: Vec<_> = changes.iter().filter(|change| change.action == "rollout-halt").collect();
    assert_eq!((halts.len(), halts[0].author.as_str()), (1, "ibishill"));
    world.stop().await;
}
