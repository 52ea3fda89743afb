//! Time from a restart to full service of one endpoint under a standing queue.

use ibishill_core::time;
use ibishill_decide::limiter;

use super::SHAPE;
use crate::{model, report};

const LENGTH_MS: u64 = 180_000;
const RAMP_MS: u64 = 60_000;
const WINDOW_MS: u64 = 1_000;
const FULL_SHARE: f64 = 0.9;
const PROMPT: model::Prompt = model::Prompt { tokens: 100, output: 60, prefix: 1 };

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Way {
    Ours,
    Ramp,
    NoLimit,
    Perfect,
}

const WAYS: &[(Way, &str)] = &[
    (Way::Ours, "ours"),
    (Way::Ramp, "fixed ramp of 60 s"),
    (Way::NoLimit, "no limit"),
    (Way::Perfect, "perfect knowledge"),
];

enum Event {
    First(limiter::Ticket),
    End(limiter::Ticket),
    Report,
}

/// The figures and the lines of the plot.
pub(super) fn figures() -> (Vec<report::Figure>, Vec<report::Series>) {
    let full = rate(&served(Way::Perfect));
    let mut seconds = Vec::new();
    let mut series = Vec::new();
    for &(way, name) in WAYS {
        let windows = served(way);
        let reached = windows.windows(5).position(|part| rate(part) >= FULL_SHARE * full);
        // Without full service within the run, the run's length is reported.
        seconds.push(reached.map_or(LENGTH_MS as f64 / 1_000.0, |at| at as f64));
        let points = windows.iter().enumerate();
        let points = points.map(|(at, &count)| (at as f64, f64::from(count))).collect();
        series.push(report::Series { name: name.into(), points });
    }
    let figure = report::Figure::new("time to full service after a restart", "s", seconds[0])
        .bound(report::Bound::AtMost(seconds[1]))
        .optimum(seconds[3])
        .baseline(WAYS[1].1, seconds[1])
        .baseline(WAYS[2].1, seconds[2]);
    (vec![figure], series)
}

fn rate(windows: &[u32]) -> f64 {
    let last = &windows[windows.len().saturating_sub(30)..];
    f64::from(last.iter().sum::<u32>()) / last.len() as f64
}

// Answers of each window.
fn served(way: Way) -> Vec<u32> {
    let limits = limiter::Limits { cold: SHAPE.cold, warm: SHAPE.slots };
    let mut gate = limiter::Limiter::new(limits);
    let mut endpoint = model::Endpoint::new(SHAPE, false);
    let mut agenda = model::Agenda::default();
    let mut windows = vec![0; (LENGTH_MS / WINDOW_MS) as usize];
    agenda.plan(0, Event::Report);
    while let Some((now, event)) = agenda.pop() {
        if now >= LENGTH_MS {
            break;
        }
        match event {
            Event::First(mark) => gate.record_first_token(mark, time::Tick(now)),
            Event::End(mark) => {
                endpoint.end();
                gate.finish(mark, limiter::Outcome::Good, time::Tick(now));
                windows[(now / WINDOW_MS) as usize] += 1;
            }
            Event::Report => {
                agenda.plan(now + super::REPORT_MS, Event::Report);
                gate.record_report(&limiter::Report {
                    taken: time::Tick(now),
                    running: endpoint.held(),
                    cold: endpoint.is_cold(),
                    start: Some(1),
                });
            }
        }
        while has_room(way, &mut gate, &endpoint, now) {
            let Some(mark) = admit(way, &mut gate, now) else { break };
            let times = endpoint.begin(&PROMPT, now as f64);
            let first = (times.first as u64).max(now + 1);
            agenda.plan(first, Event::First(mark));
            agenda.plan((times.last as u64).max(first), Event::End(mark));
        }
    }
    windows
}

fn has_room(way: Way, gate: &mut limiter::Limiter, endpoint: &model::Endpoint, now: u64) -> bool {
    let extra = u64::from(SHAPE.slots - SHAPE.cold);
    match way {
        Way::Ours => gate.available(time::Tick(now)) > 0,
        Way::Ramp => {
            let limit = SHAPE.cold + (extra * now.min(RAMP_MS) / RAMP_MS) as u32;
            endpoint.held() < limit
        }
        Way::NoLimit => endpoint.held() < SHAPE.slots,
        Way::Perfect => endpoint.held() < endpoint.bears(),
    }
}

// The other ways only need a mark, so they admit through a gate that is always open.
fn admit(way: Way, gate: &mut limiter::Limiter, now: u64) -> Option<limiter::Ticket> {
    if way == Way::Ours {
        return gate.admit(Some(limiter::PromptBytes(400)), time::Tick(now));
    }
    let open = limiter::Limits { cold: u32::MAX, warm: u32::MAX };
    limiter::Limiter::new(open).admit(None, time::Tick(now))
}
