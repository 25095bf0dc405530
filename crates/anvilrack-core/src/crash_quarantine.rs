//! Requests that crash the targets that run them.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{BootTime, fingerprint_of};

/// Fingerprint of a request: what is alike in its resends.
pub type RequestPrint = u64;

/// Number of one crash of one target, the same for all requests that it cut off.
pub type CrashId = u64;

/// Crashes after which a request is kept off the targets.
const CRASH_LIMIT: usize = 2;

/// How long a request is kept off after the crash that reached the limit.
const FIRST_QUARANTINE: Duration = Duration::from_mins(2);

/// By how much the time grows with each further crash.
const QUARANTINE_GROWTH: u32 = 8;

/// Longest time that a request is kept off after one crash.
const LONGEST_QUARANTINE: Duration = Duration::from_hours(24);

/// How long the crashes of a request are remembered after the last one.
const MARK_KEEP: Duration = Duration::from_hours(48);

/// Crashes remembered at once; the oldest goes first.
const MARK_LIMIT: usize = 1_024;

/// Most marks in one heartbeat.
const SPREAD_LIMIT: usize = 128;

/// A request was at a target when that target crashed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashMark {
    /// Which request.
    pub request: RequestPrint,
    /// Which crash.
    pub crash: CrashId,
    /// How long ago.
    pub age: Duration,
}

/// What routers tell each other about crashes.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    /// Stands for all marks that the sender has.
    pub digest: u64,
    /// The newest marks; none where the receiver is known to have the same.
    pub marks: Vec<CrashMark>,
}

/// Requests that were at targets when these crashed, and those that are kept off for it.
///
/// All requests that a crash cut off are suspects, since nobody can tell which one did it. A request that was
/// there by accident will rarely be there at a second crash; if it is, it is kept off for a short
/// time only, and does not crash a third target.
#[derive(Clone, Debug)]
pub struct CrashQuarantine {
    name: Vec<u8>,
    crashes: u64,
    last_crash: Option<(BootTime, CrashId)>,
    marks: BTreeMap<(RequestPrint, CrashId), BootTime>,
}

impl CrashQuarantine {
    /// You give a name that no other run of a router has.
    #[must_use]
    pub fn new(name: &str) -> Self {
        Self {
            name: name.as_bytes().to_vec(),
            crashes: 0,
            last_crash: None,
            marks: BTreeMap::new(),
        }
    }

    /// A request that went to the target at `began` was cut off by the target's crash, which was
    /// found at `now`; returns how many crashes it was at.
    pub fn on_crash(&mut self, request: RequestPrint, began: BootTime, now: BootTime) -> usize {
        let crash = match self.last_crash {
            // It was under way when that crash was found, so it is the same one.
            Some((found, crash)) if began <= found => crash,
            _ => self.next_crash(now),
        };
        self.drop_old(now);
        self.marks.insert((request, crash), now);
        self.drop_above();
        self.times(request).count()
    }

    /// How long the request is still kept off the targets; `None` where it may run.
    #[must_use]
    pub fn kept_off(&self, request: RequestPrint, now: BootTime) -> Option<Duration> {
        let count = self.times(request).count();
        let beyond = count.checked_sub(CRASH_LIMIT)?;
        let last = self.times(request).max()?;
        let until = last + quarantine(beyond);
        until.checked_sub(now).filter(|left| !left.is_zero())
    }

    /// True where no crash is remembered.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.marks.is_empty()
    }

    // --- spreading ------------------------------------------------------------------------------

    /// What to tell a router that last told the digest `known`.
    #[must_use]
    pub fn report(&self, known: u64, now: BootTime) -> CrashReport {
        let digest = self.digest();
        if known == digest {
            return CrashReport {
                digest,
                marks: Vec::new(),
            };
        }
        let mut marks: Vec<_> = self.all_marks(now).collect();
        marks.sort_by_key(|mark| mark.age);
        marks.truncate(SPREAD_LIMIT);
        CrashReport { digest, marks }
    }

    /// Takes another router's marks.
    pub fn merge(&mut self, report: &CrashReport, now: BootTime) {
        for mark in report.marks.iter().take(SPREAD_LIMIT) {
            let at = now.saturating_sub(mark.age);
            self.marks.entry((mark.request, mark.crash)).or_insert(at);
        }
        self.drop_old(now);
        self.drop_above();
    }

    /// Stands for all marks, in any order; zero where there are none.
    #[must_use]
    pub fn digest(&self) -> u64 {
        let hashes = self.marks.keys().map(|(request, crash)| {
            fingerprint_of(&[&request.to_le_bytes(), &crash.to_le_bytes()])
        });
        hashes.fold(0, |digest, hash| digest ^ hash)
    }

    fn all_marks(&self, now: BootTime) -> impl Iterator<Item = CrashMark> + '_ {
        self.marks
            .iter()
            .map(move |((request, crash), at)| CrashMark {
                request: *request,
                crash: *crash,
                age: now.saturating_sub(*at),
            })
    }

    /// When the request was at a crash.
    fn times(&self, request: RequestPrint) -> impl Iterator<Item = BootTime> + '_ {
        let all = (request, CrashId::MIN)..=(request, CrashId::MAX);
        self.marks.range(all).map(|(_, at)| *at)
    }

    fn next_crash(&mut self, now: BootTime) -> CrashId {
        self.crashes += 1;
        let crash = fingerprint_of(&[&self.name, &self.crashes.to_le_bytes()]);
        self.last_crash = Some((now, crash));
        crash
    }

    /// Forgets the requests whose last crash is long ago, with all their marks.
    fn drop_old(&mut self, now: BootTime) {
        let is_old = |at: &BootTime| now.saturating_sub(*at) >= MARK_KEEP;
        if !self.marks.values().any(is_old) {
            return;
        }
        let young = self.marks.iter().filter(|(_, at)| !is_old(at));
        let young: BTreeSet<_> = young.map(|((request, _), _)| *request).collect();
        self.marks.retain(|(request, _), _| young.contains(request));
    }

    fn drop_above(&mut self) {
        let Some(above) = self.marks.len().checked_sub(MARK_LIMIT + 1) else {
            return;
        };
        let mut by_age: Vec<_> = self.marks.iter().map(|(mark, at)| (*at, *mark)).collect();
        by_age.sort_unstable();
        let dropped: BTreeSet<_> = by_age[..=above].iter().map(|(_, mark)| *mark).collect();
        self.marks.retain(|mark, _| !dropped.contains(mark));
    }
}

/// How long a request is kept off that was at `beyond` crashes above the limit.
fn quarantine(beyond: usize) -> Duration {
    let exponent = u32::try_from(beyond).unwrap_or(u32::MAX);
    let factor = QUARANTINE_GROWTH.saturating_pow(exponent);
    FIRST_QUARANTINE
        .saturating_mul(factor)
        .min(LONGEST_QUARANTINE)
}
