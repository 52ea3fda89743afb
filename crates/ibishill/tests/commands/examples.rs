//! `ibishill check` on the files under examples/.

use std::fs;
use std::path::Path;

use crate::run;

struct Case {
    dir: &'static str,
    // Number of YAML files, so that none is missed.
    files: usize,
}

// Each directory holds one declarations file and the settings of its VMs.
const CASES: &[Case] = &[
    Case { dir: "examples/cooperativa", files: 7 },
    Case { dir: "examples/brazos", files: 7 },
    Case { dir: "examples/local", files: 4 },
];

#[test]
fn examples_have_no_findings() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    for Case { dir, files } in CASES {
        let names = fs::read_dir(root.join(dir)).unwrap().map(|entry| entry.unwrap().file_name());
        let yaml = names.filter(|name| name.to_string_lossy().ends_with(".yaml"));
        let paths: Vec<_> = yaml.map(|name| format!("{dir}/{}", name.to_string_lossy())).collect();
        assert_eq!(paths.len(), *files, "{dir}");
        let mut args = vec!["check"];
        args.extend(paths.iter().map(String::as_str));
        let result = run(&args);
        assert_eq!((result.code, result.stderr.as_str()), (0, ""), "{dir}");
    }
}

#[test]
fn partial_document_is_valid_only_with_flag() {
    let file = "examples/local/parts/more-slots.yaml";
    assert_eq!(run(&["check", "--partial", file]).code, 0);
    assert_eq!(run(&["check", file]).code, 3);
}
