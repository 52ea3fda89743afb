//! List of the models that a workspace may use.

use std::collections::BTreeSet;

use ibishill_config::declared;
use rocket::serde::json::{Json, Value, json};
use rocket::{State, get};

use super::{Shared, auth};

/// Lists models and versions in the format of the OpenAI API.
#[get("/v1/models")]
pub(crate) fn list(context: &State<Shared>, caller: auth::Caller) -> Json<Value> {
    let config = context.config.get();
    let mut names = BTreeSet::from(["auto".to_owned()]);
    if let Some(workspace) = config.declared.workspaces.get(&caller.workspace) {
        let usable = config.declared.versions.iter().filter(|(name, version)| {
            workspace.allows(name) && version.state != declared::VersionState::Withdrawn
        });
        for (name, _) in usable {
            names.insert(name.model.to_string());
            names.insert(name.to_string());
        }
    }
    let data: Vec<_> = names
        .into_iter()
        .map(|name| json!({"id": name, "object": "model", "created": 0, "owned_by": "ibishill"}))
        .collect();
    Json(json!({"object": "list", "data": data}))
}
