use ibishill_core::{fleet, id, time};
use ibishill_decide::contact::{self, Contacts, Part};
use ibishill_decide::endpoint_key::EndpointKey;

const START: time::Tick = time::Tick(10_000);

/// Endpoints of the tests by their number, two in zone a and two in zone b.
const ENDPOINTS: u64 = 4;

fn key(number: u64) -> EndpointKey {
    EndpointKey::new(&"e".parse().unwrap(), Some(number))
}

fn part(zone: &str) -> Part {
    Part::of(&fleet::Registration {
        id: "e".parse().unwrap(),
        service: "pool".parse().unwrap(),
        address: "127.0.0.1:80".parse().unwrap(),
        zone: zone.parse().unwrap(),
        version: "v1".parse().unwrap(),
        slots: 4,
        readiness: fleet::Readiness::Ready,
        cold_remaining: time::Millis(0),
        started: None,
    })
}

fn at(ms: u64) -> time::Tick {
    START + time::Millis(ms)
}

fn contacts() -> Contacts {
    let mut contacts = Contacts::default();
    for number in 0..ENDPOINTS {
        contacts.register(key(number), part(if number < 2 { "a" } else { "b" }));
        contacts.record_answer(key(number), START);
    }
    contacts
}

/// What happens to the contacts with an endpoint, and when in milliseconds.
enum Step {
    Send(u64, u64),
    Answer(u64, u64),
    Failure(u64, u64),
    /// A check gets no answer.
    Unanswered(u64),
    /// Something answers a check at its address.
    Path(u64),
    /// A peer has had an answer.
    Evidence(u64, u64),
    Reset(u64),
}

use Step::{Answer, Evidence, Failure, Path, Reset, Send, Unanswered};

struct Case {
    name: &'static str,
    steps: &'static [Step],
    /// When it is judged, in milliseconds.
    at: u64,
    out: &'static [u64],
    is_isolated: bool,
}

const CASES: &[Case] = &[
    Case {
        name: "endpoints that have ended",
        steps: &[Failure(0, 100), Failure(1, 110), Failure(2, 120), Failure(3, 130)],
        at: 600,
        out: &[],
        is_isolated: false,
    },
    Case {
        name: "answers of peers from before the failures",
        steps: &[Failure(0, 100), Failure(1, 100), Evidence(0, 90), Evidence(1, 90)],
        at: 200,
        out: &[],
        is_isolated: false,
    },
    Case {
        name: "no path to any endpoint",
        steps: &[Failure(0, 100), Failure(2, 100), Evidence(0, 200), Evidence(2, 200)],
        at: 300,
        out: &[0, 1, 2, 3],
        is_isolated: true,
    },
    Case {
        name: "no path to one zone",
        steps: &[
            Failure(0, 100),
            Failure(1, 100),
            Answer(2, 150),
            Evidence(0, 200),
            Evidence(1, 200),
        ],
        at: 300,
        out: &[0, 1],
        is_isolated: false,
    },
    Case {
        name: "no path to one endpoint",
        steps: &[Failure(0, 100), Answer(1, 150), Answer(2, 150), Evidence(0, 200)],
        at: 300,
        out: &[0],
        is_isolated: false,
    },
    Case {
        name: "an endpoint that answers again",
        steps: &[
            Failure(0, 100),
            Failure(2, 100),
            Evidence(0, 200),
            Evidence(2, 200),
            Answer(0, 250),
        ],
        at: 300,
        out: &[2],
        is_isolated: false,
    },
    Case {
        name: "all silent here, checks too, as peers get answers",
        steps: &[
            Send(0, 100),
            Send(2, 100),
            Unanswered(0),
            Unanswered(2),
            Evidence(0, 750),
            Evidence(2, 750),
        ],
        at: 800,
        out: &[0, 1, 2, 3],
        is_isolated: true,
    },
    Case {
        name: "endpoints busy with long prompts that answer peers",
        steps: &[Send(0, 100), Send(2, 100), Evidence(0, 750), Evidence(2, 750)],
        at: 800,
        out: &[],
        is_isolated: false,
    },
    Case {
        name: "endpoints busy with long prompts that answer checks",
        steps: &[
            Send(0, 100),
            Send(2, 100),
            Path(0),
            Path(2),
            Evidence(0, 1_700),
            Evidence(2, 1_700),
        ],
        at: 1_800,
        out: &[],
        is_isolated: false,
    },
    Case {
        name: "all silent for everyone",
        steps: &[Send(0, 100), Send(2, 100), Evidence(0, 90), Evidence(2, 90)],
        at: 1_100,
        out: &[],
        is_isolated: false,
    },
    Case {
        name: "one endpoint silent for a second",
        steps: &[Send(0, 100), Answer(1, 600), Answer(2, 900), Evidence(0, 1_000)],
        at: 1_100,
        out: &[],
        is_isolated: false,
    },
    Case {
        name: "answers of peers that are too old by now",
        steps: &[Failure(0, 100), Failure(2, 100), Evidence(0, 200), Evidence(2, 200)],
        at: 2_300,
        out: &[],
        is_isolated: false,
    },
    Case {
        name: "a suspension of this VM",
        steps: &[Send(0, 100), Send(2, 100), Reset(5_000), Evidence(0, 4_900), Evidence(2, 4_900)],
        at: 5_100,
        out: &[],
        is_isolated: false,
    },
];

fn peer() -> id::VmId {
    "vm2".parse().unwrap()
}

#[test]
fn only_endpoints_that_answer_peers_are_out_of_reach() {
    for case in CASES {
        let mut contacts = contacts();
        for step in case.steps {
            match *step {
                Send(number, ms) => contacts.record_send(key(number), at(ms)),
                Answer(number, ms) => {
                    contacts.record_answer(key(number), at(ms));
                }
                Failure(number, ms) => contacts.record_failure(key(number), at(ms)),
                Unanswered(number) => contacts.record_unanswered(key(number)),
                Path(number) => contacts.record_path(key(number)),
                Reset(ms) => contacts.reset(at(ms)),
                Evidence(number, ms) => {
                    let now = at(ms + 10);
                    contacts.record_evidence(&peer(), &[(key(number), time::Millis(10))], now);
                }
            }
        }
        contacts.judge(at(case.at));
        let out: Vec<u64> = (0..ENDPOINTS).filter(|number| contacts.is_out(key(*number))).collect();
        assert_eq!(out, case.out, "{}", case.name);
        assert_eq!(contacts.is_isolated(), case.is_isolated, "{}", case.name);
    }
}

#[test]
fn peers_are_asked_only_about_endpoints_that_fail() {
    let mut contacts = contacts();
    assert!(contacts.questions(at(500)).is_empty());
    contacts.record_failure(key(1), at(600));
    assert!(contacts.questions(at(610)).is_empty(), "peers have no later answer yet");
    assert_eq!(contacts.questions(at(700)), [(key(1), time::Millis(100))]);
    assert!(contacts.questions(at(800)).is_empty(), "asked too often");
    contacts.record_answer(key(1), at(850));
    assert!(contacts.questions(at(2_000)).is_empty());
}

#[test]
fn peers_are_asked_again_about_endpoints_out_of_reach_however_many_have_ended() {
    let mut contacts = contacts();
    contacts.record_failure(key(0), at(100));
    contacts.record_evidence(&peer(), &[(key(0), time::Millis(0))], at(200));
    for number in 10..40 {
        contacts.register(key(number), part("a"));
        contacts.record_failure(key(number), at(150));
    }
    let asked = contacts.questions(at(300));
    assert_eq!(asked.len(), contact::QUESTION_MAX);
    assert!(asked.iter().any(|(asked, _)| *asked == key(0)));
}

#[test]
fn questions_are_answered_by_what_has_been_heard_since() {
    let mut contacts = contacts();
    contacts.record_answer(key(0), at(400));
    let asked = [(key(0), time::Millis(200)), (key(1), time::Millis(200))];
    assert_eq!(contacts.answers(&asked, at(500)), [(key(0), time::Millis(100))]);
}

#[test]
fn one_endpoint_at_a_time_is_probed_and_the_next_at_once_after_an_answer() {
    let mut contacts = contacts();
    assert_eq!(contacts.take_probe(at(50)), None);
    for number in [0, 2] {
        contacts.record_failure(key(number), at(100));
        contacts.record_evidence(&peer(), &[(key(number), time::Millis(0))], at(200));
    }
    contacts.judge(at(210));
    let first = contacts.take_probe(at(210)).unwrap();
    assert!([key(1), key(3)].contains(&first), "one that has not failed comes first");
    assert_eq!(contacts.take_probe(at(300)), None);
    contacts.record_answer(first, at(310));
    assert!(!contacts.is_isolated());
    assert!([key(0), key(2)].contains(&contacts.take_probe(at(320)).unwrap()));
}

#[test]
fn peer_that_declines_comes_last_for_a_while() {
    let mut contacts = contacts();
    contacts.record_failure(key(0), at(100));
    contacts.record_evidence(&peer(), &[(key(0), time::Millis(0))], at(200));
    contacts.record_declined(&peer(), at(210));
    assert!(contacts.has_declined(&peer(), at(220)));
    assert!(!contacts.has_declined(&peer(), at(800)));
    assert_eq!(contacts.reaching(at(220)).collect::<Vec<_>>(), [&peer()]);
}

#[test]
fn endpoint_that_owes_an_answer_in_silence_is_checked_once_a_second() {
    let mut contacts = contacts();
    contacts.record_send(key(0), at(100));
    assert_eq!(contacts.take_check(at(300)), None, "it has not been silent for long enough");
    assert_eq!(contacts.take_check(at(360)), Some(key(0)));
    assert_eq!(contacts.take_check(at(700)), None, "it is being checked");
    contacts.record_answer(key(1), at(1_300));
    assert_eq!(contacts.take_check(at(1_400)), None, "others of its part answer");
    contacts.record_unanswered(key(0));
    assert!(!contacts.questions(at(3_000)).is_empty());
    assert_eq!(contacts.take_check(at(3_000)), None, "one without an answer is enough");
}

// Guards against a relay that takes connections which are accepted and reset later for answers, so that it
// leaves its peers again and again, and tells them of answers that it has not had.
#[test]
fn connection_must_stay_open_longer_after_each_failure_behind_it() {
    let mut contacts = contacts();
    let peer: id::VmId = "vm".parse().unwrap();
    let mut now = START + time::Millis(100);
    let mut holds = Vec::new();
    for _ in 0..8 {
        for number in [0, 1] {
            contacts.record_failure(key(number), now);
        }
        let later = now + time::Millis(200);
        let told = [(key(0), time::Millis(0)), (key(1), time::Millis(0))];
        contacts.record_evidence(&peer, &told, later);
        contacts.judge(later);
        assert!(contacts.is_out(key(0)));
        holds.push(contacts.hold(key(0)).0);
        assert_eq!(contacts.hold(key(2)).0, 400, "another part");
        assert!(contacts.record_kept(key(0), later));
        assert!(!contacts.is_isolated());
        assert!(contacts.answers(&[(key(0), time::Millis(50))], later).is_empty(), "told to peers");
        now = later + time::Millis(300);
    }
    assert_eq!(holds, [400, 800, 1_600, 3_200, 3_200, 3_200, 3_200, 3_200]);
    contacts.record_answer(key(0), now);
    assert_eq!(contacts.hold(key(0)).0, 400, "after an answer");
}
