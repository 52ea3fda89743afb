use std::collections::BTreeSet;

use ibishill_core::{link, time};
use ibishill_decide::{peers, report_targets};

const ZONES: usize = 6;

fn members(count: usize) -> Vec<peers::Member> {
    let member = |at: usize| peers::Member {
        vm: format!("vm{at}").parse().unwrap(),
        zone: format!("z{}", at % ZONES).parse().unwrap(),
        address: "127.0.0.1:80".parse().unwrap(),
        start: 1,
        beat: 1,
        is_ready: true,
        link: link::Bandwidth::default(),
    };
    (0..count).map(member).collect()
}

fn others(all: &[peers::Member], own: usize) -> Vec<&peers::Member> {
    all.iter().enumerate().filter(|(at, _)| *at != own).map(|(_, member)| member).collect()
}

// Relays that start together count the same rounds.
#[test]
fn each_peer_is_told_before_the_last_report_lapses() {
    for count in [6, 83, 195] {
        let all = members(count);
        let rounds = 60;
        let mut heard = vec![vec![0; rounds]; count];
        for own in 0..count {
            let alive = others(&all, own);
            let mut last = vec![0_u64; count];
            for round in 0..rounds as u64 {
                let told = report_targets::select(&all[own], &alive, &BTreeSet::new(), round);
                assert!(told.len() <= report_targets::FANOUT);
                for peer in told {
                    let at = all.iter().position(|member| member.vm == peer.vm).unwrap();
                    let near = all.iter().filter(|other| other.zone == peer.zone).count() - 1;
                    let is_near = all[own].zone == peer.zone;
                    let ttl = report_targets::ttl(is_near, near, count - 1 - near);
                    let gap = (round - last[at]) * report_targets::INTERVAL.0;
                    assert!(gap <= ttl.0, "{count}: told after {gap} ms, {ttl} allowed");
                    last[at] = round;
                    heard[at][round as usize] += 1;
                }
            }
        }
        // The reports of a round reach all peers alike, not a few of them at the same moment.
        let (least, most) = (heard.iter().flatten().min(), heard.iter().flatten().max());
        let (least, most) = (*least.unwrap(), *most.unwrap());
        assert!(most <= least.max(30) * 3, "{count}: {least} to {most} reports in a round");
    }
}

#[test]
fn peers_that_share_a_limit_and_those_of_the_zone_are_told_each_time() {
    let all = members(195);
    let alive = others(&all, 0);
    let partners: BTreeSet<_> = [all[1].vm.clone(), all[2].vm.clone()].into();
    for round in 0..20 {
        let told = report_targets::select(&all[0], &alive, &partners, round);
        assert_eq!(told.iter().filter(|peer| partners.contains(&peer.vm)).count(), 2);
        assert_eq!(told.iter().filter(|peer| peer.zone == all[0].zone).count(), 32);
    }
}

#[test]
fn few_relays_of_a_zone_are_told_of_an_endpoint_and_always_the_same() {
    let all = members(910);
    let zone = "z1".parse().unwrap();
    let listeners = |own: usize, endpoint: &str| -> BTreeSet<String> {
        let alive = others(&all, own);
        let found = report_targets::listeners(&endpoint.parse().unwrap(), &zone, &alive);
        found.into_iter().map(|peer| peer.vm.to_string()).collect()
    };
    let told = listeners(0, "e1");
    assert!(told.len() <= 32, "{}", told.len());
    assert_eq!(listeners(2, "e1"), told, "two senders tell the same relays");
    assert_ne!(listeners(0, "e2"), told);
}

#[test]
fn long_prompts_are_told_when_the_allowance_is_short() {
    let start = time::Tick(0);
    let mut starts = report_targets::Starts::new(start);
    assert!(!starts.try_take(0.5, 32, start), "too short to matter");
    let told = (0..100).filter(|_| starts.try_take(2.0, 32, start)).count();
    assert_eq!(told, 3);
    assert!(starts.try_take(12.0, 32, start));
    let datagrams = |prefill| {
        let mut starts = report_targets::Starts::new(start);
        let times = (0..10_000).map(time::Tick);
        let told = times.filter(|at| starts.try_take(prefill, 32, *at)).count();
        told * 32 / 10
    };
    // Of some 60 bytes each, half of what a relay may send.
    assert!(datagrams(12.0) <= 120 && datagrams(2.0) <= 120);
}
