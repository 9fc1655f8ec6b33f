//! The exchange of load reports between zones: what this host has asked, heard, and passes on in digests.
//!
//! The aggregator of a zone with a contended service asks two hosts of each other zone. What it makes of their
//! answers reaches the hosts of its zone in the digest, with its age, so that all of them decide alike.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::net::SocketAddrV4;
use std::time::Duration;
use std::time::Instant;

use arrayvec::ArrayVec;
use lagoonproxy::ids::ZoneName;

use crate::ids::ServiceTag;
use crate::load::zone_load::MOST_DIGEST_LOADS;
use crate::load::zone_load::ZoneLoadEntry;
use crate::load::zone_load::ZoneLoadReport;
use crate::load::zone_load::ZoneServiceEntry;
use crate::load::zone_load::ZoneServiceLoad;
use crate::load::zone_load::ZoneVisit;

/// Most hosts of a zone whose last answers are kept: the two that are asked, and those asked before a change.
const MOST_ANSWERS: usize = 4;

/// Most other zones whose reports are kept.
const MOST_ZONES: usize = 32;

/// Most rejected reports that are kept until the next tick.
const MOST_REJECTED: usize = 16;

/// Most reports that wait for their replies: those of the time after which a report is not used, and some more.
const MOST_ASKED: usize = 16;

/// Time after which an answer no longer counts beside a newer one of the same zone.
const ANSWER_SPREAD: Duration = Duration::from_millis(750);

/// Time after which a digest with more reporters yields to one with fewer.
const DIGEST_AGE: Duration = Duration::from_secs(1);

/// The last report of one host of another zone.
#[derive(Clone, Debug)]
struct HostAnswer {
    from: SocketAddrV4,
    /// The sender's sequence; `None` before it has sent a report of its own accord.
    sent_sequence: Option<u64>,
    /// This host's sequence that it last replied to; `None` if it has not.
    replied_sequence: Option<u64>,
    heard_at: Instant,
    /// From the report to the reply; `None` before the first.
    delay: Option<Duration>,
    services: Vec<ZoneServiceLoad>,
}

/// One zone's load and when it was measured.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ZoneState {
    /// The zone.
    pub zone: ZoneName,
    /// When its last report came; `None` if that is before what the clock can tell.
    pub heard_at: Option<Instant>,
    /// Time from a report to its reply; `None` if no reply has come.
    pub delay: Option<Duration>,
    /// Its services.
    pub services: Vec<ZoneServiceEntry>,
}

/// The zones of the digest in use.
#[derive(Clone, Debug)]
struct HeldDigest {
    from: SocketAddrV4,
    sequence: u64,
    reporters: u32,
    heard_at: Instant,
    zones: Vec<ZoneState>,
}

/// What the own zone's callers have in progress elsewhere, by service.
pub type SentRequests<'a> = &'a [(ServiceTag, &'a [ZoneVisit])];

/// What was asked and heard of other zones.
#[derive(Debug)]
pub struct ZoneExchange {
    zone: ZoneName,
    report_age: Duration,
    /// By zone; none is empty.
    answers: BTreeMap<ZoneName, ArrayVec<HostAnswer, MOST_ANSWERS>>,
    /// Reports that wait for replies: their sequence, and when they were sent.
    asked: VecDeque<(u64, Instant)>,
    sequence: u64,
    digest: Option<HeldDigest>,
    rejected: ArrayVec<SocketAddrV4, MOST_REJECTED>,
}

impl ZoneExchange {
    /// A host of `zone` that has heard nothing yet and uses reports for `report_age`.
    pub fn new(zone: ZoneName, report_age: Duration) -> Self {
        Self {
            zone,
            report_age,
            answers: BTreeMap::new(),
            asked: VecDeque::new(),
            sequence: 0,
            digest: None,
            rejected: ArrayVec::new(),
        }
    }

    /// The sequence of a report that is sent now and asks for replies.
    pub fn ask(&mut self, now: Instant) -> u64 {
        self.sequence += 1;
        if self.asked.len() == MOST_ASKED {
            self.asked.pop_front();
        }
        self.asked.push_back((self.sequence, now));
        self.sequence
    }

    /// Merges another zone's report; true if it asks for this zone's.
    pub fn heard(&mut self, now: Instant, from: SocketAddrV4, report: &ZoneLoadReport) -> bool {
        if !report.is_valid() {
            self.reject(from);
            return false;
        }
        if report.zone == self.zone {
            return false;
        }
        let asked_at = self.asked.iter().find(|asked| asked.0 == report.sequence);
        let delay = asked_at.map(|(_sequence, at)| now.saturating_duration_since(*at));
        // Read late, after a stall of this process: neither the delay nor the load is of now.
        let delay = delay.filter(|delay| *delay <= self.report_age);
        if report.wants_reply {
            self.keep(now, from, report, None);
        } else if delay.is_some() {
            self.keep(now, from, report, delay);
        }
        report.wants_reply
    }

    /// Merges what a digest of the own zone contains about others.
    ///
    /// With two aggregators, the digest with more reporters is used while it is not older than a second.
    pub fn heard_digest(
        &mut self,
        now: Instant,
        from: SocketAddrV4,
        sequence: u64,
        reporters: u32,
        entries: &[ZoneLoadEntry],
    ) {
        if !entries.iter().all(ZoneLoadEntry::is_valid) {
            self.reject(from);
            return;
        }
        let held = self.digest.as_ref();
        let is_replaced = held.is_none_or(|held| {
            let is_old = now.saturating_duration_since(held.heard_at) >= DIGEST_AGE;
            let is_newer = held.from == from && sequence > held.sequence;
            is_old || is_newer || (held.from != from && reporters > held.reporters)
        });
        if !is_replaced {
            return;
        }
        let zones = entries.iter().map(|entry| ZoneState {
            zone: entry.zone.clone(),
            heard_at: now.checked_sub(entry.age),
            delay: entry.delay,
            services: entry.services.clone(),
        });
        self.digest = Some(HeldDigest {
            from,
            sequence,
            reporters,
            heard_at: now,
            zones: zones.collect(),
        });
    }

    /// The zones as the hosts of this zone know them; none whose last report is too old.
    ///
    /// An aggregator uses the answers that it has, and for other zones what its predecessor told.
    pub fn zones(
        &self,
        now: Instant,
        is_aggregator: bool,
        sent: SentRequests<'_>,
    ) -> Vec<ZoneState> {
        let told = self.digest.iter().flat_map(|digest| &digest.zones);
        let told = told.filter(|state| self.is_fresh(now, state.heard_at));
        if !is_aggregator {
            return told.cloned().collect();
        }
        let answered = self.answers.keys().filter(|zone| self.has_fresh(now, zone));
        let mut states: Vec<ZoneState> = answered
            .map(|zone| self.answered_state(zone, sent))
            .collect();
        states.push(self.visited_state(now, sent));
        for state in told {
            if !states.iter().any(|held| held.zone == state.zone) {
                states.push(state.clone());
            }
        }
        states
    }

    /// The entries of a digest, of the services that `sent` names.
    pub fn entries(&self, now: Instant, sent: SentRequests<'_>) -> Vec<ZoneLoadEntry> {
        let states = self.zones(now, true, sent);
        let most = MOST_DIGEST_LOADS / states.len().max(1);
        let entries = states.into_iter().filter_map(|mut state| {
            state.services.truncate(most.max(1));
            let heard_at = state.heard_at?;
            (!state.services.is_empty()).then(|| ZoneLoadEntry {
                zone: state.zone,
                age: now.saturating_duration_since(heard_at),
                delay: state.delay,
                services: state.services,
            })
        });
        entries.take(MOST_DIGEST_LOADS).collect()
    }

    /// Forgets what is too old to be used; returns the senders of rejected reports.
    pub fn tick(&mut self, now: Instant) -> ArrayVec<SocketAddrV4, MOST_REJECTED> {
        let report_age = self.report_age;
        let is_fresh = |at: Instant| now.saturating_duration_since(at) <= report_age;
        for answers in self.answers.values_mut() {
            answers.retain(|answer| is_fresh(answer.heard_at));
        }
        self.answers.retain(|_zone, answers| !answers.is_empty());
        self.asked.retain(|(_sequence, at)| is_fresh(*at));
        self.digest.take_if(|digest| !is_fresh(digest.heard_at));
        std::mem::take(&mut self.rejected)
    }

    fn reject(&mut self, from: SocketAddrV4) {
        // Those beyond the room are not reported one by one: a sender of that many is reported already.
        let _is_full = self.rejected.try_push(from);
    }

    fn is_fresh(&self, now: Instant, heard_at: Option<Instant>) -> bool {
        heard_at.is_some_and(|at| now.saturating_duration_since(at) <= self.report_age)
    }

    fn has_fresh(&self, now: Instant, zone: &ZoneName) -> bool {
        let answers = self.answers.get(zone).into_iter().flatten();
        answers
            .map(|answer| answer.heard_at)
            .any(|at| self.is_fresh(now, Some(at)))
    }

    fn keep(
        &mut self,
        now: Instant,
        from: SocketAddrV4,
        report: &ZoneLoadReport,
        delay: Option<Duration>,
    ) {
        if self.answers.len() >= MOST_ZONES && !self.answers.contains_key(&report.zone) {
            return;
        }
        let answers = self.answers.entry(report.zone.clone()).or_default();
        let held = answers.iter().position(|answer| answer.from == from);
        let mut answer = HostAnswer {
            from,
            sent_sequence: None,
            replied_sequence: None,
            heard_at: now,
            delay: None,
            services: Vec::new(),
        };
        if let Some(place) = held {
            answer = answers.remove(place);
        } else if answers.is_full() {
            let oldest = (0..answers.len()).min_by_key(|place| answers[*place].heard_at);
            answers.remove(oldest.unwrap_or_default());
        }
        let last = match report.wants_reply {
            true => &mut answer.sent_sequence,
            false => &mut answer.replied_sequence,
        };
        if last.is_none_or(|last| report.sequence > last) {
            *last = Some(report.sequence);
            answer.heard_at = now;
            answer.delay = delay.or(answer.delay);
            answer.services.clone_from(&report.services);
        }
        answers.push(answer);
    }

    /// The answers of a zone that are merged: the newest, and those of about the same time.
    fn merged_answers(&self, zone: &ZoneName) -> Vec<&HostAnswer> {
        let answers = || self.answers.get(zone).into_iter().flatten();
        let newest = answers().map(|answer| answer.heard_at).max();
        let is_recent = |answer: &&HostAnswer| {
            newest.is_some_and(|at| at.saturating_duration_since(answer.heard_at) <= ANSWER_SPREAD)
        };
        answers().filter(is_recent).collect()
    }

    fn answered_state(&self, zone: &ZoneName, sent: SentRequests<'_>) -> ZoneState {
        let answers = self.merged_answers(zone);
        let delays: Vec<Duration> = answers.iter().filter_map(|answer| answer.delay).collect();
        let services = sent.iter().filter_map(|(service, visits)| {
            let loads = answers.iter().flat_map(|answer| &answer.services);
            let loads: Vec<&ZoneServiceLoad> =
                loads.filter(|load| load.service == *service).collect();
            let sent = visiting(visits, zone);
            let others = self.visits_of_others(*service, zone);
            let own = mean(loads.iter().map(|load| load.in_progress))?;
            Some(ZoneServiceEntry {
                service: *service,
                slots: mean(loads.iter().map(|load| load.slots))?,
                in_progress: own.saturating_add(sent).saturating_add(others),
                sent,
                away: mean(loads.iter().map(|load| {
                    let visits = load.visits.iter().map(|visit| visit.in_progress);
                    visits.fold(0, u32::saturating_add)
                }))?,
                pressure: mean(loads.iter().map(|load| load.pressure))?,
                is_contended: loads.iter().any(|load| load.is_contended),
            })
        });
        ZoneState {
            zone: zone.clone(),
            heard_at: answers.iter().map(|answer| answer.heard_at).max(),
            delay: match delays.len() {
                0 => None,
                count => Some(delays.iter().sum::<Duration>() / count as u32),
            },
            services: services.collect(),
        }
    }

    /// What other zones' callers have in progress in the own zone.
    fn visited_state(&self, now: Instant, sent: SentRequests<'_>) -> ZoneState {
        let services = sent.iter().map(|(service, _visits)| ZoneServiceEntry {
            service: *service,
            in_progress: self.visits_of_others(*service, &self.zone),
            ..ZoneServiceEntry::default()
        });
        ZoneState {
            zone: self.zone.clone(),
            heard_at: Some(now),
            delay: None,
            services: services.filter(|entry| entry.in_progress > 0).collect(),
        }
    }

    /// What the callers of zones other than the own and `zone` have in progress in `zone`.
    fn visits_of_others(&self, service: ServiceTag, zone: &ZoneName) -> u32 {
        let others = self.answers.keys().filter(|other| *other != zone);
        let counts = others.filter_map(|other| {
            let answers = self.merged_answers(other);
            let loads = answers.iter().flat_map(|answer| &answer.services);
            let loads = loads.filter(|load| load.service == service);
            mean(loads.map(|load| visiting(&load.visits, zone)))
        });
        counts.fold(0, u32::saturating_add)
    }
}

fn visiting(visits: &[ZoneVisit], zone: &ZoneName) -> u32 {
    let counts = visits.iter().filter(|visit| visit.zone == *zone);
    counts
        .map(|visit| visit.in_progress)
        .fold(0, u32::saturating_add)
}

/// The mean of the values; `None` if there is none.
fn mean(values: impl Iterator<Item = u32>) -> Option<u32> {
    let (mut sum, mut count) = (0u64, 0u64);
    for value in values {
        sum += u64::from(value);
        count += 1;
    }
    sum.checked_div(count).map(|mean| mean as u32)
}
