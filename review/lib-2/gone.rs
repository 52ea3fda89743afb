//! One of four engines crashes amid its streams, and the callers of these leave soon after. What the relay sends on to
//! other engines waits there, as these have the crashed one's work to do as well.

use std::collections::BTreeMap;
use std::io::{self, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::Setting;
use crate::http::Reader;
use crate::record::Record;
use crate::relay::{Place, Relay};
use crate::runner::{Call, Runner};
use crate::store::Store;

const CONFIG: &str = r#"{"version":7,"routes":[{"name":"r-laudo","host":"laudo.example","prefix":"/laudo/","kind":"stream","timeout-ms":25000,"target-latency-ms":2000,"priority":0,"service":"assistente","max-attempts":3,"public":false,"session-affinity":true,"stream-resume":true,"gap-aim-ms":1200}],"services":[{"name":"assistente","health-path":"/healthz","max-connections":360,"protocol":"h1","tls":false,"cold-start-s":3.0,"cold-per-s":13.0,"engine":{"slots":64,"kv-capacity":623351,"kv-token-bytes":18432,"link-mbps":130000.0,"moves":true,"backups":true,"stride":6,"most":12,"pin-ms":4000.0,"hold-ms":2000.0,"handle-s":5.0,"models":[{"name":"m0","cost":0.016}]}}],"limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000},"tenants":[{"name":"oficina","api-keys":["n2ctnfzs989anu6wsjnb"],"priority":1}]}"#;

/// Runners; the first one crashes, a quarter of them.
const RUNNERS: [(&str, &str); 4] =
    [("i-1", "recife"), ("i-2", "recife"), ("i-3", "fortaleza"), ("i-4", "fortaleza")];

const CALLERS: usize = 48;

/// Callers that leave at most, a share of 0.3.
const LEAVING_MAX: usize = 14;

/// Events of a stream, one each 100 ms.
const EVENTS: u64 = 30;

/// From the requests to the crash.
const BEFORE_CRASH: Duration = Duration::from_millis(1_000);

/// From the crash to when the callers whose streams have stopped leave.
const PATIENCE: Duration = Duration::from_millis(700);

/// Wait in the queues of the other engines for what arrives after the crash.
const QUEUED: Duration = Duration::from_millis(6_000);

/// Time after which no request of a caller that has left may reach a runner.
const ALLOWED: Duration = Duration::from_millis(500);

/// Requests that may still reach a runner so late.
const FEW: usize = 5;

#[derive(Default)]
struct Seen {
    /// When callers have left, by attempt.
    left: BTreeMap<String, Instant>,
    /// When requests have reached a runner, by attempt.
    reached: Vec<(String, String, Instant)>,
    /// From when to when runners had requests, by attempt.
    held: Vec<(String, String, Instant, Instant)>,
}

pub fn run(setting: &Setting<'_>) -> io::Result<bool> {
    let store = Store::start()?;
    store.put("op", "config", CONFIG);
    let (seen, has_crashed) =
        (Arc::new(Mutex::new(Seen::default())), Arc::new(AtomicBool::new(false)));
    let mut runners = Vec::new();
    for (index, (name, zone)) in RUNNERS.into_iter().enumerate() {
        let (record, seen, has_crashed) =
            (setting.record.clone(), seen.clone(), has_crashed.clone());
        let serve = move |call: &mut Call| serve(call, &record, &seen, &has_crashed, index == 0);
        let runner = Runner::start(name, &setting.record, serve)?;
        runner.register(&store, "assistente", zone, 64);
        runners.push(runner);
    }
    let place = Place { folder: setting.folder, store: store.address };
    let relays = Relay::start_all(&place, 2)?;
    thread::sleep(Duration::from_millis(4_000));
    let front = relays[0].front;
    let callers: Vec<_> = (0..CALLERS)
        .map(|index| {
            let (record, seen, has_crashed) =
                (setting.record.clone(), seen.clone(), has_crashed.clone());
            thread::spawn(move || call(index, front, &record, &seen, &has_crashed))
        })
        .collect();
    thread::sleep(BEFORE_CRASH);
    if setting.has_trouble {
        setting.record.line("runner i-1 crashes");
        runners[0].crash();
        has_crashed.store(true, Ordering::SeqCst);
    }
    for caller in callers {
        let _ended = caller.join();
    }
    if setting.has_trouble {
        thread::sleep(Duration::from_secs(10));
    }
    judge(&seen.lock().unwrap(), &setting.record)
}

fn judge(seen: &Seen, record: &Record) -> io::Result<bool> {
    let mut late = 0;
    for (id, runner, at) in &seen.reached {
        let Some(left) = seen.left.get(id) else { continue };
        let after = at.saturating_duration_since(*left);
        if after > ALLOWED {
            late += 1;
            record.line(&format!(
                "{id} reached {runner} {} ms after its caller had left",
                after.as_millis()
            ));
        }
    }
    let is_held = |id: &str, left: Instant| {
        let until = left + ALLOWED;
        seen.held.iter().any(|(of, _, from, to)| of == id && *from <= until && *to > until)
    };
    let held = seen.left.iter().filter(|(id, left)| is_held(id, **left)).count();
    let text = format!(
        "callers that left: {}; requests that reached a runner over 500 ms later: {late}; requests that a runner still had 500 ms later: {held}",
        seen.left.len()
    );
    record.line(&text);
    crate::say(&text);
    Ok(late <= FEW)
}

fn serve(
    call: &mut Call,
    record: &Record,
    seen: &Mutex<Seen>,
    has_crashed: &AtomicBool,
    crashes: bool,
) -> io::Result<()> {
    if crashes && has_crashed.load(Ordering::SeqCst) {
        return call.stream.shutdown(Shutdown::Both);
    }
    let from = Instant::now();
    let (runner, id) = (call.runner.clone(), call.id.clone());
    seen.lock().unwrap().reached.push((id.clone(), runner.clone(), from));
    let last = call.head.get("last-event-id").and_then(|text| text.parse::<u64>().ok());
    record.line(&format!("runner {runner} gets {id}, last event {last:?}"));
    let result = work(call, record, has_crashed, crashes, last.unwrap_or(0));
    seen.lock().unwrap().held.push((id, runner, from, Instant::now()));
    result
}

fn work(
    call: &mut Call,
    record: &Record,
    has_crashed: &AtomicBool,
    crashes: bool,
    last: u64,
) -> io::Result<()> {
    let (runner, id) = (call.runner.clone(), call.id.clone());
    if has_crashed.load(Ordering::SeqCst) && call.wait(QUEUED) {
        record.line(&format!(
            "runner {runner}: the relay closed the connection of {id}, which waited in the queue"
        ));
        return Ok(());
    }
    call.begin_stream("")?;
    for number in last + 1..=EVENTS {
        call.event(number)?;
        if call.wait(Duration::from_millis(90)) {
            record.line(&format!(
                "runner {runner}: the relay closed the connection of {id} after event {number}"
            ));
            return Ok(());
        }
        if crashes && has_crashed.load(Ordering::SeqCst) {
            return call.stream.shutdown(Shutdown::Both);
        }
    }
    call.end_stream()?;
    record.line(&format!("runner {runner} has ended {id}"));
    Ok(())
}

fn call(
    index: usize,
    front: SocketAddr,
    record: &Record,
    seen: &Mutex<Seen>,
    has_crashed: &AtomicBool,
) -> io::Result<()> {
    let id = format!("51ee0a93c7d4{index:04x}");
    let mut stream = TcpStream::connect(front)?;
    let body = "x".repeat(600);
    let text = format!(
        "POST /laudo/2f HTTP/1.1\r\nHost: laudo.example\r\nIbishill-Attempt-Id: {id}\r\nIbishill-Model: m0\r\nIbishill-Token-Counts: 1460,180\r\nIbishill-Prompt-Prefix: {index:x}c1e07a2:800,{index:x}0a93c7:660\r\nIbishill-Deadline-Ms: 25000\r\nIbishill-Key: n2ctnfzs989anu6wsjnb\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(text.as_bytes())?;
    let mut reader = Reader::new(&stream)?;
    let head = reader.head()?.ok_or_else(|| io::Error::other("no answer"))?;
    if head.status() != 200 {
        record.line(&format!("caller {id}: {}", head.first));
        return Ok(());
    }
    // A caller leaves once its stream has stopped for so long.
    stream.set_read_timeout(Some(PATIENCE))?;
    let mut events = 0;
    loop {
        match reader.chunk() {
            Ok(chunk) if chunk.is_empty() => {
                record.line(&format!("caller {id}: whole answer, {events} events"));
                return Ok(());
            }
            Ok(_) => events += 1,
            Err(error)
                if error.kind() == io::ErrorKind::WouldBlock
                    && has_crashed.load(Ordering::SeqCst) =>
            {
                let mut seen = seen.lock().unwrap();
                if seen.left.len() >= LEAVING_MAX {
                    stream.set_read_timeout(Some(Duration::from_secs(20)))?;
                    continue;
                }
                stream.shutdown(Shutdown::Both)?;
                seen.left.insert(id.clone(), Instant::now());
                record.line(&format!("caller {id} leaves after {events} events"));
                return Ok(());
            }
            Err(error) => {
                record.line(&format!("caller {id}: ended: {error}"));
                return Ok(());
            }
        }
    }
}
