//! Support of the process tests: a platform, engines and daemons on loopback.

use std::fs;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use ibishill_config::key;
use ibishill_peer::tls;
pub(crate) use ibishill_standin::port::free_address;
use ibishill_standin::{engine, memory, platform};

/// The key of the workspace that the tests declare.
pub(crate) const KEY: &str = "demo-key";

/// One daemon as a process; it is killed when dropped.
pub(crate) struct Daemon {
    /// The process.
    pub(crate) child: Child,
    /// Its callers' address.
    pub(crate) callers: SocketAddr,
    /// Its operators' address.
    pub(crate) operators: SocketAddr,
}

impl Drop for Daemon {
    fn drop(&mut self) {
        let _ended = self.child.kill();
        let _reaped = self.child.wait();
    }
}

/// A deployment on loopback.
pub(crate) struct Deployment {
    /// Where settings and certificates stand.
    pub(crate) folder: PathBuf,
    /// Address of the platform.
    pub(crate) platform: SocketAddr,
    authority: tls::Authority,
}

impl Drop for Deployment {
    fn drop(&mut self) {
        let _gone = fs::remove_dir_all(&self.folder);
    }
}

impl Deployment {
    /// Starts the platform's stand-in.
    pub(crate) fn start(name: &str) -> Self {
        let folder = std::env::temp_dir().join(format!("ibishill-{name}-{}", std::process::id()));
        fs::create_dir_all(&folder).unwrap();
        let memory = memory::Memory::new(1);
        let address = free_address();
        tokio::spawn(platform::server(memory, address).launch());
        let authority = tls::Authority::generate().unwrap();
        Self { folder, platform: address, authority }
    }

    /// Starts a daemon and returns at once.
    pub(crate) fn daemon(&self, vm: &str, zone: &str) -> Daemon {
        let (callers, operators, peers) = (free_address(), free_address(), free_address());
        let identity = self.authority.sign(&vm.parse().unwrap(), &zone.parse().unwrap()).unwrap();
        let path = |name: &str| self.folder.join(format!("{vm}-{name}"));
        fs::write(path("authority.pem"), identity.authority).unwrap();
        fs::write(path("certificate.pem"), identity.certificate).unwrap();
        fs::write(path("private.key"), identity.private_key.expose()).unwrap();
        let settings = format!(
            "vm: {vm}\nzone: {zone}\ncallers: {callers}\noperators: {operators}\npeers: {peers}\n\
             platform: http://{}\nsecurity:\n  insecure: true\n  authority: {}\n  \
             certificate: {}\n  private-key: {}\nperiods:\n  poll: 200\n  renew: 200\n  \
             lease: 2000\n  drain: 300\n",
            self.platform,
            path("authority.pem").display(),
            path("certificate.pem").display(),
            path("private.key").display(),
        );
        fs::write(path("settings.yaml"), settings).unwrap();
        let child = Command::new(env!("CARGO_BIN_EXE_ibishill"))
            .arg("serve")
            .arg(path("settings.yaml"))
            .stderr(Stdio::null())
            .spawn()
            .unwrap();
        Daemon { child, callers, operators }
    }
}

/// Starts an engine's stand-in.
pub(crate) fn engine() -> (engine::Engine, SocketAddr) {
    let engine = engine::Engine::new(engine::Behaviour::default());
    let address = free_address();
    tokio::spawn(engine::server(engine.clone(), address).launch());
    (engine, address)
}

/// Hash of the workspace's key.
pub(crate) fn key_hash() -> key::KeyHash {
    key::KeyHash::of(KEY.as_bytes())
}

/// Waits until `check` holds.
pub(crate) async fn until<C, F>(what: &str, check: C)
where
    C: Fn() -> F,
    F: Future<Output = bool>,
{
    for _ in 0..600 {
        if check().await {
            return;
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    panic!("waited too long until {what}");
}
