//! Identifies a whole request, so that one that ends endpoints is known when it comes again under
//! another id.

use http::{Method, Uri};
use ibishill_core::{call, id};
use sha2::{Digest, Sha256};

/// What makes two requests the same one.
pub(crate) struct Parts<'a> {
    pub(crate) route: &'a id::RouteId,
    pub(crate) workspace: Option<&'a id::WorkspaceId>,
    pub(crate) method: &'a Method,
    /// Path and query.
    pub(crate) uri: &'a Uri,
    pub(crate) body: &'a [u8],
}

/// Digest of a request's parts. Each part is preceded by its length, so that no part can run on into
/// the next one.
pub(crate) fn of(parts: &Parts<'_>) -> call::RequestKey {
    let uri = parts.uri.to_string();
    let workspace = parts.workspace.map_or("", id::WorkspaceId::as_str);
    let texts = [parts.route.as_str(), workspace, parts.method.as_str(), &uri];
    let mut digest = Sha256::new();
    for part in texts.map(str::as_bytes).into_iter().chain([parts.body]) {
        digest.update((part.len() as u64).to_le_bytes());
        digest.update(part);
    }
    let digest: [u8; 32] = digest.finalize().into();
    let mut key = [0; 16];
    key.copy_from_slice(&digest[..16]);
    call::RequestKey(key)
}
