//! Authentication of callers over the link: claims against certificates, and identity replacement.

use bytes::Bytes;
use ibishill_core::{id, outcome, time, view};
use ibishill_peer::{frame, link, server, tls};
use tokio::sync::mpsc;

fn caller(vm: &str, zone: &str) -> frame::Caller {
    frame::Caller { vm: vm.parse().unwrap(), zone: zone.parse().unwrap() }
}

fn sign(authority: &tls::Authority, caller: &frame::Caller) -> tls::Identity {
    authority.sign(&caller.vm, &caller.zone).unwrap()
}

fn link(identity: &tls::Identity, caller: frame::Caller) -> link::Link {
    let socket = server::bind("127.0.0.1:0".parse().unwrap(), identity).unwrap();
    link::Link::new(socket, identity, caller).unwrap()
}

fn heartbeat() -> frame::Query {
    frame::Query::Heartbeat(frame::Heartbeat {
        view: Default::default(),
        config: 0,
        wants_grant: false,
    })
}

fn request() -> frame::Request {
    frame::Request {
        tried: Default::default(),
        waits: Default::default(),
        request: "req-1".parse().unwrap(),
        workspace: "w".parse().unwrap(),
        target: id::Target::Service("s".parse().unwrap()),
        config: 0,
        remaining: time::Millis(1_000),
        repeat: ibishill_core::repeat::Repeat::Never,
        method: "GET".into(),
        path: "/".into(),
        content_type: String::new(),
        headers: Vec::new(),
        prefix: None,
        priority: Default::default(),
        stream: false,
        show_usage: false,
        body: Bytes::new(),
    }
}

fn chunk() -> frame::Frame {
    frame::Frame::Chunk(Bytes::from_static(b"part"))
}

// Daemon that replies to queries, and responds to requests with the frames that the test sends.
struct Owner {
    link: link::Link,
    member: view::Member,
    zone: id::ZoneId,
    started: mpsc::Receiver<mpsc::Sender<frame::Frame>>,
}

fn owner(authority: &tls::Authority) -> Owner {
    let own = caller("vm-o", "zone-o");
    let identity = sign(authority, &own);
    let socket = server::bind("127.0.0.1:0".parse().unwrap(), &identity).unwrap();
    let member = view::Member { vm: own.vm.clone(), peers: socket.local_addr().unwrap() };
    let (sender, started) = mpsc::channel(8);
    let run = move |_caller, _request| {
        let (frames, receiver) = mpsc::channel(8);
        sender.try_send(frames).unwrap();
        receiver
    };
    let link = link::Link::new(socket.clone(), &identity, own.clone()).unwrap();
    let reply = |_caller, _query| frame::Reply::ConfigChanges(Bytes::new());
    tokio::spawn(server::accept(socket, run, reply));
    Owner { link, member, zone: own.zone, started }
}

struct Case {
    name: &'static str,
    signed: frame::Caller,
    claimed: frame::Caller,
    foreign_signer: bool,
    accepted: bool,
}

fn cases() -> Vec<Case> {
    let case = |name, signed, claimed, accepted| {
        let (signed, claimed) = (caller(signed, "z"), caller(claimed, "z"));
        Case { name, signed, claimed, foreign_signer: false, accepted }
    };
    vec![
        case("right", "vm-a", "vm-a", true),
        case("other VM", "vm-a", "vm-b", false),
        case("other case", "vm-a", "VM-A", false),
        Case { claimed: caller("vm-a", "y"), ..case("other zone", "vm-a", "vm-a", false) },
        Case { signed: caller("vm", "a.z"), ..case("dot moved", "vm", "vm.a", false) },
        Case { foreign_signer: true, ..case("other authority", "vm-a", "vm-a", false) },
    ]
}

#[tokio::test(flavor = "multi_thread")]
async fn caller_must_match_its_certificate() {
    let authority = tls::Authority::generate().unwrap();
    let mut owner = owner(&authority);
    for case in cases() {
        let mut identity = sign(&authority, &case.signed);
        if case.foreign_signer {
            let other = tls::Authority::generate().unwrap();
            identity = sign(&other, &case.signed);
            identity.authority = authority.pem();
        }
        let client = link(&identity, case.claimed);
        let reply = client.query(&owner.zone, &owner.member, heartbeat()).await;
        assert_eq!(reply.is_ok(), case.accepted, "{}", case.name);
        let Ok(mut call) = client.call(&owner.zone, &owner.member, &request()).await else {
            assert!(!case.accepted, "{}", case.name);
            continue;
        };
        if case.accepted {
            let frames = owner.started.recv().await.unwrap();
            frames.send(chunk()).await.unwrap();
            assert_eq!(call.next().await.unwrap(), Some(chunk()), "{}", case.name);
        } else if let Ok(Some(frame::Frame::Failed(refusal))) = call.next().await {
            assert_eq!(refusal.outcome, outcome::Outcome::NotRun, "{}", case.name);
        }
        assert!(owner.started.try_recv().is_err(), "{}: the request ran", case.name);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn replaced_identity_keeps_running_streams() {
    let (old, new) = (tls::Authority::generate().unwrap(), tls::Authority::generate().unwrap());
    let mut owner = owner(&old);
    let own = caller("vm-a", "z");
    let client = link(&sign(&old, &own), own.clone());
    let mut call = client.call(&owner.zone, &owner.member, &request()).await.unwrap();
    let frames = owner.started.recv().await.unwrap();

    // An invalid identity leaves the old one in use.
    assert!(client.replace_identity(&sign(&new, &caller("vm-b", "z"))).is_err());
    let mixed = tls::Identity { authority: old.pem(), ..sign(&new, &own) };
    assert!(client.replace_identity(&mixed).is_err());
    let mut broken = sign(&new, &own);
    broken.private_key = sign(&new, &own).private_key;
    assert!(client.replace_identity(&broken).is_err());
    assert!(client.query(&owner.zone, &owner.member, heartbeat()).await.is_ok());

    client.replace_identity(&sign(&new, &own)).unwrap();
    assert!(client.query(&owner.zone, &owner.member, heartbeat()).await.is_err());
    owner.link.replace_identity(&sign(&new, &caller("vm-o", "zone-o"))).unwrap();
    assert!(client.query(&owner.zone, &owner.member, heartbeat()).await.is_ok());
    let outdated = link(&sign(&old, &own), own);
    assert!(outdated.query(&owner.zone, &owner.member, heartbeat()).await.is_err());

    frames.send(chunk()).await.unwrap();
    assert_eq!(call.next().await.unwrap(), Some(chunk()));
}
