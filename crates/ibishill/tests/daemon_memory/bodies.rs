//! Callers whose bodies stop short of their end, or are far over the limit: the daemon stays within the memory that its
//! settings give it, and serves others.

use std::fs;
use std::net::SocketAddr;
use std::time::Duration;

use ibishill_operator::{client, generated};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::watch;

use crate::deployment;

/// Memory that the settings give the daemon, in MB.
const MEMORY: u64 = 96;

/// Memory of these for the pages of the program, in MB. They are not measured, since a debug build has several times as
/// many as a release build.
const PROGRAM: u64 = 10;

/// File descriptors of the daemon, at most.
const DESCRIPTORS: usize = 1_000;

/// Callers at the same time.
const CALLERS: usize = 300;

/// Largest body that the settings allow, in bytes.
const BODY_MAX: usize = 1_024 * 1_024;

/// Time for which callers stay.
const STAY: Duration = Duration::from_secs(6);

/// Held by a test that fills a daemon, so that they run one after the other.
static ALONE: tokio::sync::Mutex<()> = tokio::sync::Mutex::const_new(());

/// Bodies that callers send.
#[derive(Debug, Clone, Copy)]
enum Sends {
    /// A body of this declared length without its last byte.
    Declared(usize),
    /// Chunks of this size, this many, without an end.
    Chunks { size: usize, count: usize },
    /// A head of this length without its end.
    Head(usize),
    /// A whole body of this length with fields of this many bytes.
    Fields { length: usize, size: usize },
}

struct Case {
    name: &'static str,
    sends: Sends,
}

const BODIES: &[Case] = &[
    Case { name: "declared", sends: Sends::Declared(BODY_MAX) },
    Case { name: "chunks", sends: Sends::Chunks { size: 8 * 1_024, count: BODY_MAX / 8_192 - 1 } },
    Case { name: "chunks of one byte", sends: Sends::Chunks { size: 1, count: 100_000 } },
    Case { name: "declared far over the limit", sends: Sends::Declared(40 * BODY_MAX) },
    Case { name: "without end", sends: Sends::Chunks { size: 64 * 1_024, count: 640 } },
    Case { name: "whole", sends: Sends::Fields { length: BODY_MAX - 1_024, size: 100_000 } },
];

const PARSED: &[Case] =
    &[Case { name: "many fields", sends: Sends::Fields { length: BODY_MAX - 1_024, size: 8 } }];

const DOCUMENT: &str = "
zones: {zone-a: {region: r}}
versions:
  assistant@v1: {prompt-price: 1, output-price: 1, quality: 0.95}
";

const HEADS: &[Case] = &[Case { name: "heads without end", sends: Sends::Head(400_000) }];

async fn send(stream: &mut TcpStream, sends: Sends) -> std::io::Result<()> {
    let framing = match sends {
        Sends::Declared(length) | Sends::Fields { length, .. } => {
            format!("content-length: {length}")
        }
        Sends::Chunks { .. } => "transfer-encoding: chunked".to_owned(),
        Sends::Head(length) => {
            let head = format!("GET /livez HTTP/1.1\r\nx: {}", "a".repeat(length));
            return stream.write_all(head.as_bytes()).await;
        }
    };
    let head = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nhost: localhost\r\nauthorization: Bearer {}\r\n\
         content-type: application/json\r\n{framing}\r\n\r\n",
        deployment::KEY
    );
    stream.write_all(head.as_bytes()).await?;
    match sends {
        Sends::Declared(length) => {
            let piece = vec![b'a'; 64 * 1_024];
            for _ in 1..length / piece.len() {
                stream.write_all(&piece).await?;
            }
            stream.write_all(&piece[1..]).await
        }
        Sends::Chunks { size, count } => {
            let chunk = format!("{size:x}\r\n{}\r\n", "a".repeat(size));
            let group = (64 * 1_024 / size).clamp(1, count);
            for _ in 0..count / group {
                stream.write_all(chunk.repeat(group).as_bytes()).await?;
            }
            Ok(())
        }
        Sends::Head(_) => Ok(()),
        Sends::Fields { length, size } => stream.write_all(&fields(length, size)).await,
    }
}

// A chat request whose other fields have this size each.
fn fields(length: usize, size: usize) -> Vec<u8> {
    let mut body = "{\"model\":\"assistant\",\"messages\":[]".to_owned();
    let mut number = 0;
    while body.len() + size + 16 < length {
        let name = format!("{number:x}");
        let value = "a".repeat(size.saturating_sub(name.len() + 6));
        body.push_str(&format!(",\"{name}\":\"{value}\""));
        number += 1;
    }
    body.push_str(&" ".repeat(length - body.len() - 1));
    body.push('}');
    body.into_bytes()
}

// Sends, then keeps the connection open until the test says so; reads what the daemon answers.
async fn call(callers: SocketAddr, sends: Sends, mut leave: watch::Receiver<bool>) {
    let calling = async {
        let Ok(mut stream) = TcpStream::connect(callers).await else { return };
        // A refused caller gets an error when it writes on.
        let _sent = send(&mut stream, sends).await;
        let _read = stream.read_to_end(&mut Vec::new()).await;
    };
    tokio::select! {
        () = calling => {}
        _left = leave.wait_for(|leave| *leave) => {}
    }
}

async fn is_served(callers: SocketAddr, length: usize) -> bool {
    let http = reqwest::Client::builder().no_proxy().build().unwrap();
    let request = http.post(format!("http://{callers}/v1/chat/completions"));
    let request = request.bearer_auth(deployment::KEY).header("content-type", "application/json");
    let answer = request.body(fields(length, 1_000)).send().await;
    answer.is_ok_and(|answer| answer.status() == 200)
}

// A figure of the process, in KiB.
fn status(daemon: &deployment::Daemon, name: &str) -> u64 {
    let status = fs::read_to_string(format!("/proc/{}/status", daemon.child.id())).unwrap();
    let value = status.lines().find_map(|line| line.strip_prefix(name)).unwrap();
    value.trim().trim_end_matches(" kB").parse().unwrap()
}

async fn start(deployment: &deployment::Deployment, engine: SocketAddr) -> deployment::Daemon {
    let limits = format!("limits:\n  body: {BODY_MAX}\n  memory: {}\n", MEMORY * 1_000_000);
    let daemon = deployment.daemon_with("vm-a", "zone-a", &limits);
    let callers = daemon.callers;
    deployment::until("the daemon listens", async || {
        reqwest::get(format!("http://{callers}/readyz")).await.is_ok()
    })
    .await;
    let document = format!(
        "{DOCUMENT}workspaces:\n  demo: {{keys: [{}], models: [assistant]}}\nendpoints:\n  \
         near: {{zone: zone-a, address: '{engine}', versions: [assistant@v1], slots: 400, cold-slots: 400}}\n",
        deployment::key_hash()
    );
    let mut operators =
        client::Client::connect(&format!("http://{}", daemon.operators), None).await.unwrap();
    let order = Some(generated::Order { change_id: "first".into(), expected_version: None });
    operators.apply(generated::ApplyRequest { order, document, partial: false }).await.unwrap();
    deployment::until("the daemon serves", async || is_served(callers, 1_000).await).await;
    daemon
}

async fn run(cases: &[Case], directory: &str) {
    let _alone = ALONE.lock().await;
    let deployment = deployment::Deployment::start(directory);
    let (_engine, engine) = deployment::engine();
    let mut failures = Vec::new();
    for Case { name, sends } in cases {
        let mut daemon = start(&deployment, engine).await;
        let callers = daemon.callers;
        let (leave, left) = watch::channel(false);
        let crowd: Vec<_> =
            (0..CALLERS).map(|_| tokio::spawn(call(callers, *sends, left.clone()))).collect();
        tokio::time::sleep(STAY).await;
        let descriptors = fs::read_dir(format!("/proc/{}/fd", daemon.child.id())).unwrap().count();
        leave.send_replace(true);
        futures::future::join_all(crowd).await;
        deployment::until(name, async || is_served(callers, BODY_MAX - 1_024).await).await;
        let memory = status(&daemon, "VmHWM:") - status(&daemon, "RssFile:");
        println!("{name}: {memory} KiB, {descriptors} descriptors");
        let is_alive = daemon.child.try_wait().unwrap().is_none();
        // Each case is run, so that one run shows all that exceed their bounds.
        if !is_alive || memory >= (MEMORY - PROGRAM) * 1_024 || descriptors > DESCRIPTORS {
            failures.push((name, memory, descriptors, is_alive));
        }
    }
    assert!(failures.is_empty(), "{failures:#?}");
}

// Regression: bodies of callers had no limit together, 1.4 GB of 300 callers.
#[tokio::test(flavor = "multi_thread")]
async fn memory_of_a_daemon_for_bodies_is_limited() {
    run(BODIES, "bodies").await;
}

// Guards against heads that occupy the memory before anything is known of their requests.
#[tokio::test(flavor = "multi_thread")]
async fn memory_of_a_daemon_for_heads_is_limited() {
    run(HEADS, "heads").await;
}

// Regression: a chat request of many small fields occupied many times its length once it was parsed.
#[tokio::test(flavor = "multi_thread")]
async fn memory_of_a_daemon_for_parsed_bodies_is_limited() {
    run(PARSED, "parsed").await;
}
