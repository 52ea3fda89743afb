//! Simulation of the engine: batching, cache, cold starts, load reports and orders.

use std::collections::BTreeSet;
use std::time::Duration;

use ibishill_core::{priority, view};
use ibishill_endpoint::wire;
use ibishill_standin::engine::{cache, simulation};

fn job(name: &str, prompt_tokens: u64, output_tokens: u64) -> simulation::Job {
    simulation::Job {
        request: name.parse().unwrap(),
        prompt_tokens,
        blocks: (0..prompt_tokens / cache::BLOCK_TOKENS).collect(),
        output_tokens,
        priority: priority::Priority::Normal,
    }
}

fn warm_engine(settings: simulation::Settings) -> simulation::Simulation {
    let mut engine = simulation::Simulation::new(settings, BTreeSet::new(), 7);
    engine.end_cold_start(Duration::ZERO);
    engine
}

fn run(engine: &mut simulation::Simulation) -> Vec<simulation::Output> {
    let mut outputs = Vec::new();
    while let Some(next) = engine.next_step() {
        outputs.extend(engine.advance(next));
    }
    outputs
}

fn finished_at(outputs: &[simulation::Output], name: &str) -> Duration {
    let is_done = |output: &&simulation::Output| {
        output.event == simulation::Event::Done && output.request.as_str() == name
    };
    outputs.iter().find(is_done).unwrap().at
}

#[test]
fn step_time_grows_with_batch_size() {
    let mut alone = warm_engine(simulation::Settings::default());
    alone.submit(Duration::ZERO, job("a", 8, 32)).unwrap();
    let alone_end = finished_at(&run(&mut alone), "a");
    let mut full = warm_engine(simulation::Settings::default());
    for name in ["a", "b", "c", "d", "e", "f", "g", "h"] {
        full.submit(Duration::ZERO, job(name, 8, 32)).unwrap();
    }
    let outputs = run(&mut full);
    assert!(finished_at(&outputs, "a") > alone_end);
    assert!(finished_at(&outputs, "a") < alone_end * 8);
    let tokens =
        outputs.iter().filter(|output| matches!(output.event, simulation::Event::Token(_))).count();
    assert_eq!(tokens, 8 * 32);
}

#[test]
fn cached_prefix_shortens_prefill() {
    let mut engine = warm_engine(simulation::Settings::default());
    engine.submit(Duration::ZERO, job("a", 400, 1)).unwrap();
    let first_end = finished_at(&run(&mut engine), "a");
    engine.submit(first_end, job("b", 400, 1)).unwrap();
    assert!(finished_at(&run(&mut engine), "b") - first_end < first_end);
    let blocks = 400 / cache::BLOCK_TOKENS;
    let events = engine.take_cache_events(first_end + Duration::from_secs(1));
    assert!(events.len() as u64 <= blocks && !events.is_empty());
}

#[test]
fn cache_events_are_delayed_and_have_gaps() {
    let settings =
        cache::Settings { max_blocks: 64, event_lag: Duration::from_secs(1), event_loss: 0.5 };
    let mut cache = cache::Cache::new(settings, 3);
    cache.insert(Duration::ZERO, &(0..64).collect::<Vec<_>>());
    cache.insert(Duration::ZERO, &(100..110).collect::<Vec<_>>());
    assert!(cache.take_events(Duration::from_millis(999)).is_empty());
    let events = cache.take_events(Duration::from_secs(1));
    assert!(events.windows(2).any(|pair| pair[1].number > pair[0].number + 1));
    assert!(events.iter().any(|event| event.change == wire::Change::Evicted));
    assert_eq!(cache.cached_tokens(&[0, 1]), 0);
    assert_eq!(cache.cached_tokens(&[100, 101, 999]), 2 * cache::BLOCK_TOKENS);
}

#[test]
fn overloaded_cold_engine_crashes() {
    let mut engine =
        simulation::Simulation::new(simulation::Settings::default(), BTreeSet::new(), 7);
    for name in ["a", "b", "c"] {
        engine.submit(Duration::ZERO, job(name, 8, 4)).unwrap();
    }
    let lost = engine.advance(Duration::ZERO);
    assert!(lost.iter().all(|output| output.event == simulation::Event::Lost));
    assert_eq!(lost.len(), 3);
    assert_eq!(
        engine.submit(Duration::from_secs(1), job("d", 8, 4)),
        Err(simulation::SubmitError::Down)
    );
    engine.submit(Duration::from_secs(5), job("d", 8, 4)).unwrap();
    assert!(!run(&mut engine).is_empty());
}

#[test]
fn cold_engine_warms_up_after_enough_answers() {
    let mut engine =
        simulation::Simulation::new(simulation::Settings::default(), BTreeSet::new(), 7);
    let mut now = Duration::ZERO;
    let mut durations = Vec::new();
    for n in 0..9 {
        engine.submit(now, job(&format!("r{n}"), 8, 4)).unwrap();
        let end = finished_at(&run(&mut engine), &format!("r{n}"));
        durations.push(end - now);
        now = end;
    }
    assert!(!engine.is_cold());
    assert!(durations[8] < durations[0]);
}

#[test]
fn high_priority_runs_first_and_load_reports_lag() {
    let settings = simulation::Settings { max_batch: 1, ..simulation::Settings::default() };
    let mut engine = warm_engine(settings);
    engine.submit(Duration::ZERO, job("a", 8, 4)).unwrap();
    engine.submit(Duration::ZERO, job("b", 8, 4)).unwrap();
    let urgent = simulation::Job { priority: priority::Priority::High, ..job("c", 8, 4) };
    engine.submit(Duration::ZERO, urgent).unwrap();
    assert_eq!(engine.load_report(Duration::from_millis(10)).waiting, 2);
    let outputs = run(&mut engine);
    assert!(finished_at(&outputs, "c") < finished_at(&outputs, "b"));
    let last_end = finished_at(&outputs, "b");
    assert_eq!(engine.load_report(last_end).running, 1, "the load report lags");
    assert_eq!(engine.load_report(last_end + Duration::from_secs(1)).running, 0);
}

#[test]
fn cancelled_job_produces_no_output() {
    let mut engine = warm_engine(simulation::Settings::default());
    engine.submit(Duration::ZERO, job("a", 8, 1_000)).unwrap();
    assert!(engine.cancel(Duration::ZERO, &"a".parse().unwrap()));
    assert!(!engine.cancel(Duration::ZERO, &"a".parse().unwrap()));
    assert!(run(&mut engine).is_empty());
}

#[test]
fn stale_order_is_refused_only_with_fencing() {
    struct Case {
        fencing: bool,
        refused: bool,
    }
    for case in [Case { fencing: true, refused: true }, Case { fencing: false, refused: false }] {
        let settings =
            simulation::Settings { fencing: case.fencing, ..simulation::Settings::default() };
        let mut engine = warm_engine(settings);
        let version = "assistant@v2".parse().unwrap();
        let load = wire::Order { fence: view::ViewNumber(5), action: wire::Action::Load(version) };
        engine.apply_order(Duration::ZERO, &load).unwrap();
        assert!(engine.is_cold());
        assert!(engine.order_state().loaded(Duration::ZERO).is_empty());
        assert_eq!(engine.order_state().loaded(Duration::from_secs(2)).len(), 1);
        let stale = wire::Order {
            fence: view::ViewNumber(4),
            action: wire::Action::Role(wire::Role::Decode),
        };
        assert_eq!(engine.apply_order(Duration::ZERO, &stale).is_err(), case.refused);
    }
}
