//! A small queueing model of endpoints for experiments: a serial prefill, a batch that
//! slows with its size, a prefix cache, and a cold start. Times are in milliseconds.

use std::cmp::Ordering;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};

use ibishill_config::{change, declared, in_force, yaml};
use ibishill_core::prefix::PrefixKey;
use ibishill_core::{id, priority, time, view};
use ibishill_decide::{admit, limiter, plan};
use rand::RngExt;
use rand_chacha::ChaCha8Rng;

/// Events in order of time.
#[derive(Debug)]
pub struct Agenda<T> {
    heap: BinaryHeap<Planned<T>>,
    count: u64,
}

#[derive(Debug)]
struct Planned<T> {
    at: u64,
    number: u64,
    event: T,
}

impl<T> PartialEq for Planned<T> {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl<T> Eq for Planned<T> {}

impl<T> PartialOrd for Planned<T> {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl<T> Ord for Planned<T> {
    fn cmp(&self, other: &Self) -> Ordering {
        (other.at, other.number).cmp(&(self.at, self.number))
    }
}

impl<T> Default for Agenda<T> {
    fn default() -> Self {
        Self { heap: BinaryHeap::new(), count: 0 }
    }
}

impl<T> Agenda<T> {
    /// Plans an event.
    pub fn plan(&mut self, at: u64, event: T) {
        self.count += 1;
        self.heap.push(Planned { at, number: self.count, event });
    }

    /// The next event with its time.
    pub fn pop(&mut self) -> Option<(u64, T)> {
        self.heap.pop().map(|planned| (planned.at, planned.event))
    }
}

/// Draws an exponential time with this mean.
pub fn exponential(rng: &mut ChaCha8Rng, mean_ms: f64) -> f64 {
    let uniform: f64 = rng.random();
    -mean_ms * (1.0 - uniform).ln()
}

/// How an endpoint works.
#[derive(Debug, Clone, Copy)]
pub struct Shape {
    /// Requests that it can run at once when warm.
    pub slots: u32,
    /// Requests that it bears in a cold start.
    pub cold: u32,
    /// Prefill of one prompt token.
    pub prefill_ms: f64,
    /// Time between tokens of a request alone.
    pub token_ms: f64,
    /// Added time between tokens for each other request.
    pub batch_ms: f64,
    /// Prefixes that its cache holds.
    pub prefixes: usize,
    /// Answers in which it stays cold, and then those in which it becomes warm.
    pub warming: (u32, u32),
}

/// A request as an endpoint sees it.
#[derive(Debug, Clone, Copy)]
pub struct Prompt {
    /// Tokens of the prompt.
    pub tokens: u32,
    /// Tokens of the answer.
    pub output: u32,
    /// Start of the prompt.
    pub prefix: u64,
}

/// When a request's first and last token come.
#[derive(Debug, Clone, Copy)]
pub struct Times {
    /// The first token.
    pub first: f64,
    /// The last token.
    pub last: f64,
    /// Time between tokens.
    pub between: f64,
}

/// One endpoint.
#[derive(Debug, Clone)]
pub struct Endpoint {
    shape: Shape,
    free_at: f64,
    held: u32,
    answered: u32,
    cache: VecDeque<u64>,
    /// Number of its process.
    pub start: u64,
}

/// Bytes of a prompt token.
const TOKEN_BYTES: u32 = 4;

/// Share of a prefill that a cached prefix saves.
const SAVED: f64 = 0.8;

/// Load against what an endpoint bears, from which on it no longer warms.
const COLLAPSE_FACTOR: u32 = 2;

/// Slowdown of an endpoint in a cold start.
const COLD_SLOWDOWN: f64 = 4.0;

impl Endpoint {
    /// Makes an endpoint, warm or cold.
    pub fn new(shape: Shape, warm: bool) -> Self {
        let (cold, warming) = shape.warming;
        let answered = if warm { cold + warming } else { 0 };
        Self { shape, free_at: 0.0, held: 0, answered, cache: VecDeque::new(), start: 1 }
    }

    /// Requests that it holds.
    pub fn held(&self) -> u32 {
        self.held
    }

    /// Whether it bears only its cold limit.
    pub fn is_cold(&self) -> bool {
        self.answered < self.shape.warming.0
    }

    /// Requests that it bears now.
    pub fn bears(&self) -> u32 {
        let (cold, warming) = self.shape.warming;
        let past = f64::from(self.answered.saturating_sub(cold));
        let share = (past / f64::from(warming.max(1))).min(1.0);
        let extra = f64::from(self.shape.slots - self.shape.cold);
        self.shape.cold + (extra * share) as u32
    }

    /// Turns cold; a restart also ends what it holds.
    pub fn turn_cold(&mut self, restart: bool) {
        self.answered = 0;
        self.cache.clear();
        if restart {
            self.start += 1;
            self.held = 0;
            self.free_at = 0.0;
        }
    }

    /// Begins a request at `now`.
    pub fn begin(&mut self, prompt: &Prompt, now: f64) -> Times {
        self.held += 1;
        let hit = self.touch(prompt.prefix);
        let share = if hit { 1.0 - SAVED } else { 1.0 };
        // Load beyond what the endpoint bears slows all of it: the collapse.
        let over = f64::from(self.held) / f64::from(self.bears().max(1));
        let warmth = f64::from(self.bears()) / f64::from(self.shape.slots.max(1));
        let cold = 1.0 + (COLD_SLOWDOWN - 1.0) * (1.0 - warmth);
        let slow = cold * over.max(1.0).powi(2);
        let prefill = f64::from(prompt.tokens) * self.shape.prefill_ms * share * slow;
        let first = self.free_at.max(now) + prefill;
        self.free_at = first;
        let between = (self.shape.token_ms + self.shape.batch_ms * f64::from(self.held)) * slow;
        Times { first, last: first + between * f64::from(prompt.output), between }
    }

    /// Ends a request.
    pub fn end(&mut self) {
        let bearable = self.held <= COLLAPSE_FACTOR * self.bears();
        self.held = self.held.saturating_sub(1);
        // An endpoint that has collapsed does not warm.
        if bearable {
            self.answered = self.answered.saturating_add(1);
        }
    }

    fn touch(&mut self, prefix: u64) -> bool {
        let at = self.cache.iter().position(|&known| known == prefix);
        if let Some(at) = at {
            self.cache.remove(at);
        }
        self.cache.push_front(prefix);
        self.cache.truncate(self.shape.prefixes);
        at.is_some()
    }
}

/// A zone with endpoints `e000`, `e001`, … and workspaces with these shares.
pub fn zone(endpoints: usize, shape: &Shape, spaces: &[(&str, u32)]) -> in_force::InForce {
    let mut text = String::from(
        "zones: {z: {region: r}}\nversions:\n  \
         m@v1: {prompt-price: 1, output-price: 1, quality: 0.9}\nworkspaces:\n",
    );
    for (name, share) in spaces {
        text += &format!("  {name}: {{keys: [], models: [m], share: {share}}}\n");
    }
    text += "endpoints:\n";
    for n in 0..endpoints {
        text += &format!(
            "  e{n:03}: {{zone: z, address: '127.0.0.1:8000', versions: [m@v1], \
             slots: {}, cold-slots: {}}}\n",
            shape.slots, shape.cold
        );
    }
    let declared: declared::Declared =
        yaml::read("zone", &text).expect("the zone's declarations are valid");
    in_force::InForce { version: change::ConfigVersion(1), declared }
}

/// The place of a daemon in the zone.
pub fn place(vm: &str) -> plan::Location {
    plan::Location { vm: name(vm), zone: name("z") }
}

/// A view of the zone.
pub fn view(number: u64, vms: &[&str]) -> view::View {
    let peers = std::net::SocketAddr::from(([127, 0, 0, 1], 7_000));
    let members = vms.iter().map(|vm| view::Member { vm: name(vm), peers }).collect();
    view::View { number: view::ViewNumber(number), members }
}

/// A job for the owner.
pub fn job(number: u64, space: &str, prompt: &Prompt, deadline: u64) -> admit::Job {
    admit::Job {
        request: name(&format!("req-{number}")),
        workspace: name(space),
        target: target(),
        prefix: Some(PrefixKey(prompt.prefix)),
        priority: priority::Priority::Normal,
        prompt: Some(limiter::PromptBytes(prompt.tokens * TOKEN_BYTES)),
        deadline: time::Tick(deadline),
        tried: Default::default(),
        waits: true,
    }
}

/// What every job runs.
pub fn target() -> id::Target {
    id::Target::Version(name("m@v1"))
}

/// Parses a name that is known to be valid.
pub fn name<T>(text: &str) -> T
where
    T: std::str::FromStr,
    T::Err: std::fmt::Debug,
{
    text.parse().expect("the name is valid")
}

/// Endpoints of the model by their declared names.
pub fn endpoints(count: usize, shape: Shape) -> BTreeMap<id::EndpointId, Endpoint> {
    let named = |n: usize| (name(&format!("e{n:03}")), Endpoint::new(shape, true));
    (0..count).map(named).collect()
}

/// The value that this share of `values` does not exceed; zero without values.
pub fn percentile(values: &mut [f64], share: f64) -> f64 {
    if values.is_empty() {
        return 0.0;
    }
    values.sort_by(f64::total_cmp);
    let at = ((values.len() - 1) as f64 * share).round() as usize;
    values[at]
}
