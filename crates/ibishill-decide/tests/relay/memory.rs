use ibishill_core::time;
use ibishill_decide::memory;

const MB: usize = 1_000_000;

/// An upload that occupies `size` bytes and made progress until `progress`.
fn upload((number, size, progress): (u64, usize, u64)) -> (u64, memory::Upload) {
    let mut upload = memory::Upload::begin(time::Tick(0));
    upload.record(size, time::Tick(progress));
    upload.size = size;
    (number, upload)
}

// Guards against callers that fill the memory with bodies that they do not end, and against refusals of ordinary
// bodies meanwhile.
#[test]
fn uploads_without_progress_are_given_up_before_those_with_progress() {
    struct Case {
        name: &'static str,
        /// Number, size and time of the last progress; the present time is 2,000.
        uploads: &'static [(u64, usize, u64)],
        /// Bodies of running requests, in bytes.
        running: usize,
        /// Answers, in bytes.
        answers: usize,
        size: usize,
        expected: memory::Growth,
    }
    // 100 MB: 50 for data, 31.25 of it for bodies.
    let budget = memory::Budget::of(Some(100 * MB), None);
    use memory::Growth::{Evict, Fits, Refuse};
    let cases = [
        Case {
            name: "nothing held",
            uploads: &[],
            running: 0,
            answers: 0,
            size: 31 * MB,
            expected: Fits,
        },
        Case {
            name: "more than all",
            uploads: &[],
            running: 0,
            answers: 0,
            size: 32 * MB,
            expected: Refuse,
        },
        Case {
            name: "the longest without progress first",
            uploads: &[(1, 10 * MB, 1_900), (2, 10 * MB, 900), (3, 10 * MB, 800)],
            running: 0,
            answers: 0,
            size: 2 * MB,
            expected: Evict(3),
        },
        Case {
            name: "all make progress",
            uploads: &[(1, 15 * MB, 1_900), (2, 15 * MB, 1_950)],
            running: 0,
            answers: 0,
            size: 2 * MB,
            expected: Refuse,
        },
        Case {
            name: "ordinary body beside large ones",
            uploads: &[(1, 15 * MB, 1_900), (2, 15 * MB, 1_950)],
            running: 0,
            answers: 0,
            size: 72_000,
            expected: Fits,
        },
        Case {
            name: "large body that would take the last of the memory",
            uploads: &[],
            running: 30 * MB,
            answers: 0,
            size: MB,
            expected: Refuse,
        },
        Case {
            name: "running requests only",
            uploads: &[],
            running: 31 * MB,
            answers: 0,
            size: MB,
            expected: Refuse,
        },
        Case {
            name: "answers occupy the memory",
            uploads: &[(1, 10 * MB, 500)],
            running: 0,
            answers: 40 * MB,
            size: MB,
            expected: Evict(1),
        },
    ];
    for case in cases {
        let bodies = case.running + case.uploads.iter().map(|(_, size, _)| size).sum::<usize>();
        let usage = memory::Usage { total: bodies + case.answers, bodies };
        let claim = memory::Claim { number: 9, held: 0, size: case.size };
        let uploads = case.uploads.iter().copied().map(upload);
        let found = memory::grow(&budget, usage, claim, uploads, time::Tick(2_000));
        assert_eq!(found, case.expected, "{}", case.name);
    }
}

// Guards against answers that begin at the same moment and are all read at once: nothing of them is buffered yet.
#[test]
fn large_answers_that_begin_together_are_read_within_their_share() {
    let budget = memory::Budget::of(None, None);
    let length = 300_000;
    let mut reading = memory::Reading { count: 0, buffered: 0, declared: 0 };
    for _ in 0..450 {
        reading.count += 1;
        if reading.is_free(&budget, length) {
            reading.declared += length;
        }
    }
    let declared = reading.declared;
    assert!((length..=budget.answers / 4).contains(&declared), "{declared} bytes");
    assert!(reading.is_free(&budget, 60_000), "an ordinary answer waits");
}

// Guards against answers that are held up while there is memory for them.
#[test]
fn answers_that_are_read_count_once() {
    // 64 MB: 32 for data, 20 of it for unread answers.
    let budget = memory::Budget::of(Some(64 * MB), None);
    // Name, bytes of bodies and of answers that are being read, and what is left for unread ones.
    let cases = [
        ("nothing else", 0, 0, 20 * MB),
        ("answers are read", 0, 8 * MB, 12 * MB),
        ("bodies beside", 16 * MB, 0, 16 * MB),
        ("bodies and answers", 16 * MB, 8 * MB, 8 * MB),
        ("all that bodies may take", 20 * MB, 8 * MB, 4 * MB),
    ];
    for (name, bodies, buffered, expected) in cases {
        let reading = memory::Reading { count: 0, buffered, declared: buffered };
        let left = budget.unread_and_reading(bodies) - reading.size();
        assert_eq!(left, expected, "{name}");
    }
}

// Guards against unread answers that fill the memory beside hundreds of connections, and against none being left.
#[test]
fn connections_of_callers_take_from_what_may_be_unread() {
    let limit = 24 * 1_024 * 1_024;
    let cases = [(0, limit), (450, limit - 450 * 24 * 1_024), (800, limit / 4), (5_000, limit / 4)];
    for (callers, expected) in cases {
        assert_eq!(memory::beside_callers(limit, callers), expected, "{callers} callers");
    }
}

// Guards against bodies that are refused while callers that read nothing occupy the memory.
#[test]
fn callers_that_read_nothing_are_disconnected_for_bodies() {
    // 64 MB: 32 for data, 20 of it for bodies.
    let budget = memory::Budget::of(Some(64 * MB), None);
    let stalled = &[(1, 900), (2, 500), (3, 1_900)][..];
    let cases = [
        ("the longest first", 12 * MB, 20 * MB, stalled, Some(2)),
        ("all have read a moment ago", 12 * MB, 20 * MB, &[(3, 1_900)][..], None),
        ("nothing unread", 12 * MB, 20 * MB, &[][..], None),
        ("there is memory", 4 * MB, 20 * MB, stalled, None),
        ("bodies are at their limit", 20 * MB, 12 * MB, stalled, None),
    ];
    for (name, bodies, unread, readers, expected) in cases {
        let usage = memory::Usage { total: bodies + unread, bodies };
        let claim = memory::Claim { number: 9, held: 0, size: MB };
        let readers = readers.iter().map(|(number, at)| (*number, time::Tick(*at)));
        let found = memory::unread_to_release(&budget, usage, claim, readers, time::Tick(2_000));
        assert_eq!(found, expected, "{name}");
    }
}

// Guards against heads that occupy several times their length without being counted, and against ordinary requests that
// are refused for their heads.
#[test]
fn heads_count_with_what_is_decoded_of_them() {
    struct Case {
        name: &'static str,
        head: memory::Head,
        size: usize,
        is_small: bool,
    }
    let head = |text, headers, segments| memory::Head { text, headers, segments };
    let cases = [
        Case { name: "ordinary", head: head(500, 12, 4), size: 5_636, is_small: true },
        Case { name: "segments", head: head(15_900, 9, 3_900), size: 144_204, is_small: false },
        Case { name: "session", head: head(15_900, 9, 0), size: 81_804, is_small: false },
        Case { name: "many headers", head: head(14_000, 98, 0), size: 95_088, is_small: false },
        Case { name: "a few long ones", head: head(3_000, 10, 20), size: 17_880, is_small: false },
    ];
    for case in cases {
        let found = (case.head.size(), case.head.is_small());
        assert_eq!(found, (case.size, case.is_small), "{}", case.name);
    }
}

// Guards against bodies whose connections occupy as much as they do, and against refused ones that do.
#[test]
fn bodies_count_with_what_connections_buffer() {
    let cases = [("small", 4_096, 4_096), ("ordinary", 72_000, 104_768), ("none", 0, 0)];
    for (name, capacity, expected) in cases {
        assert_eq!(memory::arriving(capacity), expected, "{name}");
    }
    let cases = [(None, usize::MAX), (Some(88 * MB), 167), (Some(260 * MB), 495)];
    for (bytes, expected) in cases {
        assert_eq!(memory::Budget::of(bytes, None).discards, expected, "{bytes:?}");
    }
}

// Guards against callers that send single bytes to look alive.
#[test]
fn single_bytes_are_no_progress() {
    let mut upload = memory::Upload::begin(time::Tick(0));
    for now in (0..3_000).step_by(100) {
        upload.record(1, time::Tick(now));
    }
    assert_eq!(memory::stalled([(1, upload)].into_iter(), time::Tick(3_000)), Some(1));
    upload.record(72_000, time::Tick(3_000));
    assert_eq!(memory::stalled([(1, upload)].into_iter(), time::Tick(3_500)), None);
}

#[test]
fn budget_follows_the_settings() {
    struct Case {
        memory: Option<usize>,
        descriptors: Option<usize>,
        /// Bodies, answers, unread.
        bytes: [usize; 3],
        connections: usize,
    }
    let mebibyte = 1_024 * 1_024;
    let cases = [
        // The constants before there was a budget.
        Case {
            memory: None,
            descriptors: None,
            bytes: [usize::MAX, 16 * mebibyte, 24 * mebibyte],
            connections: usize::MAX,
        },
        Case {
            memory: Some(88 * MB),
            descriptors: Some(4_100),
            bytes: [27_500_000, 11_000_000, 24 * mebibyte],
            connections: 1_342,
        },
        Case {
            memory: Some(260 * MB),
            descriptors: Some(4_100),
            bytes: [81_250_000, 16 * mebibyte, 24 * mebibyte],
            connections: 2_018,
        },
        Case {
            memory: None,
            descriptors: Some(100),
            bytes: [usize::MAX, 16 * mebibyte, 24 * mebibyte],
            connections: 37,
        },
    ];
    for Case { memory, descriptors, bytes, connections } in cases {
        let budget = memory::Budget::of(memory, descriptors);
        let found = [budget.bodies, budget.answers, budget.unread];
        assert_eq!((found, budget.connections), (bytes, connections), "{memory:?} {descriptors:?}");
        // Answers of running requests always have an eighth.
        let left = budget.unread_beside(budget.bodies.saturating_add(budget.answers));
        assert!(left >= (budget.total / 8).min(budget.unread), "{memory:?}: {left}");
    }
}

// Guards against closing connections that have just been opened or used.
#[test]
fn connection_without_a_request_for_the_longest_time_is_closed() {
    let cases =
        [(&[(1, 1_500), (2, 1_200)][..], None), (&[(1, 1_500), (2, 900), (3, 400)], Some(3))];
    for (connections, expected) in cases {
        let connections = connections.iter().map(|(number, at)| (*number, time::Tick(*at)));
        assert_eq!(memory::inactive(connections, time::Tick(2_000)), expected);
    }
}
