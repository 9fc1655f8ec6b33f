//! Records which classes of each service have demand, so that the classes of unused routes have no
//! effect.

use std::time::Duration;
use std::time::Instant;

use crate::ids::ClassRank;
use crate::ids::ServiceIndex;
use crate::routes::route_table::MAX_CLASSES;

/// Time of the last new flow or request of each class of each service.
#[derive(Debug, Default)]
pub struct ClassDemand {
    /// Indexed by service, then by rank; `None` for a class without any demand so far.
    last_demands: Vec<[Option<Instant>; MAX_CLASSES]>,
}

/// The rank of a class among the classes of its service that have demand.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DemandRank {
    /// Number of more urgent classes with demand.
    pub rank: ClassRank,
    /// Number of classes with demand, including this one; from 1 to [`MAX_CLASSES`].
    pub classes: u8,
}

impl ClassDemand {
    /// Records a new flow or a request of a class. Ranks of [`MAX_CLASSES`] and above count as the
    /// last rank.
    pub fn record(&mut self, now: Instant, service: ServiceIndex, rank: ClassRank) {
        let index = service as usize;
        if index >= self.last_demands.len() {
            self.last_demands.resize(index + 1, Default::default());
        }
        self.last_demands[index][class_index(rank)] = Some(now);
    }

    /// Returns the rank of a class among the classes that had demand within `timeout`. The class
    /// itself always counts.
    pub fn rank(
        &self,
        now: Instant,
        service: ServiceIndex,
        rank: ClassRank,
        timeout: Duration,
    ) -> DemandRank {
        let own = class_index(rank);
        let last_demands = self.last_demands.get(service as usize).copied();
        let mut demand = DemandRank {
            rank: 0,
            classes: 1,
        };
        for (index, last_demand) in last_demands.unwrap_or_default().iter().enumerate() {
            let recent =
                last_demand.is_some_and(|last| now.saturating_duration_since(last) < timeout);
            if index == own || !recent {
                continue;
            }
            demand.classes += 1;
            demand.rank += ClassRank::from(index < own);
        }
        demand
    }
}

fn class_index(rank: ClassRank) -> usize {
    usize::from(rank).min(MAX_CLASSES - 1)
}
