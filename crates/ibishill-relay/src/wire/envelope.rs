//! Numbered parts of a message, in protobuf: unknown ones are skipped, missing ones are empty. A number is
//! never used again for something else. A part that holds bytes is in postcard, each item of a list on its
//! own; its layout never changes, and another one gets another number.

use bytes::Bytes;
use ibishill_core::{fleet, store_version, time};
use ibishill_decide::canary;
use prost::Message as _;
use serde::Serialize;
use serde::de::DeserializeOwned;

use super::{BUILD, Gossip, Report};
use crate::told::{Announcement, News};

#[derive(Clone, PartialEq, prost::Message)]
pub(super) struct Envelope {
    #[prost(string, tag = "1")]
    build: String,
    #[prost(string, tag = "2")]
    address: String,
    #[prost(string, tag = "3")]
    vm: String,
    #[prost(bytes = "bytes", repeated, tag = "4")]
    members: Vec<Bytes>,
    #[prost(uint64, tag = "5")]
    known: u64,
    #[prost(bytes = "bytes", repeated, tag = "6")]
    versions: Vec<Bytes>,
    #[prost(bytes = "bytes", repeated, tag = "7")]
    deltas: Vec<Bytes>,
    #[prost(bytes = "bytes", repeated, tag = "8")]
    rollouts: Vec<Bytes>,
    #[prost(bytes = "bytes", optional, tag = "9")]
    configuration: Option<Bytes>,
    #[prost(bytes = "bytes", optional, tag = "10")]
    limits: Option<Bytes>,
    #[prost(bytes = "bytes", optional, tag = "11")]
    leaving: Option<Bytes>,
    #[prost(bytes = "bytes", optional, tag = "12")]
    fragile: Option<Bytes>,
    #[prost(bytes = "bytes", optional, tag = "13")]
    evidence: Option<Bytes>,
    #[prost(bytes = "bytes", optional, tag = "14")]
    cold: Option<Bytes>,
    #[prost(bytes = "bytes", optional, tag = "15")]
    in_flight: Option<Bytes>,
    #[prost(bool, tag = "16")]
    is_isolated: bool,
    #[prost(float, tag = "17")]
    demand: f32,
    #[prost(bool, tag = "18")]
    hears_starts: bool,
    #[prost(bytes = "bytes", optional, tag = "30")]
    speeds: Option<Bytes>,
    #[prost(bytes = "bytes", repeated, tag = "19")]
    exposures: Vec<Bytes>,
    #[prost(bytes = "bytes", optional, tag = "24")]
    usage: Option<Bytes>,
    #[prost(bool, tag = "25")]
    is_refusing: bool,
}

/// State of a roll-out.
#[derive(Clone, PartialEq, prost::Message)]
struct Rollout {
    #[prost(string, tag = "1")]
    service: String,
    #[prost(string, tag = "2")]
    to: String,
    /// Version of the order's row.
    #[prost(uint64, tag = "3")]
    era: u64,
    #[prost(uint64, tag = "4")]
    number: u64,
    #[prost(uint64, tag = "5")]
    age_ms: u64,
    /// 0 running, 1 completed, 2 rolled back.
    #[prost(uint32, tag = "6")]
    progress: u32,
    #[prost(bool, tag = "7")]
    is_unproven: bool,
    #[prost(bool, tag = "8")]
    is_uninformed: bool,
    #[prost(bool, tag = "9")]
    is_doubted: bool,
    #[prost(bool, tag = "10")]
    is_cleared: bool,
    #[prost(fixed64, repeated, tag = "11")]
    pinned: Vec<u64>,
    #[prost(bytes = "bytes", optional, tag = "12")]
    tallies: Option<Bytes>,
    /// Earlier roll-outs of the service.
    #[prost(bytes = "bytes", repeated, tag = "13")]
    earlier: Vec<Bytes>,
}

impl Envelope {
    pub(super) fn of_gossip(gossip: &Gossip) -> Result<Self, String> {
        Ok(Self {
            address: gossip.address.to_string(),
            members: items(&gossip.members)?,
            known: gossip.known as u64,
            versions: items(&gossip.versions)?,
            deltas: items(&gossip.deltas)?,
            rollouts: gossip.canaries.iter().map(encode_snapshot).collect::<Result<_, _>>()?,
            ..Self::of_news(&gossip.news, &gossip.configuration)?
        })
    }

    pub(super) fn of_report(report: &Report) -> Result<Self, String> {
        Ok(Self {
            vm: report.vm.to_string(),
            versions: items(&report.versions)?,
            in_flight: list(&report.in_flight)?,
            is_isolated: report.is_isolated,
            demand: report.demand,
            hears_starts: report.hears_starts,
            speeds: list(&report.speeds)?,
            usage: list(&report.usage)?,
            is_refusing: report.is_refusing,
            ..Self::of_news(&report.news, &report.configuration)?
        })
    }

    fn of_news(news: &News, configuration: &Announcement) -> Result<Self, String> {
        Ok(Self {
            build: BUILD.to_owned(),
            configuration: Some(item(configuration)?),
            limits: list(&news.limits)?,
            leaving: list(&news.leaving)?,
            fragile: list(&news.fragile)?,
            evidence: list(&news.evidence)?,
            cold: list(&news.cold)?,
            exposures: items(&news.exposures)?,
            ..Self::default()
        })
    }

    pub(super) fn into_gossip(self, skipped: &mut Vec<String>) -> Result<Gossip, String> {
        let address = self.address.parse();
        let address = address.map_err(|error| format!("address {:?}: {error}", self.address))?;
        let (news, configuration) = (self.news(skipped), self.announcement(skipped));
        let mut canaries = Vec::new();
        for bytes in &self.rollouts {
            match decode_snapshot(bytes, skipped) {
                Ok(snapshot) => canaries.push(snapshot),
                Err(error) => skipped.push(format!("rollouts: {error}")),
            }
        }
        Ok(Gossip {
            address,
            members: readable("members", &self.members, skipped),
            known: usize::try_from(self.known).unwrap_or(usize::MAX),
            versions: by_position("versions", &self.versions, skipped),
            deltas: readable("deltas", &self.deltas, skipped),
            canaries,
            configuration,
            news,
            build: self.build,
        })
    }

    pub(super) fn into_report(self, skipped: &mut Vec<String>) -> Result<Report, String> {
        Ok(Report {
            vm: self.vm.parse().map_err(|error| format!("vm {:?}: {error}", self.vm))?,
            versions: by_position("versions", &self.versions, skipped),
            in_flight: part("in_flight", self.in_flight.as_ref(), skipped),
            configuration: self.announcement(skipped),
            is_isolated: self.is_isolated,
            demand: self.demand,
            hears_starts: self.hears_starts,
            speeds: part("speeds", self.speeds.as_ref(), skipped),
            usage: part("usage", self.usage.as_ref(), skipped),
            is_refusing: self.is_refusing,
            news: self.news(skipped),
        })
    }

    fn announcement(&self, skipped: &mut Vec<String>) -> Announcement {
        // Version 0 is before the first one.
        let none = Announcement { version: 0, age: time::Millis(0) };
        self.configuration.as_ref().map_or(none, |bytes| {
            read(bytes).unwrap_or_else(|error| {
                skipped.push(format!("configuration: {error}"));
                none
            })
        })
    }

    fn news(&self, skipped: &mut Vec<String>) -> News {
        News {
            limits: part("limits", self.limits.as_ref(), skipped),
            leaving: part("leaving", self.leaving.as_ref(), skipped),
            fragile: part("fragile", self.fragile.as_ref(), skipped),
            evidence: part("evidence", self.evidence.as_ref(), skipped),
            cold: part("cold", self.cold.as_ref(), skipped),
            exposures: readable("exposures", &self.exposures, skipped),
        }
    }
}

fn encode_snapshot(snapshot: &canary::Snapshot) -> Result<Bytes, String> {
    let order = snapshot.order.unwrap_or_default();
    let tallies = &snapshot.tallies;
    let rollout = Rollout {
        service: snapshot.service.to_string(),
        to: snapshot.to.to_string(),
        era: order.era.0,
        number: order.number,
        age_ms: snapshot.age.0,
        progress: match snapshot.progress {
            fleet::Progress::Running => 0,
            fleet::Progress::Completed => 1,
            fleet::Progress::RolledBack => 2,
        },
        is_unproven: snapshot.is_unproven,
        is_uninformed: snapshot.is_uninformed,
        is_doubted: snapshot.is_doubted,
        is_cleared: snapshot.is_cleared,
        pinned: snapshot.pinned.clone(),
        tallies: if tallies.is_empty() { None } else { Some(item(tallies)?) },
        earlier: items(&snapshot.earlier)?,
    };
    Ok(Bytes::from(rollout.encode_to_vec()))
}

fn decode_snapshot(bytes: &Bytes, skipped: &mut Vec<String>) -> Result<canary::Snapshot, String> {
    let rollout = Rollout::decode(bytes.as_ref()).map_err(|error| error.to_string())?;
    let Rollout { service, to, era, number, .. } = rollout;
    let progress = match rollout.progress {
        0 => fleet::Progress::Running,
        1 => fleet::Progress::Completed,
        2 => fleet::Progress::RolledBack,
        other => return Err(format!("{service}: progress {other} is not known")),
    };
    let order = store_version::StoreVersion { era: store_version::Era(era), number };
    Ok(canary::Snapshot {
        service: service.parse().map_err(|error| format!("service {service:?}: {error}"))?,
        to: to.parse().map_err(|error| format!("to {to:?}: {error}"))?,
        order: (order != store_version::StoreVersion::default()).then_some(order),
        age: time::Millis(rollout.age_ms),
        progress,
        is_unproven: rollout.is_unproven,
        is_uninformed: rollout.is_uninformed,
        is_doubted: rollout.is_doubted,
        is_cleared: rollout.is_cleared,
        pinned: rollout.pinned,
        // A verdict counts without the counts behind it.
        tallies: part("tallies", rollout.tallies.as_ref(), skipped),
        earlier: readable("earlier roll-outs", &rollout.earlier, skipped),
    })
}

fn item<T>(item: &T) -> Result<Bytes, String>
where
    T: Serialize + ?Sized,
{
    postcard::to_stdvec(item).map(Bytes::from).map_err(|error| error.to_string())
}

fn items<T>(items: &[T]) -> Result<Vec<Bytes>, String>
where
    T: Serialize,
{
    items.iter().map(item).collect()
}

// A list as one part; none if it is empty.
fn list<T>(items: &[T]) -> Result<Option<Bytes>, String>
where
    T: Serialize,
{
    if items.is_empty() { Ok(None) } else { item(items).map(Some) }
}

fn read<T>(bytes: &[u8]) -> Result<T, String>
where
    T: DeserializeOwned,
{
    postcard::from_bytes(bytes).map_err(|error| error.to_string())
}

fn part<T>(name: &str, bytes: Option<&Bytes>, skipped: &mut Vec<String>) -> T
where
    T: DeserializeOwned + Default,
{
    let Some(bytes) = bytes else { return T::default() };
    read(bytes).unwrap_or_else(|error| {
        skipped.push(format!("{name}: {error}"));
        T::default()
    })
}

// The items that can be read.
fn readable<T>(name: &str, items: &[Bytes], skipped: &mut Vec<String>) -> Vec<T>
where
    T: DeserializeOwned,
{
    let mut found = Vec::with_capacity(items.len());
    for bytes in items {
        match read(bytes) {
            Ok(item) => found.push(item),
            Err(error) => skipped.push(format!("{name}: {error}")),
        }
    }
    found
}

// Items whose position counts: one that can't be read is as if it said nothing.
fn by_position<T>(name: &str, items: &[Bytes], skipped: &mut Vec<String>) -> Vec<T>
where
    T: DeserializeOwned + Default,
{
    items.iter().map(|bytes| part(name, Some(bytes), skipped)).collect()
}
