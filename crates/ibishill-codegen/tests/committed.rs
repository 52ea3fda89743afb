//! The committed code matches the schema.

use std::{env, fs};

#[test]
fn committed_code_matches_schema() {
    let out_dir = env::temp_dir().join("ibishill-codegen-test");
    let generated = ibishill_codegen::generate(&out_dir).unwrap();
    let committed = fs::read_to_string(ibishill_codegen::committed_path()).unwrap();
    assert!(generated == committed, "run `cargo run -p ibishill-codegen` and commit the result");
}
