//! Regenerates the committed code.

use std::error::Error;
use std::path::Path;

fn main() -> Result<(), Box<dyn Error>> {
    let path = ibishill_codegen::committed_path();
    let out_dir = path.parent().unwrap_or(Path::new("."));
    let code = ibishill_codegen::generate(out_dir)?;
    println!("{}: {} bytes", path.display(), code.len());
    Ok(())
}
