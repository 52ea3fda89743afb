//! Exit codes of the operators' commands against a daemon with tokens and TLS.

use std::fs;
use std::path::{Path, PathBuf};
use std::process::{Command, Output, Stdio};

use ibishill_config::key;
use ibishill_peer::tls;
use ibishill_standin::{memory, platform};

use crate::deployment;

const DOCUMENT: &str = "
zones: {zone-a: {region: region-1}}
versions:
  assistant@v1: {prompt-price: 100, output-price: 400, quality: 0.95}
  assistant@v2: {prompt-price: 100, output-price: 400, quality: 0.95, state: candidate}
endpoints:
  engine-a: {zone: zone-a, address: '127.0.0.1:1', versions: [assistant@v1], slots: 4}
";

struct Setup {
    dir: PathBuf,
    memory: memory::Memory,
    daemon: deployment::Daemon,
}

impl Drop for Setup {
    fn drop(&mut self) {
        let _removed = fs::remove_dir_all(&self.dir);
    }
}

fn write(dir: &Path, name: &str, text: &str) {
    fs::write(dir.join(name), text).unwrap();
}

fn settings(dir: &Path, addresses: [std::net::SocketAddr; 4]) -> String {
    let [callers, operators, peers, platform] = addresses;
    let hash = |token: &str| key::KeyHash::of(token.as_bytes());
    let dir = dir.display();
    format!(
        "vm: vm-1\nzone: zone-a\ncallers: {callers}\noperators: {operators}\npeers: {peers}\n\
         platform: http://{platform}\nsecurity:\n  tokens:\n    \
         - {{operator: ana, hash: {}}}\n    \
         - {{operator: rui, hash: {}, rights: [read]}}\n  \
         authority: {dir}/authority.pem\n  certificate: {dir}/vm-1.pem\n  \
         private-key: {dir}/vm-1.key\n  operator-certificate: {dir}/vm-1.pem\n  \
         operator-key: {dir}/vm-1.key\nperiods:\n  poll: 200\n  drain: 100\n",
        hash("ana-token"),
        hash("rui-token"),
    )
}

impl Setup {
    fn start() -> Self {
        let dir =
            std::env::temp_dir().join(format!("ibishill-operator-commands-{}", std::process::id()));
        fs::create_dir_all(&dir).unwrap();
        let memory = memory::Memory::new(1);
        let addresses: [_; 4] = std::array::from_fn(|_| deployment::free_address());
        tokio::spawn(platform::server(memory.clone(), addresses[3]).launch());
        let authority = tls::Authority::generate().unwrap();
        let (vm, zone) = ("vm-1".parse().unwrap(), "zone-a".parse().unwrap());
        let identity = authority.sign(&vm, &zone).unwrap();
        write(&dir, "authority.pem", &identity.authority);
        write(&dir, "other.pem", &tls::Authority::generate().unwrap().pem());
        write(&dir, "vm-1.pem", &identity.certificate);
        write(&dir, "vm-1.key", identity.private_key.expose());
        for name in ["ana", "rui", "eve"] {
            write(&dir, &format!("{name}.token"), &format!("{name}-token\n"));
        }
        write(&dir, "declared.yaml", DOCUMENT);
        write(&dir, "bad.yaml", "zone: {}\nversoins: {}\n");
        write(&dir, "settings.yaml", &settings(&dir, addresses));
        let mut command = Command::new(env!("CARGO_BIN_EXE_ibishill"));
        command.args(["serve", "settings.yaml"]).current_dir(&dir).stderr(Stdio::null());
        let child = deployment::spawn(&mut command).unwrap();
        let [callers, operators, ..] = addresses;
        Self { dir, memory, daemon: deployment::Daemon { child, callers, operators } }
    }

    fn run(&self, token: Option<&str>, authority: &str, args: &[&str]) -> Output {
        let mut command = Command::new(env!("CARGO_BIN_EXE_ibishill"));
        command.args(args).current_dir(&self.dir);
        command.arg(format!("--daemon=https://{}", self.daemon.operators));
        command.args(["--ca", authority, "--server-name", "vm-1.zone-a.ibishill"]);
        if let Some(token) = token {
            command.arg(format!("--token-file={token}.token"));
        }
        command.stdin(Stdio::null()).stdout(Stdio::piped()).stderr(Stdio::piped());
        deployment::spawn(&mut command).unwrap().wait_with_output().unwrap()
    }

    fn exit_code(&self, token: Option<&str>, args: &[&str]) -> i32 {
        self.run(token, "authority.pem", args).status.code().unwrap()
    }
}

struct Case {
    token: Option<&'static str>,
    args: &'static [&'static str],
    code: i32,
}

const fn case(token: Option<&'static str>, args: &'static [&'static str], code: i32) -> Case {
    Case { token, args, code }
}

const CASES: &[Case] = &[
    case(None, &["status"], 7),
    case(Some("eve"), &["status"], 7),
    case(Some("rui"), &["apply", "declared.yaml"], 7),
    case(Some("rui"), &["diff", "declared.yaml"], 0),
    case(Some("ana"), &["apply", "bad.yaml"], 3),
    case(Some("ana"), &["apply", "declared.yaml", "--change-id", "first"], 0),
    case(Some("ana"), &["apply", "declared.yaml", "--change-id", "first"], 0),
    case(Some("ana"), &["wait", "1"], 0),
    case(Some("rui"), &["wait", "2", "--timeout-ms", "100"], 6),
    case(Some("rui"), &["zone", "out", "zone-a"], 7),
    case(Some("ana"), &["zone", "out", "zone-a", "--change-id", "second"], 0),
    case(Some("ana"), &["zone", "in", "zone-a", "--change-id", "second"], 1),
    case(Some("ana"), &["zone", "in", "zone-a", "--expect", "1"], 4),
    case(Some("ana"), &["zone", "in", "zone-a", "--expect", "2"], 0),
    case(Some("ana"), &["zone", "out", "zone-b"], 1),
    case(
        Some("ana"),
        &["rollout", "start", "v2", "--from", "assistant@v1", "--to", "assistant@v2"],
        0,
    ),
    case(Some("ana"), &["rollout", "resume", "v2"], 1),
    case(Some("ana"), &["withdraw", "assistant@v2"], 0),
    case(Some("ana"), &["endpoint", "out", "engine-a"], 0),
    case(Some("rui"), &["refusals", "--json"], 0),
    case(Some("rui"), &["billing", "--json"], 0),
];

#[tokio::test(flavor = "multi_thread")]
async fn commands_exit_with_documented_codes() {
    let setup = Setup::start();
    deployment::until("the operator API is open", || async {
        setup.exit_code(Some("ana"), &["status"]) == 0
    })
    .await;
    assert_eq!(setup.run(Some("ana"), "other.pem", &["status"]).status.code(), Some(1));
    for Case { token, args, code } in CASES {
        let output = setup.run(*token, "authority.pem", args);
        let errors = String::from_utf8_lossy(&output.stderr);
        assert_eq!(output.status.code(), Some(*code), "{args:?}: {errors}");
    }
    let audit = setup.run(Some("rui"), "authority.pem", &["audit", "--json"]);
    let entries: Vec<serde_json::Value> = serde_json::from_slice(&audit.stdout).unwrap();
    let actions: Vec<_> = entries.iter().map(|entry| entry["action"].as_str().unwrap()).collect();
    let expected = ["apply", "zone out", "zone in", "rollout start", "withdraw", "endpoint out"];
    assert_eq!(actions, expected);

    let metrics = reqwest::Client::builder().no_proxy().build().unwrap();
    let metrics = metrics.get(format!("http://{}/metrics", setup.daemon.callers)).send();
    let text = metrics.await.unwrap().text().await.unwrap();
    let refused = text.lines().filter(|line| line.starts_with("ibishill_operators_refused"));
    assert!(
        refused.clone().any(|line| line.contains("call=\"zone\"") && line.ends_with(" 1")),
        "{text}"
    );

    setup.memory.set_faults(memory::Faults { outage: true, ..memory::Faults::default() });
    let args = ["zone", "out", "zone-a", "--change-id", "during-outage"];
    let output = setup.run(Some("ana"), "authority.pem", &args);
    let errors = String::from_utf8_lossy(&output.stderr);
    assert_eq!(output.status.code(), Some(5), "{errors}");
    assert!(errors.contains("repeat the command with --change-id during-outage"), "{errors}");
}
