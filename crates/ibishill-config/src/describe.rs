//! Human-readable descriptions of the steps of a change.
//!
//! Each step is compared with the declarations before it: the line tells whether an object is
//! added or changed, and shows the old and new value of each changed field.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use serde::Serialize;
use serde_json::Value;

use crate::{change, declared};

impl fmt::Display for change::Step {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Policy(policy) => write!(f, "put policy {}", plain_text(&to_json(policy))),
            Self::PutZone(name, _) => write!(f, "put zone {name}"),
            Self::DropZone(name) => write!(f, "drop zone {name}"),
            Self::PutVersion(name, _) => write!(f, "put version {name}"),
            Self::DropVersion(name) => write!(f, "drop version {name}"),
            Self::PutWorkspace(name, _) => write!(f, "put workspace {name}"),
            Self::DropWorkspace(name) => write!(f, "drop workspace {name}"),
            Self::PutEndpoint(name, _) => write!(f, "put endpoint {name}"),
            Self::DropEndpoint(name) => write!(f, "drop endpoint {name}"),
            Self::PutService(name, _) => write!(f, "put service {name}"),
            Self::DropService(name) => write!(f, "drop service {name}"),
            Self::PutRollout(name, _) => write!(f, "put roll-out {name}"),
            Self::DropRollout(name) => write!(f, "drop roll-out {name}"),
        }
    }
}

/// Describes steps that are applied to `base` in order, one line each: `+` added, `~` changed,
/// `=` unchanged, `-` removed.
pub fn steps(base: &declared::Declared, steps: &[change::Step]) -> Vec<String> {
    let mut current = base.clone();
    let mut lines = Vec::new();
    for step in steps {
        lines.push(describe_step(&current, step));
        change::apply(&mut current, step.clone());
    }
    lines
}

fn describe_step(base: &declared::Declared, step: &change::Step) -> String {
    use change::Step;
    match step {
        Step::Policy(policy) => {
            format!(
                "~ policy: {} -> {}",
                plain_text(&to_json(&base.policy)),
                plain_text(&to_json(policy))
            )
        }
        Step::PutZone(name, new) => describe_put("zone", &base.zones, name, new),
        Step::PutVersion(name, new) => describe_put("version", &base.versions, name, new),
        Step::PutWorkspace(name, new) => describe_put("workspace", &base.workspaces, name, new),
        Step::PutEndpoint(name, new) => describe_put("endpoint", &base.endpoints, name, new),
        Step::PutService(name, new) => describe_put("service", &base.services, name, new),
        Step::PutRollout(name, new) => describe_put("roll-out", &base.rollouts, name, new),
        Step::DropZone(_)
        | Step::DropVersion(_)
        | Step::DropWorkspace(_)
        | Step::DropEndpoint(_)
        | Step::DropService(_)
        | Step::DropRollout(_) => step.to_string().replacen("drop", "-", 1),
    }
}

fn describe_put<K, V>(kind: &str, old: &BTreeMap<K, V>, name: &K, new: &V) -> String
where
    K: Ord + fmt::Display,
    V: Serialize + PartialEq,
{
    match old.get(name) {
        None => format!("+ {kind} {name}"),
        Some(old) if old == new => format!("= {kind} {name}"),
        Some(old) => format!("~ {kind} {name}: {}", changed_fields(&to_json(old), &to_json(new))),
    }
}

fn changed_fields(old: &Value, new: &Value) -> String {
    let empty = serde_json::Map::new();
    let (old, new) = (old.as_object().unwrap_or(&empty), new.as_object().unwrap_or(&empty));
    let keys: BTreeSet<_> = old.keys().chain(new.keys()).collect();
    let changed = keys.into_iter().filter(|key| old.get(*key) != new.get(*key));
    let shown = |value: Option<&Value>| value.map_or_else(|| "none".to_owned(), plain_text);
    let lines =
        changed.map(|key| format!("{key} {} -> {}", shown(old.get(key)), shown(new.get(key))));
    lines.collect::<Vec<_>>().join(", ")
}

fn to_json<T>(object: &T) -> Value
where
    T: Serialize,
{
    serde_json::to_value(object).unwrap_or_default()
}

fn plain_text(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        Value::Null => "none".to_owned(),
        other => other.to_string(),
    }
}
