//! Time from a restart to full service of one endpoint whose queue is never empty.

use ibishill_core::time;
use ibishill_decide::limiter;

use super::SHAPE;
use crate::{model, report};

const LENGTH_MS: u64 = 180_000;
const RAMP_MS: u64 = 60_000;
const WINDOW_MS: u64 = 1_000;
const FULL_SERVICE_SHARE: f64 = 0.9;
const PROMPT: model::Prompt = model::Prompt { tokens: 100, output: 60, prefix: 1 };

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Strategy {
    Router,
    Ramp,
    NoLimit,
    Perfect,
}

const STRATEGIES: &[(Strategy, &str)] = &[
    (Strategy::Router, "ours"),
    (Strategy::Ramp, "fixed ramp of 60 s"),
    (Strategy::NoLimit, "no limit"),
    (Strategy::Perfect, "perfect knowledge"),
];

enum Event {
    FirstToken(limiter::Ticket),
    End(limiter::Ticket),
    Report,
}

/// Returns the figure and the series of each strategy.
pub(super) fn figures() -> (Vec<report::Figure>, Vec<report::Series>) {
    let full_rate = mean_rate(&completions(Strategy::Perfect));
    let mut seconds = Vec::new();
    let mut series = Vec::new();
    for &(strategy, name) in STRATEGIES {
        let windows = completions(strategy);
        let reached =
            windows.windows(5).position(|part| mean_rate(part) >= FULL_SERVICE_SHARE * full_rate);
        // A run that never reaches full service is reported with its whole length.
        seconds.push(reached.map_or(LENGTH_MS as f64 / 1_000.0, |at| at as f64));
        let points = windows.iter().enumerate();
        let points = points.map(|(at, &count)| (at as f64, f64::from(count))).collect();
        series.push(report::Series { name: name.into(), points });
    }
    let figure = report::Figure::new("time to full service after a restart", "s", seconds[0])
        .bound(report::Bound::AtMost(seconds[1]))
        .optimum(seconds[3])
        .baseline(STRATEGIES[1].1, seconds[1])
        .baseline(STRATEGIES[2].1, seconds[2]);
    (vec![figure], series)
}

// Returns the mean number of completions per window over the last 30 windows.
fn mean_rate(windows: &[u32]) -> f64 {
    let last = &windows[windows.len().saturating_sub(30)..];
    f64::from(last.iter().sum::<u32>()) / last.len() as f64
}

// Returns the number of completed requests in each window.
fn completions(strategy: Strategy) -> Vec<u32> {
    let limits = limiter::Limits { cold: SHAPE.cold, warm: SHAPE.slots };
    let mut limiter = limiter::Limiter::new(limits);
    let mut endpoint = model::Endpoint::new(SHAPE, false);
    let mut agenda = model::Agenda::default();
    let mut windows = vec![0; (LENGTH_MS / WINDOW_MS) as usize];
    agenda.plan(0, Event::Report);
    while let Some((now, event)) = agenda.pop() {
        if now >= LENGTH_MS {
            break;
        }
        match event {
            Event::FirstToken(ticket) => limiter.record_first_token(ticket, time::Tick(now)),
            Event::End(ticket) => {
                endpoint.end();
                limiter.finish(ticket, limiter::Outcome::Good, time::Tick(now));
                windows[(now / WINDOW_MS) as usize] += 1;
            }
            Event::Report => {
                agenda.plan(now + super::REPORT_MS, Event::Report);
                limiter.record_report(&limiter::Report {
                    taken: time::Tick(now),
                    running: endpoint.held(),
                    cold: endpoint.is_cold(),
                    start: Some(1),
                });
            }
        }
        while has_capacity(strategy, &mut limiter, &endpoint, now) {
            let Some(ticket) = admit(strategy, &mut limiter, now) else { break };
            let times = endpoint.begin(&PROMPT, now as f64);
            let first = (times.first as u64).max(now + 1);
            agenda.plan(first, Event::FirstToken(ticket));
            agenda.plan((times.last as u64).max(first), Event::End(ticket));
        }
    }
    windows
}

fn has_capacity(
    strategy: Strategy,
    limiter: &mut limiter::Limiter,
    endpoint: &model::Endpoint,
    now: u64,
) -> bool {
    let extra = u64::from(SHAPE.slots - SHAPE.cold);
    match strategy {
        Strategy::Router => limiter.available(time::Tick(now)) > 0,
        Strategy::Ramp => {
            let limit = SHAPE.cold + (extra * now.min(RAMP_MS) / RAMP_MS) as u32;
            endpoint.held() < limit
        }
        Strategy::NoLimit => endpoint.held() < SHAPE.slots,
        Strategy::Perfect => endpoint.held() < endpoint.bears(),
    }
}

// The other strategies only need a ticket, so they admit through an unlimited limiter.
fn admit(strategy: Strategy, limiter: &mut limiter::Limiter, now: u64) -> Option<limiter::Ticket> {
    if strategy == Strategy::Router {
        return limiter.admit(Some(limiter::PromptBytes(400)), time::Tick(now));
    }
    let unlimited = limiter::Limits { cold: u32::MAX, warm: u32::MAX };
    limiter::Limiter::new(unlimited).admit(None, time::Tick(now))
}
