//! `ibishill certs`: a certificate authority and daemons' certificates.

use std::fs;
use std::path::Path;

use ibishill_core::id;
use ibishill_peer::tls;

use crate::args::Options;
use crate::error::CommandError;
use crate::output;

/// Writes `authority.pem` and, for each `zone/vm`, `vm.pem` and `vm.key`.
pub(crate) fn run(words: &[String], options: &Options) -> Result<(), CommandError> {
    if words.is_empty() {
        return Err(CommandError::usage("at least one ZONE/VM is needed"));
    }
    let folder = Path::new(options.out.as_deref().unwrap_or("."));
    let other =
        |error: ibishill_peer::error::LinkError| CommandError::Other { detail: error.to_string() };
    let places: Vec<_> = words.iter().map(|word| split(word)).collect::<Result<_, _>>()?;
    let authority = tls::Authority::generate().map_err(other)?;
    let mut written = vec![write(&folder.join("authority.pem"), &authority.pem())?];
    for (zone, vm) in places {
        let identity = authority.sign(&vm, &zone).map_err(other)?;
        written.push(write(&folder.join(format!("{vm}.pem")), &identity.certificate)?);
        let key = identity.private_key.expose();
        written.push(write(&folder.join(format!("{vm}.key")), key)?);
    }
    output::print(options.json, &written.clone().into(), &written);
    Ok(())
}

fn split(word: &str) -> Result<(id::ZoneId, id::VmId), CommandError> {
    let usage = || CommandError::usage(format!("{word:?} is not of the form ZONE/VM"));
    let (zone, vm) = word.split_once('/').ok_or_else(usage)?;
    Ok((zone.parse().map_err(|_| usage())?, vm.parse().map_err(|_| usage())?))
}

fn write(path: &Path, text: &str) -> Result<String, CommandError> {
    let shown = path.display().to_string();
    fs::write(path, text).map_err(|source| CommandError::File { path: shown.clone(), source })?;
    Ok(shown)
}
