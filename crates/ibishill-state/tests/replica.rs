//! Replicas of a table that get deltas from the store and from peers, in any order.

use bytes::Bytes;
use ibishill_core::{fleet, store_version};
use ibishill_state::replica;

// A version of the first era.
fn version(number: u64) -> store_version::StoreVersion {
    store_version::StoreVersion { era: store_version::Era(0), number }
}

fn row(key: &str, number: u64, value: Option<&'static str>) -> fleet::RawRow {
    fleet::RawRow { key: key.into(), version: version(number), value: value.map(Bytes::from) }
}

fn delta(is_whole: bool, number: u64, rows: Vec<fleet::RawRow>) -> replica::Delta {
    replica::Delta { is_whole, version: version(number), rows }
}

fn keys(table: &replica::Table) -> Vec<String> {
    table.rows().map(|row| format!("{}@{}", row.key, row.version.number)).collect()
}

struct Case {
    name: &'static str,
    deltas: Vec<replica::Delta>,
    expected: &'static [&'static str],
    version: u64,
}

#[test]
fn older_deltas_never_replace_newer_rows() {
    let cases = [
        Case { name: "empty", deltas: vec![delta(true, 0, vec![])], expected: &[], version: 0 },
        Case {
            name: "the first row of an empty store",
            deltas: vec![delta(true, 0, vec![]), delta(false, 1, vec![row("a", 1, Some("x"))])],
            expected: &["a@1"],
            version: 1,
        },
        Case {
            name: "an older delta arrives late",
            deltas: vec![
                delta(true, 5, vec![row("a", 5, Some("new"))]),
                delta(false, 3, vec![row("a", 3, Some("old"))]),
            ],
            expected: &["a@5"],
            version: 5,
        },
        Case {
            name: "a newer delta contains an older row",
            deltas: vec![
                delta(true, 5, vec![row("a", 5, Some("new"))]),
                delta(false, 6, vec![row("a", 4, Some("old")), row("b", 6, Some("x"))]),
            ],
            expected: &["a@5", "b@6"],
            version: 6,
        },
        Case {
            name: "a removal",
            deltas: vec![
                delta(true, 5, vec![row("a", 4, Some("x")), row("b", 5, Some("x"))]),
                delta(false, 6, vec![row("a", 6, None)]),
            ],
            expected: &["b@5"],
            version: 6,
        },
        Case {
            name: "a whole table after the change history was lost",
            deltas: vec![
                delta(true, 5, vec![row("a", 4, Some("x")), row("b", 5, Some("x"))]),
                delta(true, 9, vec![row("b", 5, Some("x")), row("c", 9, Some("x"))]),
            ],
            expected: &["b@5", "c@9"],
            version: 9,
        },
        Case {
            name: "an older whole table arrives late",
            deltas: vec![
                delta(true, 9, vec![row("b", 9, Some("x"))]),
                delta(true, 5, vec![row("a", 4, Some("x"))]),
            ],
            expected: &["b@9"],
            version: 9,
        },
    ];
    for case in cases {
        let mut table = replica::Table::default();
        assert!(!table.is_loaded());
        for delta in case.deltas {
            table.merge(delta);
        }
        assert!(table.is_loaded());
        assert_eq!(keys(&table), case.expected, "{}", case.name);
        assert_eq!(table.version(), version(case.version), "{}", case.name);
    }
}

#[test]
fn lagging_peer_gets_rows_and_tombstones() {
    let mut source = replica::Table::default();
    source.merge(delta(true, 3, vec![row("a", 1, Some("x")), row("b", 3, Some("x"))]));
    let mut peer = replica::Table::default();
    peer.merge(source.since(store_version::StoreVersion::default()).unwrap());
    source.merge(delta(false, 5, vec![row("a", 4, None), row("c", 5, Some("x"))]));
    let delta = source.since(peer.version()).unwrap();
    assert!(!delta.is_whole);
    let changed = peer.merge(delta);
    assert_eq!(changed.len(), 2);
    assert_eq!(keys(&peer), keys(&source));
    assert_eq!(source.since(peer.version()), None);
}

#[test]
fn peer_behind_the_oldest_tombstone_gets_the_whole_table() {
    let mut source = replica::Table::default();
    source.merge(delta(true, 1, vec![row("kept", 1, Some("x"))]));
    let mut peer = source.clone();
    let mut number = 1;
    for at in 0..2_000 {
        let key = format!("gone{at:04}");
        number += 2;
        source.merge(delta(false, number - 1, vec![row(&key, number - 1, Some("x"))]));
        source.merge(delta(false, number, vec![row(&key, number, None)]));
        if at == 3 {
            peer = source.clone();
        }
    }
    let delta = source.since(peer.version()).unwrap();
    assert!(delta.is_whole);
    assert!(delta.rows.len() < 10);
    peer.merge(delta);
    assert_eq!(keys(&peer), ["kept@1"]);
}

// A daemon that has just started has read the whole table, so it has no tombstones of rows
// that were removed before.
#[test]
fn removed_row_is_dropped_by_a_delta_from_a_newly_started_peer() {
    let (mut old, mut fresh) = (replica::Table::default(), replica::Table::default());
    let rows = vec![row("a", 3, Some("x")), row("b", 5, Some("x"))];
    old.merge(delta(true, 5, rows));
    fresh.merge(delta(true, 9, vec![row("a", 3, Some("x")), row("c", 8, Some("x"))]));
    old.merge(fresh.since(old.version()).unwrap());
    assert_eq!(keys(&old), ["a@3", "c@8"]);
    // A peer at the same version gets only the next change.
    fresh.merge(delta(false, 10, vec![row("a", 10, None)]));
    let next = fresh.since(version(9)).unwrap();
    assert!(!next.is_whole);
    old.merge(next);
    assert_eq!(keys(&old), ["c@8"]);
}

fn later(delta: replica::Delta) -> replica::Delta {
    let next = |version: store_version::StoreVersion| store_version::StoreVersion {
        era: store_version::Era(version.era.0 + 1),
        ..version
    };
    let rows = delta.rows.into_iter();
    let rows = rows.map(|row| fleet::RawRow { version: next(row.version), ..row }).collect();
    replica::Delta { version: next(delta.version), rows, ..delta }
}

#[test]
fn numbers_of_another_era_are_not_compared() {
    let mut table = replica::Table::default();
    let old = vec![row("a", 3, Some("x")), row("b", 9, Some("new")), row("c", 8, Some("x"))];
    table.merge(delta(true, 9, old));
    let before = table.clone();
    // The feed of a later era does not tell what the copy lacks.
    assert!(table.merge(later(delta(false, 10, vec![row("d", 10, Some("x"))]))).is_empty());
    assert_eq!(table.version(), version(9));
    let copy = vec![row("a", 3, Some("x")), row("b", 5, Some("old"))];
    let changed = table.merge(later(delta(true, 6, copy)));
    let changed: Vec<&str> = changed.iter().map(|row| row.key.as_str()).collect();
    assert_eq!(changed, ["c", "b"], "rows that are the same have not changed");
    // What daemons of the old era know does not come back, however high its number.
    assert!(table.merge(delta(true, 99, vec![row("c", 98, Some("x"))])).is_empty());
    assert_eq!(before.since(table.version()), None);
    let for_peer = table.since(before.version()).unwrap();
    assert!(for_peer.is_whole);
    let mut peer = before;
    peer.merge(for_peer);
    assert_eq!(keys(&peer), keys(&table));
    assert_eq!(keys(&peer), ["a@3", "b@5"]);
}

// Change history of a store; the index of a change is its version minus one.
#[derive(Default)]
struct Store {
    changes: Vec<fleet::RawRow>,
}

impl Store {
    fn since(&self, since: store_version::StoreVersion) -> replica::Delta {
        let rows = self.changes[since.number as usize..].to_vec();
        delta(false, self.changes.len() as u64, newest(rows))
    }

    fn at(&self, at: store_version::StoreVersion) -> Vec<fleet::RawRow> {
        let mut rows = newest(self.changes[..at.number as usize].to_vec());
        rows.retain(|row| row.value.is_some());
        rows
    }
}

fn newest(rows: Vec<fleet::RawRow>) -> Vec<fleet::RawRow> {
    let of = |row: fleet::RawRow| (row.key.clone(), row);
    rows.into_iter().map(of).collect::<std::collections::BTreeMap<_, _>>().into_values().collect()
}

// Daemons read the store, exchange deltas and restart in random order; each replica contains
// exactly the rows of the store at its version.
#[test]
fn replica_equals_the_store_at_its_version() {
    for seed in 0..24_u64 {
        let mut state = seed * 2 + 1;
        let mut random = |bound: u64| {
            state = state
                .wrapping_mul(6_364_136_223_846_793_005)
                .wrapping_add(1_442_695_040_888_963_407);
            (state >> 33) % bound
        };
        let mut store = Store::default();
        let mut daemons: Vec<replica::Table> = (0..4).map(|_| replica::Table::default()).collect();
        for _ in 0..400 {
            let (one, other) = (random(4) as usize, random(4) as usize);
            match random(8) {
                0..=2 => {
                    let key = format!("k{}", random(12));
                    let version = store.changes.len() as u64 + 1;
                    store.changes.push(row(&key, version, (random(2) == 0).then_some("x")));
                }
                3 => {
                    let version = daemons[one].version();
                    if daemons[one].is_loaded() {
                        daemons[one].merge(store.since(version));
                    }
                }
                4 => {
                    let number = store.changes.len() as u64;
                    daemons[one].merge(delta(true, number, store.at(version(number))));
                }
                5 if random(4) == 0 => daemons[one] = replica::Table::default(),
                _ => {
                    if let Some(delta) = daemons[one].since(daemons[other].version()) {
                        daemons[other].merge(delta);
                    }
                }
            }
            for table in daemons.iter().filter(|table| table.is_loaded()) {
                let expected = store.at(table.version());
                let expected: Vec<String> = expected.iter().map(|row| row.key.clone()).collect();
                let found: Vec<String> = table.rows().map(|row| row.key.clone()).collect();
                assert_eq!(found, expected, "seed {seed}, version {}", table.version());
            }
        }
    }
}
