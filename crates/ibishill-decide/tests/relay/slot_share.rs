use ibishill_core::{fleet, id, time};
use ibishill_decide::division::Demands;
use ibishill_decide::endpoint_key::EndpointKey;
use ibishill_decide::slot_share::Slots;

const START: time::Tick = time::Tick(10_000);

fn vm(number: usize) -> id::VmId {
    format!("vm{number}").parse().unwrap()
}

fn key() -> EndpointKey {
    EndpointKey::new(&"e0".parse().unwrap(), Some(1))
}

fn entry(slots: u32) -> fleet::Registration {
    fleet::Registration {
        id: "e0".parse().unwrap(),
        service: "pool".parse().unwrap(),
        address: "127.0.0.1:80".parse().unwrap(),
        zone: "a".parse().unwrap(),
        version: "v1".parse().unwrap(),
        slots,
        readiness: fleet::Readiness::Ready,
        cold_remaining: time::Millis(0),
        started: Some(1),
    }
}

fn at(ms: u64) -> time::Tick {
    START + time::Millis(ms)
}

// Slots as a daemon of `count` knows them, once an answer says that its endpoints bear some rejections.
fn daemon(number: usize, count: usize, slots: u32, max_rejections: u32) -> Slots {
    let mut known = Slots::default();
    known.register(key(), &entry(slots), START);
    known.record(key(), Some(max_rejections), START, START);
    divide(&mut known, number, count, START);
    known
}

fn divide(slots: &mut Slots, number: usize, count: usize, now: time::Tick) {
    let senders = |_, most| (0..count).take(most).map(vm).collect();
    slots.divide(&vm(number), 1, senders, &Demands::default(), now);
}

// Requests that a daemon may have at the endpoint.
fn allowed(slots: &Slots, now: time::Tick) -> u32 {
    (0..1_000).find(|running| !slots.admits(key(), *running, now)).unwrap()
}

struct Case {
    daemons: usize,
    slots: u32,
    /// Slots that must be used by all daemons together.
    used: u32,
}

const CASES: &[Case] = &[
    Case { daemons: 1, slots: 4, used: 3 },
    Case { daemons: 3, slots: 4, used: 4 },
    Case { daemons: 4, slots: 4, used: 4 },
    Case { daemons: 6, slots: 4, used: 4 },
    Case { daemons: 6, slots: 128, used: 100 },
    Case { daemons: 910, slots: 64, used: 48 },
];

#[test]
fn shares_of_all_daemons_do_not_exceed_the_slots() {
    for Case { daemons, slots, used } in CASES {
        let each = (0..*daemons).map(|number| allowed(&daemon(number, *daemons, *slots, 3), START));
        let sum: u32 = each.sum();
        assert!((*used..=*slots).contains(&sum), "{sum} of {slots} slots, {daemons} daemons");
    }
}

#[test]
fn endpoint_that_starts_later_gets_its_slots_used_one_by_one() {
    let mut slots = daemon(0, 1, 4, 3);
    slots.remove(key());
    slots.register(key(), &entry(4), at(1_000));
    assert_eq!(allowed(&slots, at(1_000)), 0, "not divided yet");
    divide(&mut slots, 0, 1, at(1_000));
    let over_time: Vec<u32> = [1_000, 2_500, 4_000].map(|ms| allowed(&slots, at(ms))).to_vec();
    assert_eq!(over_time, [1, 2, 3]);
}

#[test]
fn rejection_stops_a_daemon_for_its_part_of_the_rejections_that_are_borne() {
    let mut slots = daemon(0, 2, 8, 4);
    let before = allowed(&slots, at(100));
    slots.record_rejection(key(), 2, at(100));
    assert_eq!(allowed(&slots, at(1_000)), 0);
    assert_eq!(allowed(&slots, at(1_200)), 2);
    assert_eq!(allowed(&slots, at(9_000)), before);
}

#[test]
fn peers_learn_what_endpoints_bear_and_an_answer_without_it_ends_that() {
    let told = daemon(0, 2, 4, 3).told(10, at(100));
    let mut peer = Slots::default();
    peer.register(key(), &entry(4), START);
    assert!(peer.merge(told, at(200)));
    assert!(peer.is_fragile(key()));
    assert!(!peer.record(key(), None, START, at(300)), "sent before it was heard");
    assert!(peer.record(key(), None, at(400), at(450)));
    assert!(!peer.is_fragile(key()));
}
