//! The configuration log over the in-memory platform: snapshots, archives, conflicts
//! and rows that can't be read.

use ibishill_config::{change, declared, in_force};
use ibishill_core::time;
use ibishill_platform::table;
use ibishill_standin::memory;
use ibishill_state::{error::StateError, log};

fn order(number: u64, expected: Option<u64>) -> log::Proposal {
    let zone =
        declared::Zone { region: "region".parse().unwrap(), state: declared::AdminState::In };
    log::Proposal {
        id: format!("change-{number}").parse().unwrap(),
        author: "operator".parse().unwrap(),
        action: "apply".into(),
        expected: expected.map(change::ConfigVersion),
        steps: vec![change::Step::PutZone(format!("zone-{}", number % 7).parse().unwrap(), zone)],
    }
}

async fn fill(log: &log::Log, changes: u64) {
    for number in 0..changes {
        log.accept(&order(number, Some(number)), time::Tick(number)).await.unwrap();
    }
}

#[tokio::test(start_paused = true)]
async fn a_new_daemon_starts_from_a_snapshot_and_the_audit_stays_readable() {
    let memory = memory::Memory::new(1);
    let log = log::Log::new(&memory.platform());
    fill(&log, 700).await;
    let kept = memory.rows("config", "change/");
    assert!(kept < 700, "all {kept} rows are kept");

    let before = memory.counts().reads;
    let fresh = log::Log::new(&memory.platform());
    let state = fresh.catch_up(&in_force::InForce::default()).await.unwrap();
    assert_eq!(state.version.0, 700);
    assert_eq!(state.declared.zones.len(), 7);
    assert!(memory.counts().reads - before <= 8);

    let mut audit = Vec::new();
    while let Some(last) =
        fresh.tail(change::ConfigVersion(audit.len() as u64)).await.unwrap().last()
    {
        let page = fresh.tail(change::ConfigVersion(audit.len() as u64)).await.unwrap();
        assert_eq!(page.last().unwrap().version, last.version);
        audit.extend(page.into_iter().map(|change| change.version.0));
    }
    assert_eq!(audit, (1..=700).collect::<Vec<_>>());
    // The same order finds its archived change.
    let again = fresh.accept(&order(3, Some(3)), time::Tick(0)).await.unwrap();
    assert_eq!(again.version.0, 4);
}

#[tokio::test(start_paused = true)]
async fn an_order_costs_the_same_however_long_the_log_is() {
    let memory = memory::Memory::new(1);
    let log = log::Log::new(&memory.platform());
    fill(&log, 600).await;
    let before = memory.counts().reads;
    log.accept(&order(600, None), time::Tick(0)).await.unwrap();
    assert!(memory.counts().reads - before <= 4);
}

#[tokio::test(start_paused = true)]
async fn a_conflict_names_the_winner_and_a_lagging_read_is_no_conflict() {
    let memory = memory::Memory::new(1);
    let log = log::Log::new(&memory.platform());
    fill(&log, 3).await;
    let lost = log.accept(&order(9, Some(1)), time::Tick(0)).await;
    let Err(StateError::Conflict { winner, .. }) = lost else { panic!("{lost:?}") };
    assert_eq!(winner.version.0, 3);
    let ahead = log.accept(&order(9, Some(5)), time::Tick(0)).await;
    assert!(matches!(ahead, Err(StateError::Ahead { .. })), "{ahead:?}");
    let mut other = order(1, Some(3));
    other.action = "zone".into();
    other.steps.clear();
    let reused = log.accept(&other, time::Tick(0)).await;
    assert!(matches!(reused, Err(StateError::IdReused { .. })), "{reused:?}");
}

#[tokio::test(start_paused = true)]
async fn a_gap_or_a_malformed_row_is_an_error_and_no_panic() {
    let cases = [("removed", None), ("malformed", Some("{".to_owned()))];
    for (name, value) in cases {
        let memory = memory::Memory::new(1);
        let platform = memory.platform();
        fill(&log::Log::new(&platform), 5).await;
        let row = table::RowKey::new("config", format!("change/{:020}", 3));
        let write = table::Write { name: row, value };
        let breaking = table::Transaction { checks: vec![], writes: vec![write] };
        platform.table.commit(breaking).await.unwrap();
        let read = log::Log::new(&platform).poll(&in_force::InForce::default()).await;
        assert!(matches!(read, Err(StateError::Malformed { .. })), "{name}: {read:?}");
    }
}

#[tokio::test(start_paused = true)]
async fn a_write_whose_answer_is_lost_is_never_called_not_done() {
    let memory = memory::Memory::new(1);
    let log = log::Log::new(&memory.platform());
    memory.set_faults(memory::Faults { lose_after: 1.0, ..Default::default() });
    // Reads are lost too: nothing is known, and nothing was written.
    let unread = log.accept(&order(0, None), time::Tick(0)).await;
    assert!(matches!(unread, Err(StateError::Platform { .. })), "{unread:?}");
    memory.set_faults(memory::Faults { lose_after: 0.5, ..Default::default() });
    let mut accepted = 0;
    for number in 0..40 {
        let order = order(number, None);
        let mut done = log.accept(&order, time::Tick(0)).await;
        while done.is_err() {
            done = log.accept(&order, time::Tick(0)).await;
        }
        accepted += 1;
        assert_eq!(done.unwrap().version.0, accepted);
    }
}

#[tokio::test(start_paused = true)]
async fn a_peer_that_is_behind_follows_the_delta() {
    let memory = memory::Memory::new(1);
    let log = log::Log::new(&memory.platform());
    fill(&log, 20).await;
    log.catch_up(&in_force::InForce::default()).await.unwrap();
    let (ahead, behind) = (log::Log::new(&memory.platform()), log::Log::new(&memory.platform()));
    ahead.catch_up(&in_force::InForce::default()).await.unwrap();
    let changes = ahead.delta(change::ConfigVersion(0)).unwrap();
    let next = behind.apply_delta(&in_force::InForce::default(), changes.clone()).unwrap();
    assert_eq!(next.version.0, 20);
    assert!(behind.apply_delta(&in_force::InForce::default(), changes[2..].to_vec()).is_err());
    assert!(ahead.delta(change::ConfigVersion(20)).is_none());
}
