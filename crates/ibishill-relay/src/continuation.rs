//! Whether an answer continues a stream that broke off. An endpoint may answer with something else, which must not reach
//! the caller in the middle of the stream.

use http::{HeaderMap, Response, StatusCode, header};

const EVENT_STREAM: &str = "text/event-stream";

/// Checks the head of an answer that is to continue a stream.
///
/// # Errors
///
/// Says why it does not.
pub(crate) fn check_head(head: &Response<()>) -> Result<(), String> {
    if head.status() != StatusCode::OK {
        return Err(format!("answered {}", head.status().as_u16()));
    }
    if let Some(found) = media_type(head).filter(|found| !found.eq_ignore_ascii_case(EVENT_STREAM))
    {
        return Err(format!("answered with {found}"));
    }
    if is_empty(head.headers()) { Err("answered with an empty body".into()) } else { Ok(()) }
}

/// Whether the head of an answer says that its body consists of events.
pub(crate) fn is_declared(head: &Response<()>) -> bool {
    media_type(head).is_some_and(|found| found.eq_ignore_ascii_case(EVENT_STREAM))
}

fn media_type(head: &Response<()>) -> Option<&str> {
    let text = head.headers().get(header::CONTENT_TYPE)?.to_str().ok()?;
    text.split(';').next().map(str::trim)
}

fn is_empty(headers: &HeaderMap) -> bool {
    headers.get(header::CONTENT_LENGTH).is_some_and(|length| length == "0")
}

/// Checks the first events of an answer that continues a stream after the event `last`.
///
/// # Errors
///
/// Says what they begin with, if it is not the next event.
pub(crate) fn check_beginning(events: &[u8], last: u64) -> Result<(), String> {
    let lines = events.split(|byte| *byte == b'\n').skip_while(|line| is_blank(line));
    let mut first = lines.take_while(|line| !line.is_empty());
    let id = first.find_map(|line| line.strip_prefix(b"id:"));
    let number = id.and_then(|text| std::str::from_utf8(text).ok()?.trim().parse::<u64>().ok());
    match number {
        Some(number) if Some(number) == last.checked_add(1) => Ok(()),
        Some(number) => Err(format!("continues with event {number} after {last}")),
        None if is_comment(events) => Ok(()),
        None => Err(format!("continues without an event id after {last}")),
    }
}

/// Whether events consist of comments only, with which a server keeps a connection open.
pub(crate) fn is_comment(events: &[u8]) -> bool {
    events.split(|byte| *byte == b'\n').all(is_blank)
}

// Lines that begin with a colon are comments.
fn is_blank(line: &[u8]) -> bool {
    line.is_empty() || line.starts_with(b":")
}
