//! Generates the code of the operators' schema into the operator crate.
//!
//! The output is committed, so that the build needs no generator.

use std::error::Error;
use std::fs;
use std::path::{Path, PathBuf};

const OUTPUT: &str = "ibishill.operator.v1.rs";

fn operator_crate() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../ibishill-operator")
}

/// Where the generated code is committed.
pub fn committed() -> PathBuf {
    operator_crate().join("src/generated").join(OUTPUT)
}

/// Generates the code into `folder` and returns it.
///
/// # Errors
///
/// Fails if the schema is not valid or the folder can't be written.
pub fn generate(folder: &Path) -> Result<String, Box<dyn Error>> {
    let proto = operator_crate().join("proto");
    let schema = protox::compile(["operator.proto"], [proto])?;
    fs::create_dir_all(folder)?;
    tonic_prost_build::configure().out_dir(folder).compile_fds(schema)?;
    Ok(fs::read_to_string(folder.join(OUTPUT))?)
}
