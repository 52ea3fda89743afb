//! Daemons, a platform and engines in this process, connected over loopback.

use std::net::SocketAddr;
use std::time::Duration;

use ibishill_config::{change, declared, key, settings, yaml};
use ibishill_core::{clock, id};
use ibishill_daemon::start;
use ibishill_peer::tls;
use ibishill_standin::memory;
use ibishill_standin::port::free_address;
use ibishill_state::log;

use super::engine;

const WORKSPACE_KEY: &str = "slopes-key";
const READY_ATTEMPTS: usize = 1_500;
const READY_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Bearer token of the only workspace.
pub const BEARER_TOKEN: &str = WORKSPACE_KEY;

/// The version that runs in `zone-a`.
pub const LOCAL_VERSION: &str = "near@v1";

/// The version that runs only in `zone-b`.
pub const REMOTE_VERSION: &str = "far@v1";

/// Running daemons with their platform and engines.
pub struct Deployment {
    /// The in-memory platform.
    pub memory: memory::Memory,
    /// The daemons, in the order of their sites.
    pub daemons: Vec<start::Daemon>,
    /// Address of the engine of [`LOCAL_VERSION`].
    pub local_engine: SocketAddr,
    authority: tls::Authority,
}

/// Location of a daemon.
pub struct Site {
    /// Name of the VM.
    pub vm: String,
    /// Name of the zone.
    pub zone: String,
}

fn to_text<E>(error: E) -> String
where
    E: std::fmt::Display,
{
    error.to_string()
}

fn start_engine(pace: engine::Pace) -> SocketAddr {
    let address = free_address();
    tokio::spawn(engine::server(pace, address).launch());
    address
}

fn declarations(local: SocketAddr, remote: SocketAddr) -> Result<declared::Declared, String> {
    let document = format!(
        "
zones:
  zone-a: {{region: region-1}}
  zone-b: {{region: region-1}}
versions:
  near@v1: {{prompt-price: 1, output-price: 1, quality: 0.95}}
  far@v1: {{prompt-price: 1, output-price: 1, quality: 0.95}}
workspaces:
  demo: {{keys: ['{}'], models: [near, far]}}
endpoints:
  near-1: {{zone: zone-a, address: '{local}', versions: [near@v1], slots: 4096, cold-slots: 4096}}
  far-1: {{zone: zone-b, address: '{remote}', versions: [far@v1], slots: 4096, cold-slots: 4096}}
",
        key::KeyHash::of(WORKSPACE_KEY.as_bytes())
    );
    yaml::read("slopes", &document).map_err(to_text)
}

fn daemon_settings(site: &Site) -> Result<settings::Settings, String> {
    let document = format!(
        "vm: {}\nzone: {}\ncallers: {}\noperators: {}\npeers: {}\nplatform: in-memory\n\
         security: {{insecure: true}}\nperiods: {{drain: 1}}\n",
        site.vm,
        site.zone,
        free_address(),
        free_address(),
        free_address()
    );
    yaml::read("settings", &document).map_err(to_text)
}

impl Deployment {
    /// Starts daemons at `sites` and one engine in each zone, both of the same pace.
    ///
    /// # Errors
    ///
    /// Returns an error if a daemon fails to start or to become ready.
    pub async fn start(sites: &[Site], pace: engine::Pace) -> Result<Self, String> {
        let memory = memory::Memory::new(1);
        let (local_engine, remote_engine) = (start_engine(pace), start_engine(pace));
        let steps = change::diff(
            &declared::Declared::default(),
            &declarations(local_engine, remote_engine)?,
        );
        let authority = tls::Authority::generate().map_err(to_text)?;
        let mut deployment = Self { memory, daemons: Vec::new(), local_engine, authority };
        deployment.accept(1, steps).await?;
        for site in sites {
            deployment.start_daemon(site).await?;
        }
        deployment.wait_ready().await?;
        Ok(deployment)
    }

    /// Commits a change to the configuration log.
    ///
    /// # Errors
    ///
    /// Fails if the log does not accept it.
    pub async fn accept(&self, number: u64, steps: Vec<change::Step>) -> Result<(), String> {
        let log = log::Log::new(&self.memory.platform());
        let proposal = log::Proposal {
            id: format!("change-{number}").parse::<id::ChangeId>().map_err(to_text)?,
            author: "bench".parse().map_err(to_text)?,
            action: "apply".into(),
            expected: None,
            steps,
        };
        log.accept(&proposal, clock::wall_now()).await.map(drop).map_err(to_text)
    }

    async fn start_daemon(&mut self, site: &Site) -> Result<(), String> {
        let settings = daemon_settings(site)?;
        let identity = self.authority.sign(&settings.vm, &settings.zone).map_err(to_text)?;
        let platform = self.memory.platform();
        let started = tokio::task::spawn_blocking(move || {
            start::start(settings, &platform, &identity).map_err(to_text)
        });
        self.daemons.push(started.await.map_err(to_text)??);
        Ok(())
    }

    async fn wait_ready(&self) -> Result<(), String> {
        for _ in 0..READY_ATTEMPTS {
            let is_ready = |daemon: &start::Daemon| {
                let views = daemon.context.views.get();
                let member_count: usize = views.zones.values().map(|view| view.members.len()).sum();
                daemon.context.lifecycle.is_ready() && member_count >= self.daemons.len()
            };
            if self.daemons.iter().all(is_ready) {
                return Ok(());
            }
            tokio::time::sleep(READY_POLL_INTERVAL).await;
        }
        Err("the daemons did not become ready within 30 s".into())
    }

    /// Stops every daemon.
    pub async fn stop(self) {
        let stops = self.daemons.into_iter().map(start::Daemon::stop);
        futures::future::join_all(stops).await;
    }
}
