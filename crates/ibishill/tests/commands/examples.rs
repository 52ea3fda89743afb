//! The examples pass the check.

use std::fs;
use std::path::Path;

use crate::run;

struct Case {
    folder: &'static str,
    files: usize,
}

// One declaration and the settings of each entry VM.
const CASES: &[Case] = &[
    Case { folder: "examples/cooperativa", files: 7 },
    Case { folder: "examples/brazos", files: 7 },
    Case { folder: "examples/local", files: 4 },
];

#[test]
fn examples_have_no_finding() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    for Case { folder, files } in CASES {
        let names =
            fs::read_dir(root.join(folder)).unwrap().map(|entry| entry.unwrap().file_name());
        let yaml = names.filter(|name| name.to_string_lossy().ends_with(".yaml"));
        let paths: Vec<_> =
            yaml.map(|name| format!("{folder}/{}", name.to_string_lossy())).collect();
        assert_eq!(paths.len(), *files, "{folder}");
        let mut args = vec!["check"];
        args.extend(paths.iter().map(String::as_str));
        let done = run(&args);
        assert_eq!((done.code, done.errors.as_str()), (0, ""), "{folder}");
    }
}

#[test]
fn a_part_is_checked_as_such() {
    let part = "examples/local/parts/more-slots.yaml";
    assert_eq!(run(&["check", "--partial", part]).code, 0);
    assert_eq!(run(&["check", part]).code, 3);
}
