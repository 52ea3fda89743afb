//! Compares the endpoints that have ended with those that go on, for each segment that may be to blame.
//!
//! A segment may end its endpoint 50 ms after its arrival or after seconds, and time alone does not tell. So ends are
//! compared with the presence of the segment over several spans after a prompt's arrival, and the best span counts,
//! less a penalty for their number. For a short span, only ends and times count at which any prompt had arrived within
//! it: endpoints that crash while they read any prompt end shortly after the arrival of harmless segments, too.
//!
//! Endpoints are compared within their group, those of one version in one zone. A segment that is mostly in one group
//! is in many of the endpoints that end when that version is stopped, or that zone lost.

use std::cell::OnceCell;
use std::collections::BTreeSet;

use ibishill_core::{call, time};

use super::{AFTERMATH, CANDIDATES_MAX, ENDS_MAX, ENDS_MIN, Exposures};
use crate::endpoint_key::EndpointKey;

/// Times after a prompt's arrival in which it counts as present, each with the logarithm of its prior probability, as
/// a penalty: one half for the whole time until the end of its response, a quarter for each of the others.
const SPANS: [(time::Millis, f64); 3] =
    [(time::Millis(250), 1.386), (time::Millis(1_000), 1.386), (time::Millis(u64::MAX / 2), 0.693)];

/// Time before the first and after the last end with a segment in which other ends are compared.
const WINDOW: time::Millis = time::Millis(2_000);

/// Least share of a segment's requests that end their endpoints.
const SHARE_MIN: f64 = 0.2;

/// Time within which ends count as one moment: a version that is stopped, or a zone that is lost, ends many
/// endpoints at once.
const MOMENT: time::Millis = time::Millis(100);

/// Weight of the prompts that their endpoints survived: they also count in the share of endpoints by chance. A larger
/// weight clears segments that end one endpoint in three.
const SPARED_WEIGHT: f64 = 0.1;

/// Least factor between the odds that a segment was in an endpoint that ended and that it is in one by chance. The
/// latter are an estimate, and its error would weigh more with each end of a long wave of crashes.
const ODDS_MIN: f64 = 3.0;

/// Least share of the endpoints that a segment counts as being in by chance.
const CHANCE_MIN: f64 = 0.05;

/// Number of requests with a segment that a refusal takes: a single one that ends endpoints is judged as a whole.
const REQUESTS_MIN: usize = 2;

/// Endpoints that may replace each other: of one service, version and zone.
type Group = (u32, u32);

/// An endpoint that has ended.
#[derive(Debug)]
pub(super) struct Process {
    pub(super) endpoint: EndpointKey,
    pub(super) at: time::Tick,
    group: usize,
    // When the last prompt arrived there.
    latest: time::Tick,
}

/// A segment at an endpoint that has ended.
#[derive(Debug, Clone, Copy)]
struct Case {
    process: usize,
    // Position of the deepest one that is the same.
    depth: usize,
    latest: time::Tick,
}

/// A segment that was at several endpoints that have ended.
#[derive(Debug)]
struct Candidate {
    segment: call::SegmentId,
    cases: Vec<Case>,
    // Requests with it at endpoints that have ended.
    requests: BTreeSet<u32>,
    // Positions of the visits with it.
    visits: Vec<u32>,
    // For each span, by group.
    covers: [OnceCell<Vec<Cover>>; SPANS.len()],
}

/// Number of endpoints over time, from the times at which a prompt was at each.
#[derive(Debug, Default)]
struct Cover {
    begins: Vec<u64>,
    ends: Vec<u64>,
    // Sums of the times before each.
    begin_sums: Vec<u64>,
    end_sums: Vec<u64>,
}

/// A prompt at an endpoint.
#[derive(Debug)]
struct Visit {
    endpoint: EndpointKey,
    group: usize,
    from: time::Tick,
    to: time::Tick,
    is_survived: bool,
}

/// All that is known of prompts at endpoints at the time of a judgement.
#[derive(Debug)]
pub(super) struct Comparison {
    pub(super) processes: Vec<Process>,
    candidates: Vec<Candidate>,
    // By endpoint and arrival.
    visits: Vec<Visit>,
    groups: Vec<Group>,
    // For each span, by group.
    covers: [OnceCell<Vec<Cover>>; SPANS.len()],
    // Latest start of an endpoint in each group.
    starts: Vec<Option<time::Tick>>,
}

impl Cover {
    fn add(&mut self, from: time::Tick, to: time::Tick) {
        self.begins.push(from.0);
        self.ends.push(to.0);
    }

    fn seal(&mut self) {
        let sums = |times: &mut Vec<u64>| -> Vec<u64> {
            times.sort_unstable();
            let sums = times.iter().scan(0, |sum, at| {
                *sum += at;
                Some(*sum)
            });
            std::iter::once(0).chain(sums).collect()
        };
        self.begin_sums = sums(&mut self.begins);
        self.end_sums = sums(&mut self.ends);
    }

    fn until(&self, at: time::Tick) -> u64 {
        let passed = |times: &[u64], sums: &[u64]| {
            let count = times.partition_point(|time| *time <= at.0);
            count as u64 * at.0 - sums[count]
        };
        passed(&self.begins, &self.begin_sums) - passed(&self.ends, &self.end_sums)
    }

    // Time in a span, summed over endpoints.
    fn within(&self, from: time::Tick, to: time::Tick) -> u64 {
        self.until(to) - self.until(from)
    }

    // Number of endpoints at a time, with those that end then.
    fn count_at(&self, at: time::Tick) -> usize {
        let begun = self.begins.partition_point(|time| *time <= at.0);
        begun - self.ends.partition_point(|time| *time < at.0)
    }
}

impl Comparison {
    /// The endpoints that have ended, but for those with a segment that is refused, and the segments that were at
    /// several of them.
    pub(super) fn new<F>(exposures: &Exposures, is_refused: F) -> Self
    where
        F: Fn(call::SegmentId) -> bool,
    {
        let mut comparison = Self {
            processes: Vec::new(),
            candidates: Vec::new(),
            visits: Vec::new(),
            groups: Vec::new(),
            covers: Default::default(),
            starts: Vec::new(),
        };
        let mut times: Vec<time::Tick> = exposures.ends.values().copied().collect();
        times.sort_unstable_by_key(|at| std::cmp::Reverse(*at));
        let from = times.get(ENDS_MAX).copied().unwrap_or_default();
        let ended = exposures.ended.iter();
        let is_recent = |endpoint| exposures.ends.get(endpoint).is_none_or(|at| *at > from);
        let ended: Vec<_> = ended.filter(|((endpoint, _), _)| is_recent(endpoint)).collect();
        let mut found: Vec<(call::SegmentId, Case, u32)> = Vec::new();
        for records in ended.chunk_by(|(a, _), (b, _)| a.0 == b.0) {
            let (endpoint, first) = (records[0].0.0, records[0].1);
            let prompts = || records.iter().map(|(_, record)| &record.prompt);
            let segments = || prompts().flat_map(|prompt| prompt.segments.iter());
            if segments().any(|segment| is_refused(*segment)) {
                continue;
            }
            let last = records.iter().map(|(_, record)| record.until).max();
            let at = exposures.ends.get(&endpoint).copied().or(last).unwrap_or_default();
            let latest = records.iter().map(|(_, record)| record.sent).max().unwrap_or_default();
            let group = comparison.group((first.prompt.service, exposures.group(endpoint)));
            let process = comparison.processes.len();
            comparison.processes.push(Process { endpoint, at, group, latest });
            for (_, record) in records {
                for (depth, segment) in record.prompt.segments.iter().enumerate() {
                    let case = Case { process, depth, latest: record.sent };
                    found.push((*segment, case, record.prompt.request));
                }
            }
        }
        found.sort_unstable_by_key(|(segment, case, _)| (*segment, case.process));
        for same in found.chunk_by(|a, b| a.0 == b.0) {
            let mut cases: Vec<Case> = Vec::new();
            for (_, case, _) in same {
                match cases.last_mut().filter(|last| last.process == case.process) {
                    None => cases.push(*case),
                    Some(last) => {
                        last.depth = case.depth.max(last.depth);
                        last.latest = case.latest.max(last.latest);
                    }
                }
            }
            if cases.len() >= ENDS_MIN.1 {
                let requests = same.iter().map(|(_, _, request)| *request).collect();
                let (segment, visits, covers) = (same[0].0, Vec::new(), Default::default());
                comparison.candidates.push(Candidate { segment, cases, requests, visits, covers });
            }
        }
        let depth = |found: &Candidate| found.cases.iter().map(|case| case.depth).max();
        comparison
            .candidates
            .sort_by_key(|found| std::cmp::Reverse((found.cases.len(), depth(found))));
        comparison.candidates.truncate(CANDIDATES_MAX);
        comparison.candidates.sort_unstable_by_key(|found| found.segment);
        comparison
    }

    /// Whether any segment was at several endpoints that have ended.
    pub(super) fn is_any_suspect(&self) -> bool {
        !self.candidates.is_empty()
    }

    fn group(&mut self, group: Group) -> usize {
        let known = self.groups.iter().rposition(|found| *found == group);
        known.unwrap_or_else(|| {
            self.groups.push(group);
            self.groups.len() - 1
        })
    }

    /// Adds the prompts that were at endpoints at the time of the ends.
    pub(super) fn add_visits(&mut self, exposures: &Exposures, now: time::Tick) {
        let first = self.processes.iter().map(|process| process.at).min().unwrap_or(now);
        let from = time::Tick(first.0.saturating_sub(WINDOW.0));
        // A segment that is new seems rarer than it is unless those without an outcome count.
        let open = exposures.unresolved.iter();
        let open = open.map(|(endpoint, open)| (endpoint, open.sent, now, false, &open.prompt));
        let ended = exposures.ended.iter().map(|((endpoint, _), record)| {
            (*endpoint, record.sent, record.until, false, &record.prompt)
        });
        let survived = exposures.survived.iter().map(|((endpoint, _), record)| {
            (*endpoint, record.sent, record.until + AFTERMATH, true, &record.prompt)
        });
        let all = open.chain(ended).chain(survived).filter(|(_, _, to, _, _)| *to > from);
        let mut all: Vec<_> = all.collect();
        all.sort_by_key(|(endpoint, sent, _, _, _)| (*endpoint, *sent));
        for same in all.chunk_by(|a, b| a.0 == b.0) {
            let endpoint = same[0].0;
            let (place, start) = (exposures.group(endpoint), exposures.start(endpoint));
            for (_, sent, to, is_survived, prompt) in same {
                let position = self.visits.len() as u32;
                let group = self.group((prompt.service, place));
                self.starts.resize(self.groups.len(), None);
                self.starts[group] = self.starts[group].max(start);
                for segment in &prompt.segments {
                    let known = self.candidates.binary_search_by_key(segment, |at| at.segment);
                    let Ok(known) = known else { continue };
                    let visits = &mut self.candidates[known].visits;
                    if visits.last() != Some(&position) {
                        visits.push(position);
                    }
                }
                let (from, to, is_survived) = (*sent, *to, *is_survived);
                self.visits.push(Visit { endpoint, group, from, to, is_survived });
            }
        }
    }

    /// The segments that explain the ends of the endpoints that are open, the likeliest first, each with the
    /// endpoints; an end that one explains does not count against the next one.
    pub(super) fn most_blamed(
        &self,
        mut is_open: Vec<bool>,
        threshold: f64,
        ends_min: usize,
    ) -> Vec<(call::SegmentId, Vec<usize>)> {
        let mut blamed = Vec::new();
        loop {
            let scored = self.candidates.iter().filter_map(|candidate| {
                let cases = candidate.cases.iter().filter(|case| is_open[case.process]);
                let cases: Vec<Case> = cases.copied().collect();
                if cases.len() < ends_min {
                    return None;
                }
                let score = self.score(candidate, &cases, &is_open)?;
                let depth = cases.iter().map(|case| case.depth).max();
                (score >= threshold).then_some((score, depth, cases.len(), candidate, cases))
            });
            let order = |a: &(f64, Option<usize>, usize, _, _), b: &(f64, _, usize, _, _)| {
                // The fewest requests have the deepest segment.
                a.0.total_cmp(&b.0).then(a.1.cmp(&b.1)).then(a.2.cmp(&b.2))
            };
            let Some((_, _, _, candidate, cases)) = scored.max_by(order) else { return blamed };
            let ends: Vec<usize> = cases.iter().map(|case| case.process).collect();
            for process in &ends {
                is_open[*process] = false;
            }
            blamed.push((candidate.segment, ends));
        }
    }

    // Logarithm of the likelihood ratio: that the segment ends endpoints, against that it is in those that have ended
    // by chance; of the span for which it is largest.
    fn score(&self, candidate: &Candidate, cases: &[Case], is_open: &[bool]) -> Option<f64> {
        if candidate.requests.len() < REQUESTS_MIN {
            return None;
        }
        let scores = SPANS.iter().enumerate().filter_map(|(index, (span, penalty))| {
            let score = self.score_within(candidate, cases, is_open, (index, *span))?;
            Some(score - penalty)
        });
        scores.max_by(f64::total_cmp)
    }

    fn score_within(
        &self,
        candidate: &Candidate,
        cases: &[Case],
        is_open: &[bool],
        (index, span): (usize, time::Millis),
    ) -> Option<f64> {
        let process = |case: &Case| &self.processes[case.process];
        let is_recent = |latest: time::Tick, at: time::Tick| at.since(latest) <= span;
        let is_present = |case: &&Case| is_recent(case.latest, process(case).at);
        let present: Vec<&Process> = cases.iter().filter(is_present).map(process).collect();
        let first = present.iter().map(|process| process.at).min()?;
        let last = present.iter().map(|process| process.at).max()?;
        let (from, to) = (time::Tick(first.0.saturating_sub(WINDOW.0)), last + WINDOW);
        let service = self.groups[present[0].group].0;
        let groups: BTreeSet<usize> = present.iter().map(|case| case.group).collect();
        let is_case = |number: usize| {
            let found = cases.binary_search_by_key(&number, |case| case.process);
            found.is_ok_and(|found| is_present(&&cases[found]))
        };
        let absent = self.processes.iter().enumerate().filter(|(number, process)| {
            is_open[*number]
                && self.groups[process.group].0 == service
                && process.at >= from
                && process.at <= to
                && is_recent(process.latest, process.at)
                && !is_case(*number)
        });
        let mut absent: Vec<&Process> = absent.map(|(_, process)| process).collect();
        // Endpoints that end at the same moment have one cause.
        let moments: BTreeSet<u64> = present.iter().map(|case| case.at.0 / MOMENT.0).collect();
        let ends = moments.len() as f64;
        // The presence over time is found out only where it matters.
        let nearest = absent.iter().filter(|process| groups.contains(&process.group)).count();
        likelihood(ends, nearest as f64, CHANCE_MIN)?;
        let visits = || candidate.visits.iter().map(|position| &self.visits[*position as usize]);
        let count = self.groups.len();
        let with = candidate.covers[index].get_or_init(|| covers(visits(), span, count));
        let all = self.covers[index].get_or_init(|| covers(self.visits.iter(), span, count));
        // Where the segment is never sent, its absence says nothing.
        absent.retain(|process| !with[process.group].begins.is_empty());
        // By group, how likely the segment is there by chance.
        let mut chances: Vec<Option<f64>> = vec![None; self.groups.len()];
        let mut expected = 0.0;
        for process in present.iter().chain(&absent) {
            let group = process.group;
            let chance = *chances[group].get_or_insert_with(|| {
                let in_group = present.iter().filter(|case| case.group == group);
                let ends: Vec<time::Tick> = in_group.map(|case| case.at).collect();
                chance(&with[group], &all[group], &ends, self.starts[group], (from, to))
            });
            expected += chance;
        }
        let count = (present.len() + absent.len()) as f64;
        let chance = (expected / count).max(CHANCE_MIN);
        let likelihood = likelihood(ends, absent.len() as f64, chance)?;
        // Endpoints of other versions may bear what ends those of one.
        let survived = visits().filter(|visit| {
            visit.is_survived
                && visit.to >= from + AFTERMATH
                && visit.to <= to + AFTERMATH
                && groups.contains(&visit.group)
        });
        let survived = survived.count() as f64;
        let effect = ends / (ends + survived);
        if effect < SHARE_MIN {
            return None;
        }
        let spared =
            if survived > 0.0 { SPARED_WEIGHT * survived * (1.0 - effect).ln() } else { 0.0 };
        Some(likelihood + spared)
    }
}

// Logarithm of the likelihood ratio of so many ends with a segment and others without it, if it is there by chance with
// a given probability; none if that explains them.
fn likelihood(ends: f64, others: f64, chance: f64) -> Option<f64> {
    let share = ends / (ends + others);
    let is_likelier = share * (1.0 - chance) >= ODDS_MIN * chance * (1.0 - share);
    if share <= chance || !is_likelier {
        return None;
    }
    let rest = if others > 0.0 { others * ((1.0 - share) / (1.0 - chance)).ln() } else { 0.0 };
    Some(ends * (share / chance).ln() + rest)
}

// Share of the time in which endpoints of a group were in use that a segment was there. Where none has replaced those
// that ended, its share of the others at the moments of the ends, if that is more: a version that is stopped, or a zone
// that is lost, ends them one after the other, and what had just been sent to all of them was at few of them before.
fn chance(
    with: &Cover,
    all: &Cover,
    ends: &[time::Tick],
    start: Option<time::Tick>,
    (from, to): (time::Tick, time::Tick),
) -> f64 {
    let total = all.within(from, to);
    let chance = if total == 0 { 1.0 } else { with.within(from, to) as f64 / total as f64 };
    let first = ends.iter().min().copied();
    if start.is_some() && first.is_some() && start > first {
        return chance;
    }
    let others =
        |cover: &Cover| ends.iter().map(|at| cover.count_at(*at).saturating_sub(1)).sum::<usize>();
    chance.max(others(with) as f64 / others(all).max(1) as f64)
}

// The times in which endpoints had a prompt that arrived within a span, by group; visits are by endpoint and arrival.
fn covers<'a, I>(visits: I, span: time::Millis, groups: usize) -> Vec<Cover>
where
    I: Iterator<Item = &'a Visit>,
{
    let mut covers: Vec<Cover> = Vec::new();
    covers.resize_with(groups, Cover::default);
    let mut last: Option<(EndpointKey, usize, time::Tick, time::Tick)> = None;
    for visit in visits {
        let to = visit.to.min(visit.from + span);
        match &mut last {
            Some((endpoint, _, _, end)) if *endpoint == visit.endpoint && visit.from <= *end => {
                *end = to.max(*end);
            }
            _ => {
                if let Some((_, group, from, end)) = last {
                    covers[group].add(from, end);
                }
                last = Some((visit.endpoint, visit.group, visit.from, to));
            }
        }
    }
    if let Some((_, group, from, end)) = last {
        covers[group].add(from, end);
    }
    covers.iter_mut().for_each(Cover::seal);
    covers
}
