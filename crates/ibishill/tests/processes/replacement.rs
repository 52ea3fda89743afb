//! Rolling replacement of all daemons under load: every request must get its complete response or
//! be refused before it ran.

use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use ibishill_operator::{client, generated};
use ibishill_standin::engine;

use crate::deployment;

const CALLERS: usize = 6;

/// Callers' addresses of the daemons, as a load balancer knows them.
type Backends = Arc<Mutex<Vec<std::net::SocketAddr>>>;

#[derive(Default)]
struct Counts {
    complete: AtomicUsize,
    // Refused before dispatch, while the endpoint's ownership moved. Callers can retry these.
    not_run: AtomicUsize,
    failed: Mutex<Vec<String>>,
}

fn document(engine: std::net::SocketAddr) -> String {
    format!(
        "
zones: {{zone-a: {{region: region-1}}}}
versions:
  assistant@v1: {{prompt-price: 100, output-price: 400, quality: 0.95}}
workspaces:
  demo: {{keys: [{}], models: [assistant]}}
endpoints:
  engine-a: {{zone: zone-a, address: '{engine}', versions: [assistant@v1], slots: 16, cold-slots: 16}}
",
        deployment::key_hash()
    )
}

async fn ready(http: &reqwest::Client, address: std::net::SocketAddr) -> bool {
    let response = http.get(format!("http://{address}/readyz")).send().await;
    response.is_ok_and(|response| response.status().is_success())
}

fn client() -> reqwest::Client {
    reqwest::Client::builder().no_proxy().pool_max_idle_per_host(0).build().unwrap()
}

async fn stream(http: &reqwest::Client, address: std::net::SocketAddr) -> Result<bool, String> {
    let url = format!("http://{address}/v1/chat/completions");
    let body = serde_json::json!({
        "model": "assistant", "stream": true,
        "messages": [{"role": "user", "content": "hail dings"}],
    });
    let request = http.post(url).bearer_auth(deployment::KEY).json(&body);
    let response = request.send().await.map_err(|error| format!("{error:?}"))?;
    let is_not_run = response.headers().get("x-ibishill-outcome").is_some_and(|o| o == "not-run");
    let text = response.text().await.map_err(|error| format!("truncated: {error:?}"))?;
    if text.ends_with("data: [DONE]\n\n") {
        Ok(true)
    } else if is_not_run {
        Ok(false)
    } else {
        Err(text)
    }
}

// Sends requests round-robin to the daemons that report ready, as a load balancer does.
async fn call(backends: Backends, counts: Arc<Counts>, stop: Arc<AtomicBool>, first: usize) {
    let http = client();
    let mut next = first;
    while !stop.load(Ordering::SeqCst) {
        let addresses = backends.lock().unwrap().clone();
        let address = addresses[next % addresses.len()];
        next += 1;
        if !ready(&http, address).await {
            tokio::time::sleep(Duration::from_millis(5)).await;
            continue;
        }
        match stream(&http, address).await {
            Ok(true) => drop(counts.complete.fetch_add(1, Ordering::SeqCst)),
            Ok(false) => drop(counts.not_run.fetch_add(1, Ordering::SeqCst)),
            Err(text) => counts.failed.lock().unwrap().push(text),
        }
    }
}

async fn apply(daemon: &deployment::Daemon, engine: std::net::SocketAddr) {
    let address = format!("http://{}", daemon.operators);
    let mut operator = client::Client::connect(&address, None).await.unwrap();
    let order = generated::Order { change_id: "change-1".into(), expected_version: None };
    let message =
        generated::ApplyRequest { order: Some(order), document: document(engine), partial: false };
    operator.apply(message).await.unwrap();
}

async fn all_ready(daemons: &[deployment::Daemon]) {
    let http = client();
    for daemon in daemons {
        deployment::until("the daemon is ready", || ready(&http, daemon.callers)).await;
    }
}

fn terminate(daemon: &deployment::Daemon) {
    deployment::signal(&daemon.child, "-TERM");
}

#[tokio::test(flavor = "multi_thread")]
async fn rolling_replacement_truncates_no_response() {
    let deployment = deployment::Deployment::start("replacement");
    let (model, engine) = deployment::engine();
    model.set_behaviour(engine::Behaviour { tokens: 40, ..Default::default() });
    let mut daemons: Vec<_> =
        (0..3).map(|n| deployment.daemon(&format!("vm-{n}"), "zone-a")).collect();
    all_ready(&daemons).await;
    apply(&daemons[0], engine).await;
    let http = client();
    for daemon in &daemons {
        deployment::until("the configuration is in force", || async {
            stream(&http, daemon.callers).await == Ok(true)
        })
        .await;
    }
    let backends: Backends =
        Arc::new(Mutex::new(daemons.iter().map(|daemon| daemon.callers).collect()));
    let (counts, stop) = (Arc::new(Counts::default()), Arc::new(AtomicBool::new(false)));
    let callers: Vec<_> = (0..CALLERS)
        .map(|n| tokio::spawn(call(backends.clone(), counts.clone(), stop.clone(), n)))
        .collect();
    for (n, slot) in daemons.iter_mut().enumerate() {
        let new = deployment.daemon(&format!("vm-{}", n + 3), "zone-a");
        deployment::until("the new daemon is ready", || ready(&http, new.callers)).await;
        backends.lock().unwrap().push(new.callers);
        let mut old = std::mem::replace(slot, new);
        terminate(&old);
        let exited = tokio::task::spawn_blocking(move || (old.child.wait().unwrap(), old));
        let (status, old) = exited.await.unwrap();
        assert!(status.success());
        backends.lock().unwrap().retain(|address| *address != old.callers);
        let before = counts.complete.load(Ordering::SeqCst);
        deployment::until("more responses have completed", || async {
            counts.complete.load(Ordering::SeqCst) > before + 2 * CALLERS
        })
        .await;
    }
    stop.store(true, Ordering::SeqCst);
    for caller in callers {
        caller.await.unwrap();
    }
    println!("complete {:?}, refused as not run {:?}", counts.complete, counts.not_run);
    let failed = counts.failed.lock().unwrap().clone();
    assert!(
        failed.is_empty(),
        "{} of {}: {failed:#?}",
        failed.len(),
        counts.complete.load(Ordering::SeqCst)
    );
}
