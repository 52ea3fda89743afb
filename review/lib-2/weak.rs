//! Streams that may not be resumed, on a route that leaves the choice of the model to the relay. The small model says
//! that it is not sure of its answer.

use std::collections::BTreeMap;
use std::io::{self, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::Setting;
use crate::http::Reader;
use crate::record::Record;
use crate::relay::{Place, Relay};
use crate::runner::{Call, Runner};
use crate::store::Store;

const CONFIG: &str = r#"{"version":7,"routes":[{"name":"r-resumo","host":"laudo.example","prefix":"/resumo/","kind":"stream","timeout-ms":20000,"target-latency-ms":3000,"priority":1,"sizes":["m0","m1","m2"],"service":"assistente","max-attempts":3,"public":false,"session-affinity":true,"stream-resume":false,"gap-aim-ms":1200}],"services":[{"name":"assistente","health-path":"/healthz","max-connections":360,"protocol":"h1","tls":false,"cold-start-s":3.0,"cold-per-s":13.0,"engine":{"slots":64,"kv-capacity":623351,"kv-token-bytes":18432,"link-mbps":130000.0,"moves":true,"backups":true,"stride":6,"most":12,"pin-ms":4000.0,"hold-ms":2000.0,"handle-s":5.0,"models":[{"name":"m0","cost":0.016},{"name":"m1","cost":0.12},{"name":"m2","cost":0.24}]}}],"limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000},"tenants":[{"name":"oficina","api-keys":["n2ctnfzs989anu6wsjnb"],"priority":1}]}"#;

const CALLERS: usize = 6;
const EVENTS: u64 = 4;

/// Runs by attempt: the runner and the model of each.
type Runs = Arc<Mutex<BTreeMap<String, Vec<String>>>>;

pub fn run(setting: &Setting<'_>) -> io::Result<bool> {
    let store = Store::start()?;
    store.put("op", "config", CONFIG);
    let runs = Runs::default();
    for (name, zone) in [("i-recife", "recife"), ("i-fortaleza", "fortaleza")] {
        let (record, runs) = (setting.record.clone(), runs.clone());
        let confidence = if setting.has_trouble { 5 } else { 90 };
        let serve = move |call: &mut Call| serve(call, &record, &runs, confidence);
        Runner::start(name, &setting.record, serve)?.register(&store, "assistente", zone, 64);
    }
    let place = Place { folder: setting.folder, store: store.address, memory: 260 };
    let relays = Relay::start_all(&place, 2)?;
    thread::sleep(Duration::from_millis(1_000));
    for index in 0..CALLERS {
        let front = relays[index % relays.len()].front;
        let id = format!("7b20c4fe91d0{index:04x}");
        let status = call(&id, front, &setting.record)?;
        setting.record.line(&format!("caller {id}: answered {status}"));
    }
    let runs = runs.lock().unwrap();
    let twice = runs.values().filter(|runs| runs.len() > 1).count();
    for (id, runs) in runs.iter() {
        setting.record.line(&format!("{id} ran {} times: {}", runs.len(), runs.join(", ")));
    }
    crate::say(&format!("requests that ran more than once: {twice} of {CALLERS}"));
    Ok(twice == 0)
}

fn serve(call: &mut Call, record: &Record, runs: &Runs, confidence: u32) -> io::Result<()> {
    let model = call.head.get("ibishill-model").unwrap_or_default().to_owned();
    let (runner, id) = (call.runner.clone(), call.id.clone());
    record.line(&format!("runner {runner} runs {id} with model {model}"));
    runs.lock().unwrap().entry(id.clone()).or_default().push(format!("{runner} with {model}"));
    // The first token has been made.
    thread::sleep(Duration::from_millis(60));
    let confidence = if model == "m2" { 90 } else { confidence };
    call.begin_stream(&format!("Ibishill-Confidence: {confidence}\r\n"))?;
    for number in 1..=EVENTS {
        call.event(number)?;
        if call.wait(Duration::from_millis(60)) {
            record.line(&format!(
                "runner {runner}: the relay closed the connection of {id} after event {number}"
            ));
            return Ok(());
        }
    }
    call.end_stream()
}

fn call(id: &str, front: SocketAddr, record: &Record) -> io::Result<u16> {
    let mut stream = TcpStream::connect(front)?;
    stream.set_read_timeout(Some(Duration::from_secs(12)))?;
    let body = "x".repeat(600);
    let text = format!(
        "POST /resumo/2f HTTP/1.1\r\nHost: laudo.example\r\nIbishill-Attempt-Id: {id}\r\nIbishill-Model: *\r\nIbishill-Token-Counts: 1460,80\r\nIbishill-Prompt-Prefix: 5c1e07a2:800,{}:660\r\nIbishill-Deadline-Ms: 20000\r\nIbishill-Key: n2ctnfzs989anu6wsjnb\r\nContent-Length: {}\r\n\r\n{body}",
        &id[8..],
        body.len()
    );
    record.line(&format!("caller {id} sends its request"));
    stream.write_all(text.as_bytes())?;
    let mut reader = Reader::new(&stream)?;
    let head = reader.head()?.ok_or_else(|| io::Error::other("no answer"))?;
    reader.body(&head)?;
    Ok(head.status())
}
