//! `ibishill certs`: a certificate authority and daemons' certificates.

use std::fs;
use std::path::Path;

use ibishill_core::id;
use ibishill_peer::tls;

use crate::args::Options;
use crate::error::CommandError;

/// Writes `authority.pem` and, for each `zone/vm`, `vm.pem` and `vm.key`.
pub(crate) fn run(words: &[String], options: &Options) -> Result<(), CommandError> {
    if words.is_empty() {
        return Err(CommandError::Usage { detail: "at least one ZONE/VM is needed".into() });
    }
    let folder = Path::new(options.out.as_deref().unwrap_or("."));
    let other =
        |error: ibishill_peer::error::LinkError| CommandError::Other { detail: error.to_string() };
    let authority = tls::Authority::generate().map_err(other)?;
    write(&folder.join("authority.pem"), &authority.pem())?;
    for word in words {
        let (zone, vm) = split(word)?;
        let identity = authority.sign(&vm, &zone).map_err(other)?;
        write(&folder.join(format!("{vm}.pem")), &identity.certificate)?;
        write(&folder.join(format!("{vm}.key")), identity.private_key.expose())?;
    }
    Ok(())
}

fn split(word: &str) -> Result<(id::ZoneId, id::VmId), CommandError> {
    let usage = || CommandError::Usage { detail: format!("{word:?} is not of the form ZONE/VM") };
    let (zone, vm) = word.split_once('/').ok_or_else(usage)?;
    Ok((zone.parse().map_err(|_| usage())?, vm.parse().map_err(|_| usage())?))
}

fn write(path: &Path, text: &str) -> Result<(), CommandError> {
    let shown = path.display().to_string();
    fs::write(path, text).map_err(|source| CommandError::File { path: shown.clone(), source })?;
    println!("{shown}");
    Ok(())
}
