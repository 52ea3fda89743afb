//! Counts of one version's finished requests, which can be summed over daemons.

use ibishill_core::time;
use serde::{Deserialize, Serialize};

const TIME_BUCKETS: usize = 40;
const BUCKETS_PER_DOUBLING: f64 = 2.0;

/// A proportion of counted events.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Proportion {
    /// Events that have the counted property.
    pub hits: u64,
    /// All events.
    pub total: u64,
}

impl Proportion {
    /// The proportion as a number from 0 to 1; 0 if there are no events.
    pub fn share(self) -> f64 {
        self.hits as f64 / self.total.max(1) as f64
    }
}

/// Counts of one version's requests and ratings.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Counts {
    /// Finished requests, including failed ones.
    pub requests: u64,
    /// Failed requests.
    pub failed: u64,
    /// Rated answers.
    pub rated: u64,
    /// Answers that were not accepted.
    pub low: u64,
    /// Answered requests by time to the first part of the answer. Bucket `i` starts at `2^(i / 2)`
    /// milliseconds; empty until a request was answered.
    pub times: Vec<u64>,
}

fn bucket(time: time::Millis) -> usize {
    let doublings = (time.0.max(1) as f64).log2();
    ((doublings * BUCKETS_PER_DOUBLING) as usize).min(TIME_BUCKETS - 1)
}

impl Counts {
    /// Counts a request whose first part of the answer arrived after `time`.
    pub fn record_answer(&mut self, time: time::Millis) {
        self.requests += 1;
        self.times.resize(TIME_BUCKETS, 0);
        self.times[bucket(time)] += 1;
    }

    /// Counts a failed request.
    pub fn record_failure(&mut self) {
        self.requests += 1;
        self.failed += 1;
    }

    /// Counts the rating of an answer.
    pub fn record_rating(&mut self, accepted: bool) {
        self.rated += 1;
        self.low += u64::from(!accepted);
    }

    /// Adds the counts of another daemon.
    pub fn add(&mut self, other: &Self) {
        self.requests += other.requests;
        self.failed += other.failed;
        self.rated += other.rated;
        self.low += other.low;
        self.times.resize(TIME_BUCKETS, 0);
        for (sum, more) in self.times.iter_mut().zip(&other.times) {
            *sum += more;
        }
    }

    /// Failed requests among all requests.
    pub fn errors(&self) -> Proportion {
        Proportion { hits: self.failed, total: self.requests }
    }

    /// Answers that were not accepted among the rated ones.
    pub fn low_ratings(&self) -> Proportion {
        Proportion { hits: self.low, total: self.rated }
    }

    /// The lowest bucket at or above which at most `share` of the answers lie.
    pub fn slow_bucket(&self, share: f64) -> usize {
        let all: u64 = self.times.iter().sum();
        let most = (all as f64 * share) as u64;
        let mut above = all;
        for (index, count) in self.times.iter().enumerate() {
            above -= count;
            if above <= most {
                return index + 1;
            }
        }
        TIME_BUCKETS
    }

    /// Answers in the given time bucket or above among all answers.
    pub fn at_or_above(&self, bucket: usize) -> Proportion {
        let hits = self.times.iter().skip(bucket).sum();
        Proportion { hits, total: self.times.iter().sum() }
    }
}
