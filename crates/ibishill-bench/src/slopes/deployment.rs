//! Daemons, a platform and engines in this process, joined over loopback.

use std::net::SocketAddr;
use std::time::Duration;

use ibishill_config::{change, declared, key, settings, yaml};
use ibishill_core::{clock, id};
use ibishill_daemon::start;
use ibishill_peer::tls;
use ibishill_standin::memory;
use ibishill_standin::port::free_address;
use ibishill_state::log;

use super::source;

const KEY: &str = "slopes-key";
const READY_TRIES: usize = 1_500;
const READY_PAUSE: Duration = Duration::from_millis(20);

/// The key of the only workspace.
pub const BEARER: &str = KEY;

/// The version that runs in the daemons' own zone.
pub const NEAR: &str = "near@v1";

/// The version that runs only in the other zone.
pub const FAR: &str = "far@v1";

/// A deployment of some daemons.
pub struct Deployment {
    /// The platform's stand-in.
    pub memory: memory::Memory,
    /// The daemons.
    pub daemons: Vec<start::Daemon>,
    /// Address of the engine of [`NEAR`].
    pub near: SocketAddr,
    authority: tls::Authority,
}

/// Where a daemon stands.
pub struct Site {
    /// Its VM.
    pub vm: String,
    /// Its zone.
    pub zone: String,
}

fn text<E>(error: E) -> String
where
    E: std::fmt::Display,
{
    error.to_string()
}

fn source(pace: source::Pace) -> SocketAddr {
    let address = free_address();
    tokio::spawn(source::server(pace, address).launch());
    address
}

fn declarations(near: SocketAddr, far: SocketAddr) -> Result<declared::Declared, String> {
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
  near-1: {{zone: zone-a, address: '{near}', versions: [near@v1], slots: 4096, cold-slots: 4096}}
  far-1: {{zone: zone-b, address: '{far}', versions: [far@v1], slots: 4096, cold-slots: 4096}}
",
        key::KeyHash::of(KEY.as_bytes())
    );
    yaml::read("slopes", &document).map_err(text)
}

fn settings_of(site: &Site) -> Result<settings::Settings, String> {
    let document = format!(
        "vm: {}\nzone: {}\ncallers: {}\noperators: {}\npeers: {}\nplatform: in-memory\n\
         security: {{insecure: true}}\nperiods: {{drain: 1}}\n",
        site.vm,
        site.zone,
        free_address(),
        free_address(),
        free_address()
    );
    yaml::read("settings", &document).map_err(text)
}

impl Deployment {
    /// Starts daemons at `sites` with engines that keep the same pace.
    ///
    /// # Errors
    ///
    /// Names what could not be started.
    pub async fn start(sites: &[Site], pace: source::Pace) -> Result<Self, String> {
        let memory = memory::Memory::new(1);
        let (near, far) = (source(pace), source(pace));
        let steps = change::diff(&declared::Declared::default(), &declarations(near, far)?);
        let authority = tls::Authority::generate().map_err(text)?;
        let mut deployment = Self { memory, daemons: Vec::new(), near, authority };
        deployment.accept(1, steps).await?;
        for site in sites {
            deployment.add(site).await?;
        }
        deployment.wait_ready().await?;
        Ok(deployment)
    }

    /// Accepts a change.
    ///
    /// # Errors
    ///
    /// Fails if the log refuses it.
    pub async fn accept(&self, number: u64, steps: Vec<change::Step>) -> Result<(), String> {
        let log = log::Log::new(&self.memory.platform());
        let order = log::Proposal {
            id: format!("change-{number}").parse::<id::ChangeId>().map_err(text)?,
            author: "bench".parse().map_err(text)?,
            action: "apply".into(),
            expected: None,
            steps,
        };
        log.accept(&order, clock::wall_now()).await.map(drop).map_err(text)
    }

    async fn add(&mut self, site: &Site) -> Result<(), String> {
        let settings = settings_of(site)?;
        let identity = self.authority.sign(&settings.vm, &settings.zone).map_err(text)?;
        let platform = self.memory.platform();
        let started = tokio::task::spawn_blocking(move || {
            start::start(settings, &platform, &identity).map_err(text)
        });
        self.daemons.push(started.await.map_err(text)??);
        Ok(())
    }

    async fn wait_ready(&self) -> Result<(), String> {
        for _ in 0..READY_TRIES {
            let ready = |daemon: &start::Daemon| {
                let views = daemon.context.views.get();
                let known: usize = views.zones.values().map(|view| view.members.len()).sum();
                daemon.context.lifecycle.is_ready() && known >= self.daemons.len()
            };
            if self.daemons.iter().all(ready) {
                return Ok(());
            }
            tokio::time::sleep(READY_PAUSE).await;
        }
        Err("the daemons did not become ready".into())
    }

    /// Stops every daemon.
    pub async fn stop(self) {
        let stops = self.daemons.into_iter().map(start::Daemon::stop);
        futures::future::join_all(stops).await;
    }
}
