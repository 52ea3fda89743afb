//! Stand-in of a runner: registers itself in the store and answers as its case says.

use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};
use std::{io, thread};

use crate::http::{self, Head, Reader};
use crate::record::Record;
use crate::store::Store;

/// One request at a runner.
pub struct Call {
    pub stream: TcpStream,
    pub reader: Reader,
    pub head: Head,
    /// Id of the runner.
    pub runner: String,
    /// Id of the client's attempt.
    pub id: String,
}

#[derive(Clone)]
pub struct Runner {
    pub id: String,
    pub address: SocketAddr,
}

impl Runner {
    /// Starts a runner that answers by `serve`, which is called for each request but those of its state.
    pub fn start<F>(id: &str, record: &Record, serve: F) -> io::Result<Self>
    where
        F: Fn(&mut Call) -> io::Result<()> + Send + Sync + 'static,
    {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let runner = Self { id: id.to_owned(), address: listener.local_addr()? };
        let (own, serve, record) = (id.to_owned(), Arc::new(serve), record.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (own, serve, record) = (own.clone(), serve.clone(), record.clone());
                thread::spawn(move || {
                    if let Err(error) = answer(stream, &own, serve.as_ref()) {
                        record.line(&format!("runner {own}: connection ended: {error}"));
                    }
                });
            }
        });
        Ok(runner)
    }

    /// Writes the entry of a runner that is ready.
    pub fn register(&self, store: &Store, service: &str, zone: &str, slots: u32) {
        self.write_entry(store, service, zone, ("v1", "ready"), slots);
    }

    /// Writes the runner's entry.
    pub fn write_entry(
        &self,
        store: &Store,
        service: &str,
        zone: &str,
        (version, state): (&str, &str),
        slots: u32,
    ) {
        let Self { id, address } = self;
        let text = format!(
            r#"{{"service":"{service}","address":"{address}","zone":"{zone}","version":"{version}","slots":{slots},"state":"{state}","cold-remaining-ms":0,"stage":"both","call-seq":0,"born":1796000000000}}"#
        );
        store.put("servers", id, &text);
    }
}

fn answer<F>(mut stream: TcpStream, own: &str, serve: &F) -> io::Result<()>
where
    F: Fn(&mut Call) -> io::Result<()>,
{
    stream.set_nodelay(true)?;
    let mut reader = Reader::new(&stream)?;
    let Some(head) = reader.head()? else { return Ok(()) };
    reader.body(&head)?;
    let instance = ("Ibishill-Instance-Id", own.to_owned());
    if head.target() == "/healthz" {
        return http::write(&mut stream, "HTTP/1.1 200 OK", &[instance], b"");
    }
    if head.target() == "/-/report" {
        let text = br#"{"stage":"both","models":[],"busy":false,"call-seq":0,"waiting":0,"running":1,"kv-used":1000,"kv-total":600000,"handles":0}"#;
        let json = ("Content-Type", "application/json".to_owned());
        return http::write(&mut stream, "HTTP/1.1 200 OK", &[json], text);
    }
    if head.get("ibishill-expect-instance").is_some_and(|expected| expected != own) {
        return http::write(&mut stream, "HTTP/1.1 421 Misdirected Request", &[instance], b"");
    }
    let id = head.get("ibishill-attempt-id").unwrap_or_default().to_owned();
    let mut call = Call { stream, reader, head, runner: own.to_owned(), id };
    serve(&mut call)
}

impl Call {
    /// Begins a stream.
    pub fn begin_stream(&mut self, more: &str) -> io::Result<()> {
        let text = format!(
            "HTTP/1.1 200 OK\r\nIbishill-Attempt-Id: {}\r\nIbishill-Server-Stamp: {}.stamp\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n{more}\r\n",
            self.id, self.runner
        );
        io::Write::write_all(&mut self.stream, text.as_bytes())
    }

    /// Sends one event.
    pub fn event(&mut self, number: u64) -> io::Result<()> {
        let text = format!("id: {number}\ndata: tokens of {number}\n\n");
        http::write_chunk(&mut self.stream, text.as_bytes())
    }

    pub fn end_stream(&mut self) -> io::Result<()> {
        http::write_chunk(&mut self.stream, b"")
    }

    /// Waits; returns whether the other side has left meanwhile.
    pub fn wait(&self, time: Duration) -> bool {
        let end = Instant::now() + time;
        while Instant::now() < end {
            if self.reader.has_left() {
                return true;
            }
            thread::sleep(Duration::from_millis(10));
        }
        self.reader.has_left()
    }
}
