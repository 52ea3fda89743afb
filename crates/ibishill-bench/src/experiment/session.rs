//! Version changes that sessions see during a complete roll-out, with a zone outage, the
//! replacement of every VM, a rotation of the session keys, and a withdrawal at the end.

use std::collections::BTreeMap;

use ibishill_config::{change, declared, in_force};
use ibishill_core::{id, secret, time, view};
use ibishill_decide::{plan, session};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::report::{Bound, Figure, Report, Series};

const SESSIONS: usize = 1_000;
const ROUNDS: usize = 40;
const STAGES: [u8; 5] = [1, 5, 25, 50, 100];
const ZONES: [&str; 4] = ["recife", "fortaleza", "salvador", "natal"];
const OUTAGE_ROUNDS: std::ops::Range<usize> = 15..25;
const REPLACEMENT_ROUND: usize = 20;
const NEW_KEY_ROUND: usize = 8;
const SIGNING_ROUND: usize = 12;
const OLD_KEY_END_ROUND: usize = 30;
const WITHDRAWAL_ROUND: usize = 36;

#[derive(Clone, Copy, PartialEq)]
enum Strategy {
    Token,
    Hash,
    PerRequest,
}

struct Deployment {
    config: in_force::InForce,
    views: view::Views,
    round: usize,
}

fn name<T>(text: &str) -> T
where
    T: std::str::FromStr,
    T::Err: std::fmt::Debug,
{
    text.parse().expect("a valid name")
}

fn version(quality: f64, state: declared::VersionState) -> declared::Version {
    declared::Version {
        prompt_price: Default::default(),
        output_price: Default::default(),
        quality,
        base: None,
        state,
    }
}

fn declarations() -> declared::Declared {
    let mut declared = declared::Declared::default();
    let workspace = declared::Workspace {
        keys: Vec::new(),
        models: [declared::ModelSelector::Model(name("assistant"))].into(),
        services: Default::default(),
        quality_target: 0.9,
        share: 1,
    };
    declared.workspaces.insert(name("demo"), workspace);
    let old = version(0.95, declared::VersionState::Serving);
    let new = version(0.95, declared::VersionState::Candidate);
    declared.versions.insert(name("assistant@v1"), old);
    declared.versions.insert(name("assistant@v2"), new);
    for zone in ZONES {
        let declared_zone =
            declared::Zone { region: name("nordeste"), state: declared::AdminState::In };
        declared.zones.insert(name(zone), declared_zone);
        let endpoint = declared::Endpoint {
            zone: name(zone),
            address: std::net::SocketAddr::from(([127, 0, 0, 1], 9)),
            versions: [name("assistant@v1"), name("assistant@v2")].into(),
            services: Default::default(),
            slots: 8,
            cold_slots: 1,
            fencing: false,
            memory: None,
            adapters: 0,
            state: declared::AdminState::In,
        };
        declared.endpoints.insert(name(&format!("engine-{zone}")), endpoint);
    }
    let rollout = declared::Rollout {
        from: name("assistant@v1"),
        to: name("assistant@v2"),
        stages: STAGES.to_vec(),
        stage: 0,
        dwell: time::Millis(0),
        state: declared::RolloutState::Running,
        reason: None,
    };
    declared.rollouts.insert(name("roll-1"), rollout);
    declared
}

impl Deployment {
    fn at(round: usize) -> Self {
        let mut declared = declarations();
        for rollout in declared.rollouts.values_mut() {
            rollout.stage = round * STAGES.len() / ROUNDS;
        }
        if OUTAGE_ROUNDS.contains(&round) {
            let zone = declared.zones.get_mut(&name::<id::ZoneId>(ZONES[0])).expect("declared");
            zone.state = declared::AdminState::Out;
        }
        if round >= WITHDRAWAL_ROUND {
            let version = declared.versions.get_mut(&name("assistant@v1")).expect("declared");
            version.state = declared::VersionState::Withdrawn;
        }
        let generation = if round < REPLACEMENT_ROUND { "old" } else { "new" };
        let mut views = view::Views::default();
        for zone in ZONES {
            let member = view::Member {
                vm: name(&format!("{generation}-{zone}")),
                peers: std::net::SocketAddr::from(([127, 0, 0, 1], 9)),
            };
            let number = view::ViewNumber(round as u64);
            views.zones.insert(name(zone), view::View { number, members: vec![member] });
        }
        let version = change::ConfigVersion(round as u64 + 1);
        Self { config: in_force::InForce { version, declared }, views, round }
    }

    // Keys during a rotation as operators do it, zone by zone: every VM accepts the new key
    // before any VM signs with it, and the old key is removed last.
    fn keys(&self, zone: usize) -> session::Keys {
        let is_early = zone.is_multiple_of(2);
        let keys: &[&str] = match self.round {
            NEW_KEY_ROUND..SIGNING_ROUND if is_early || self.round > NEW_KEY_ROUND => {
                &["old", "new"]
            }
            SIGNING_ROUND..OLD_KEY_END_ROUND if is_early || self.round > SIGNING_ROUND => {
                &["new", "old"]
            }
            SIGNING_ROUND => &["old", "new"],
            OLD_KEY_END_ROUND if !is_early => &["new", "old"],
            OLD_KEY_END_ROUND.. => &["new"],
            _ => &["old"],
        };
        session::Keys::new(keys.iter().map(|key| secret::Secret::new(*key)).collect())
    }

    fn random_zone(&self, rng: &mut ChaCha8Rng) -> usize {
        loop {
            let zone = rng.random_range(0..ZONES.len());
            if zone != 0 || !OUTAGE_ROUNDS.contains(&self.round) {
                return zone;
            }
        }
    }

    fn select_version(&self, zone: usize, request: &plan::Request) -> id::VersionRef {
        let generation = if self.round < REPLACEMENT_ROUND { "old" } else { "new" };
        let vm = name(&format!("{generation}-{}", ZONES[zone]));
        let location = plan::Location { vm, zone: name(ZONES[zone]) };
        let plan =
            plan::plan(&self.config, &self.views, &location, request).expect("a version serves");
        match plan.target {
            id::Target::Version(version) => version,
            id::Target::Service(_) => unreachable!("a model was asked for"),
        }
    }
}

struct Stats {
    by_rollout: f64,
    by_withdrawal: f64,
    tokens_refused: f64,
    rounds: Vec<(f64, f64)>,
}

fn simulate(seed: u64, strategy: Strategy) -> Stats {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut tokens: BTreeMap<usize, String> = BTreeMap::new();
    let mut last_versions: BTreeMap<usize, id::VersionRef> = BTreeMap::new();
    let mut stats =
        Stats { by_rollout: 0.0, by_withdrawal: 0.0, tokens_refused: 0.0, rounds: Vec::new() };
    for round in 0..ROUNDS {
        let deployment = Deployment::at(round);
        // Sessions start one after another, so that new ones arrive in every stage.
        let started = (round + 1) * SESSIONS / ROUNDS;
        for session in 0..started {
            let zone = deployment.random_zone(&mut rng);
            let keys = deployment.keys(zone);
            let workspace: id::WorkspaceId = name("demo");
            let pinned = match tokens.get(&session).map(|text| keys.verify(&workspace, text)) {
                Some(Ok(session::Header::Token(token))) => Some(token.version),
                Some(_) => {
                    stats.tokens_refused += 1.0;
                    None
                }
                None => None,
            };
            let request_id = format!("req-{:x}", rng.random::<u64>());
            let session_id: id::SessionId = name(&format!("session-{session}"));
            let request = plan::Request {
                request: name(&request_id),
                workspace: workspace.clone(),
                selector: plan::Selector::Model(name("assistant")),
                session: (strategy != Strategy::PerRequest).then(|| session_id.clone()),
                pinned,
            };
            let version = deployment.select_version(zone, &request);
            if strategy == Strategy::Token {
                let issued = time::Tick(round as u64);
                let token = session::Token {
                    workspace,
                    session: session_id,
                    version: version.clone(),
                    issued,
                };
                tokens.insert(session, keys.sign(&token).expect("there is a key"));
            }
            let previous = last_versions.insert(session, version.clone());
            if previous.is_some_and(|previous| previous != version) {
                let counter = if round == WITHDRAWAL_ROUND {
                    &mut stats.by_withdrawal
                } else {
                    &mut stats.by_rollout
                };
                *counter += 1.0;
            }
        }
        stats.rounds.push((round as f64, stats.by_rollout));
    }
    stats
}

/// Runs the experiment with random numbers from `seed` and reports its figures.
pub fn run(seed: u64) -> Report {
    let ours = simulate(seed, Strategy::Token);
    let hash = simulate(seed, Strategy::Hash);
    let per_request = simulate(seed, Strategy::PerRequest);
    let figures = vec![
        Figure::new("version changes without a withdrawal", "changes", ours.by_rollout)
            .bound(Bound::AtMost(0.0))
            .optimum(0.0)
            .baseline("stable hash without token", hash.by_rollout)
            .baseline("drawn for each request", per_request.by_rollout),
        Figure::new("tokens refused", "tokens", ours.tokens_refused).bound(Bound::AtMost(0.0)),
        Figure::new("version changes by the withdrawal", "changes", ours.by_withdrawal),
    ];
    let series_of =
        |name: &str, stats: &Stats| Series { name: name.into(), points: stats.rounds.clone() };
    let series = vec![
        series_of("token", &ours),
        series_of("stable hash", &hash),
        series_of("drawn", &per_request),
    ];
    let axes = ("round".into(), "version changes".into());
    Report { name: "session".into(), seed, figures, axes, series }
}
