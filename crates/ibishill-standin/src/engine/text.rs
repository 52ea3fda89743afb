//! Texts of the engine's answers and the shape of its prompts.

use std::hash::{DefaultHasher, Hash, Hasher};

use ibishill_endpoint::wire;
use rocket::serde::json::{Value, json};

use super::behaviour;
use super::cache;

/// One event of a stream.
pub(crate) fn chunk(name: &str, model: &str, delta: &Value, finish: Option<&str>) -> Value {
    let mut chunk = json!({
        "object": "chat.completion.chunk",
        "created": 0,
        "model": model,
        "choices": [{"index": 0, "delta": delta, "finish_reason": finish}],
    });
    if !name.is_empty() {
        chunk["id"] = name.into();
    }
    chunk
}

/// The last event of a stream, which tells only the usage.
pub(crate) fn last(name: &str, model: &str, usage: &Value) -> Value {
    let mut last = chunk(name, model, &json!({}), None);
    last["choices"] = json!([]);
    last["usage"] = usage.clone();
    last
}

/// A whole answer.
pub(crate) fn whole(name: &str, model: &str, text: &str, usage: &Value) -> Value {
    let mut whole = json!({
        "object": "chat.completion",
        "created": 0,
        "model": model,
        "choices": [{
            "index": 0,
            "message": {"role": "assistant", "content": text},
            "finish_reason": "stop",
        }],
        "usage": usage,
    });
    if !name.is_empty() {
        whole["id"] = name.into();
    }
    whole
}

/// The token with the index `n`.
pub(crate) fn token(behaviour: &behaviour::Behaviour, model: &str, n: u64) -> String {
    let mark = if behaviour.bad { "(bad) " } else { "" };
    if n == 0 { format!("{mark}Answer of {model}:") } else { format!(" word{n}") }
}

/// Usage as the published form tells it.
pub(crate) fn usage(prompt: u64, output: u64) -> Value {
    json!({"prompt_tokens": prompt, "completion_tokens": output, "total_tokens": prompt + output})
}

/// Length of a prompt in tokens, one a word, and the hashes of its full blocks.
pub(crate) fn prompt(body: &Value) -> (u64, Vec<wire::Block>) {
    let messages = body["messages"].as_array().map_or(&[][..], Vec::as_slice);
    let texts = messages.iter().filter_map(|message| message["content"].as_str());
    let mut hasher = DefaultHasher::new();
    let mut tokens = 0;
    let mut blocks = Vec::new();
    for word in texts.flat_map(str::split_whitespace) {
        word.hash(&mut hasher);
        tokens += 1;
        if tokens % cache::BLOCK_TOKENS == 0 {
            blocks.push(hasher.finish());
        }
    }
    (tokens, blocks)
}
