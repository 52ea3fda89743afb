//! Fixed layouts of the messages that builds up to 4ee781e exchange: postcard, by position. They never change;
//! what they lack is told in [`super::envelope`] only. The tests keep messages that these builds wrote.
//!
//! Build 92cc6db has fewer fields in its news, which are last, and no kinds of datagrams. Earlier builds are
//! read as far as there is no roll-out in a message.

use std::net::SocketAddr;

use ibishill_core::{id, time};
use ibishill_decide::{balance, canary, endpoint_key, endpoint_limit, peers, quarantine};
use ibishill_state::{confirmation, transfer};
use serde::de::DeserializeOwned;

use super::{Decoded, Format, Gossip, Report};
use crate::told::{Announcement, News};

/// Name in the log of a build that sends a fixed layout.
const BUILD: &str = "4ee781e or earlier";

type GossipHead = (
    SocketAddr,
    Vec<peers::Member>,
    usize,
    Vec<confirmation::Told>,
    Vec<(usize, transfer::Delta)>,
    Vec<canary::Snapshot>,
    Announcement,
);

type Reported = (id::VmId, Vec<confirmation::Told>, Vec<balance::reports::InFlight>, Announcement);

// News of build 92cc6db.
type EarlierNews = (
    Vec<endpoint_limit::Told>,
    Vec<quarantine::evidence::Evidence>,
    Vec<(endpoint_key::EndpointKey, time::Millis)>,
);

pub(super) fn encode_gossip(gossip: &Gossip) -> Result<Vec<u8>, String> {
    let Gossip { address, members, known, versions, deltas, canaries, configuration, .. } = gossip;
    let head = (address, members, known, versions, deltas, canaries, configuration);
    let encoded =
        postcard::to_stdvec(&head).and_then(|head| postcard::to_extend(&gossip.news, head));
    encoded.map_err(|error| error.to_string())
}

pub(super) fn decode_gossip(bytes: &[u8]) -> Result<Decoded<Gossip>, String> {
    let (head, rest) = take::<GossipHead>(bytes)?;
    let (address, members, known, versions, deltas, canaries, configuration) = head;
    let mut skipped = Vec::new();
    let news = news(rest, &mut skipped);
    let build = BUILD.to_owned();
    let message =
        Gossip { address, build, members, known, versions, deltas, canaries, configuration, news };
    Ok(Decoded { message, format: Format::Layout, skipped })
}

pub(super) fn encode_report(report: &Report) -> Result<Vec<u8>, String> {
    let Report { vm, versions, in_flight, configuration, is_isolated, demand, news, .. } = report;
    let layout = (vm, versions, in_flight, configuration, is_isolated, demand, news);
    postcard::to_stdvec(&layout).map_err(|error| error.to_string())
}

pub(super) fn decode_report(bytes: &[u8]) -> Result<Decoded<Report>, String> {
    let ((reported, is_isolated, demand), rest) = take::<(Reported, bool, f32)>(bytes)?;
    Ok(report(reported, is_isolated, demand, rest))
}

// A report of build 92cc6db, which has no byte for the kind of datagram.
pub(super) fn decode_unmarked_report(bytes: &[u8]) -> Result<Decoded<Report>, String> {
    let ((reported, demand), rest) = take::<(Reported, f32)>(bytes)?;
    Ok(report(reported, false, demand, rest))
}

fn report(reported: Reported, is_isolated: bool, demand: f32, rest: &[u8]) -> Decoded<Report> {
    let (vm, versions, in_flight, configuration) = reported;
    let mut skipped = Vec::new();
    let news = news(rest, &mut skipped);
    let (hears_starts, speeds) = (false, Vec::new());
    let message = Report {
        vm,
        versions,
        in_flight,
        configuration,
        is_isolated,
        demand,
        hears_starts,
        speeds,
        news,
        usage: Vec::new(),
        is_refusing: false,
    };
    Decoded { message, format: Format::Layout, skipped }
}

// A layout is right if it takes all bytes.
fn news(bytes: &[u8], skipped: &mut Vec<String>) -> News {
    if let Ok((news, [])) = take::<News>(bytes) {
        return news;
    }
    match take::<EarlierNews>(bytes) {
        Ok(((limits, evidence, cold), [])) => News { limits, evidence, cold, ..News::default() },
        _ => {
            skipped.push(format!("news: {} bytes in an unknown layout", bytes.len()));
            News::default()
        }
    }
}

fn take<T>(bytes: &[u8]) -> Result<(T, &[u8]), String>
where
    T: DeserializeOwned,
{
    postcard::take_from_bytes(bytes).map_err(|error| error.to_string())
}
