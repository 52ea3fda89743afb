//! Writes the generated code to where it is committed.

use std::error::Error;
use std::path::Path;

fn main() -> Result<(), Box<dyn Error>> {
    let target = ibishill_codegen::committed();
    let folder = target.parent().unwrap_or(Path::new("."));
    let code = ibishill_codegen::generate(folder)?;
    println!("{}: {} bytes", target.display(), code.len());
    Ok(())
}
