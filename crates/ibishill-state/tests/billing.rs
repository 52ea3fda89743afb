//! Random histories of billing records while VMs restart, answers are lost and the platform
//! is out of reach.

use std::collections::{BTreeMap, VecDeque};

use ibishill_core::{cost, id, time, view};
use ibishill_platform::Platform;
use ibishill_standin::memory;
use ibishill_state::{billing, holder};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const VM_COUNT: usize = 3;
const STEPS: usize = 120;
const HOLD_TIME: time::Millis = time::Millis(40);

/// Part of the protocol that a run omits, to prove that the checker detects it.
#[derive(Clone, Copy, PartialEq)]
enum Omitted {
    Nothing,
    SecondHolder,
    UniqueNames,
}

struct Vm {
    incarnation: u64,
    inbox: VecDeque<billing::Record>,
    outbox: billing::Outbox,
    holder: holder::Holder,
    sent: BTreeMap<id::RequestId, (usize, u64)>,
}

impl Vm {
    fn new(incarnation: u64, omitted: Omitted) -> Self {
        let first = if omitted == Omitted::UniqueNames { 0 } else { incarnation << 32 };
        Self {
            incarnation,
            inbox: VecDeque::new(),
            outbox: billing::Outbox::new(first),
            holder: holder::Holder::default(),
            sent: BTreeMap::new(),
        }
    }
}

/// An ended request with the VM and incarnation of both holders of its record.
struct Ended {
    target: String,
    holders: [(usize, u64); 2],
}

struct Run {
    rng: ChaCha8Rng,
    omitted: Omitted,
    memory: memory::Memory,
    billing: billing::Billing,
    view: view::View,
    vms: Vec<Vm>,
    ended: Vec<Ended>,
    now: time::Tick,
    incarnations: u64,
}

impl Run {
    fn new(seed: u64, omitted: Omitted) -> Self {
        let memory = memory::Memory::new(seed);
        let platform: Platform = memory.platform();
        let member = |n| view::Member {
            vm: format!("vm-{n}").parse().unwrap(),
            peers: ([127, 0, 0, 1], 1).into(),
        };
        Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            omitted,
            memory,
            billing: billing::Billing::new(platform.objects),
            view: view::View { members: (0..VM_COUNT).map(member).collect(), ..Default::default() },
            vms: (1..=VM_COUNT as u64).map(|incarnation| Vm::new(incarnation, omitted)).collect(),
            ended: Vec::new(),
            now: time::Tick(0),
            incarnations: VM_COUNT as u64,
        }
    }

    fn end(&mut self, entry: usize) {
        let name = format!("req-{}", self.ended.len());
        let record = billing::Record {
            request: name.parse().unwrap(),
            workspace: "demo".parse().unwrap(),
            target: name.clone(),
            usage: cost::Usage::default(),
            price: cost::Micros(1),
            at: self.now,
            earlier: Vec::new(),
        };
        let order = holder::candidates(&self.view, &self.view.members[entry].vm, &record.request);
        let ranks: Vec<usize> = order
            .iter()
            .map(|peer| self.view.members.iter().position(|member| member == *peer).unwrap())
            .collect();
        let second = (ranks[0], self.vms[ranks[0]].incarnation);
        let holders = [(entry, self.vms[entry].incarnation), second];
        self.ended.push(Ended { target: name, holders });
        self.vms[entry].inbox.push_back(record.clone());
        if self.omitted == Omitted::SecondHolder {
            return;
        }
        for peer in ranks {
            assert!(self.vms[peer].holder.hold(record.clone(), self.now + HOLD_TIME));
            // After a lost answer the entry daemon sends the record to the next peer too.
            if self.rng.random_bool(0.8) {
                let sent = (peer, self.vms[peer].incarnation);
                self.vms[entry].sent.insert(record.request, sent);
                return;
            }
        }
    }

    async fn write(&mut self, at: usize) {
        let vm = &mut self.vms[at];
        let mut expired = VecDeque::new();
        if vm.outbox.batch().is_empty() {
            expired.extend(vm.holder.take_expired(self.now, billing::BATCH_MAX));
        }
        vm.outbox.fill(|| expired.pop_front().or_else(|| vm.inbox.pop_front()));
        if vm.outbox.batch().is_empty() {
            return;
        }
        let name = &self.view.members[at].vm;
        let put = self.billing.write(name, vm.outbox.serial(), vm.outbox.batch()).await;
        if put.is_err() {
            return;
        }
        for request in vm.outbox.complete() {
            let Some((peer, incarnation)) = self.vms[at].sent.remove(&request) else { continue };
            if self.vms[peer].incarnation == incarnation && self.rng.random_bool(0.7) {
                self.vms[peer].holder.confirm(&request);
            }
        }
    }

    async fn step(&mut self) {
        self.now = self.now + time::Millis(1);
        let at = self.rng.random_range(0..VM_COUNT);
        match self.rng.random_range(0..100) {
            0..50 => self.end(at),
            50..90 => self.write(at).await,
            90..95 => {
                self.incarnations += 1;
                self.vms[at] = Vm::new(self.incarnations, self.omitted);
            }
            _ => {
                let outage = self.rng.random_bool(0.5);
                let faults = memory::Faults {
                    outage,
                    lose_after: 0.2,
                    lose_before: 0.2,
                    late: 0.1,
                    late_ms: 50,
                    ..Default::default()
                };
                self.memory.set_faults(faults);
            }
        }
    }

    /// Runs a history. Returns the number of requests counted wrongly, and of those whose
    /// record was lost because both holders restarted.
    async fn check(mut self) -> (usize, usize) {
        for _ in 0..STEPS {
            self.step().await;
        }
        self.memory.set_faults(memory::Faults::default());
        self.now = self.now + HOLD_TIME;
        for at in 0..VM_COUNT {
            // First the pending batch, then expired and new records.
            self.write(at).await;
            self.write(at).await;
        }
        let totals = self.billing.totals().await.unwrap();
        let (mut wrong, mut lost) = (0, 0);
        for ended in &self.ended {
            let line =
                billing::Line { workspace: "demo".parse().unwrap(), target: ended.target.clone() };
            let survives = ended
                .holders
                .iter()
                .any(|(vm, incarnation)| self.vms[*vm].incarnation == *incarnation);
            match totals.get(&line) {
                Some(total) if total.requests == 1 && total.price == cost::Micros(1) => {}
                None if !survives => lost += 1,
                _ => wrong += 1,
            }
        }
        (wrong, lost)
    }
}

async fn runs(omitted: Omitted) -> (usize, usize) {
    let (mut wrong, mut lost) = (0, 0);
    for seed in 0..200 {
        let found = Run::new(seed, omitted).check().await;
        wrong += found.0;
        lost += found.1;
    }
    println!("wrong {wrong}, lost with both holders {lost}");
    (wrong, lost)
}

#[tokio::test(start_paused = true)]
async fn requests_count_once_while_one_holder_survives() {
    let (wrong, lost) = runs(Omitted::Nothing).await;
    assert_eq!(wrong, 0);
    assert!(lost > 0, "no history lost both holders");
}

#[tokio::test(start_paused = true)]
async fn checker_detects_a_missing_second_holder() {
    assert!(runs(Omitted::SecondHolder).await.0 > 0);
}

#[tokio::test(start_paused = true)]
async fn checker_detects_batch_names_reused_after_a_restart() {
    assert!(runs(Omitted::UniqueNames).await.0 > 0);
}

#[test]
fn full_holder_refuses_new_records_and_keeps_old_ones() {
    let mut held = holder::Holder::default();
    let record = |n: usize| billing::Record {
        request: format!("req-{n}").parse().unwrap(),
        workspace: "demo".parse().unwrap(),
        target: "plain".into(),
        usage: cost::Usage::default(),
        price: cost::Micros::default(),
        at: time::Tick(0),
        earlier: Vec::new(),
    };
    assert!((0..holder::CAPACITY).all(|n| held.hold(record(n), time::Tick(1))));
    assert!(!held.hold(record(holder::CAPACITY), time::Tick(1)));
    assert!(held.hold(record(0), time::Tick(1)), "a repeated record was refused");
    assert_eq!(held.take_expired(time::Tick(1), 10).len(), 10);
    assert_eq!(held.len(), holder::CAPACITY - 10);
}
