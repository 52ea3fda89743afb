use ibishill_decide::portion;

#[test]
fn portion_adapts_to_the_link_within_its_limits() {
    struct Case {
        name: &'static str,
        successes: &'static [bool],
        expected: usize,
    }
    let cases = [
        Case { name: "start", successes: &[], expected: portion::CHUNKS_MAX },
        Case { name: "wide link", successes: &[true; 5], expected: portion::CHUNKS_MAX },
        Case { name: "one failure", successes: &[false], expected: portion::CHUNKS_MAX / 2 },
        Case { name: "dead link", successes: &[false; 20], expected: 1 },
        Case {
            name: "recovered link",
            successes: &[false, false, false, false, false, true, true],
            expected: 4,
        },
    ];
    for case in cases {
        let mut portion = portion::Portion::default();
        for is_success in case.successes {
            if *is_success {
                portion.record_success();
            } else {
                portion.record_failure();
            }
        }
        assert_eq!(portion.chunks(), case.expected, "{}", case.name);
    }
}
