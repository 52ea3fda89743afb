//! Starts relays with the command of the deploy file, as the platform does.

use std::fs::{self, File};
use std::net::{IpAddr, SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};
use std::{env, io, process, thread};

use crate::http;

/// Bounds and limits of a small deployment.
const COMMON: &str = r#"
role = "relay"
machine-class = "front"
serves = ["front", "control"]
region = "nordeste"
bootstrap = false
in-fault-budget = false
discovery = "platform"
entry = "virtual_ip"
heartbeat-ms = 1200
contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","places","platform","rollout"]
"#;

const TABLES: &str = r#"
[zones]
recife = "nordeste"
fortaleza = "nordeste"
[limits]
cpu-share = 0.25
cores = 1
memory-mb = {memory}
max-fds = 4100
link-mbps = 1000.0
disk-mb = 0
[fault-tolerance]
machines = 2
zones = 1
regions = 0
[bounds]
seed-lag-s = 3
addr-reuse-s = 2
contact-ms = 3000
ack-ms = 4000
catch-up-s = 4
drain-ms = 2000
grace-s = 8
loss-slack-ms = 200
config-apply-ms = 2000
regression-ms = 250
outer-ms = 5000
strict-revoke = false
revoke-ms = 5000
retry-budget-ratio = 0.9
budget-window-s = 10
budget-slack = 52
expose-share = 0.15
expose-slack = 30
rollback-ms = 5000
cold-overshoot = 1.5
cold-slack = 5
evacuate-ms = 5000
recovery-s = 12
pass-ms = 120
again-s = 10
session-s = 5
"#;

/// Grace period of a planned stop, in seconds.
pub const GRACE: Duration = Duration::from_secs(8);

pub struct Relay {
    child: Child,
    pub name: String,
    pub front: SocketAddr,
    ready: SocketAddr,
}

pub struct Place<'a> {
    pub folder: &'a Path,
    pub store: SocketAddr,
    /// Memory of a machine, in megabytes.
    pub memory: u32,
}

fn free(ip: IpAddr) -> io::Result<SocketAddr> {
    TcpListener::bind((ip, 0))?.local_addr()
}

/// A loopback address of its own for each machine of this run.
pub fn ip(index: u8) -> IpAddr {
    let own = process::id();
    IpAddr::from([127, 60 + (own % 180) as u8, (own / 180 % 250) as u8, index])
}

impl Relay {
    /// Starts `count` relays that know each other's addresses, and waits until they are ready.
    pub fn start_all(place: &Place<'_>, count: u8) -> io::Result<Vec<Self>> {
        let controls: Vec<SocketAddr> =
            (1..=count).map(|index| free(ip(index))).collect::<Result<_, _>>()?;
        let relays: Vec<Self> = (0..count)
            .map(|index| Self::start(place, index, &controls))
            .collect::<Result<_, _>>()?;
        for relay in &relays {
            relay.wait_until_ready(Duration::from_secs(20))?;
        }
        Ok(relays)
    }

    fn start(place: &Place<'_>, index: u8, controls: &[SocketAddr]) -> io::Result<Self> {
        let own = ip(index + 1);
        let (front, ready) = (free(own)?, free(own)?);
        let control = controls[usize::from(index)];
        let zone = if index % 2 == 0 { "recife" } else { "fortaleza" };
        let name = format!("front-{zone}-{}", index / 2 + 1);
        let seeds: Vec<String> =
            controls.iter().take(3).map(|seed| format!("\"{seed}\"")).collect();
        let text = format!(
            "node-name = \"{name}\"\nip = \"{own}\"\nzone = \"{zone}\"\ninternal-ports = [{}, {}]\nseeds = [{}]\n{COMMON}[listen]\nfront = \"{front}\"\nready-addr = \"{ready}\"\ncontrol = \"{control}\"\n{}[platform]\naddress = \"{}\"\nform = \"table\"\nwrites-per-s = 400\nreads-per-s = 2000\ntx-ms = 3.0\n",
            control.port() + 1,
            control.port().saturating_add(15),
            seeds.join(", "),
            TABLES.replace("{memory}", &place.memory.to_string()),
            place.store,
        );
        let settings = place.folder.join(format!("{name}.toml"));
        fs::write(&settings, text)?;
        let output = File::create(place.folder.join(format!("{name}.log")))?;
        let mut command = Command::new("target/release/ibishill");
        command.arg("relay").env_clear().env("IBISHILL_SETTINGS", &settings);
        for name in ["PATH", "HOME", "LANG"] {
            if let Some(value) = env::var_os(name) {
                command.env(name, value);
            }
        }
        let child =
            command.stdin(Stdio::null()).stdout(output.try_clone()?).stderr(output).spawn()?;
        Ok(Self { child, name, front, ready })
    }

    pub fn is_ready(&self) -> bool {
        let ask = || -> io::Result<bool> {
            let mut stream = TcpStream::connect_timeout(&self.ready, Duration::from_millis(500))?;
            stream.set_read_timeout(Some(Duration::from_millis(500)))?;
            http::write(&mut stream, "GET /-/readyz HTTP/1.1", &[("Host", "ready".into())], b"")?;
            let head = http::Reader::new(&stream)?.head()?;
            Ok(head.is_some_and(|head| head.status() == 200))
        };
        ask().unwrap_or(false)
    }

    fn wait_until_ready(&self, limit: Duration) -> io::Result<()> {
        let end = Instant::now() + limit;
        while !self.is_ready() {
            if Instant::now() >= end {
                return Err(io::Error::other(format!("{} is not ready", self.name)));
            }
            thread::sleep(Duration::from_millis(50));
        }
        Ok(())
    }

    /// Sends a signal: TERM, KILL, STOP, CONT or HUP.
    pub fn signal(&self, name: &str) -> io::Result<()> {
        let command = format!("kill -{name} {}", self.child.id());
        let status = Command::new("/bin/sh").args(["-c", &command]).status()?;
        if status.success() { Ok(()) } else { Err(io::Error::other("kill failed")) }
    }

    /// Memory of the process that no file backs, in bytes.
    pub fn memory(&self) -> io::Result<u64> {
        let text = fs::read_to_string(format!("/proc/{}/status", self.child.id()))?;
        let line = text.lines().find_map(|line| line.strip_prefix("RssAnon:"));
        let kilobytes = line.and_then(|text| text.trim().split(' ').next()?.parse::<u64>().ok());
        kilobytes.map(|found| found * 1024).ok_or_else(|| io::Error::other("no RssAnon"))
    }

    /// Whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        let _killed = self.child.kill();
        let _status = self.child.wait();
    }
}
