//! The committed code matches the schema.

use std::{env, fs};

#[test]
fn committed_code_matches_schema() {
    let folder = env::temp_dir().join("ibishill-codegen-test");
    let fresh = ibishill_codegen::generate(&folder).unwrap();
    let committed = fs::read_to_string(ibishill_codegen::committed()).unwrap();
    assert!(fresh == committed, "run `cargo run -p ibishill-codegen` and commit the result");
}
