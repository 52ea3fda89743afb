//! Generates the gRPC code of the operator API from `operator.proto`.
//!
//! The code is committed, so that a build of the workspace doesn't run the generator.

use std::error::Error;
use std::fs;
use std::path::{Path, PathBuf};

const OUTPUT_FILE: &str = "ibishill.operator.v1.rs";

fn operator_crate() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../ibishill-operator")
}

/// Path of the committed code.
pub fn committed_path() -> PathBuf {
    operator_crate().join("src/generated").join(OUTPUT_FILE)
}

/// Generates the code in the directory `out_dir`, which is created if necessary, and returns it.
///
/// # Errors
///
/// Fails if the schema is invalid or the directory can't be written.
pub fn generate(out_dir: &Path) -> Result<String, Box<dyn Error>> {
    let proto = operator_crate().join("proto");
    let schema = protox::compile(["operator.proto"], [proto])?;
    fs::create_dir_all(out_dir)?;
    tonic_prost_build::configure().out_dir(out_dir).compile_fds(schema)?;
    Ok(fs::read_to_string(out_dir.join(OUTPUT_FILE))?)
}
