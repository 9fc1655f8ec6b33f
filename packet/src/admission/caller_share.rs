//! Finds the callers that open far more flows of a class than others.
//!
//! Load pattern: one caller opens ten times as many flows as others of its class, and the service is
//! contended. Without regard to callers, all of its class are deferred and refused alike.

use std::net::Ipv4Addr;
use std::time::Duration;
use std::time::Instant;

use lagoonproxy::caller_usage::CallerUsage;

use crate::ids::ClassRank;
use crate::ids::ServiceIndex;

/// Maximum number of classes whose callers are tracked. With 4,096 callers each, the counts of two windows take
/// some 5 MB. No caller of another class is heavy.
pub const MAX_TRACKED_CLASSES: usize = 16;

/// Time over which new flows are counted; the counts of the last complete window and of the present one are used.
pub const SHARE_WINDOW: Duration = Duration::from_secs(5);

/// Fewest callers of a class of which one can be heavy. Among fewer, [`CallerUsage`] takes a caller for hot by a
/// part of the whole, which two equal callers exceed by chance.
const MIN_CALLERS: usize = 5;

/// What one new flow counts.
const FLOW_USE: Duration = Duration::from_secs(1);

/// New flows of one window by caller.
#[derive(Debug)]
struct ShareWindow {
    /// Every flow is learned at this time, so that flows do not lose weight within the window. Otherwise, among
    /// many callers with few flows each, every recent flow would exceed the mean several times.
    started_at: Instant,
    usage: CallerUsage,
}

/// The callers of one class.
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
    /// At most [`MAX_TRACKED_CLASSES`]; no two of the same service and rank.
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
        let known = self.place(service, rank);
        if known.is_none() && self.classes.len() >= MAX_TRACKED_CLASSES {
            return;
        }
        let place = known.unwrap_or_else(|| {
            self.classes.push(ClassCallers {
                service,
                rank,
                current: ShareWindow::new(now),
                previous: CallerUsage::default(),
            });
            self.classes.len() - 1
        });
        let window = &mut self.classes[place].current;
        window
            .usage
            .learn(window.started_at, caller.to_bits(), FLOW_USE);
    }

    /// Whether a caller opened more than three times an even share of the recent new flows of the class.
    pub fn is_heavy(&self, service: ServiceIndex, rank: ClassRank, caller: Ipv4Addr) -> bool {
        let Some(place) = self.place(service, rank) else {
            return false;
        };
        let callers = &self.classes[place];
        let windows = [&callers.current.usage, &callers.previous];
        windows
            .iter()
            .any(|usage| usage.callers() >= MIN_CALLERS && usage.is_hot(caller.to_bits()))
    }

    /// Begins new windows, and removes classes without new flows. To be called several times a second.
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

    fn place(&self, service: ServiceIndex, rank: ClassRank) -> Option<usize> {
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
