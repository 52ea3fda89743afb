//! The engine's model: batching, cache, cold starts, reports and orders.

use std::collections::BTreeSet;
use std::time::Duration;

use ibishill_core::{priority, view};
use ibishill_endpoint::wire;
use ibishill_standin::engine::{cache, simulation};

fn job(name: &str, prompt: u64, output: u64) -> simulation::Job {
    simulation::Job {
        request: name.parse().unwrap(),
        prompt,
        blocks: (0..prompt / cache::BLOCK_TOKENS).collect(),
        output,
        priority: priority::Priority::Normal,
    }
}

fn warm(settings: simulation::Settings) -> simulation::Simulation {
    let mut engine = simulation::Simulation::new(settings, BTreeSet::new(), 7);
    engine.warm(Duration::ZERO);
    engine
}

fn run(engine: &mut simulation::Simulation) -> Vec<simulation::Output> {
    let mut outputs = Vec::new();
    while let Some(next) = engine.next_step() {
        outputs.extend(engine.advance(next));
    }
    outputs
}

fn end(outputs: &[simulation::Output], name: &str) -> Duration {
    let done =
        |o: &&simulation::Output| o.part == simulation::Part::Done && o.request.as_str() == name;
    outputs.iter().find(done).unwrap().at
}

#[test]
fn steps_grow_with_the_batch() {
    let mut alone = warm(simulation::Settings::default());
    alone.submit(Duration::ZERO, job("a", 8, 32)).unwrap();
    let alone = end(&run(&mut alone), "a");
    let mut full = warm(simulation::Settings::default());
    for name in ["a", "b", "c", "d", "e", "f", "g", "h"] {
        full.submit(Duration::ZERO, job(name, 8, 32)).unwrap();
    }
    let outputs = run(&mut full);
    assert!(end(&outputs, "a") > alone);
    assert!(end(&outputs, "a") < alone * 8);
    let tokens = outputs.iter().filter(|o| matches!(o.part, simulation::Part::Token(_))).count();
    assert_eq!(tokens, 8 * 32);
}

#[test]
fn a_cached_prefix_saves_prompt_time() {
    let mut engine = warm(simulation::Settings::default());
    engine.submit(Duration::ZERO, job("a", 400, 1)).unwrap();
    let first = end(&run(&mut engine), "a");
    engine.submit(first, job("b", 400, 1)).unwrap();
    assert!(end(&run(&mut engine), "b") - first < first);
    let blocks = 400 / cache::BLOCK_TOKENS;
    let events = engine.cache_events(first + Duration::from_secs(1));
    assert!(events.len() as u64 <= blocks && !events.is_empty());
}

#[test]
fn events_are_late_and_have_gaps() {
    let settings = cache::Settings { blocks: 64, lag: Duration::from_secs(1), loss: 0.5 };
    let mut cache = cache::Cache::new(settings, 3);
    cache.store(Duration::ZERO, &(0..64).collect::<Vec<_>>());
    cache.store(Duration::ZERO, &(100..110).collect::<Vec<_>>());
    assert!(cache.events(Duration::from_millis(999)).is_empty());
    let events = cache.events(Duration::from_secs(1));
    assert!(events.windows(2).any(|pair| pair[1].number > pair[0].number + 1));
    assert!(events.iter().any(|event| event.change == wire::Change::Evicted));
    assert_eq!(cache.hit(&[0, 1]), 0);
    assert_eq!(cache.hit(&[100, 101, 999]), 2 * cache::BLOCK_TOKENS);
}

#[test]
fn a_cold_engine_collapses_under_full_load() {
    let mut engine =
        simulation::Simulation::new(simulation::Settings::default(), BTreeSet::new(), 7);
    for name in ["a", "b", "c"] {
        engine.submit(Duration::ZERO, job(name, 8, 4)).unwrap();
    }
    let lost = engine.advance(Duration::ZERO);
    assert!(lost.iter().all(|output| output.part == simulation::Part::Lost));
    assert_eq!(lost.len(), 3);
    assert_eq!(
        engine.submit(Duration::from_secs(1), job("d", 8, 4)),
        Err(simulation::Refused::Down)
    );
    engine.submit(Duration::from_secs(5), job("d", 8, 4)).unwrap();
    assert!(!run(&mut engine).is_empty());
}

#[test]
fn a_cold_engine_warms_by_answering() {
    let mut engine =
        simulation::Simulation::new(simulation::Settings::default(), BTreeSet::new(), 7);
    let mut now = Duration::ZERO;
    let mut times = Vec::new();
    for n in 0..9 {
        engine.submit(now, job(&format!("r{n}"), 8, 4)).unwrap();
        let ended = end(&run(&mut engine), &format!("r{n}"));
        times.push(ended - now);
        now = ended;
    }
    assert!(!engine.is_cold());
    assert!(times[8] < times[0]);
}

#[test]
fn priorities_go_first_and_reports_lag() {
    let settings = simulation::Settings { batch: 1, ..simulation::Settings::default() };
    let mut engine = warm(settings);
    engine.submit(Duration::ZERO, job("a", 8, 4)).unwrap();
    engine.submit(Duration::ZERO, job("b", 8, 4)).unwrap();
    let urgent = simulation::Job { priority: priority::Priority::High, ..job("c", 8, 4) };
    engine.submit(Duration::ZERO, urgent).unwrap();
    assert_eq!(engine.report(Duration::from_millis(10)).waiting, 2);
    let outputs = run(&mut engine);
    assert!(end(&outputs, "c") < end(&outputs, "b"));
    let last = end(&outputs, "b");
    assert_eq!(engine.report(last).running, 1, "the report is behind");
    assert_eq!(engine.report(last + Duration::from_secs(1)).running, 0);
}

#[test]
fn cancelled_jobs_end() {
    let mut engine = warm(simulation::Settings::default());
    engine.submit(Duration::ZERO, job("a", 8, 1_000)).unwrap();
    assert!(engine.cancel(Duration::ZERO, &"a".parse().unwrap()));
    assert!(!engine.cancel(Duration::ZERO, &"a".parse().unwrap()));
    assert!(run(&mut engine).is_empty());
}

#[test]
fn orders_follow_the_fencing_number() {
    struct Case {
        fencing: bool,
        refused: bool,
    }
    for case in [Case { fencing: true, refused: true }, Case { fencing: false, refused: false }] {
        let settings =
            simulation::Settings { fencing: case.fencing, ..simulation::Settings::default() };
        let mut engine = warm(settings);
        let version = "assistant@v2".parse().unwrap();
        let load = wire::Order { fence: view::ViewNumber(5), action: wire::Action::Load(version) };
        engine.order(Duration::ZERO, &load).unwrap();
        assert!(engine.is_cold());
        assert!(engine.orders().loaded(Duration::ZERO).is_empty());
        assert_eq!(engine.orders().loaded(Duration::from_secs(2)).len(), 1);
        let old = wire::Order {
            fence: view::ViewNumber(4),
            action: wire::Action::Role(wire::Role::Decode),
        };
        assert_eq!(engine.order(Duration::ZERO, &old).is_err(), case.refused);
    }
}
