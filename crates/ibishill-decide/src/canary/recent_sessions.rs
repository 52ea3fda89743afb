//! Sessions that have sent requests lately, on any version.

use std::collections::BTreeMap;

use ibishill_core::time;

use super::SESSIONS_MAX;

/// Longest duration of an answer for which its session is still remembered.
const ANSWER_MAX: time::Millis = time::Millis(15_000);

/// Recently active sessions, from which a new roll-out knows those that began on the old version.
#[derive(Debug, Clone, Default)]
pub struct RecentSessions {
    seen: BTreeMap<u64, time::Tick>,
}

impl RecentSessions {
    /// Records a request of `session`; ignored while too many sessions are remembered.
    pub fn record(&mut self, session: u64, now: time::Tick) {
        if self.seen.len() >= SESSIONS_MAX {
            self.seen.retain(|_, at| now.since(*at) < ANSWER_MAX);
        }
        if self.seen.len() < SESSIONS_MAX {
            self.seen.insert(session, now);
        }
    }

    /// Sessions that may send further requests, given that requests of a session are at most
    /// `span` apart.
    pub fn active(&self, span: time::Millis, now: time::Tick) -> impl Iterator<Item = u64> {
        let recent = move |at: &time::Tick| now.since(*at).0 < span.0 + ANSWER_MAX.0;
        self.seen.iter().filter(move |(_, at)| recent(at)).map(|(session, _)| *session)
    }
}
