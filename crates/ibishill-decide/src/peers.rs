//! Which daemons are alive, and which of them do what only some need to do.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use ibishill_core::{id, time};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3;

/// Silence after which a daemon counts as gone.
///
/// A message carries a few heartbeats only, so that its size does not grow with the
/// deployment; each daemon's then comes by about once a second, and rarely after four.
pub const HEARTBEAT_TIMEOUT: time::Millis = time::Millis(6_000);

/// Silence after which a daemon is forgotten.
const FORGET: time::Millis = time::Millis(60_000);

/// What a daemon tells of itself, passed on by others.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Its VM.
    pub vm: id::VmId,
    /// Its zone.
    pub zone: id::ZoneId,
    /// Where peers reach it.
    pub address: SocketAddr,
    /// When its process started; a later process replaces an earlier one.
    pub start: u64,
    /// Rises with each of its heartbeats.
    pub beat: u64,
    /// Whether it takes callers.
    pub is_ready: bool,
}

#[derive(Debug, Clone)]
struct Known {
    member: Member,
    heard: time::Tick,
}

/// The daemons that are known.
#[derive(Debug, Clone)]
pub struct Peers {
    own: Member,
    known: BTreeMap<id::VmId, Known>,
}

impl Peers {
    /// Starts with this daemon alone.
    pub const fn new(own: Member) -> Self {
        Self { own, known: BTreeMap::new() }
    }

    /// This daemon.
    pub const fn own(&self) -> &Member {
        &self.own
    }

    /// Makes the next heartbeat.
    pub fn heartbeat(&mut self, is_ready: bool) {
        self.own.beat += 1;
        self.own.is_ready = is_ready;
    }

    /// Takes in what a peer tells of a daemon; returns whether that daemon is new.
    pub fn record(&mut self, member: Member, now: time::Tick) -> bool {
        if member.vm == self.own.vm {
            return false;
        }
        match self.known.get_mut(&member.vm) {
            Some(known) => {
                let is_newer =
                    (member.start, member.beat) > (known.member.start, known.member.beat);
                if is_newer {
                    *known = Known { member, heard: now };
                }
                false
            }
            None => {
                self.known.insert(member.vm.clone(), Known { member, heard: now });
                true
            }
        }
    }

    /// Forgets daemons that have been silent for long.
    pub fn expire(&mut self, now: time::Tick) {
        self.known.retain(|_, known| now.since(known.heard) < FORGET);
    }

    /// Every daemon that is alive, this one first.
    pub fn alive(&self, now: time::Tick) -> Vec<&Member> {
        let others = self.known.values().filter(|known| now.since(known.heard) < HEARTBEAT_TIMEOUT);
        std::iter::once(&self.own).chain(others.map(|known| &known.member)).collect()
    }

    /// Every other daemon that is known, alive or not.
    pub fn others(&self) -> impl Iterator<Item = &Member> {
        self.known.values().map(|known| &known.member)
    }

    /// Daemons that have been heard within [`HEARTBEAT_TIMEOUT`], this one included.
    pub fn alive_count(&self, now: time::Tick) -> usize {
        self.alive(now).len()
    }

    /// The first `count` daemons of those alive for a duty, by the order of [`Peers::rank`].
    pub fn assigned(&self, duty: &str, count: usize, now: time::Tick) -> Vec<&Member> {
        let seed = xxh3::xxh3_64(duty.as_bytes());
        let mut alive = self.alive(now);
        alive.sort_by_key(|member| {
            std::cmp::Reverse(xxh3::xxh3_64_with_seed(member.vm.as_str().as_bytes(), seed))
        });
        alive.truncate(count);
        alive
    }

    /// Heartbeats to pass on: this daemon's and `count` others', which differ by `round`.
    pub fn sample(&self, count: usize, round: u64, now: time::Tick) -> Vec<Member> {
        let mut others: Vec<&Member> = self.alive(now).into_iter().skip(1).collect();
        let shuffle = |vm: &id::VmId| xxh3::xxh3_64_with_seed(vm.as_str().as_bytes(), round);
        others.sort_by_key(|member| shuffle(&member.vm));
        others.truncate(count);
        std::iter::once(&self.own).chain(others).cloned().collect()
    }

    /// Place of this daemon among those alive, by a hash of its name and `duty`.
    ///
    /// All daemons that know the same peers agree on the order, so the one at 0 does the
    /// duty and the next one takes over when it falls silent.
    pub fn rank(&self, duty: &str, now: time::Tick) -> usize {
        rank_among(self.alive(now).into_iter(), &self.own, duty)
    }

    /// Like [`Peers::rank`], among all that are known, so that a daemon that is cut off does
    /// not take the others' places.
    pub fn known_rank(&self, duty: &str) -> usize {
        let all = std::iter::once(&self.own).chain(self.others());
        rank_among(all, &self.own, duty)
    }
}

fn rank_among<'a, I>(members: I, own: &Member, duty: &str) -> usize
where
    I: Iterator<Item = &'a Member>,
{
    let seed = xxh3::xxh3_64(duty.as_bytes());
    let hash = |member: &Member| xxh3::xxh3_64_with_seed(member.vm.as_str().as_bytes(), seed);
    let mine = hash(own);
    members.filter(|member| hash(member) > mine).count()
}
