//! Bodies of the engine's responses, and tokenization of its prompts.

use std::hash::{DefaultHasher, Hash, Hasher};

use ibishill_endpoint::wire;
use rocket::serde::json::{Value, json};

use super::behaviour;
use super::cache;

/// One event of a streamed response; `id` is omitted if empty.
pub(crate) fn chunk(id: &str, model: &str, delta: &Value, finish_reason: Option<&str>) -> Value {
    let mut chunk = json!({
        "object": "chat.completion.chunk",
        "created": 0,
        "model": model,
        "choices": [{"index": 0, "delta": delta, "finish_reason": finish_reason}],
    });
    if !id.is_empty() {
        chunk["id"] = id.into();
    }
    chunk
}

/// The last event of a streamed response, which carries only the usage.
pub(crate) fn usage_chunk(id: &str, model: &str, usage: &Value) -> Value {
    let mut chunk = chunk(id, model, &json!({}), None);
    chunk["choices"] = json!([]);
    chunk["usage"] = usage.clone();
    chunk
}

/// A response that is not streamed; `id` is omitted if empty.
pub(crate) fn completion(id: &str, model: &str, text: &str, usage: &Value) -> Value {
    let mut completion = json!({
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
    if !id.is_empty() {
        completion["id"] = id.into();
    }
    completion
}

/// Text of the token at `index`.
pub(crate) fn token(behaviour: &behaviour::Behaviour, model: &str, index: u64) -> String {
    let prefix = if behaviour.bad { "(bad) " } else { "" };
    if index == 0 { format!("{prefix}Answer of {model}:") } else { format!(" word{index}") }
}

/// The `usage` object of a response.
pub(crate) fn usage(prompt_tokens: u64, output_tokens: u64) -> Value {
    json!({
        "prompt_tokens": prompt_tokens,
        "completion_tokens": output_tokens,
        "total_tokens": prompt_tokens + output_tokens,
    })
}

/// Returns the prompt's length, counting each word as one token, and the hashes of its full
/// blocks. A block's hash covers everything before it too.
pub(crate) fn tokenize(body: &Value) -> (u64, Vec<wire::Block>) {
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
