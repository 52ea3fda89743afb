//! Load and unload orders of a complete daemon to stand-in engines on loopback.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use ibishill_config::{change, declared, key, settings, yaml};
use ibishill_core::{clock, id, time, view};
use ibishill_daemon::start;
use ibishill_endpoint::{client, engine as engine_api, wire};
use ibishill_peer::tls;
use ibishill_standin::{engine, memory, port};
use ibishill_state::log;
use serde_json::json;

const KEY: &str = "demo-key";
const TIMEOUT: time::Millis = time::Millis(2_000);

struct World {
    _daemon: start::Daemon,
    engines: Vec<SocketAddr>,
    url: String,
    http: reqwest::Client,
}

fn settings(callers: SocketAddr) -> settings::Settings {
    settings::Settings {
        vm: "vm-1".parse().unwrap(),
        zone: "zone-a".parse().unwrap(),
        callers,
        operators: port::free_address(),
        peers: port::free_address(),
        platform: String::new(),
        security: settings::Security { insecure: true, ..settings::Security::default() },
        limits: settings::Limits::default(),
        periods: settings::Periods {
            poll: time::Millis(50),
            renew: time::Millis(50),
            drain: time::Millis(0),
            ..settings::Periods::default()
        },
    }
}

fn v(text: &str) -> id::VersionRef {
    text.parse().unwrap()
}

async fn start_engine(loaded_version: &str, fencing: bool) -> SocketAddr {
    let behaviour = engine::Behaviour { first_ms: 1, token_ms: 0, ..Default::default() };
    let load = Duration::from_millis(100);
    let settings = engine::simulation::Settings { fencing, load_time: load, ..Default::default() };
    let engine =
        engine::Engine::with_settings(settings, BTreeSet::from([v(loaded_version)]), behaviour);
    let address = port::free_address();
    tokio::spawn(engine::server(engine, address).launch());
    address
}

impl World {
    // Starts two engines with memory for one version each, both loaded with m@v1, while m@v2 is
    // declared too. `seen_view` is the number of a newer view that the engines have seen.
    async fn start(
        memory: &memory::Memory,
        fencing: bool,
        seen_view: Option<view::ViewNumber>,
    ) -> Self {
        let engines =
            vec![start_engine("m@v1", fencing).await, start_engine("m@v1", fencing).await];
        for address in &engines {
            loaded(*address).await;
            if let Some(fence) = seen_view {
                let action = wire::Action::Load(v("m@v1"));
                engine_client(*address).order(&wire::Order { fence, action }).await.unwrap();
            }
        }
        let callers = port::free_address();
        let authority = tls::Authority::generate().unwrap();
        let names = ("vm-1".parse().unwrap(), "zone-a".parse().unwrap());
        let identity = authority.sign(&names.0, &names.1).unwrap();
        let platform = memory.platform();
        let proposal = declare(&engines, fencing);
        log::Log::new(&platform).accept(&proposal, clock::wall_now()).await.unwrap();
        let start_daemon = move || start::start(settings(callers), &platform, &identity).unwrap();
        let daemon = tokio::task::spawn_blocking(start_daemon).await.unwrap();
        let http = reqwest::Client::builder().no_proxy().build().unwrap();
        let url = format!("http://{callers}/v1/chat/completions");
        Self { _daemon: daemon, engines, url, http }
    }

    async fn is_served(&self, version: &str) -> bool {
        let body = json!({"model": version, "messages": [{"role": "user", "content": "dings"}]});
        let request = self.http.post(&self.url).bearer_auth(KEY).json(&body);
        request.send().await.is_ok_and(|answer| answer.status().is_success())
    }

    async fn until_served(&self, version: &str) {
        while !self.is_served(version).await {
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }

    async fn loaded_versions(&self) -> Vec<Vec<id::VersionRef>> {
        let mut loaded_versions = Vec::new();
        for address in &self.engines {
            loaded_versions.push(loaded(*address).await);
        }
        loaded_versions
    }
}

fn declare(engines: &[SocketAddr], fencing: bool) -> log::Proposal {
    let hash = key::KeyHash::of(KEY.as_bytes());
    let mut text = format!(
        "zones: {{zone-a: {{region: r}}}}\nversions:\n  \
         m@v1: {{prompt-price: 1, output-price: 1, quality: 0.9}}\n  \
         m@v2: {{prompt-price: 1, output-price: 1, quality: 0.9}}\n\
         workspaces: {{demo: {{keys: [{hash}], models: [m]}}}}\nendpoints:\n"
    );
    for (n, address) in engines.iter().enumerate() {
        text += &format!(
            "  e{n}: {{zone: zone-a, address: '{address}', versions: [m@v1, m@v2], memory: 1, \
             slots: 8, cold-slots: 8, fencing: {fencing}}}\n"
        );
    }
    let next: declared::Declared = yaml::read("test", &text).unwrap();
    log::Proposal {
        id: "change-1".parse().unwrap(),
        author: "tester".parse().unwrap(),
        action: "apply".into(),
        expected: None,
        steps: change::diff(&declared::Declared::default(), &next),
    }
}

fn engine_client(address: SocketAddr) -> engine_api::Engine {
    engine_api::Engine::new(&client::Client::new().unwrap(), address, TIMEOUT)
}

async fn loaded(address: SocketAddr) -> Vec<id::VersionRef> {
    loop {
        if let Ok(loaded) = engine_client(address).loaded().await {
            return loaded.versions;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn unplaced_version_gets_an_engine_and_the_other_keeps_its_own() {
    let world = World::start(&memory::Memory::new(1), true, None).await;
    world.until_served("m@v1").await;
    world.until_served("m@v2").await;
    let mut loaded_versions = world.loaded_versions().await;
    loaded_versions.sort();
    assert_eq!(loaded_versions, [vec![v("m@v1")], vec![v("m@v2")]]);
    assert!(world.is_served("m@v1").await);
}

#[tokio::test(flavor = "multi_thread")]
async fn engine_that_saw_a_newer_view_keeps_its_versions() {
    let seen_view = Some(view::ViewNumber(1_000));
    let world = World::start(&memory::Memory::new(1), true, seen_view).await;
    world.until_served("m@v1").await;
    // Longer than the same orders take in the test above.
    tokio::time::sleep(Duration::from_secs(5)).await;
    assert_eq!(world.loaded_versions().await, [vec![v("m@v1")], vec![v("m@v1")]]);
    assert!(!world.is_served("m@v2").await, "a version that no engine has loaded is refused");
    assert!(world.is_served("m@v1").await);
}

#[tokio::test(flavor = "multi_thread")]
async fn engine_without_fencing_gets_orders_only_after_a_lease() {
    let started = clock::boot_now();
    let world = World::start(&memory::Memory::new(1), false, None).await;
    world.until_served("m@v2").await;
    let lease = settings::Periods::default().lease;
    assert!(clock::boot_now().since(started) >= lease);
    assert!(world.is_served("m@v1").await);
}
