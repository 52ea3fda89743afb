//! `ibishill certs`: creates a certificate authority and the daemons' certificates.

use std::fs;
use std::path::Path;

use ibishill_core::id;
use ibishill_peer::tls;

use crate::args::Options;
use crate::error::CommandError;
use crate::output;

/// Writes `authority.pem` and, for each `zone/vm`, `vm.pem` and `vm.key`.
///
/// The authority's private key is dropped, so that no further certificate can be signed with it.
pub(crate) fn run(args: &[String], options: &Options) -> Result<(), CommandError> {
    if args.is_empty() {
        return Err(CommandError::usage("expected at least one ZONE/VM"));
    }
    let dir = Path::new(options.out.as_deref().unwrap_or("."));
    let to_error =
        |error: ibishill_peer::error::LinkError| CommandError::Other { detail: error.to_string() };
    let vms: Vec<_> = args.iter().map(|arg| parse_vm(arg)).collect::<Result<_, _>>()?;
    let authority = tls::Authority::generate().map_err(to_error)?;
    let mut written = vec![write(&dir.join("authority.pem"), &authority.pem())?];
    for (zone, vm) in vms {
        let identity = authority.sign(&vm, &zone).map_err(to_error)?;
        written.push(write(&dir.join(format!("{vm}.pem")), &identity.certificate)?);
        let key = identity.private_key.expose();
        written.push(write(&dir.join(format!("{vm}.key")), key)?);
    }
    output::print(options.json, &written.clone().into(), &written);
    Ok(())
}

fn parse_vm(arg: &str) -> Result<(id::ZoneId, id::VmId), CommandError> {
    let usage = || CommandError::usage(format!("{arg:?} is not of the form ZONE/VM"));
    let (zone, vm) = arg.split_once('/').ok_or_else(usage)?;
    Ok((zone.parse().map_err(|_| usage())?, vm.parse().map_err(|_| usage())?))
}

fn write(path: &Path, text: &str) -> Result<String, CommandError> {
    let shown = path.display().to_string();
    fs::write(path, text).map_err(|source| CommandError::File { path: shown.clone(), source })?;
    Ok(shown)
}
