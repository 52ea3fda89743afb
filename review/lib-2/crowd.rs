//! Many callers send small chunked bodies at once, stop just short of their end and stay open. All that they send is
//! within the limits of the configuration. A relay that exceeds the memory of its machine is killed, as the platform
//! does it, and ordinary callers at the same relay lose their answers.

use std::io::{self, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::Setting;
use crate::http::{self, Reader};
use crate::record::Record;
use crate::relay::{Place, Relay};
use crate::runner::{Call, Runner};
use crate::store::Store;

const CONFIG: &str = r#"{"version":7,"routes":[{"name":"r-status","host":"rebate.example","prefix":"/status/","kind":"idempotent","timeout-ms":2000,"target-latency-ms":500,"priority":2,"service":"ledger","max-attempts":2,"public":false},{"name":"r-review","host":"rebate.example","prefix":"/review/","kind":"stream","timeout-ms":25000,"target-latency-ms":2000,"priority":0,"service":"ledger","max-attempts":3,"public":false,"session-affinity":true,"stream-resume":true,"gap-aim-ms":800}],"services":[{"name":"ledger","health-path":"/healthz","max-connections":96,"protocol":"h1","tls":false,"cold-start-s":0.0,"cold-per-s":0.0}],"limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000},"tenants":[{"name":"austin","api-keys":["n2ctnfzs989anu6wsjnb"],"priority":1}]}"#;

/// `memory-mb` of the machines.
const MEMORY_MB: u32 = 110;

/// Callers with bodies that do not end: fewer than the connections that a relay on this machine takes.
const CROWD: usize = 1_000;

/// Entries of their `Ibishill-Prompt-Prefix`; with them a head has 15.9 KB, below `max-header-bytes`.
const ENTRIES: usize = 3_900;

/// Chunks of 1,000 bytes that they send of their bodies.
const CHUNKS: usize = 20;

/// Ordinary callers, each with a connection that it keeps, and the work of their requests.
const ORDINARY: usize = 24;
const WORK: Duration = Duration::from_millis(400);

/// Time for which the crowd stays.
const STAY: Duration = Duration::from_secs(8);

/// Requests that a machine may lose.
const LOST_MAX: usize = 3;

#[derive(Default)]
struct Seen {
    /// Attempts that a runner has got.
    reached: Vec<String>,
    /// Attempts whose connection ended without an answer.
    lost: Vec<String>,
    answered: usize,
}

pub fn run(setting: &Setting<'_>) -> io::Result<bool> {
    let store = Store::start()?;
    store.put("op", "config", CONFIG);
    let seen = Arc::new(Mutex::new(Seen::default()));
    for (name, zone) in [("i-1", "recife"), ("i-2", "fortaleza")] {
        let seen = seen.clone();
        let serve = move |call: &mut Call| serve(call, &seen);
        Runner::start(name, &setting.record, serve)?.register(&store, "ledger", zone, 16);
    }
    let place = Place { folder: setting.folder, store: store.address, memory: MEMORY_MB };
    let relays = Relay::start_all(&place, 2)?;
    thread::sleep(Duration::from_secs(4));
    let (front, is_done) = (relays[0].front, Arc::new(AtomicBool::new(false)));
    let callers: Vec<_> = (0..ORDINARY)
        .map(|index| {
            let (seen, is_done) = (seen.clone(), is_done.clone());
            thread::spawn(move || ordinary(index, front, &seen, &is_done))
        })
        .collect();
    thread::sleep(Duration::from_secs(1));
    let opened = Arc::new(AtomicUsize::new(0));
    if setting.has_trouble {
        let (opened, is_done) = (opened.clone(), is_done.clone());
        thread::spawn(move || crowd(front, &opened, &is_done));
    }
    let is_killed = watch(&relays[0], &setting.record, &opened)?;
    thread::sleep(Duration::from_millis(500));
    is_done.store(true, Ordering::SeqCst);
    for caller in callers {
        let _ended = caller.join();
    }
    judge(&seen.lock().unwrap(), &setting.record, is_killed)
}

// Kills the relay if it exceeds the memory of its machine; returns whether it did.
fn watch(relay: &Relay, record: &Record, opened: &AtomicUsize) -> io::Result<bool> {
    // The larger one of the two meanings of a megabyte.
    let limit = u64::from(MEMORY_MB) << 20;
    let end = Instant::now() + STAY;
    let (mut largest, mut told) = (0, Instant::now());
    while Instant::now() < end {
        let memory = relay.memory()?;
        largest = memory.max(largest);
        if told.elapsed() > Duration::from_millis(500) || memory > limit {
            let count = opened.load(Ordering::SeqCst);
            record.line(&format!(
                "{} has {} MiB, {count} of the crowd are connected",
                relay.name,
                memory >> 20
            ));
            told = Instant::now();
        }
        if memory > limit {
            record.line(&format!(
                "{} exceeds the memory of its machine, {MEMORY_MB} MiB, and is killed",
                relay.name
            ));
            relay.signal("KILL")?;
            return Ok(true);
        }
        thread::sleep(Duration::from_millis(20));
    }
    record.line(&format!("{} had {} MiB at most", relay.name, largest >> 20));
    Ok(false)
}

fn judge(seen: &Seen, record: &Record, is_killed: bool) -> io::Result<bool> {
    let passed_on = seen.lost.iter().filter(|id| seen.reached.contains(id)).count();
    for id in &seen.lost {
        record.line(&format!("{id}: the connection ended without an answer"));
    }
    let text = format!(
        "the relay was killed for its memory: {is_killed}; ordinary requests: {} answered, {} lost, {passed_on} of these passed on to a runner",
        seen.answered,
        seen.lost.len()
    );
    record.line(&text);
    crate::say(&text);
    Ok(passed_on <= LOST_MAX)
}

fn serve(call: &mut Call, seen: &Mutex<Seen>) -> io::Result<()> {
    seen.lock().unwrap().reached.push(call.id.clone());
    thread::sleep(WORK);
    let headers = [
        ("Ibishill-Attempt-Id", call.id.clone()),
        ("Ibishill-Server-Stamp", format!("{}.stamp", call.runner)),
    ];
    http::write(&mut call.stream, "HTTP/1.1 200 OK", &headers, &[b'x'; 800])
}

// Opens the connections, sends all but the last bytes of each body, and keeps them.
fn crowd(front: SocketAddr, opened: &AtomicUsize, is_done: &AtomicBool) {
    let prefix = vec!["1:1"; ENTRIES].join(",");
    let chunks = format!("3e8\r\n{}\r\n", "x".repeat(1_000)).repeat(CHUNKS);
    let mut kept = Vec::new();
    for index in 0..CROWD {
        if is_done.load(Ordering::SeqCst) {
            return;
        }
        let head = format!(
            "POST /review/2f HTTP/1.1\r\nHost: rebate.example\r\nIbishill-Attempt-Id: c0{index:014x}\r\nIbishill-Model: m0\r\nIbishill-Token-Counts: 1460,80\r\nIbishill-Prompt-Prefix: {prefix}\r\nIbishill-Deadline-Ms: 25000\r\nIbishill-Key: n2ctnfzs989anu6wsjnb\r\nTransfer-Encoding: chunked\r\n\r\n"
        );
        // Chunks of 1,000 bytes, and no last one.
        let send = || -> io::Result<TcpStream> {
            let mut stream = TcpStream::connect(front)?;
            stream.write_all(head.as_bytes())?;
            stream.write_all(chunks.as_bytes())?;
            Ok(stream)
        };
        if let Ok(stream) = send() {
            kept.push(stream);
            opened.fetch_add(1, Ordering::SeqCst);
        }
        // No faster than the relay accepts connections.
        thread::sleep(Duration::from_millis(2));
    }
    while !is_done.load(Ordering::SeqCst) {
        thread::sleep(Duration::from_millis(50));
    }
}

fn ordinary(index: usize, front: SocketAddr, seen: &Mutex<Seen>, is_done: &AtomicBool) {
    thread::sleep(Duration::from_millis(17 * index as u64));
    let mut connection = None;
    for number in 0.. {
        if is_done.load(Ordering::SeqCst) {
            return;
        }
        let Ok(stream) = connection.take().map_or_else(|| TcpStream::connect(front), Ok) else {
            return;
        };
        let id = format!("aa{index:02x}{number:012x}");
        match request(&id, &stream) {
            Ok(()) => {
                seen.lock().unwrap().answered += 1;
                connection = Some(stream);
            }
            Err(_) => seen.lock().unwrap().lost.push(id),
        }
        thread::sleep(Duration::from_millis(30));
    }
}

fn request(id: &str, mut stream: &TcpStream) -> io::Result<()> {
    stream.set_read_timeout(Some(Duration::from_secs(3)))?;
    let text = format!(
        "GET /status/2f HTTP/1.1\r\nHost: rebate.example\r\nIbishill-Attempt-Id: {id}\r\nIbishill-Deadline-Ms: 2000\r\nIbishill-Key: n2ctnfzs989anu6wsjnb\r\n\r\n"
    );
    stream.write_all(text.as_bytes())?;
    let mut reader = Reader::new(stream)?;
    let head = reader.head()?.ok_or_else(|| io::Error::other("no answer"))?;
    reader.body(&head).map(|_| ())
}
