//! Rows spread from the store and from peers without ever going back.

use bytes::Bytes;
use ibishill_core::fleet;
use ibishill_state::replica;

fn row(key: &str, version: u64, value: Option<&'static str>) -> fleet::Record {
    fleet::Record { key: key.into(), version, value: value.map(Bytes::from) }
}

fn delta(is_whole: bool, version: u64, rows: Vec<fleet::Record>) -> replica::Delta {
    replica::Delta { is_whole, version, rows }
}

fn keys(table: &replica::Table) -> Vec<String> {
    table.rows().map(|row| format!("{}@{}", row.key, row.version)).collect()
}

struct Case {
    name: &'static str,
    deltas: Vec<replica::Delta>,
    expected: &'static [&'static str],
    version: u64,
}

#[test]
fn news_only_go_forward() {
    let cases = [
        Case { name: "empty", deltas: vec![delta(true, 0, vec![])], expected: &[], version: 0 },
        Case {
            name: "the first row of an empty store",
            deltas: vec![delta(true, 0, vec![]), delta(false, 1, vec![row("a", 1, Some("x"))])],
            expected: &["a@1"],
            version: 1,
        },
        Case {
            name: "an older delta comes late",
            deltas: vec![
                delta(true, 5, vec![row("a", 5, Some("new"))]),
                delta(false, 3, vec![row("a", 3, Some("old"))]),
            ],
            expected: &["a@5"],
            version: 5,
        },
        Case {
            name: "a newer delta holds an older row",
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
            name: "a whole read after history was dropped",
            deltas: vec![
                delta(true, 5, vec![row("a", 4, Some("x")), row("b", 5, Some("x"))]),
                delta(true, 9, vec![row("b", 5, Some("x")), row("c", 9, Some("x"))]),
            ],
            expected: &["b@5", "c@9"],
            version: 9,
        },
        Case {
            name: "an older whole read comes late",
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
        assert_eq!(table.version(), case.version, "{}", case.name);
    }
}

#[test]
fn a_peer_that_lacks_rows_or_removals_catches_up() {
    let mut source = replica::Table::default();
    source.merge(delta(true, 3, vec![row("a", 1, Some("x")), row("b", 3, Some("x"))]));
    let mut peer = replica::Table::default();
    peer.merge(source.since(0).unwrap());
    source.merge(delta(false, 5, vec![row("a", 4, None), row("c", 5, Some("x"))]));
    let news = source.since(peer.version()).unwrap();
    assert!(!news.is_whole);
    let changed = peer.merge(news);
    assert_eq!(changed.len(), 2);
    assert_eq!(keys(&peer), keys(&source));
    assert_eq!(source.since(peer.version()), None);
}

#[test]
fn a_peer_that_lacks_more_removals_than_are_kept_gets_the_whole_table() {
    let mut source = replica::Table::default();
    source.merge(delta(true, 1, vec![row("kept", 1, Some("x"))]));
    let mut peer = source.clone();
    let mut version = 1;
    for at in 0..2_000 {
        let key = format!("gone{at:04}");
        version += 2;
        source.merge(delta(false, version - 1, vec![row(&key, version - 1, Some("x"))]));
        source.merge(delta(false, version, vec![row(&key, version, None)]));
        if at == 3 {
            peer = source.clone();
        }
    }
    let news = source.since(peer.version()).unwrap();
    assert!(news.is_whole);
    assert!(news.rows.len() < 10);
    peer.merge(news);
    assert_eq!(keys(&peer), ["kept@1"]);
}

// A daemon that has just started has read the table whole, and knows of no earlier removal.
#[test]
fn a_peer_that_knows_a_removed_row_loses_it_by_news_of_one_that_read_the_table_whole() {
    let (mut old, mut fresh) = (replica::Table::default(), replica::Table::default());
    let rows = vec![row("a", 3, Some("x")), row("b", 5, Some("x"))];
    old.merge(delta(true, 5, rows));
    fresh.merge(delta(true, 9, vec![row("a", 3, Some("x")), row("c", 8, Some("x"))]));
    old.merge(fresh.since(old.version()).unwrap());
    assert_eq!(keys(&old), ["a@3", "c@8"]);
    // One that knows as much gets the next change alone.
    fresh.merge(delta(false, 10, vec![row("a", 10, None)]));
    let next = fresh.since(9).unwrap();
    assert!(!next.is_whole);
    old.merge(next);
    assert_eq!(keys(&old), ["c@8"]);
}

// Rows that the store holds, and every change of them.
#[derive(Default)]
struct Store {
    changes: Vec<fleet::Record>,
}

impl Store {
    fn since(&self, version: u64) -> replica::Delta {
        let rows = self.changes[version as usize..].to_vec();
        replica::Delta { is_whole: false, version: self.changes.len() as u64, rows: newest(rows) }
    }

    fn at(&self, version: u64) -> Vec<fleet::Record> {
        let mut rows = newest(self.changes[..version as usize].to_vec());
        rows.retain(|row| row.value.is_some());
        rows
    }
}

fn newest(rows: Vec<fleet::Record>) -> Vec<fleet::Record> {
    let of = |row: fleet::Record| (row.key.clone(), row);
    rows.into_iter().map(of).collect::<std::collections::BTreeMap<_, _>>().into_values().collect()
}

// Daemons read the store, tell each other and start again in any order; whatever version a
// daemon knows, it knows just the rows of that version.
#[test]
fn a_table_holds_just_the_rows_of_its_version_however_news_arrived() {
    for seed in 0..24_u64 {
        let mut state = seed * 2 + 1;
        let mut dice = |sides: u64| {
            state = state
                .wrapping_mul(6_364_136_223_846_793_005)
                .wrapping_add(1_442_695_040_888_963_407);
            (state >> 33) % sides
        };
        let mut store = Store::default();
        let mut daemons: Vec<replica::Table> = (0..4).map(|_| replica::Table::default()).collect();
        for _ in 0..400 {
            let (one, other) = (dice(4) as usize, dice(4) as usize);
            match dice(8) {
                0..=2 => {
                    let key = format!("k{}", dice(12));
                    let version = store.changes.len() as u64 + 1;
                    store.changes.push(row(&key, version, (dice(2) == 0).then_some("x")));
                }
                3 => {
                    let version = daemons[one].version();
                    if daemons[one].is_loaded() {
                        daemons[one].merge(store.since(version));
                    }
                }
                4 => {
                    let version = store.changes.len() as u64;
                    daemons[one].merge(delta(true, version, store.at(version)));
                }
                5 if dice(4) == 0 => daemons[one] = replica::Table::default(),
                _ => {
                    if let Some(news) = daemons[one].since(daemons[other].version()) {
                        daemons[other].merge(news);
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
