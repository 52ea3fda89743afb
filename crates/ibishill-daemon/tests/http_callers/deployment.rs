//! Test fixture: daemons, an in-memory platform, and endpoints on loopback.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use ibishill_config::{change, declared, key, settings, yaml};
use ibishill_core::{clock, outcome, time};
use ibishill_daemon::start;
use ibishill_peer::tls;
use ibishill_platform::Platform;
pub(crate) use ibishill_standin::port::free_address;
use ibishill_standin::{engine, memory};
use ibishill_state::{billing, log, refusal};

/// API key of the workspace `demo`.
pub(crate) const KEY: &str = "demo-key";

/// API key of the workspace `rival`, which may use the same services and models as `demo`.
pub(crate) const OTHER_KEY: &str = "rival-key";

/// Period that is longer than any test runs, so that the periodic task doesn't run again.
const DISABLED_PERIOD: time::Millis = time::Millis::from_secs(600);

/// Starts a simulated engine on a free port.
pub(crate) fn engine(behaviour: engine::Behaviour) -> (engine::Engine, SocketAddr) {
    let engine = engine::Engine::new(behaviour);
    let address = free_address();
    tokio::spawn(engine::server(engine.clone(), address).launch());
    (engine, address)
}

/// Running daemons and their platform.
pub(crate) struct Deployment {
    /// Daemons in the order in which they were started.
    pub(crate) daemons: Vec<start::Daemon>,
    /// Authority that signed the daemons' identities, for signing further ones.
    pub(crate) authority: tls::Authority,
    /// In-memory platform, for injecting faults and counting calls.
    pub(crate) memory: memory::Memory,
    platform: Platform,
    http: reqwest::Client,
}

/// Configuration of a deployment.
#[derive(Default)]
pub(crate) struct Setup {
    /// Engine in zone-a, which runs assistant@v1.
    pub(crate) near: Option<SocketAddr>,
    /// Engine in zone-b, which runs assistant@v2 and is owned by a second daemon.
    pub(crate) far: Option<SocketAddr>,
    /// Plain service in zone-a.
    pub(crate) service: Option<SocketAddr>,
    /// Second endpoint in zone-a, for both assistant@v1 and the service.
    pub(crate) spare: Option<SocketAddr>,
    /// Limits of every daemon.
    pub(crate) limits: settings::Limits,
    /// Whether zone views are not refreshed, so that they stay as the test sets them.
    pub(crate) freeze_views: bool,
    /// Whether the configuration log is read only at the start.
    pub(crate) freeze_config: bool,
}

impl Setup {
    fn document(&self) -> String {
        let hash = key::KeyHash::of(KEY.as_bytes());
        let other_hash = key::KeyHash::of(OTHER_KEY.as_bytes());
        let mut endpoints = String::new();
        let mut add = |name: &str, zone: &str, address: Option<SocketAddr>, runs: &str| {
            let address = address.unwrap_or_else(free_address);
            endpoints.push_str(&format!(
                "  {name}: {{zone: {zone}, address: '{address}', {runs}, slots: 4, cold-slots: 4}}\n"
            ));
        };
        add("near", "zone-a", self.near, "versions: [assistant@v1]");
        add("far", "zone-b", self.far, "versions: [assistant@v2]");
        add("desk", "zone-a", self.service, "services: [ledger]");
        if self.spare.is_some() {
            add("spare", "zone-a", self.spare, "versions: [assistant@v1], services: [ledger]");
        }
        format!(
            "zones: {{zone-a: {{region: r}}, zone-b: {{region: r}}}}
versions:
  assistant@v1: {{prompt-price: 1, output-price: 1, quality: 0.95}}
  assistant@v2: {{prompt-price: 1, output-price: 1, quality: 0.95, state: candidate}}
  secret@v1: {{prompt-price: 1, output-price: 1, quality: 0.95}}
workspaces:
  demo: {{keys: [{hash}], models: [assistant], services: [ledger]}}
  rival: {{keys: [{other_hash}], models: [assistant], services: [ledger]}}
services:
  ledger: {{calls: [{{method: GET, path: /read, repeat: safe}}]}}
  other: {{}}
endpoints:
{endpoints}"
        )
    }

    /// Starts a daemon in zone-a, and one in zone-b if there is a far engine.
    pub(crate) async fn start(self) -> Deployment {
        let memory = memory::Memory::new(1);
        let platform = memory.platform();
        let declared: declared::Declared = yaml::read("test.yaml", &self.document()).unwrap();
        let proposal = log::Proposal {
            id: "first".parse().unwrap(),
            author: "test".parse().unwrap(),
            action: "apply".into(),
            expected: None,
            steps: change::diff(&declared::Declared::default(), &declared),
        };
        let log = log::Log::new(&platform);
        log.accept(&proposal, clock::wall_now()).await.unwrap();
        let authority = tls::Authority::generate().unwrap();
        let mut locations = vec![("vm-a", "zone-a")];
        locations.extend(self.far.map(|_| ("vm-b", "zone-b")));
        let mut daemons = Vec::new();
        for (vm, zone) in locations {
            let settings = settings(vm, zone, &self);
            let identity = authority.sign(&settings.vm, &settings.zone).unwrap();
            let platform = platform.clone();
            let starting = move || start::start(settings, &platform, &identity);
            daemons.push(tokio::task::spawn_blocking(starting).await.unwrap().unwrap());
        }
        let http = reqwest::Client::builder().no_proxy().build().unwrap();
        let deployment = Deployment { daemons, authority, memory, platform, http };
        let views = || deployment.daemons[0].context.views.get();
        let is_complete = || {
            let zones = views().zones.values().filter(|v| !v.members.is_empty()).count();
            zones == deployment.daemons.len()
        };
        wait_until("all daemons are ready", || async {
            deployment.daemons.iter().all(|d| d.context.lifecycle.is_ready()) && is_complete()
        })
        .await;
        deployment
    }
}

fn settings(vm: &str, zone: &str, setup: &Setup) -> settings::Settings {
    settings::Settings {
        vm: vm.parse().unwrap(),
        zone: zone.parse().unwrap(),
        callers: free_address(),
        operators: free_address(),
        peers: free_address(),
        platform: "in-memory".into(),
        security: settings::Security { insecure: true, ..settings::Security::default() },
        limits: setup.limits.clone(),
        periods: settings::Periods {
            poll: if setup.freeze_config { DISABLED_PERIOD } else { time::Millis(100) },
            renew: if setup.freeze_views { DISABLED_PERIOD } else { time::Millis(100) },
            drain: time::Millis(100),
            ..settings::Periods::default()
        },
    }
}

impl Deployment {
    /// Address at which the first daemon serves callers.
    pub(crate) fn caller_address(&self) -> SocketAddr {
        self.daemons[0].context.settings.callers
    }

    /// Builds a request of the workspace `demo` to the first daemon.
    pub(crate) fn request(&self, method: reqwest::Method, path: &str) -> reqwest::RequestBuilder {
        self.request_at(0, KEY, method, path)
    }

    /// Builds a request with an API key to one of the daemons.
    pub(crate) fn request_at(
        &self,
        daemon: usize,
        key: &str,
        method: reqwest::Method,
        path: &str,
    ) -> reqwest::RequestBuilder {
        let url = format!("http://{}{path}", self.daemons[daemon].context.settings.callers);
        self.http.request(method, url).bearer_auth(key)
    }

    /// Billing totals stored by the platform, after a flush of every ledger.
    pub(crate) async fn billed(&self) -> BTreeMap<billing::Line, billing::Total> {
        for daemon in &self.daemons {
            daemon.context.ledger.flush().await;
        }
        billing::Billing::new(self.platform.objects.clone()).totals().await.unwrap()
    }

    /// Builds a chat request to the first daemon.
    pub(crate) fn chat(&self, model: &str, stream: bool) -> reqwest::RequestBuilder {
        self.request(reqwest::Method::POST, "/v1/chat/completions").json(&serde_json::json!({
            "model": model, "stream": stream,
            "messages": [{"role": "user", "content": "hail dings"}],
        }))
    }

    /// Number of refusals with `reason` stored by the platform, after a flush.
    pub(crate) async fn refusals(&self, reason: outcome::Reason) -> u64 {
        self.daemons[0].context.ledger.flush().await;
        let refusals = refusal::Refusals::new(self.platform.objects.clone());
        let counts = refusals.read().await.unwrap();
        counts.iter().filter(|(cell, _)| cell.reason == reason).map(|(_, count)| count).sum()
    }

    /// Number of all refusals stored by the platform, after a flush.
    pub(crate) async fn refusal_total(&self) -> u64 {
        self.daemons[0].context.ledger.flush().await;
        self.stored_refusals().await
    }

    /// Number of all refusals stored by the platform, without a flush.
    pub(crate) async fn stored_refusals(&self) -> u64 {
        let refusals = refusal::Refusals::new(self.platform.objects.clone());
        refusals.read().await.unwrap().values().sum()
    }
}

/// Waits until `check` holds, and panics after 1000 attempts at intervals of 20 ms.
pub(crate) async fn wait_until<C, F>(what: &str, check: C)
where
    C: Fn() -> F,
    F: Future<Output = bool>,
{
    for _ in 0..1_000 {
        if check().await {
            return;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    panic!("timed out waiting until {what}");
}
