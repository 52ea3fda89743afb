//! The configuration log over the in-memory platform: snapshots, archives, conflicts,
//! malformed rows and lost answers.

use ibishill_config::{change, declared, in_force};
use ibishill_core::time;
use ibishill_platform::table;
use ibishill_standin::memory;
use ibishill_state::{error::StateError, log};

fn proposal(number: u64, expected: Option<u64>) -> log::Proposal {
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
        log.accept(&proposal(number, Some(number)), time::Tick(number)).await.unwrap();
    }
}

#[tokio::test(start_paused = true)]
async fn new_log_starts_from_snapshot_and_archived_changes_stay_readable() {
    let memory = memory::Memory::new(1);
    let log = log::Log::new(&memory.platform());
    fill(&log, 700).await;
    let kept = memory.row_count("config", "change/");
    assert!(kept < 700, "no change was archived: {kept} rows");

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
    // A repeated proposal finds its change in the archive.
    let repeated = fresh.accept(&proposal(3, Some(3)), time::Tick(0)).await.unwrap();
    assert_eq!(repeated.version.0, 4);
}

#[tokio::test(start_paused = true)]
async fn reads_per_proposal_do_not_grow_with_the_log() {
    let memory = memory::Memory::new(1);
    let log = log::Log::new(&memory.platform());
    fill(&log, 600).await;
    let before = memory.counts().reads;
    log.accept(&proposal(600, None), time::Tick(0)).await.unwrap();
    assert!(memory.counts().reads - before <= 4);
}

#[tokio::test(start_paused = true)]
async fn outdated_proposal_gets_the_committed_change_and_a_newer_one_is_ahead() {
    let memory = memory::Memory::new(1);
    let log = log::Log::new(&memory.platform());
    fill(&log, 3).await;
    let outdated = log.accept(&proposal(9, Some(1)), time::Tick(0)).await;
    let Err(StateError::Conflict { winner, .. }) = outdated else { panic!("{outdated:?}") };
    assert_eq!(winner.version.0, 3);
    let ahead = log.accept(&proposal(9, Some(5)), time::Tick(0)).await;
    assert!(matches!(ahead, Err(StateError::Ahead { .. })), "{ahead:?}");
    let mut other = proposal(1, Some(3));
    other.action = "zone".into();
    other.steps.clear();
    let reused = log.accept(&other, time::Tick(0)).await;
    assert!(matches!(reused, Err(StateError::IdReused { .. })), "{reused:?}");
}

#[tokio::test(start_paused = true)]
async fn missing_or_malformed_row_is_an_error() {
    let cases = [("removed", None), ("malformed", Some("{".to_owned()))];
    for (name, value) in cases {
        let memory = memory::Memory::new(1);
        let platform = memory.platform();
        fill(&log::Log::new(&platform), 5).await;
        let row = table::RowKey::new("config", format!("change/{:020}", 3));
        let write = table::Write { name: row, value };
        let corruption = table::Transaction { checks: vec![], writes: vec![write] };
        platform.table.commit(corruption).await.unwrap();
        let read = log::Log::new(&platform).poll(&in_force::InForce::default()).await;
        assert!(matches!(read, Err(StateError::Malformed { .. })), "{name}: {read:?}");
    }
}

#[tokio::test(start_paused = true)]
async fn lost_answers_never_make_a_committed_proposal_fail() {
    let memory = memory::Memory::new(1);
    let log = log::Log::new(&memory.platform());
    memory.set_faults(memory::Faults { lose_after: 1.0, ..Default::default() });
    // All answers are lost, those of reads too, so that nothing is written.
    let unread = log.accept(&proposal(0, None), time::Tick(0)).await;
    assert!(matches!(unread, Err(StateError::Platform { .. })), "{unread:?}");
    memory.set_faults(memory::Faults { lose_after: 0.5, ..Default::default() });
    let mut accepted = 0;
    for number in 0..40 {
        let proposal = proposal(number, None);
        let mut result = log.accept(&proposal, time::Tick(0)).await;
        while result.is_err() {
            result = log.accept(&proposal, time::Tick(0)).await;
        }
        accepted += 1;
        assert_eq!(result.unwrap().version.0, accepted);
    }
}

#[tokio::test(start_paused = true)]
async fn lagging_peer_applies_a_delta() {
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
