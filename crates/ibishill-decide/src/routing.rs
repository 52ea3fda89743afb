//! Which declared route a request takes, for whom, and to which service.

use ibishill_core::{id, route};
use xxhash_rust::xxh3;

/// The route with the longest prefix of `path` among those of `host`.
pub fn find<'a>(catalog: &'a route::Catalog, host: &str, path: &str) -> Option<&'a route::Route> {
    let host = host.rsplit_once(':').map_or(host, |(name, _)| name);
    catalog
        .routes
        .iter()
        .filter(|route| route.host.eq_ignore_ascii_case(host) && path.starts_with(&route.prefix))
        .max_by_key(|route| route.prefix.len())
}

/// Why a request has no workspace.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Unauthorized;

/// The workspace of a request's key; none on a public route, or if no keys are declared.
///
/// # Errors
///
/// Refuses a missing or unknown key.
pub fn workspace<'a>(
    catalog: &'a route::Catalog,
    route: &route::Route,
    key: Option<&str>,
) -> Result<Option<&'a route::Workspace>, Unauthorized> {
    if route.is_public || catalog.spaces.is_empty() {
        return Ok(None);
    }
    let place = key.and_then(|key| catalog.keys.get(key)).ok_or(Unauthorized)?;
    Ok(catalog.spaces.get(*place))
}

/// The service that a request goes to, by the weights of its route.
///
/// The choice depends on the request's session or id alone, so that repeats take the same way.
pub fn select_service<'a>(route: &'a route::Route, key: &[u8]) -> Option<&'a id::ServiceId> {
    let all: u64 = route.shares.iter().map(|share| u64::from(share.weight)).sum();
    let mut at = xxh3::xxh3_64(key) % all.max(1);
    for share in &route.shares {
        if at < u64::from(share.weight) {
            return Some(&share.service);
        }
        at -= u64::from(share.weight);
    }
    None
}
