//! Checks of a daemon's settings.

use crate::check::Report;
use crate::{finding, settings};

/// Minimum length of a key that signs session tokens, in bytes.
const MIN_SESSION_KEY_BYTES: usize = 32;

/// Checks ranges and combinations of settings; returns all findings.
pub fn settings(file: &str, settings: &settings::Settings) -> Vec<finding::Finding> {
    let mut report = Report::new(file);
    addresses(settings, &mut report);
    security(&settings.security, &mut report);
    limits(&settings.limits, &mut report);
    periods(&settings.periods, &mut report);
    report.found
}

fn addresses(settings: &settings::Settings, report: &mut Report<'_>) {
    let addresses = [
        ("callers", settings.callers),
        ("operators", settings.operators),
        ("peers", settings.peers),
    ];
    for (name, address) in addresses {
        if settings.security.insecure && !address.ip().is_loopback() {
            let message = format!("security.insecure needs a loopback address, not {address}");
            report.add(name.into(), message);
        }
        if address.port() == 0 {
            report.add(name.into(), "the port must not be 0");
        }
    }
    let is_plain = settings.security.operator_certificate.is_none();
    if is_plain && !settings.security.insecure && !settings.operators.ip().is_loopback() {
        let hint = "set security.operator-certificate and security.operator-key";
        let message = "without TLS, operators' tokens would cross the network in the clear";
        report.add_with_hint("security.operator-certificate".into(), message, Some(hint.into()));
    }
    // Peers use UDP, so only the addresses of callers and operators can conflict.
    if settings.callers == settings.operators {
        report.add("operators".into(), "the address must differ from that of callers");
    }
}

fn security(security: &settings::Security, report: &mut Report<'_>) {
    if !security.insecure && security.tokens.is_empty() {
        let hint = "make the hash of a token with 'ibishill key-hash'";
        let message = "no operator's token is set";
        report.add_with_hint("security.tokens".into(), message, Some(hint.into()));
    }
    for (index, token) in security.tokens.iter().enumerate() {
        if security.tokens[..index].iter().any(|other| other.hash.matches(&token.hash)) {
            let path = format!("security.tokens[{index}].hash");
            report.add(path, "another operator has the same token");
        }
        if token.rights.is_empty() {
            let path = format!("security.tokens[{index}].rights");
            report.add(path, "an operator must have at least one right");
        }
    }
    if security.operator_certificate.is_some() != security.operator_key.is_some() {
        let message = "operator-certificate and operator-key must be set together";
        report.add("security.operator-certificate".into(), message);
    }
    for (index, key) in security.session_keys.iter().enumerate() {
        if key.expose().len() < MIN_SESSION_KEY_BYTES {
            let message = format!("a session key must have at least {MIN_SESSION_KEY_BYTES} bytes");
            report.add(format!("security.session-keys[{index}]"), message);
        }
    }
    let files = [&security.authority, &security.certificate, &security.private_key];
    let set = files.iter().filter(|file| file.is_some()).count();
    if set != files.len() && (set > 0 || !security.insecure) {
        let hint = "make them with 'ibishill certs'";
        let message = "authority, certificate and private-key must be set together";
        report.add_with_hint("security.certificate".into(), message, Some(hint.into()));
    }
}

fn limits(limits: &settings::Limits, report: &mut Report<'_>) {
    let zero = [
        ("body", limits.body == 0),
        ("headers", limits.headers == 0),
        ("streams", limits.streams == 0),
        ("idle", limits.idle.0 == 0),
        ("deadline", limits.deadline.0 == 0),
    ];
    for (name, _) in zero.into_iter().filter(|(_, zero)| *zero) {
        report.add(format!("limits.{name}"), "a limit must be greater than 0");
    }
}

fn periods(periods: &settings::Periods, report: &mut Report<'_>) {
    let zero = [
        ("poll", periods.poll.0 == 0),
        ("renew", periods.renew.0 == 0),
        ("lease", periods.lease.0 == 0),
        ("billing", periods.billing.0 == 0),
    ];
    for (name, _) in zero.into_iter().filter(|(_, zero)| *zero) {
        report.add(format!("periods.{name}"), "a period must be greater than 0");
    }
    // The lease must survive one failed renewal.
    if periods.renew.0.saturating_mul(2) >= periods.lease.0 {
        let message = "a lease must be longer than two renewal periods";
        report.add("periods.lease".into(), message);
    }
}
