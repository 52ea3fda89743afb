//! Membership of the live daemons, and assignment of duties that only some need to perform.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use ibishill_core::{id, link, time};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3;

use crate::report_targets;

/// Time without a new heartbeat after which a daemon counts as dead.
///
/// A message carries only a few heartbeats, so that its size does not grow with the
/// deployment; a new heartbeat of each daemon then arrives about once a second, and rarely
/// after more than four seconds.
pub const HEARTBEAT_TIMEOUT: time::Millis = time::Millis(6_000);

/// Age of a daemon's process up to which it may not know what happened before its start.
const NEW_AGE: time::Millis = time::Millis(10_000);

/// Time without a new heartbeat after which a daemon is removed.
const REMOVE_AFTER: time::Millis = time::Millis(60_000);

/// Time after its isolation for which a daemon leaves its part of what is divided to the others, until they have
/// all heard that it is back.
const RETURN_DELAY: time::Millis = time::Millis(1_500);

/// Heartbeat of a daemon, which its peers pass on.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// VM that it runs on.
    pub vm: id::VmId,
    /// Zone of the VM.
    pub zone: id::ZoneId,
    /// Address for its peers.
    pub address: SocketAddr,
    /// Start time of its process by the time of day, or a number above that of its earlier processes; a later process
    /// replaces an earlier one.
    pub start: u64,
    /// Sequence number of its heartbeat.
    pub beat: u64,
    /// Whether it accepts callers.
    pub is_ready: bool,
    /// Bandwidth of its VM's link; 0 if unknown.
    pub link: link::Bandwidth,
}

#[derive(Debug, Clone)]
struct Known {
    member: Member,
    last_seen: time::Tick,
    // When it last said that it reaches no endpoint.
    isolated: Option<time::Tick>,
}

/// Known daemons.
#[derive(Debug, Clone)]
pub struct Peers {
    own: Member,
    known: BTreeMap<id::VmId, Known>,
    // Number of times that the daemons have changed which divide something.
    generation: u64,
    // Whether this daemon reaches no endpoint, and when it takes its part again.
    is_isolated: bool,
    returns: time::Tick,
    is_sharing: bool,
}

impl Peers {
    /// Creates a membership of this daemon alone.
    pub const fn new(own: Member) -> Self {
        Self {
            own,
            known: BTreeMap::new(),
            generation: 0,
            is_isolated: false,
            returns: time::Tick(0),
            is_sharing: true,
        }
    }

    /// This daemon's own entry.
    pub const fn own(&self) -> &Member {
        &self.own
    }

    /// Advances this daemon's heartbeat.
    pub fn heartbeat(&mut self, is_ready: bool) {
        self.own.beat += 1;
        self.own.is_ready = is_ready;
    }

    /// Records the heartbeat of a daemon, unless a newer one is known; returns whether that
    /// daemon is new.
    pub fn record(&mut self, member: Member, now: time::Tick) -> bool {
        if member.vm == self.own.vm {
            // An earlier process whose clock was ahead: peers must not take this one for the older.
            if member.start > self.own.start {
                self.own.start = member.start + 1;
            }
            return false;
        }
        match self.known.get_mut(&member.vm) {
            Some(known) => {
                // A process that counts as dead is replaced by any other one: the time of day may be set back.
                let is_dead = now.since(known.last_seen) >= HEARTBEAT_TIMEOUT;
                let is_newer = (member.start, member.beat)
                    > (known.member.start, known.member.beat)
                    || (is_dead && member.start != known.member.start);
                if is_newer {
                    let isolated = known.isolated;
                    *known = Known { member, last_seen: now, isolated };
                }
                false
            }
            None => {
                self.known
                    .insert(member.vm.clone(), Known { member, last_seen: now, isolated: None });
                self.generation += 1;
                true
            }
        }
    }

    /// Removes daemons without a new heartbeat for a minute.
    pub fn expire(&mut self, now: time::Tick) {
        let before = self.known.len();
        self.known.retain(|_, known| now.since(known.last_seen) < REMOVE_AFTER);
        self.generation += u64::from(self.known.len() < before);
        let (near, far) = self.count();
        for known in self.known.values_mut() {
            let ttl = report_targets::ttl(known.member.zone == self.own.zone, near, far);
            if known.isolated.is_some_and(|at| now.since(at) >= ttl) {
                known.isolated = None;
                self.generation += 1;
            }
        }
        self.update_sharing(now);
    }

    // Number of other known daemons in this daemon's zone, and elsewhere.
    fn count(&self) -> (usize, usize) {
        let near = self.others().filter(|member| member.zone == self.own.zone).count();
        (near, self.known.len() - near)
    }

    /// Time for which a report of another daemon counts.
    pub fn report_ttl(&self, vm: &id::VmId) -> time::Millis {
        let known = self.known.get(vm);
        let is_near = known.is_some_and(|known| known.member.zone == self.own.zone);
        let (near, far) = self.count();
        report_targets::ttl(is_near, near, far)
    }

    /// Records whether this daemon reaches no endpoint, although others do. Its part of what is divided is the
    /// others' then, until a while after its return.
    pub fn set_isolated(&mut self, is_isolated: bool, now: time::Tick) {
        if self.is_isolated && !is_isolated {
            self.returns = now + RETURN_DELAY;
        }
        self.is_isolated = is_isolated;
        self.update_sharing(now);
    }

    fn update_sharing(&mut self, now: time::Tick) {
        let is_sharing = !self.is_isolated && self.returns <= now;
        self.generation += u64::from(is_sharing != self.is_sharing);
        self.is_sharing = is_sharing;
    }

    /// Records whether another daemon says that it reaches no endpoint.
    pub fn record_isolation(&mut self, vm: &id::VmId, is_isolated: bool, now: time::Tick) {
        if let Some(known) = self.known.get_mut(vm) {
            self.generation += u64::from(known.isolated.is_some() != is_isolated);
            known.isolated = is_isolated.then_some(now);
        }
    }

    /// Changes whenever the set of known daemons does.
    pub const fn generation(&self) -> u64 {
        self.generation
    }

    /// All live daemons, this one first.
    pub fn alive(&self, now: time::Tick) -> Vec<&Member> {
        let others =
            self.known.values().filter(|known| now.since(known.last_seen) < HEARTBEAT_TIMEOUT);
        std::iter::once(&self.own).chain(others.map(|known| &known.member)).collect()
    }

    /// All other known daemons, live or not.
    pub fn others(&self) -> impl Iterator<Item = &Member> {
        self.known.values().map(|known| &known.member)
    }

    /// Address of another known daemon.
    pub fn address(&self, vm: &id::VmId) -> Option<SocketAddr> {
        self.known.get(vm).map(|known| known.member.address)
    }

    /// Whether the daemon at an address is unknown, or has started lately by the time of day.
    pub fn has_started_lately(&self, address: SocketAddr, wall: time::Tick) -> bool {
        let found = self.others().find(|member| member.address == address);
        found.is_none_or(|member| wall.0.saturating_sub(member.start) < NEW_AGE.0)
    }

    /// Whether a known daemon with this address is in this daemon's zone.
    pub fn is_in_own_zone(&self, address: SocketAddr) -> bool {
        self.others().any(|member| member.address == address && member.zone == self.own.zone)
    }

    /// Number of live daemons, this one included.
    pub fn alive_count(&self, now: time::Tick) -> usize {
        self.alive(now).len()
    }

    /// The `count` live daemons that perform a duty, in the order of [`Peers::rank`].
    pub fn assigned(&self, duty: &str, count: usize, now: time::Tick) -> Vec<&Member> {
        let seed = xxh3::xxh3_64(duty.as_bytes());
        let mut alive = self.alive(now);
        alive.sort_by_key(|member| {
            std::cmp::Reverse(xxh3::xxh3_64_with_seed(member.vm.as_str().as_bytes(), seed))
        });
        alive.truncate(count);
        alive
    }

    /// The first `count` of all known daemons, live or not, in the order of [`Peers::known_rank`], but for
    /// those that leave their part to the others.
    pub fn known_assigned(&self, duty: &str, count: usize) -> Vec<id::VmId> {
        let seed = xxh3::xxh3_64(duty.as_bytes());
        let others = self.known.values().filter(|known| known.isolated.is_none());
        let own = self.is_sharing.then_some(&self.own);
        let mut all: Vec<&Member> =
            own.into_iter().chain(others.map(|known| &known.member)).collect();
        all.sort_by_key(|member| {
            std::cmp::Reverse(xxh3::xxh3_64_with_seed(member.vm.as_str().as_bytes(), seed))
        });
        all.into_iter().take(count).map(|member| member.vm.clone()).collect()
    }

    /// Heartbeats to pass on: this daemon's and those of `count` others, chosen anew in each
    /// `round`.
    pub fn sample(&self, count: usize, round: u64, now: time::Tick) -> Vec<Member> {
        let mut others: Vec<&Member> = self.alive(now).into_iter().skip(1).collect();
        let hash = |vm: &id::VmId| xxh3::xxh3_64_with_seed(vm.as_str().as_bytes(), round);
        others.sort_by_key(|member| hash(&member.vm));
        others.truncate(count);
        std::iter::once(&self.own).chain(others).cloned().collect()
    }

    /// Rank of this daemon among the live ones, from 0, by rendezvous hashing of `duty`.
    ///
    /// All daemons that know the same peers agree on the order, so the one of rank 0 performs
    /// the duty, and the next one takes over when its heartbeats stop.
    pub fn rank(&self, duty: &str, now: time::Tick) -> usize {
        rank_among(self.alive(now).into_iter(), &self.own, duty)
    }

    /// Like [`Peers::rank`], but daemons with wider links come first, for a duty that moves much
    /// data.
    pub fn rank_by_link(&self, duty: &str, now: time::Tick) -> usize {
        let alive = self.alive(now);
        let wider = alive.iter().filter(|member| member.link > self.own.link).count();
        let same = alive.into_iter().filter(|member| member.link == self.own.link);
        wider + rank_among(same, &self.own, duty)
    }

    /// Like [`Peers::rank`], but among all known daemons, so that a partitioned daemon does not
    /// take over the duties of the others.
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
    let own = hash(own);
    members.filter(|member| hash(member) > own).count()
}
