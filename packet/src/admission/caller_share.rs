//! Detects heavy callers, which open far more flows of a class than other callers.
//!
//! If one caller opens ten times as many flows as the other callers of its class and the service is
//! contended, admission that ignores callers defers and refuses all of them alike.

use std::net::Ipv4Addr;
use std::time::Duration;
use std::time::Instant;

use lagoonproxy::caller_usage::CallerUsage;

use crate::ids::ClassRank;
use crate::ids::ServiceIndex;

/// Maximum number of classes whose callers are tracked. With 4,096 callers each, the counts of two
/// windows take about 5 MB. Callers of untracked classes are never heavy.
pub const MAX_TRACKED_CLASSES: usize = 16;

/// Length of a counting window. The last complete window and the current one are evaluated.
pub const SHARE_WINDOW: Duration = Duration::from_secs(5);

/// Minimum number of callers of a class for one to be heavy. With fewer callers, [`CallerUsage`]
/// compares a caller with a part of the total, which one of two equal callers exceeds by chance.
const MIN_CALLERS: usize = 5;

/// Usage that one new flow adds.
const USAGE_PER_FLOW: Duration = Duration::from_secs(1);

/// New flows of one window by caller.
#[derive(Debug)]
struct ShareWindow {
    /// Time at which all flows of the window are recorded, so that flows do not lose weight within
    /// the window. With decay, every recent flow among many callers with few flows each would
    /// exceed the mean several times.
    started_at: Instant,
    usage: CallerUsage,
}

/// Flow counts of the callers of one class.
#[derive(Debug)]
struct ClassCallers {
    service: ServiceIndex,
    rank: ClassRank,
    current: ShareWindow,
    previous: CallerUsage,
}

/// Recent new flows by service, class and caller.
#[derive(Debug, Default)]
pub struct CallerShares {
    /// At most [`MAX_TRACKED_CLASSES`] entries, each with a distinct service and rank.
    classes: Vec<ClassCallers>,
}

impl CallerShares {
    /// Records a new flow of a caller.
    pub fn record_flow(
        &mut self,
        now: Instant,
        service: ServiceIndex,
        rank: ClassRank,
        caller: Ipv4Addr,
    ) {
        let known = self.class_index(service, rank);
        if known.is_none() && self.classes.len() >= MAX_TRACKED_CLASSES {
            return;
        }
        let index = known.unwrap_or_else(|| {
            self.classes.push(ClassCallers {
                service,
                rank,
                current: ShareWindow::new(now),
                previous: CallerUsage::default(),
            });
            self.classes.len() - 1
        });
        let window = &mut self.classes[index].current;
        window
            .usage
            .learn(window.started_at, caller.to_bits(), USAGE_PER_FLOW);
    }

    /// Whether a caller opened more than three times an even share of the recent new flows of the
    /// class.
    pub fn is_heavy(&self, service: ServiceIndex, rank: ClassRank, caller: Ipv4Addr) -> bool {
        let Some(index) = self.class_index(service, rank) else {
            return false;
        };
        let callers = &self.classes[index];
        let windows = [&callers.current.usage, &callers.previous];
        windows
            .iter()
            .any(|usage| usage.callers() >= MIN_CALLERS && usage.is_hot(caller.to_bits()))
    }

    /// Starts new windows and removes classes without recent flows. Must be called several times a
    /// second.
    pub fn tick(&mut self, now: Instant) {
        for callers in &mut self.classes {
            if now.saturating_duration_since(callers.current.started_at) >= SHARE_WINDOW {
                let ended = std::mem::replace(&mut callers.current, ShareWindow::new(now));
                callers.previous = ended.usage;
            }
        }
        self.classes
            .retain(|callers| callers.current.usage.callers() + callers.previous.callers() > 0);
    }

    fn class_index(&self, service: ServiceIndex, rank: ClassRank) -> Option<usize> {
        self.classes
            .iter()
            .position(|callers| callers.service == service && callers.rank == rank)
    }
}

impl ShareWindow {
    fn new(now: Instant) -> Self {
        Self {
            started_at: now,
            usage: CallerUsage::default(),
        }
    }
}
