//! Roll-out task: takeover by another daemon, lost answers of the platform, and precedence of
//! operators.

use std::time::Duration;

use ibishill_config::{change, declared, in_force};
use ibishill_core::{clock, id, time, view};
use ibishill_daemon::{config_sync, context, rollouts};
use ibishill_decide::plan;
use ibishill_platform::table;
use ibishill_standin::memory;
use ibishill_state::log;

const ZONE: &str = "zone-a";

fn rollout() -> declared::Rollout {
    declared::Rollout {
        from: "m@v1".parse().unwrap(),
        to: "m@v2".parse().unwrap(),
        stages: vec![50, 100],
        stage: 0,
        dwell: time::Millis(0),
        state: declared::RolloutState::Running,
        reason: None,
    }
}

fn name() -> id::RolloutId {
    "roll-1".parse().unwrap()
}

async fn propose(log: &log::Log, number: u32, steps: Vec<change::Step>) {
    let proposal = log::Proposal {
        id: format!("change-{number}").parse().unwrap(),
        author: "tester".parse().unwrap(),
        action: "apply".into(),
        expected: None,
        steps,
    };
    log.accept(&proposal, clock::wall_now()).await.unwrap();
}

async fn declare(log: &log::Log) {
    let version = |state| declared::Version {
        prompt_price: Default::default(),
        output_price: Default::default(),
        quality: 0.9,
        base: None,
        state,
    };
    let steps = vec![
        change::Step::PutVersion("m@v1".parse().unwrap(), version(declared::VersionState::Serving)),
        change::Step::PutVersion(
            "m@v2".parse().unwrap(),
            version(declared::VersionState::Candidate),
        ),
        change::Step::PutRollout(name(), rollout()),
    ];
    propose(log, 1, steps).await;
}

struct Node {
    config: in_force::Cell,
    lifecycle: context::Lifecycle,
    counters: rollouts::Counters,
    log: log::Log,
}

impl Node {
    async fn start(vm: &str, memory: &memory::Memory) -> Self {
        let table = memory.platform().table;
        let log = log::Log::new(&memory.platform());
        let config = in_force::Cell::default();
        config.update_if_newer(log.catch_up(&config.get()).await.unwrap());
        let counters = rollouts::Counters::new(config.clone());
        let lifecycle = context::Lifecycle::default();
        let views = context::ViewCell::default();
        let member =
            view::Member { vm: vm.parse().unwrap(), peers: "127.0.0.1:9".parse().unwrap() };
        let zone = view::View { number: view::ViewNumber(1), members: vec![member] };
        views.set(view::Views { zones: [(ZONE.parse().unwrap(), zone)].into() });
        rollouts::spawn(rollouts::Task {
            counters: counters.clone(),
            table,
            log: log.clone(),
            config: config.clone(),
            views,
            location: plan::Location { vm: vm.parse().unwrap(), zone: ZONE.parse().unwrap() },
            lifecycle: lifecycle.clone(),
            refresh: config_sync::Refresh::default(),
            period: time::Millis(10),
        })
        .unwrap();
        Self { config, lifecycle, counters, log }
    }

    // Counts requests of both versions; every third one of the candidate fails.
    fn count(&self, requests: u32) {
        let target = |text: &str| id::Target::Version(text.parse().unwrap());
        for number in 0..requests {
            self.counters.record_answer(&target("m@v1"), time::Millis(100));
            match number % 3 {
                0 => self.counters.record_failure(&target("m@v2")),
                _ => self.counters.record_answer(&target("m@v2"), time::Millis(100)),
            }
        }
    }

    async fn rollout(&self) -> declared::Rollout {
        // Retries reads whose answer was lost.
        loop {
            if let Ok(now) = self.log.catch_up(&self.config.get()).await {
                return now.declared.rollouts[&name()].clone();
            }
        }
    }

    async fn halted(&self) -> declared::Rollout {
        for _ in 0..1_000 {
            let found = self.rollout().await;
            if found.state == declared::RolloutState::Halted {
                return found;
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        panic!("the roll-out was not halted");
    }

    async fn halts(&self) -> usize {
        let changes = self.log.tail(change::ConfigVersion(0)).await.unwrap();
        changes.iter().filter(|change| change.action == "rollout-halt").count()
    }
}

// Whether a row counts `requests` requests for each of both versions.
async fn written(memory: &memory::Memory, requests: u64) -> bool {
    let scan = table::Scan {
        table: "rollout-counts".into(),
        prefix: String::new(),
        after: String::new(),
        limit: 10,
    };
    let rows = memory.platform().table.read(table::Query::Scan(scan)).await.unwrap();
    let expected = format!("\"requests\":{requests},");
    rows.iter().any(|row| row.value.as_ref().is_some_and(|v| v.matches(&expected).count() == 2))
}

#[tokio::test(flavor = "multi_thread")]
async fn another_daemon_judges_counts_of_a_lost_one() {
    let memory = memory::Memory::new(1);
    declare(&log::Log::new(&memory.platform())).await;
    let first = Node::start("vm-1", &memory).await;
    // Too few requests of the stable version for a verdict.
    first.count(40);
    while !written(&memory, 40).await {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    first.lifecycle.close();
    assert_eq!(first.rollout().await, rollout());

    let second = Node::start("vm-2", &memory).await;
    second.count(15);
    let halted = second.halted().await;
    assert!(halted.reason.unwrap().starts_with("errors: 0.345 of 55 "));
    assert_eq!(second.halts().await, 1);
    second.lifecycle.close();
}

#[tokio::test(flavor = "multi_thread")]
async fn lost_answers_neither_prevent_nor_repeat_a_halt() {
    let memory = memory::Memory::new(2);
    declare(&log::Log::new(&memory.platform())).await;
    let node = Node::start("vm-1", &memory).await;
    let faults = memory::Faults { lose_after: 0.3, lose_before: 0.2, ..Default::default() };
    memory.set_faults(faults);
    node.count(200);
    node.halted().await;
    memory.set_faults(memory::Faults::default());
    tokio::time::sleep(Duration::from_millis(100)).await;
    assert_eq!(node.halts().await, 1);
    node.lifecycle.close();
}

#[tokio::test(flavor = "multi_thread")]
async fn change_by_an_operator_is_not_overwritten() {
    let memory = memory::Memory::new(3);
    let log = log::Log::new(&memory.platform());
    declare(&log).await;
    // The daemon's configuration still has the roll-out running after the operator ended it.
    let node = Node::start("vm-1", &memory).await;
    let state = declared::RolloutState::Done;
    let done = declared::Rollout { state, ..rollout() };
    propose(&log, 2, vec![change::Step::PutRollout(name(), done.clone())]).await;
    node.count(200);
    tokio::time::sleep(Duration::from_millis(300)).await;
    assert_eq!(node.rollout().await, done);
    assert_eq!(node.halts().await, 0);
    node.lifecycle.close();
}
