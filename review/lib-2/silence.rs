//! A planned stop of one relay while an engine is short of memory. The engine preempts streams for three seconds,
//! within what callers wait for, and goes on. The other engine is short of memory too, so that what comes later waits
//! in its queue. Both are sound and finish all that they have; no caller leaves and no limit of time passes.

use std::io::{self, Write};
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

use crate::Setting;
use crate::http::Reader;
use crate::record::Record;
use crate::relay::{GRACE, Place, Relay};
use crate::runner::{Call, Runner};
use crate::store::Store;

const CONFIG: &str = r#"{"version":7,"routes":[{"name":"r-laudo","host":"laudo.example","prefix":"/laudo/","kind":"stream","timeout-ms":25000,"target-latency-ms":2000,"priority":0,"service":"assistente","max-attempts":3,"public":false,"session-affinity":true,"stream-resume":true,"gap-aim-ms":1200}],"services":[{"name":"assistente","health-path":"/healthz","max-connections":360,"protocol":"h1","tls":false,"cold-start-s":3.0,"cold-per-s":13.0,"engine":{"slots":64,"kv-capacity":623351,"kv-token-bytes":18432,"link-mbps":130000.0,"moves":true,"backups":true,"stride":6,"most":12,"pin-ms":4000.0,"hold-ms":2000.0,"handle-s":5.0,"models":[{"name":"m0","cost":0.016}]}}],"limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000},"tenants":[{"name":"oficina","api-keys":["n2ctnfzs989anu6wsjnb"],"priority":1}]}"#;

/// Callers, each with one stream.
const CALLERS: usize = 6;

/// Events of a stream.
const EVENTS: u64 = 12;

/// Event after which an engine preempts a stream, and for how long.
const PREEMPTED: (u64, Duration) = (3, Duration::from_millis(3_000));

/// Wait in the queue of an engine that is short of memory. With the silence before, callers see a gap of less than
/// their patience, eight times the pause that the sheet allows.
const QUEUED: Duration = Duration::from_millis(5_500);

/// Between the requests and the planned stop.
const BEFORE_STOP: Duration = Duration::from_millis(1_500);

pub fn run(setting: &Setting<'_>) -> io::Result<bool> {
    let store = Store::start()?;
    store.put("op", "config", CONFIG);
    let mut runners = Vec::new();
    for (name, zone) in [("i-recife", "recife"), ("i-fortaleza", "fortaleza")] {
        let (record, is_short) = (setting.record.clone(), setting.has_trouble);
        let runner =
            Runner::start(name, &setting.record, move |call| serve(call, &record, is_short))?;
        runner.register(&store, "assistente", zone, 64);
        runners.push(runner);
    }
    let place = Place { folder: setting.folder, store: store.address, memory: 260 };
    let mut relays = Relay::start_all(&place, 2)?;
    // Nothing was disrupted for `contact-ms`.
    thread::sleep(Duration::from_millis(4_000));
    let front = relays[0].front;
    let callers: Vec<_> = (0..CALLERS)
        .map(|index| {
            let record = setting.record.clone();
            thread::spawn(move || call(index, front, &record))
        })
        .collect();
    thread::sleep(BEFORE_STOP);
    let stopped = Instant::now();
    if setting.has_trouble {
        setting.record.line(&format!("SIGTERM to {}", relays[0].name));
        relays[0].signal("TERM")?;
    }
    let mut cut = 0;
    for caller in callers {
        let ended = caller.join().map_err(|_| io::Error::other("a caller failed"))?;
        let Some(at) = ended.cut else { continue };
        // The rule counts what ends until a second after the grace period, unless the runner worked on into
        // the last sixth of it; the runners here would have ended earlier.
        if at.saturating_duration_since(stopped) < GRACE + Duration::from_secs(1) {
            cut += 1;
        }
    }
    while setting.has_trouble && !relays[0].has_ended() && stopped.elapsed() < GRACE {
        thread::sleep(Duration::from_millis(20));
    }
    setting.record.line(&format!("answers that ended incomplete: {cut} of {CALLERS}"));
    crate::say(&format!("answers that ended incomplete: {cut} of {CALLERS}"));
    Ok(cut == 0 || !setting.has_trouble)
}

fn serve(call: &mut Call, record: &Record, is_short: bool) -> io::Result<()> {
    let last = call.head.get("last-event-id").and_then(|text| text.parse::<u64>().ok());
    let (runner, id) = (call.runner.clone(), call.id.clone());
    let deadline = call.head.get("ibishill-deadline-ms").unwrap_or("-").to_owned();
    record.line(&format!("runner {runner} gets {id}, last event {last:?}, {deadline} ms left"));
    if is_short && last.is_some() && call.wait(QUEUED) {
        record.line(&format!(
            "runner {runner}: the relay closed the connection of {id}, which waited in the queue"
        ));
        return Ok(());
    }
    call.begin_stream("")?;
    for number in last.unwrap_or(0) + 1..=EVENTS {
        call.event(number)?;
        let mut pause = Duration::from_millis(80);
        if is_short && last.is_none() && number == PREEMPTED.0 {
            record.line(&format!("runner {runner} preempts {id} after event {number}"));
            pause = PREEMPTED.1;
        }
        if call.wait(pause) {
            record.line(&format!(
                "runner {runner}: the relay closed the connection of {id} after event {number}"
            ));
            return Ok(());
        }
    }
    call.end_stream()?;
    record.line(&format!("runner {runner} has ended {id}"));
    Ok(())
}

/// How a caller's answer ended.
struct Ended {
    /// When it ended incomplete.
    cut: Option<Instant>,
}

fn call(index: usize, front: SocketAddr, record: &Record) -> Ended {
    let id = format!("9c41d07be2a3{index:04x}");
    let result = request(&id, front, record);
    match result {
        Ok(events) => {
            record.line(&format!("caller {id}: whole answer, {events} events"));
            Ended { cut: None }
        }
        Err(error) => {
            record.line(&format!("caller {id}: the answer ended incomplete: {error}"));
            Ended { cut: Some(Instant::now()) }
        }
    }
}

fn request(id: &str, front: SocketAddr, record: &Record) -> io::Result<u64> {
    let mut stream = TcpStream::connect(front)?;
    // Callers leave after a gap of eight times the pause that the sheet allows.
    stream.set_read_timeout(Some(Duration::from_millis(9_600)))?;
    let body = "x".repeat(600);
    let text = format!(
        "POST /laudo/2f HTTP/1.1\r\nHost: laudo.example\r\nIbishill-Attempt-Id: {id}\r\nIbishill-Model: m0\r\nIbishill-Token-Counts: 1460,80\r\nIbishill-Prompt-Prefix: 5c1e07a2:800,{id}:660\r\nIbishill-Deadline-Ms: 25000\r\nIbishill-Key: n2ctnfzs989anu6wsjnb\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(text.as_bytes())?;
    record.line(&format!("caller {id} sends its request"));
    let mut reader = Reader::new(&stream)?;
    let head = reader.head()?.ok_or_else(|| io::Error::other("no answer"))?;
    record.line(&format!("caller {id}: {}", head.first));
    if head.status() != 200 {
        // An answer, and a whole one.
        reader.body(&head)?;
        return Ok(0);
    }
    let mut events = 0;
    loop {
        let chunk = reader.chunk()?;
        if chunk.is_empty() {
            return Ok(events);
        }
        events += chunk.windows(4).filter(|found| found == b"id: ").count() as u64;
    }
}
