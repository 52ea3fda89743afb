//! A bad version is rolled back, and the operator orders the next one while the runners of the bad version still serve:
//! they are told to drain some seconds after the roll-back.

use std::collections::BTreeMap;
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

const CONFIG: &str = r#"{"version":7,"routes":[{"name":"r-reserva","host":"agenda.example","prefix":"/reserva/","kind":"non_idempotent","timeout-ms":1000,"target-latency-ms":100,"priority":2,"service":"agenda","max-attempts":1,"public":false}],"services":[{"name":"agenda","health-path":"/healthz","max-connections":96,"protocol":"h1","tls":false,"cold-start-s":0.0,"cold-per-s":0.0}],"limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000},"tenants":[{"name":"oficina","api-keys":["n2ctnfzs989anu6wsjnb"],"priority":1}]}"#;

/// Time that a roll-out may take.
const DURATION: Duration = Duration::from_secs(16);

/// From the roll-back to the next order.
const NEXT_ORDER: Duration = Duration::from_millis(500);

/// From the roll-back to when the runners of the version drain.
const DRAIN: Duration = Duration::from_secs(8);

/// Callers; each sends a request every 250 ms, half of them at each relay.
const CALLERS: usize = 20;
const PAUSE: Duration = Duration::from_millis(250);

/// `expose-share` and `expose-slack` of the settings.
const SHARE: f64 = 0.15;
const SLACK: f64 = 30.0;

#[derive(Default)]
struct Seen {
    /// Requests that reached a runner: its version, and when.
    reached: Vec<(&'static str, Instant)>,
    /// Answers that callers got, by status and version of the runner.
    answers: BTreeMap<String, usize>,
}

fn start(
    setting: &Setting<'_>,
    seen: &Arc<Mutex<Seen>>,
    version: &'static str,
) -> io::Result<Vec<(Runner, &'static str)>> {
    let zones = ["recife", "fortaleza"];
    zones
        .into_iter()
        .map(|zone| {
            let (seen, count) = (seen.clone(), AtomicUsize::new(0));
            let serve = move |call: &mut Call| serve(call, &seen, version, &count);
            Ok((Runner::start(&format!("i-{version}-{zone}"), &setting.record, serve)?, zone))
        })
        .collect()
}

fn register(runners: &[(Runner, &'static str)], store: &Store, version: &str, state: &str) {
    runners
        .iter()
        .for_each(|(runner, zone)| runner.write_entry(store, "agenda", zone, (version, state), 6));
}

pub fn run(setting: &Setting<'_>) -> io::Result<bool> {
    let store = Store::start()?;
    store.put("op", "config", CONFIG);
    let seen = Arc::new(Mutex::new(Seen::default()));
    let first = start(setting, &seen, "v1")?;
    register(&first, &store, "v1", "ready");
    let place = Place { folder: setting.folder, store: store.address, memory: 260 };
    let relays = Relay::start_all(&place, 2)?;
    let is_done = Arc::new(AtomicBool::new(false));
    let callers: Vec<_> = (0..CALLERS)
        .map(|index| {
            let front = relays[index % relays.len()].front;
            let (seen, is_done) = (seen.clone(), is_done.clone());
            thread::spawn(move || {
                thread::sleep(PAUSE.mul_f64(index as f64 / CALLERS as f64));
                for number in 0.. {
                    if is_done.load(Ordering::SeqCst) {
                        return;
                    }
                    let _ended = call(index, number, front, &seen);
                    thread::sleep(PAUSE);
                }
            })
        })
        .collect();
    thread::sleep(Duration::from_secs(4));

    let second = start(setting, &seen, "v2")?;
    register(&second, &store, "v2", "ready");
    order(&store, &setting.record, "v2");
    let ordered = Instant::now();
    let rolled_back = wait_for(&store, &setting.record, "rolled_back")?;
    let mut third = None;
    let mut has_drained = false;
    while ordered.elapsed() < DURATION {
        if setting.has_trouble && third.is_none() && rolled_back.elapsed() >= NEXT_ORDER {
            let runners = start(setting, &seen, "v3")?;
            register(&runners, &store, "v3", "ready");
            order(&store, &setting.record, "v3");
            third = Some(runners);
        }
        if !has_drained && rolled_back.elapsed() >= DRAIN {
            setting.record.line("the runners of v2 drain");
            register(&second, &store, "v2", "draining");
            has_drained = true;
        }
        thread::sleep(Duration::from_millis(20));
    }
    is_done.store(true, Ordering::SeqCst);
    for caller in callers {
        let _ended = caller.join();
    }
    judge(&seen.lock().unwrap(), &setting.record, ordered, rolled_back)
}

fn order(store: &Store, record: &Record, version: &str) {
    let seconds = DURATION.as_secs();
    record.line(&format!("the operator orders the roll-out to {version}"));
    let text = format!(r#"{{"service":"agenda","to":"{version}","duration-s":{seconds}}}"#);
    store.put("op", "rollout/agenda", &text);
}

fn wait_for(store: &Store, record: &Record, state: &str) -> io::Result<Instant> {
    let end = Instant::now() + DURATION;
    while Instant::now() < end {
        if store.value("status", "rollout/agenda").is_some_and(|text| text.contains(state)) {
            record.line(&format!("status/rollout/agenda: {state}"));
            return Ok(Instant::now());
        }
        thread::sleep(Duration::from_millis(10));
    }
    Err(io::Error::other(format!("the roll-out was not {state} in time")))
}

fn judge(seen: &Seen, record: &Record, ordered: Instant, rolled_back: Instant) -> io::Result<bool> {
    let until = ordered + DURATION;
    let inside = || seen.reached.iter().filter(|(_, at)| *at >= ordered && *at < until);
    let (all, bad) = (inside().count(), inside().filter(|(version, _)| *version == "v2").count());
    let later = inside().filter(|(version, at)| *version == "v2" && *at > rolled_back).count();
    let allowed = SHARE * all as f64 + SLACK;
    for second in 0..DURATION.as_secs() {
        let from = ordered + Duration::from_secs(second);
        let count = |of| {
            inside()
                .filter(|(version, at)| {
                    *version == of && *at >= from && *at < from + Duration::from_secs(1)
                })
                .count()
        };
        record.line(&format!(
            "second {second:2} after the order: v1 {}, v2 {}, v3 {}",
            count("v1"),
            count("v2"),
            count("v3")
        ));
    }
    for (answer, count) in &seen.answers {
        record.line(&format!("callers got {count} times {answer}"));
    }
    let text = format!(
        "v2 got {bad} of {all} requests between its order and its deadline, {later} of them after it was rolled back; allowed {allowed:.0}"
    );
    record.line(&text);
    crate::say(&text);
    Ok(bad as f64 <= allowed)
}

fn serve(
    call: &mut Call,
    seen: &Mutex<Seen>,
    version: &'static str,
    count: &AtomicUsize,
) -> io::Result<()> {
    seen.lock().unwrap().reached.push((version, Instant::now()));
    thread::sleep(Duration::from_millis(15));
    // A quarter of the answers of the bad version are errors.
    let is_bad = version == "v2" && count.fetch_add(1, Ordering::SeqCst) % 4 == 0;
    let status = if is_bad { "500 Internal Server Error" } else { "200 OK" };
    let headers = [
        ("Ibishill-Attempt-Id", call.id.clone()),
        ("Ibishill-Server-Stamp", format!("{}.stamp", call.runner)),
        ("Ibishill-Server-Load", "1,0,6".to_owned()),
    ];
    http::write(&mut call.stream, &format!("HTTP/1.1 {status}"), &headers, &[b'x'; 800])
}

fn call(index: usize, number: usize, front: SocketAddr, seen: &Mutex<Seen>) -> io::Result<()> {
    let id = format!("3d{index:02x}{number:012x}");
    let mut stream = TcpStream::connect(front)?;
    stream.set_read_timeout(Some(Duration::from_secs(2)))?;
    let text = format!(
        "POST /reserva/2f HTTP/1.1\r\nHost: agenda.example\r\nIbishill-Attempt-Id: {id}\r\nIbishill-Deadline-Ms: 1000\r\nIbishill-Key: n2ctnfzs989anu6wsjnb\r\nSession: s-{index}-{}\r\nContent-Length: 4\r\n\r\nbook",
        number / 8
    );
    stream.write_all(text.as_bytes())?;
    let mut reader = Reader::new(&stream)?;
    let head = reader.head()?.ok_or_else(|| io::Error::other("no answer"))?;
    reader.body(&head)?;
    let runner = head.get("ibishill-server-stamp").unwrap_or("-");
    let version = runner.split('-').nth(1).unwrap_or("no runner");
    let answer = format!("{} from {version}", head.status());
    *seen.lock().unwrap().answers.entry(answer).or_default() += 1;
    Ok(())
}
