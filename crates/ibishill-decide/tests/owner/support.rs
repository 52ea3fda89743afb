//! Configurations, jobs and reports for tests of the owner.

use ibishill_config::{change, declared, in_force, yaml};
use ibishill_core::{id, priority, time, view};
use ibishill_decide::{admit, limiter, plan};

pub(crate) const PERIODS: admit::Periods =
    admit::Periods { lease: time::Millis(10_000), run_max: time::Millis(120_000) };

pub(crate) struct Fixture {
    pub(crate) config: in_force::InForce,
    pub(crate) view: view::View,
    pub(crate) place: plan::Location,
    pub(crate) until: time::Tick,
}

pub(crate) fn name<T>(text: &str) -> T
where
    T: std::str::FromStr,
    T::Err: std::fmt::Debug,
{
    text.parse().unwrap()
}

pub(crate) fn member(vm: &str) -> view::Member {
    view::Member { vm: name(vm), peers: "127.0.0.1:7000".parse().unwrap() }
}

pub(crate) fn view(vms: &[&str]) -> view::View {
    let members = vms.iter().map(|vm| member(vm)).collect();
    view::View { number: view::ViewNumber(1), members }
}

impl Fixture {
    pub(crate) fn new(endpoints: usize, cold: u32, warm: u32) -> Self {
        let mut text = String::from(
            "zones: {z: {region: r}}\nversions:\n  m@v1: {prompt-price: 1, output-price: 1, quality: 0.9}\n\
             workspaces:\n  w: {keys: [], models: [m]}\n  small: {keys: [], models: [m]}\nendpoints:\n",
        );
        for n in 0..endpoints {
            text += &format!(
                "  e{n}: {{zone: z, address: '127.0.0.1:8000', versions: [m@v1], slots: {warm}, cold-slots: {cold}}}\n"
            );
        }
        let declared: declared::Declared = yaml::read("test", &text).unwrap();
        let config = in_force::InForce { version: change::ConfigVersion(1), declared };
        let place = plan::Location { vm: name("vm-a"), zone: name("z") };
        Self { config, view: view(&["vm-a"]), place, until: time::Tick(u64::MAX) }
    }

    pub(crate) fn facts(&self, now: u64) -> admit::Facts<'_> {
        admit::Facts {
            config: &self.config,
            view: &self.view,
            location: &self.place,
            lease: admit::Lease { until: self.until },
            now: time::Tick(now),
        }
    }
}

pub(crate) fn job(n: u64, workspace: &str, deadline: u64) -> admit::Job {
    admit::Job {
        request: name(&format!("req-{n}")),
        workspace: name(workspace),
        target: id::Target::Version(name("m@v1")),
        prefix: None,
        priority: priority::Priority::Normal,
        prompt: Some(ibishill_decide::limiter::PromptBytes(1_000)),
        deadline: time::Tick(deadline),
        tried: Default::default(),
        waits: true,
    }
}

pub(crate) fn report(taken: u64, running: u32) -> limiter::Report {
    limiter::Report { taken: time::Tick(taken), running, cold: false, start: Some(1) }
}

// Reports every endpoint of `owner` as idle, which ends a takeover.
pub(crate) fn report_idle(owner: &mut admit::Owner, fixture: &Fixture, now: u64) {
    owner.refresh(&fixture.facts(now));
    let names: Vec<_> = owner.limiters().keys().cloned().collect();
    for endpoint in names {
        owner.record_report(&endpoint, report(now + limiter::SETTLE.0, 0));
    }
}
