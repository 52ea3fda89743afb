//! Transfer of large rows between replicas: what is sent for a change, and that lost messages,
//! newer versions and reverted changes never lead to another content than the store's.

use std::net::SocketAddr;

use bytes::Bytes;
use ibishill_core::{fleet, store_version};
use ibishill_state::{chunk, replica, transfer};

/// Bytes that a daemon may receive for control in a second.
const CONTROL_BYTES_PER_S: usize = 12 * 1_024;
const CHANGES_PER_S: f64 = 14_000.0 / 86_400.0;

/// Peers that announce the same version to a daemon before it has it.
const ANNOUNCERS: usize = 4;

fn address(number: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], number as u16 + 1))
}

// Text without a repeating pattern in names, as of a configuration with many routes.
fn routes(count: u64, weight: u64) -> Bytes {
    let mut text = format!("{{\"version\":{weight},\"routes\":[");
    for number in 0..count {
        let name = number.wrapping_mul(0x9e37_79b9_7f4a_7c15).rotate_left(23);
        let weight = if number == count / 2 { weight } else { 0 };
        text.push_str(&format!(
            "{{\"name\":\"r-{name:016x}\",\"host\":\"shop.example\",\"prefix\":\"/{name:016x}/\",\
             \"kind\":\"idempotent\",\"timeout-ms\":3000,\"target-latency-ms\":300,\"priority\":1,\
             \"service\":\"pool\",\"weight\":{weight},\"max-attempts\":2,\"public\":false}},"
        ));
    }
    text.push_str("]}");
    Bytes::from(text)
}

fn version(number: u64) -> store_version::StoreVersion {
    store_version::StoreVersion { number, ..store_version::StoreVersion::default() }
}

fn row(number: u64, value: Option<Bytes>) -> fleet::RawRow {
    fleet::RawRow { key: "config".into(), version: version(number), value }
}

#[derive(Default, Clone)]
struct Daemon {
    table: replica::Table,
    transfer: transfer::Transfer,
}

impl Daemon {
    fn merge(&mut self, delta: replica::Delta) {
        let changed = self.table.merge(delta);
        self.transfer.record(&changed, self.table.version());
    }

    fn read(&mut self, number: u64, value: Option<Bytes>) {
        let rows = vec![row(number, value)];
        self.merge(replica::Delta { is_whole: false, version: version(number), rows });
    }

    fn hear(&mut self, source: &Self, address: SocketAddr) {
        let Some(delta) = source.table.since(self.table.version()) else { return };
        let packed = source.transfer.pack(delta);
        let complete = self.transfer.accept(packed, address, self.table.version());
        complete.into_iter().for_each(|delta| self.merge(delta));
    }

    // Fetches up to `max` chunks; returns their total size.
    fn fetch(&mut self, source: &Self, max: usize) -> usize {
        let wanted = self.transfer.wanted(max).into_iter();
        let contents: Vec<Bytes> =
            wanted.filter_map(|digest| source.transfer.chunk(digest).cloned()).collect();
        let size = contents.iter().map(Bytes::len).sum();
        let complete = self.transfer.receive(contents);
        complete.into_iter().for_each(|delta| self.merge(delta));
        size
    }

    fn value(&self) -> Option<Bytes> {
        self.table.rows().next().and_then(|row| row.value.clone())
    }
}

#[test]
fn split_value_is_joined_again() {
    struct Case {
        name: &'static str,
        value: Bytes,
    }
    let cases = [
        Case { name: "empty", value: Bytes::new() },
        Case { name: "one byte", value: Bytes::from_static(b"x") },
        Case { name: "one repeated byte", value: Bytes::from(vec![7; 100_000]) },
        Case { name: "1,400 routes", value: routes(1_400, 1) },
    ];
    for case in cases {
        let (manifest, chunks) = chunk::split(&case.value);
        let chunks: std::collections::BTreeMap<_, _> = chunks.into_iter().collect();
        let joined = manifest.join(|digest| chunks.get(&digest).cloned());
        assert_eq!(joined, Some(case.value.clone()), "{}", case.name);
        if !case.value.is_empty() {
            assert_eq!(manifest.join(|_| None), None, "{}", case.name);
        }
        for digest in chunks.keys() {
            assert_eq!(digest.to_string().parse(), Ok(*digest), "{}", case.name);
        }
    }
}

// Regression: every change sent the whole row of 285 KB to every daemon, several times.
#[test]
fn change_of_a_large_row_fits_the_control_budget() {
    let mut source = Daemon::default();
    source.read(1, Some(routes(1_400, 1)));
    let mut daemon = source.clone();
    source.read(2, Some(routes(1_400, 2)));
    let announced = source.transfer.pack(source.table.since(version(1)).unwrap());
    let digests = match &announced.rows[0].value {
        transfer::Value::Split(manifest) => manifest.digests().count(),
        value => panic!("a large row is sent whole: {value:?}"),
    };
    daemon.hear(&source, address(0));
    let mut fetched = 0;
    while daemon.transfer.missing_count() > 0 {
        fetched += daemon.fetch(&source, 16);
    }
    assert_eq!(daemon.value(), source.value());
    let sent = fetched + ANNOUNCERS * digests * size_of::<chunk::Digest>();
    let rate = sent as f64 * CHANGES_PER_S;
    assert!(rate <= CONTROL_BYTES_PER_S as f64, "{sent} bytes, {rate} B/s");
}

#[test]
fn chunks_fetched_for_a_replaced_version_are_kept() {
    let mut source = Daemon::default();
    source.read(1, Some(routes(1_400, 1)));
    let mut daemon = Daemon::default();
    daemon.hear(&source, address(0));
    let all = daemon.transfer.missing_count();
    daemon.fetch(&source, all - 3);
    source.read(2, Some(routes(1_400, 2)));
    daemon.hear(&source, address(0));
    assert_eq!(daemon.transfer.pending_version(), Some(version(2)));
    // The three, and those that the change touches.
    assert!(daemon.transfer.missing_count() <= 6, "{}", daemon.transfer.missing_count());
    daemon.fetch(&source, all);
    assert_eq!(daemon.value(), source.value());
    assert_eq!(daemon.transfer.pending_version(), None);
}

#[test]
fn every_announcer_is_a_source_until_it_fails() {
    let mut source = Daemon::default();
    source.read(1, Some(routes(200, 1)));
    let mut daemon = Daemon::default();
    for number in [0, 1, 0] {
        daemon.hear(&source, address(number));
    }
    daemon.transfer.add_source(version(1), address(2));
    daemon.transfer.add_source(version(9), address(3));
    assert_eq!(daemon.transfer.sources(), [address(0), address(1), address(2)]);
    daemon.transfer.drop_source(address(1));
    assert_eq!(daemon.transfer.sources(), [address(0), address(2)]);
    daemon.fetch(&source, usize::MAX);
    assert!(daemon.transfer.sources().is_empty());
}

// Daemons read the store, announce versions and fetch a few chunks in random order; messages are
// lost, daemons restart, and the row changes, changes back, shrinks and disappears.
#[test]
fn replicas_have_the_content_of_the_store_at_their_version() {
    for seed in 0..24_u64 {
        let mut state = seed * 2 + 1;
        let mut random = |bound: u64| {
            state = state
                .wrapping_mul(6_364_136_223_846_793_005)
                .wrapping_add(1_442_695_040_888_963_407);
            (state >> 33) % bound
        };
        let mut history: Vec<Option<Bytes>> = vec![Some(routes(200, 1))];
        let mut daemons = vec![Daemon::default(); 5];
        for _ in 0..600 {
            let (one, other) = (random(5) as usize, random(5) as usize);
            let source = daemons[other].clone();
            match random(10) {
                0 => {
                    let next = match random(8) {
                        0 => None,
                        1 => Some(routes(2, 1)),
                        count => Some(routes(150 + 10 * count, random(3))),
                    };
                    history.push(next);
                }
                1 => daemons[one].read(history.len() as u64, history.last().unwrap().clone()),
                2 if random(10) == 0 => daemons[one] = Daemon::default(),
                3 => daemons[one].transfer.drop_source(address(other)),
                4..=6 => daemons[one].hear(&source, address(other)),
                _ => {
                    daemons[one].fetch(&source, random(8) as usize);
                }
            }
            for daemon in daemons.iter().filter(|daemon| daemon.table.is_loaded()) {
                let version = daemon.table.version().number as usize;
                assert_eq!(daemon.value(), history[version - 1], "seed {seed}, version {version}");
            }
        }
    }
}
