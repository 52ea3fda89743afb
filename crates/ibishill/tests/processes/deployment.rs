//! Fixtures of the process tests: a platform, engines and daemons on loopback.

use std::fs;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use ibishill_config::key;
use ibishill_peer::tls;
pub(crate) use ibishill_standin::port::{free_address, spawn};
use ibishill_standin::{engine, memory, platform};

/// API key of the workspace that the tests declare.
pub(crate) const KEY: &str = "demo-key";

/// A daemon process, which is killed on drop.
pub(crate) struct Daemon {
    pub(crate) child: Child,
    /// Address of the callers' API.
    pub(crate) callers: SocketAddr,
    /// Address of the operator API.
    pub(crate) operators: SocketAddr,
}

impl Drop for Daemon {
    fn drop(&mut self) {
        let _killed = self.child.kill();
        let _reaped = self.child.wait();
    }
}

/// A platform on loopback, and the certificate authority of its daemons.
pub(crate) struct Deployment {
    /// Temporary directory of settings and certificates; removed on drop.
    pub(crate) dir: PathBuf,
    /// Address of the stand-in platform.
    pub(crate) platform: SocketAddr,
    authority: tls::Authority,
}

impl Drop for Deployment {
    fn drop(&mut self) {
        let _removed = fs::remove_dir_all(&self.dir);
    }
}

impl Deployment {
    /// Starts the stand-in platform. `name` distinguishes the directories of the tests.
    pub(crate) fn start(name: &str) -> Self {
        let dir = std::env::temp_dir().join(format!("ibishill-{name}-{}", std::process::id()));
        fs::create_dir_all(&dir).unwrap();
        let memory = memory::Memory::new(1);
        let address = free_address();
        tokio::spawn(platform::server(memory, address).launch());
        let authority = tls::Authority::generate().unwrap();
        Self { dir, platform: address, authority }
    }

    /// Spawns a daemon without waiting until it is ready.
    pub(crate) fn daemon(&self, vm: &str, zone: &str) -> Daemon {
        self.daemon_with(vm, zone, "")
    }

    /// The same with further lines of its settings.
    pub(crate) fn daemon_with(&self, vm: &str, zone: &str, more: &str) -> Daemon {
        let (callers, operators, peers) = (free_address(), free_address(), free_address());
        let identity = self.authority.sign(&vm.parse().unwrap(), &zone.parse().unwrap()).unwrap();
        let path = |name: &str| self.dir.join(format!("{vm}-{name}"));
        fs::write(path("authority.pem"), identity.authority).unwrap();
        fs::write(path("certificate.pem"), identity.certificate).unwrap();
        fs::write(path("private.key"), identity.private_key.expose()).unwrap();
        let settings = format!(
            "vm: {vm}\nzone: {zone}\ncallers: {callers}\noperators: {operators}\npeers: {peers}\n\
             platform: http://{}\nsecurity:\n  insecure: true\n  authority: {}\n  \
             certificate: {}\n  private-key: {}\nperiods:\n  poll: 200\n  renew: 200\n  \
             lease: 2000\n  drain: 300\n{more}",
            self.platform,
            path("authority.pem").display(),
            path("certificate.pem").display(),
            path("private.key").display(),
        );
        fs::write(path("settings.yaml"), settings).unwrap();
        let mut command = Command::new(env!("CARGO_BIN_EXE_ibishill"));
        command.arg("serve").arg(path("settings.yaml")).stderr(Stdio::null());
        let child = spawn(&mut command).unwrap();
        Daemon { child, callers, operators }
    }
}

/// Sends a process a signal, named as an option of `kill`.
pub(crate) fn signal(process: &Child, name: &str) {
    let mut kill = Command::new("kill");
    let status = spawn(kill.args([name, &process.id().to_string()])).unwrap().wait();
    assert!(status.unwrap().success());
}

/// Starts a stand-in engine.
pub(crate) fn engine() -> (engine::Engine, SocketAddr) {
    let engine = engine::Engine::new(engine::Behaviour::default());
    let address = free_address();
    tokio::spawn(engine::server(engine.clone(), address).launch());
    (engine, address)
}

/// Hash of `KEY`.
pub(crate) fn key_hash() -> key::KeyHash {
    key::KeyHash::of(KEY.as_bytes())
}

/// Polls `check` every 50 ms until it holds; panics after 600 attempts (30 s and the time of the
/// checks).
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
    panic!("timed out waiting until {what}");
}
