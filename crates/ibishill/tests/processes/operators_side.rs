//! Operators' commands against a daemon with tokens and TLS, by their exit codes.

use std::fs;
use std::path::{Path, PathBuf};
use std::process::{Command, Output};

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

struct Side {
    folder: PathBuf,
    memory: memory::Memory,
    daemon: deployment::Daemon,
}

impl Drop for Side {
    fn drop(&mut self) {
        let _gone = fs::remove_dir_all(&self.folder);
    }
}

fn write(folder: &Path, name: &str, text: &str) {
    fs::write(folder.join(name), text).unwrap();
}

fn settings(folder: &Path, daemon: [std::net::SocketAddr; 4]) -> String {
    let [callers, operators, peers, platform] = daemon;
    let hash = |token: &str| key::KeyHash::of(token.as_bytes());
    let folder = folder.display();
    format!(
        "vm: vm-1\nzone: zone-a\ncallers: {callers}\noperators: {operators}\npeers: {peers}\n\
         platform: http://{platform}\nsecurity:\n  tokens:\n    \
         - {{operator: ana, hash: {}}}\n    \
         - {{operator: rui, hash: {}, rights: [read]}}\n  \
         authority: {folder}/authority.pem\n  certificate: {folder}/vm-1.pem\n  \
         private-key: {folder}/vm-1.key\n  operator-certificate: {folder}/vm-1.pem\n  \
         operator-key: {folder}/vm-1.key\nperiods:\n  poll: 200\n  drain: 100\n",
        hash("ana-token"),
        hash("rui-token"),
    )
}

impl Side {
    fn start() -> Self {
        let folder = std::env::temp_dir().join(format!("ibishill-side-{}", std::process::id()));
        fs::create_dir_all(&folder).unwrap();
        let memory = memory::Memory::new(1);
        let addresses: [_; 4] = std::array::from_fn(|_| deployment::free_address());
        tokio::spawn(platform::server(memory.clone(), addresses[3]).launch());
        let authority = tls::Authority::generate().unwrap();
        let (vm, zone) = ("vm-1".parse().unwrap(), "zone-a".parse().unwrap());
        let identity = authority.sign(&vm, &zone).unwrap();
        write(&folder, "authority.pem", &identity.authority);
        write(&folder, "other.pem", &tls::Authority::generate().unwrap().pem());
        write(&folder, "vm-1.pem", &identity.certificate);
        write(&folder, "vm-1.key", identity.private_key.expose());
        for name in ["ana", "rui", "eve"] {
            write(&folder, &format!("{name}.token"), &format!("{name}-token\n"));
        }
        write(&folder, "declared.yaml", DOCUMENT);
        write(&folder, "bad.yaml", "zone: {}\nversoins: {}\n");
        write(&folder, "settings.yaml", &settings(&folder, addresses));
        let child = Command::new(env!("CARGO_BIN_EXE_ibishill"))
            .args(["serve", "settings.yaml"])
            .current_dir(&folder)
            .stderr(std::process::Stdio::null())
            .spawn()
            .unwrap();
        let [callers, operators, ..] = addresses;
        Self { folder, memory, daemon: deployment::Daemon { child, callers, operators } }
    }

    fn run(&self, token: Option<&str>, authority: &str, words: &[&str]) -> Output {
        let mut command = Command::new(env!("CARGO_BIN_EXE_ibishill"));
        command.args(words).current_dir(&self.folder);
        command.arg(format!("--daemon=https://{}", self.daemon.operators));
        command.args(["--ca", authority, "--server-name", "vm-1.zone-a.ibishill"]);
        if let Some(token) = token {
            command.arg(format!("--token-file={token}.token"));
        }
        command.output().unwrap()
    }

    fn code(&self, token: Option<&str>, words: &[&str]) -> i32 {
        self.run(token, "authority.pem", words).status.code().unwrap()
    }
}

struct Case {
    token: Option<&'static str>,
    words: &'static [&'static str],
    code: i32,
}

const fn case(token: Option<&'static str>, words: &'static [&'static str], code: i32) -> Case {
    Case { token, words, code }
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
async fn commands_end_with_their_codes() {
    let side = Side::start();
    deployment::until("the operators' side is open", || async {
        side.code(Some("ana"), &["status"]) == 0
    })
    .await;
    assert_eq!(side.run(Some("ana"), "other.pem", &["status"]).status.code(), Some(1));
    for Case { token, words, code } in CASES {
        let done = side.run(*token, "authority.pem", words);
        let errors = String::from_utf8_lossy(&done.stderr);
        assert_eq!(done.status.code(), Some(*code), "{words:?}: {errors}");
    }
    let audit = side.run(Some("rui"), "authority.pem", &["audit", "--json"]);
    let entries: Vec<serde_json::Value> = serde_json::from_slice(&audit.stdout).unwrap();
    let actions: Vec<_> = entries.iter().map(|entry| entry["action"].as_str().unwrap()).collect();
    let wanted = ["apply", "zone out", "zone in", "rollout start", "withdraw", "endpoint out"];
    assert_eq!(actions, wanted);

    let metrics = reqwest::Client::builder().no_proxy().build().unwrap();
    let metrics = metrics.get(format!("http://{}/metrics", side.daemon.callers)).send();
    let text = metrics.await.unwrap().text().await.unwrap();
    let refused = text.lines().filter(|line| line.starts_with("ibishill_operators_refused"));
    assert!(
        refused.clone().any(|line| line.contains("call=\"zone\"") && line.ends_with(" 1")),
        "{text}"
    );

    side.memory.set_faults(memory::Faults { outage: true, ..memory::Faults::default() });
    let words = ["zone", "out", "zone-a", "--change-id", "during-outage"];
    let done = side.run(Some("ana"), "authority.pem", &words);
    let errors = String::from_utf8_lossy(&done.stderr);
    assert_eq!(done.status.code(), Some(5), "{errors}");
    assert!(errors.contains("repeat the command with --change-id during-outage"), "{errors}");
}
