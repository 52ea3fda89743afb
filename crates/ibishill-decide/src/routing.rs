//! Resolves a request's declared route, its workspace and its service.

use ibishill_core::{id, route};
use xxhash_rust::xxh3;

/// Finds the route of `host` with the longest prefix that matches `path`.
///
/// The host is compared case-insensitively and without its port.
pub fn find<'a>(catalog: &'a route::Catalog, host: &str, path: &str) -> Option<&'a route::Route> {
    let host = host.rsplit_once(':').map_or(host, |(name, _)| name);
    catalog
        .routes
        .iter()
        .filter(|route| route.host.eq_ignore_ascii_case(host) && path.starts_with(&route.prefix))
        .max_by_key(|route| route.prefix.len())
}

/// The request's key is missing or unknown.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Unauthorized;

/// Returns the workspace of a request's key; `None` on a public route or if no workspaces are
/// declared.
///
/// # Errors
///
/// Rejects a missing or unknown key.
pub fn workspace<'a>(
    catalog: &'a route::Catalog,
    route: &route::Route,
    key: Option<&str>,
) -> Result<Option<&'a route::Workspace>, Unauthorized> {
    if route.is_public || catalog.workspaces.is_empty() {
        return Ok(None);
    }
    let index = key.and_then(|key| catalog.keys.get(key)).ok_or(Unauthorized)?;
    Ok(catalog.workspaces.get(*index))
}

/// Selects the service for a request by the weights of its route; `None` if none has a weight.
///
/// The choice depends only on `key`, the request's session or id, so retries go to the same
/// service.
pub fn select_service<'a>(route: &'a route::Route, key: &[u8]) -> Option<&'a id::ServiceId> {
    let total: u64 = route.destinations.iter().map(|share| u64::from(share.weight)).sum();
    let mut offset = xxh3::xxh3_64(key) % total.max(1);
    for share in &route.destinations {
        if offset < u64::from(share.weight) {
            return Some(&share.service);
        }
        offset -= u64::from(share.weight);
    }
    None
}
