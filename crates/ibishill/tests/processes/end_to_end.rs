//! End-to-end test with three daemons in two zones, each a separate process.

use ibishill_operator::{client, generated};

use crate::deployment;

const MODEL_DOCUMENT: &str = "
zones:
  zone-a: {region: region-1}
  zone-b: {region: region-1}
versions:
  assistant@v1: {prompt-price: 100, output-price: 400, quality: 0.95}
  assistant@v2: {prompt-price: 100, output-price: 400, quality: 0.95, state: candidate}
";

fn document(engines: &[std::net::SocketAddr; 3]) -> String {
    format!(
        "{MODEL_DOCUMENT}
workspaces:
  demo: {{keys: [{}], models: [assistant]}}
endpoints:
  engine-a: {{zone: zone-a, address: '{}', versions: [assistant@v1], slots: 4}}
  engine-b: {{zone: zone-b, address: '{}', versions: [assistant@v1], slots: 4}}
  engine-c: {{zone: zone-b, address: '{}', versions: [assistant@v2], slots: 4}}
",
        deployment::key_hash(),
        engines[0],
        engines[1],
        engines[2]
    )
}

fn order(id: &str) -> Option<generated::Order> {
    Some(generated::Order { change_id: id.into(), expected_version: None })
}

struct Caller {
    http: reqwest::Client,
    url: String,
}

impl Caller {
    fn new(daemon: &deployment::Daemon) -> Self {
        let http = reqwest::Client::builder().no_proxy().build().unwrap();
        Self { http, url: format!("http://{}/v1/chat/completions", daemon.callers) }
    }

    async fn chat(&self, model: &str, stream: bool) -> reqwest::Response {
        let body = serde_json::json!({
            "model": model, "stream": stream,
            "messages": [{"role": "user", "content": "hail dings"}],
        });
        let request = self.http.post(&self.url).bearer_auth(deployment::KEY).json(&body);
        request.send().await.unwrap()
    }
}

fn header<'a>(response: &'a reqwest::Response, name: &str) -> &'a str {
    response.headers()[name].to_str().unwrap()
}

async fn ready(daemon: &deployment::Daemon) -> bool {
    let http = reqwest::Client::builder().no_proxy().build().unwrap();
    let response = http.get(format!("http://{}/readyz", daemon.callers)).send().await;
    response.is_ok_and(|response| response.status().is_success())
}

async fn operators(daemon: &deployment::Daemon) -> client::Client {
    let address = format!("http://{}", daemon.operators);
    client::Client::connect(&address, None).await.unwrap()
}

#[tokio::test(flavor = "multi_thread")]
async fn three_daemons_in_two_zones_serve_and_apply_changes() {
    let deployment = deployment::Deployment::start("end-to-end");
    let engines = [deployment::engine(), deployment::engine(), deployment::engine()];
    let addresses = [engines[0].1, engines[1].1, engines[2].1];
    let daemons = [
        deployment.daemon("vm-a1", "zone-a"),
        deployment.daemon("vm-a2", "zone-a"),
        deployment.daemon("vm-b1", "zone-b"),
    ];
    for daemon in &daemons {
        deployment::until("the daemon is ready", || ready(daemon)).await;
    }
    let mut operator = operators(&daemons[0]).await;
    let message = generated::ApplyRequest {
        order: order("change-1"),
        document: document(&addresses),
        partial: false,
    };
    let version = operator.apply(message).await.unwrap().version;
    assert_eq!(version, 1);

    for daemon in &daemons {
        let caller = Caller::new(daemon);
        deployment::until("the configuration is in force", || async {
            caller.chat("assistant", false).await.status().is_success()
        })
        .await;
        let response = caller.chat("assistant", false).await;
        assert_eq!(header(&response, "x-ibishill-outcome"), "ran");
        assert_eq!(header(&response, "x-ibishill-version"), "v1");
        let streamed = caller.chat("assistant", true).await.text().await.unwrap();
        assert!(streamed.ends_with("data: [DONE]\n\n"), "{streamed}");
    }

    // A version that only zone-b runs is reached from zone-a through the peer link.
    let remote = Caller::new(&daemons[0]).chat("assistant@v2", false).await;
    assert_eq!(header(&remote, "x-ibishill-zone"), "zone-b");

    let message =
        generated::WithdrawRequest { order: order("change-2"), version: "assistant@v2".into() };
    operator.withdraw(message).await.unwrap();
    let caller = Caller::new(&daemons[2]);
    deployment::until("the withdrawal is in force", || async {
        caller.chat("assistant@v2", false).await.status() == 410
    })
    .await;

    let message = generated::ZoneRequest {
        order: order("change-3"),
        zone: "zone-b".into(),
        in_service: false,
    };
    operator.zone(message).await.unwrap();
    deployment::until("the zone gets no new requests", || async {
        let response = caller.chat("assistant", false).await;
        response.status().is_success() && header(&response, "x-ibishill-zone") == "zone-a"
    })
    .await;
    let served = engines[1].0.request_count();
    for _ in 0..10 {
        assert!(caller.chat("assistant", false).await.status().is_success());
    }
    assert_eq!(engines[1].0.request_count(), served);
}
