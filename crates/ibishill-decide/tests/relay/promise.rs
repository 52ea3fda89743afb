use ibishill_core::{id, time};
use ibishill_decide::promise;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const START: time::Tick = time::Tick(10_000_000);

const RELAYS: usize = 75;

fn service() -> id::ServiceId {
    "pool".parse().unwrap()
}

// Promises of a relay at which requests hold a slot for 200 ms.
fn promises() -> promise::Promises {
    let mut promises = promise::Promises::default();
    promises.record_hold(&service(), time::Millis(200));
    promises
}

const fn refusal(left: u64, seed: u64) -> promise::Refusal {
    let left = time::Millis(left);
    promise::Refusal { left, waiting: 2, running: 300.0, alive: RELAYS, seed }
}

// Part of the returning callers that find capacity, by the tenths of a second in which they return.
fn served(returns: &[u32], free: u32) -> f64 {
    let served: u32 = returns.iter().map(|count| count.min(&free)).sum();
    f64::from(served) / f64::from(returns.iter().sum::<u32>())
}

// A thousand callers are refused in one second by 75 relays, of a service that serves 1,500 a second of which new
// callers use half. With one delay for all, they return within another second, and a quarter is refused again.
#[test]
fn callers_refused_by_many_relays_return_as_capacity_becomes_free() {
    const FREE: u32 = 75;
    let mut rng = ChaCha8Rng::seed_from_u64(3);
    let mut relays: Vec<_> = (0..RELAYS).map(|_| promises()).collect();
    let (mut before, mut returns) = (vec![0_u32; 60], vec![0_u32; 60]);
    for number in 0..1_000_u64 {
        let now = START + time::Millis(number);
        let relay = &mut relays[rng.random_range(0..RELAYS)];
        let after = relay.promise(&service(), refusal(12_000, rng.random()), now).unwrap();
        assert!(after.0 <= 4_000, "{after}");
        returns[((number + after.0) / 100) as usize] += 1;
        before[((number + 500) / 100) as usize] += 1;
    }
    let (before, served) = (served(&before, FREE), served(&returns, FREE));
    println!("served: {before:.3} with one delay, {served:.3} with promises");
    assert!(before < 0.8, "the play has no want: {before:.3}");
    assert!(served >= 0.98, "{served:.3}: {returns:?}");
}

// Where a second burst of refusals finds all slots promised that its callers can use, they are spread all the same.
#[test]
fn more_callers_than_slots_are_spread_over_the_time_that_they_have() {
    let mut rng = ChaCha8Rng::seed_from_u64(5);
    let mut promises = promises();
    let mut returns = [0_u32; 10];
    for _ in 0..1_000 {
        let after = promises.promise(&service(), refusal(3_000, rng.random()), START).unwrap();
        assert!((150..=1_000).contains(&after.0), "{after}");
        returns[(after.0 as usize / 100).min(9)] += 1;
    }
    assert!(returns[2..].iter().all(|count| (80..=160).contains(count)), "{returns:?}");
}

#[test]
fn promise_is_neither_too_early_nor_too_late_for_its_caller() {
    struct Case {
        name: &'static str,
        refusal: promise::Refusal,
        // Bounds of the promise; none for the present default.
        expected: Option<(u64, u64)>,
    }
    let all = refusal(30_000, u64::MAX / 2);
    // 300 requests of 200 ms make 1,500 a second, which 75 relays share: one in 50 ms.
    let cases = [
        Case {
            name: "the requests that wait start first",
            refusal: all,
            expected: Some((150, 350)),
        },
        Case {
            name: "few relays",
            refusal: promise::Refusal { alive: 2, ..all },
            expected: Some((100, 150)),
        },
        Case {
            name: "many requests wait",
            refusal: promise::Refusal { waiting: 39, ..all },
            expected: Some((2_000, 2_200)),
        },
        Case {
            name: "a third of the time left",
            refusal: refusal(600, u64::MAX),
            expected: Some((150, 200)),
        },
        Case { name: "capacity comes too late", refusal: refusal(300, 0), expected: None },
        Case {
            name: "nothing runs",
            refusal: promise::Refusal { running: 0.0, ..all },
            expected: None,
        },
    ];
    for case in cases {
        let found = promises().promise(&service(), case.refusal, START);
        let is_right = match case.expected {
            Some((least, most)) => found.is_some_and(|after| (least..=most).contains(&after.0)),
            None => found.is_none(),
        };
        assert!(is_right, "{}: {found:?}", case.name);
    }
    let mut unknown = promise::Promises::default();
    assert_eq!(unknown.promise(&service(), all, START), None, "no request has ended yet");
}

#[test]
fn promises_follow_the_number_of_relays_that_refuse() {
    let vm = |number: usize| -> id::VmId { format!("vm{number}").parse().unwrap() };
    let last_of_ten = |promises: &mut promise::Promises, now: time::Tick| {
        let all = (0..10).map(|_| promises.promise(&service(), refusal(60_000, 0), now));
        all.last().unwrap().unwrap().0
    };
    let later = START + time::Millis(1_500);
    for (refusing, least, most) in [(0, 100, 200), (37, 500, 600), (74, 1_000, 1_100)] {
        let mut promises = promises();
        promises.promise(&service(), refusal(60_000, 0), START).unwrap();
        for number in 1..RELAYS {
            promises.record_peer(&vm(number), number <= refusing, later);
        }
        let found = last_of_ten(&mut promises, later);
        assert!((least..=most).contains(&found), "{refusing} refuse: {found}");
        assert!(promises.is_refusing(later));
        // Cut off from all peers, it goes by the last known number.
        let cut_off = later + time::Millis(10_000);
        promises.expire(cut_off);
        assert!(!promises.is_refusing(cut_off));
        promises.promise(&service(), refusal(60_000, 0), cut_off).unwrap();
        let cut_off = cut_off + time::Millis(1_500);
        assert!((least..=most).contains(&last_of_ten(&mut promises, cut_off)), "{refusing}");
    }
}

// With four starts a second, a request behind 20 others can't start within half a second.
#[test]
fn request_that_can_not_start_in_its_time_is_known() {
    let mut promises = promise::Promises::default();
    let within = time::Millis(500);
    let mut now = START;
    assert!(promises.can_start(&service(), 1_000, within, now), "nothing is known yet");
    promises.record_queue(&service(), true, now);
    for _ in 0..20 {
        now = now + time::Millis(250);
        promises.record_start(&service(), now);
    }
    assert!(promises.can_start(&service(), 0, within, now));
    assert!(promises.can_start(&service(), 4, within, now));
    assert!(!promises.can_start(&service(), 20, within, now));
    assert!(promises.can_start(&service(), 20, time::Millis(8_000), now));
    // The queue was empty for long: what it did before counts no longer.
    promises.record_queue(&service(), false, now);
    assert!(promises.can_start(&service(), 20, within, now + time::Millis(20_000)));
}
