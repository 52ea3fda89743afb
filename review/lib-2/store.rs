//! Stand-in of the platform's store: rows, transactions and feeds.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};
use std::{io, thread};

use crate::http;

type Key = (String, String);

#[derive(Default)]
struct Data {
    /// Newest version and value; none if the row was removed.
    rows: BTreeMap<Key, (u64, Option<Vec<u8>>)>,
    version: u64,
}

#[derive(Default)]
struct Shared {
    data: Mutex<Data>,
    changed: Condvar,
}

#[derive(Clone)]
pub struct Store {
    shared: Arc<Shared>,
    pub address: SocketAddr,
    began: Instant,
}

impl Store {
    pub fn start() -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let store =
            Self { shared: Arc::default(), address: listener.local_addr()?, began: Instant::now() };
        let serving = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                thread::spawn(move || {
                    let _ended = store.serve(stream);
                });
            }
        });
        Ok(store)
    }

    /// Writes a row, as the operator or a runner does.
    pub fn put(&self, table: &str, key: &str, value: &str) {
        self.change(table, key, Some(value.as_bytes().to_vec()));
    }

    pub fn value(&self, table: &str, key: &str) -> Option<String> {
        let data = self.shared.data.lock().unwrap();
        let value = data.rows.get(&(table.to_owned(), key.to_owned()))?.1.clone()?;
        Some(String::from_utf8_lossy(&value).into_owned())
    }

    fn change(&self, table: &str, key: &str, value: Option<Vec<u8>>) {
        let mut data = self.shared.data.lock().unwrap();
        data.version += 1;
        let version = data.version;
        data.rows.insert((table.into(), key.into()), (version, value));
        self.shared.changed.notify_all();
    }

    fn serve(&self, mut stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut reader = http::Reader::new(&stream)?;
        while let Some(head) = reader.head()? {
            let body = reader.body(&head)?;
            // A call takes a few milliseconds.
            thread::sleep(Duration::from_millis(3));
            let path = head.target().split('?').next().unwrap_or_default().to_owned();
            let (status, text) = match path.as_str() {
                "/-/rows-get" => (200, self.read(&head, 0)),
                "/-/rows-feed" => (200, self.feed(&head)),
                "/-/rows-tx" => self.transact(&body),
                _ => (404, "{}".to_owned()),
            };
            let json = ("Content-Type", "application/json".to_owned());
            http::write(&mut stream, &format!("HTTP/1.1 {status} -"), &[json], text.as_bytes())?;
        }
        Ok(())
    }

    fn read(&self, head: &http::Head, since: u64) -> String {
        let data = self.shared.data.lock().unwrap();
        self.rows(&data, head, since)
    }

    fn rows(&self, data: &Data, head: &http::Head, since: u64) -> String {
        let table = head.query("table").unwrap_or_default();
        let from = head.query("from").unwrap_or_default();
        let is_after = |key: &str| from.is_empty() || key > from.trim_end_matches("%00");
        let found = data.rows.iter().filter(|((of, key), (version, value))| {
            *of == table && *version > since && (since > 0 || value.is_some()) && is_after(key)
        });
        let mut rows: Vec<_> = found.collect();
        if since > 0 {
            rows.sort_by_key(|(_, (version, _))| *version);
        }
        let rows: Vec<String> = rows
            .into_iter()
            .map(|((table, key), (version, value))| match value {
                Some(value) => format!(
                    r#"{{"table":"{table}","part":"","key":"{key}","value":"{}","ver":{version}}}"#,
                    encode(value)
                ),
                None => format!(
                    r#"{{"table":"{table}","part":"","key":"{key}","ver":{version},"tombstone":true}}"#
                ),
            })
            .collect();
        format!(r#"{{"rows":[{}],"truncated":false,{}}}"#, rows.join(","), self.stamp(data))
    }

    fn stamp(&self, data: &Data) -> String {
        format!(r#""ver":{},"now-ms":{}"#, data.version, self.began.elapsed().as_millis() + 1_000)
    }

    fn feed(&self, head: &http::Head) -> String {
        let number = |name| head.query(name).and_then(|text| text.parse::<u64>().ok());
        let since = number("since-rev").unwrap_or_default();
        let wait = Duration::from_millis(number("wait-ms").unwrap_or_default().min(30_000));
        let table = head.query("table").unwrap_or_default();
        let until = Instant::now() + wait;
        let mut data = self.shared.data.lock().unwrap();
        loop {
            let has_news = data.rows.iter().any(|((of, _), (at, _))| *of == table && *at > since);
            let left = until.saturating_duration_since(Instant::now());
            if has_news || left.is_zero() {
                // A feed from the beginning has removed rows as well, which do no harm.
                return self.rows(&data, head, since);
            }
            data = self.shared.changed.wait_timeout(data, left).unwrap().0;
        }
    }

    // A transaction of one row, which is all that the relay writes.
    fn transact(&self, body: &[u8]) -> (u16, String) {
        let text = String::from_utf8_lossy(body).into_owned();
        let (conditions, writes) = text.split_once(r#""writes""#).unwrap_or((&text, ""));
        let (table, key) = (field(writes, "table"), field(writes, "key"));
        let expected: u64 = number(conditions, "ver");
        let mut data = self.shared.data.lock().unwrap();
        let row = data.rows.get(&(table.clone(), key.clone())).cloned();
        let current = row.as_ref().filter(|(_, value)| value.is_some()).map_or(0, |found| found.0);
        if current != expected {
            let found = row.filter(|(_, value)| value.is_some()).map(|(version, value)| {
                let value = encode(&value.unwrap_or_default());
                format!(r#"{{"table":"{table}","part":"","key":"{key}","value":"{value}","ver":{version}}}"#)
            });
            let rows = found.unwrap_or_default();
            return (412, format!(r#"{{"rows":[{rows}],{}}}"#, self.stamp(&data)));
        }
        data.version += 1;
        let version = data.version;
        data.rows.insert((table, key), (version, Some(decode(&field(writes, "value")))));
        self.shared.changed.notify_all();
        (200, format!("{{{}}}", self.stamp(&data)))
    }
}

fn field(text: &str, name: &str) -> String {
    let start = text.find(&format!(r#""{name}":""#)).map(|at| at + name.len() + 4);
    let rest = start.map_or("", |at| &text[at..]);
    rest.split('"').next().unwrap_or_default().to_owned()
}

fn number(text: &str, name: &str) -> u64 {
    let start = text.find(&format!(r#""{name}":"#)).map(|at| at + name.len() + 3);
    let rest = start.map_or("", |at| &text[at..]);
    let digits: String = rest.chars().take_while(char::is_ascii_digit).collect();
    digits.parse().unwrap_or_default()
}

const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

fn encode(bytes: &[u8]) -> String {
    let mut text = String::new();
    for part in bytes.chunks(3) {
        let at = |index: usize| u32::from(part.get(index).copied().unwrap_or(0));
        let all = at(0) << 16 | at(1) << 8 | at(2);
        for index in 0..4 {
            let digit = DIGITS[(all >> (18 - 6 * index) & 63) as usize];
            text.push(if index <= part.len() { char::from(digit) } else { '=' });
        }
    }
    text
}

fn decode(text: &str) -> Vec<u8> {
    let value = |byte: u8| DIGITS.iter().position(|digit| *digit == byte);
    let digits: Vec<u32> = text.bytes().filter_map(value).map(|found| found as u32).collect();
    let mut bytes = Vec::new();
    for part in digits.chunks(4) {
        let all = part.iter().fold(0, |all, digit| all << 6 | digit) << (6 * (4 - part.len()));
        bytes.extend((0..part.len() - 1).map(|index| (all >> (16 - 8 * index)) as u8));
    }
    bytes
}
