//! No secret may appear in a daemon's log, even at level trace and with malformed input, and
//! credentials are reloaded on SIGHUP.

use std::fs;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command};

use ibishill_config::key;
use ibishill_core::secret;
use ibishill_operator::{client, generated};
use ibishill_peer::tls;
use ibishill_standin::{memory, platform};

use crate::deployment;

const KEY: &str = "secret-workspace-key";
const WRONG_KEY: &str = "secret-wrong-key";
const TOKEN: &str = "secret-operator-token";
const NEXT_TOKEN: &str = "secret-next-operator-token";
const SESSION_KEY: &str = "secret-session-key-of-32-bytes-or-more";
const REQUEST: &str = "secret-request-body";
const RESPONSE_BODY: &str = "secret-answer-body";
const MISPLACED: &str = "secret-in-a-wrong-place";

/// Responses of the endpoint, in turn: valid, status 500, not HTTP, not JSON, truncated.
const RESPONSES: [&str; 5] = [
    "HTTP/1.1 200 OK\r\ncontent-length: 18\r\n\r\nsecret-answer-body",
    "HTTP/1.1 500 secret-answer-body\r\ncontent-length: 18\r\n\r\nsecret-answer-body",
    "secret-answer-body\r\n\r\n",
    "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ncontent-length: 18\r\n\r\nsecret-answer-body",
    "HTTP/1.1 200 OK\r\ncontent-length: 99\r\n\r\nsecret-answer-body",
];

// Starts an endpoint that sends the next of `RESPONSES` on each connection, whatever the request.
fn endpoint() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for (stream, response) in listener.incoming().zip(RESPONSES.iter().cycle()) {
            let mut stream = stream.unwrap();
            let _read = stream.read(&mut [0; 65_536]);
            let _sent = stream.write_all(response.as_bytes());
        }
    });
    address
}

struct Setup {
    dir: PathBuf,
    addresses: [SocketAddr; 4],
    authority: tls::Authority,
    private_key: String,
    child: Child,
}

impl Drop for Setup {
    fn drop(&mut self) {
        let _killed = self.child.kill();
        let _reaped = self.child.wait();
        let _removed = fs::remove_dir_all(&self.dir);
    }
}

fn settings(dir: &std::path::Path, addresses: [SocketAddr; 4], token: &str) -> String {
    let [callers, operators, peers, platform] = addresses;
    let (hash, dir) = (key::KeyHash::of(token.as_bytes()), dir.display());
    format!(
        "vm: vm-1\nzone: zone-a\ncallers: {callers}\noperators: {operators}\npeers: {peers}\n\
         platform: http://{platform}\nsecurity:\n  tokens:\n    - {{operator: ana, hash: {hash}}}\n  \
         session-keys: [{SESSION_KEY}]\n  authority: {dir}/authority.pem\n  \
         certificate: {dir}/vm.pem\n  private-key: {dir}/vm.key\n  \
         operator-certificate: {dir}/vm.pem\n  operator-key: {dir}/vm.key\n\
         periods:\n  poll: 100\n  drain: 100\n"
    )
}

impl Setup {
    fn start() -> Self {
        let dir = std::env::temp_dir().join(format!("ibishill-secrets-{}", std::process::id()));
        fs::create_dir_all(&dir).unwrap();
        let addresses: [_; 4] = std::array::from_fn(|_| deployment::free_address());
        tokio::spawn(platform::server(memory::Memory::new(1), addresses[3]).launch());
        let authority = tls::Authority::generate().unwrap();
        let identity =
            authority.sign(&"vm-1".parse().unwrap(), &"zone-a".parse().unwrap()).unwrap();
        fs::write(dir.join("authority.pem"), &identity.authority).unwrap();
        fs::write(dir.join("vm.pem"), &identity.certificate).unwrap();
        fs::write(dir.join("vm.key"), identity.private_key.expose()).unwrap();
        fs::write(dir.join("settings.yaml"), settings(&dir, addresses, TOKEN)).unwrap();
        let mut command = Command::new(env!("CARGO_BIN_EXE_ibishill"));
        command
            .arg("serve")
            .arg(dir.join("settings.yaml"))
            .env("IBISHILL_LOG", "trace")
            .stderr(fs::File::create(dir.join("log")).unwrap());
        let child = deployment::spawn(&mut command).unwrap();
        let private_key = identity.private_key.expose().to_owned();
        Self { dir, addresses, authority, private_key, child }
    }

    fn log(&self) -> String {
        fs::read_to_string(self.dir.join("log")).unwrap()
    }

    async fn status(&self, token: &str) -> Result<(), client::ClientError> {
        let trust = client::Tls {
            ca_certificate: self.authority.pem(),
            server_name: Some("vm-1.zone-a.ibishill".into()),
        };
        let address = format!("https://{}", self.addresses[1]);
        let token = secret::Secret::new(token);
        let mut operator =
            client::Client::connect_with(&address, Some(&token), Some(&trust)).await?;
        operator.status(generated::StatusRequest::default()).await.map(|_reply| ())
    }

    async fn apply(&self, engine: SocketAddr, service: SocketAddr) {
        let trust = client::Tls {
            ca_certificate: self.authority.pem(),
            server_name: Some("vm-1.zone-a.ibishill".into()),
        };
        let url = format!("https://{}", self.addresses[1]);
        let token = secret::Secret::new(TOKEN);
        let operator = client::Client::connect_with(&url, Some(&token), Some(&trust)).await;
        let hash = key::KeyHash::of(KEY.as_bytes());
        let document = format!(
            "zones: {{zone-a: {{region: r}}}}
versions: {{assistant@v1: {{prompt-price: 1, output-price: 1, quality: 0.95}}}}
workspaces: {{demo: {{keys: [{hash}], models: [assistant], services: [desk]}}}}
services: {{desk: {{}}}}
endpoints:
  a: {{zone: zone-a, address: '{engine}', versions: [assistant@v1], slots: 4, cold-slots: 4}}
  b: {{zone: zone-a, address: '{service}', services: [desk], slots: 4, cold-slots: 4}}
"
        );
        let order = Some(generated::Order { change_id: "change-1".into(), expected_version: None });
        let message = generated::ApplyRequest { order, document, partial: false };
        operator.unwrap().apply(message).await.unwrap();
    }

    // Returns the status of a response, or 0 if there is none; the body is read and ignored.
    async fn send(&self, path: &str, key: &str, session: Option<&str>, body: &str) -> u16 {
        let http = reqwest::Client::builder().no_proxy().build().unwrap();
        let url = format!("http://{}{path}", self.addresses[0]);
        let mut request = http.post(url).bearer_auth(key).body(body.to_owned());
        if let Some(session) = session {
            request = request.header("x-ibishill-session", session);
        }
        let Ok(response) = request.send().await else { return 0 };
        let status = response.status().as_u16();
        let _read = response.bytes().await;
        status
    }

    fn reload(&self, settings: &str) {
        fs::write(self.dir.join("settings.yaml"), settings).unwrap();
        deployment::signal(&self.child, "-HUP");
    }

    async fn wait_for_log(&self, what: &str, count: usize) {
        deployment::until(what, async || self.log().matches(what).count() >= count).await;
    }
}

async fn send_requests(setup: &Setup) {
    let chat = "/v1/chat/completions";
    let good =
        format!(r#"{{"model":"assistant","messages":[{{"role":"user","content":"{REQUEST}"}}]}}"#);
    let streamed = good.replacen('{', r#"{"stream":true,"#, 1);
    let mut statuses = Vec::new();
    for _ in 0..2 * RESPONSES.len() {
        statuses.push(setup.send("/svc/desk/read", KEY, None, REQUEST).await);
        statuses.push(setup.send(chat, KEY, None, &good).await);
        statuses.push(setup.send(chat, KEY, Some("session-1"), &streamed).await);
    }
    for status in [200, 502] {
        assert!(statuses.contains(&status), "{statuses:?}");
    }
    let model = good.replace("assistant", REQUEST);
    let refused = [
        (WRONG_KEY, None, good.as_str(), 401),
        (KEY, Some("secret-request-body with a blank"), &good, 400),
        (KEY, None, &good[..good.len() - 3], 400),
        (KEY, None, &model, 404),
    ];
    for (key, session, body, status) in refused {
        assert_eq!(setup.send(chat, key, session, body).await, status, "{body}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn no_secret_reaches_the_log_and_credentials_are_reloaded() {
    let setup = Setup::start();
    deployment::until("the operator API is open", async || setup.status(TOKEN).await.is_ok()).await;
    setup.apply(endpoint(), endpoint()).await;
    setup.wait_for_log("E1101", 1).await;
    deployment::until("a request runs", async || {
        setup.send("/svc/desk/read", KEY, None, REQUEST).await == 200
    })
    .await;
    send_requests(&setup).await;
    assert!(setup.status(NEXT_TOKEN).await.is_err());

    let next = settings(&setup.dir, setup.addresses, NEXT_TOKEN);
    setup.reload(&next);
    setup.wait_for_log("E1104", 1).await;
    assert!(setup.status(NEXT_TOKEN).await.is_ok());
    assert!(setup.status(TOKEN).await.is_err());

    // Invalid settings, with secrets in the wrong place, and a private key that does not match the
    // certificate leave the credentials as they are.
    let bad = [
        next.replace(&format!("[{SESSION_KEY}]"), &format!("{{{MISPLACED}: {SESSION_KEY}}}")),
        next.replace("operator: ana", &format!("operator: '{MISPLACED} {TOKEN}'")),
        next.replace("tokens:", &format!("{MISPLACED}: {SESSION_KEY}\n  tokens:")),
        next.replace(&format!("[{SESSION_KEY}]"), SESSION_KEY),
        next.replace("hash: ", &format!("hash: {TOKEN}")),
        next.replace("private-key: ", "private-key: /no"),
        "security: [".to_owned() + MISPLACED,
    ];
    for (index, text) in bad.iter().enumerate() {
        setup.reload(text);
        setup.wait_for_log("E1105", index + 1).await;
    }
    let other = tls::Authority::generate().unwrap();
    let other = other.sign(&"vm-1".parse().unwrap(), &"zone-a".parse().unwrap()).unwrap();
    fs::write(setup.dir.join("vm.key"), other.private_key.expose()).unwrap();
    setup.reload(&next);
    setup.wait_for_log("E1105", bad.len() + 1).await;
    assert!(setup.status(NEXT_TOKEN).await.is_ok());

    let log = setup.log();
    for event in ["E1301", "E1401", "E1604"] {
        assert!(log.contains(event), "{event} is missing, so the test shows nothing");
    }
    let keys =
        [&setup.private_key, other.private_key.expose()].map(|key| key.lines().nth(1).unwrap());
    let secrets =
        [KEY, WRONG_KEY, TOKEN, NEXT_TOKEN, SESSION_KEY, REQUEST, RESPONSE_BODY, keys[0], keys[1]];
    for secret in secrets {
        let found = log.lines().find(|line| line.contains(secret));
        assert_eq!(found, None, "{secret} is in the log");
    }
}
