//! Records which classes of each service have demand, so that classes of unused routes have no effect.

use std::time::Duration;
use std::time::Instant;

use crate::ids::ClassRank;
use crate::ids::ServiceIndex;
use crate::routes::route_table::MOST_CLASSES;

/// When each class of each service last had a new flow or a request.
#[derive(Debug, Default)]
pub struct ClassDemand {
    /// By service, then by rank; `None` for a class that had none.
    last_demands: Vec<[Option<Instant>; MOST_CLASSES]>,
}

/// The place of a class among those that have demand.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DemandRank {
    /// Classes with demand that are more urgent.
    pub rank: ClassRank,
    /// Classes with demand, this one included; from 1 to [`MOST_CLASSES`].
    pub classes: u8,
}

impl ClassDemand {
    /// Records a new flow or a request of a class. A rank of [`MOST_CLASSES`] or more is counted as the last.
    pub fn record(&mut self, now: Instant, service: ServiceIndex, rank: ClassRank) {
        let place = service as usize;
        if place >= self.last_demands.len() {
            self.last_demands.resize(place + 1, Default::default());
        }
        self.last_demands[place][class_place(rank)] = Some(now);
    }

    /// The place of a class among those that had demand within `memory`; it counts itself in any case.
    pub fn rank(
        &self,
        now: Instant,
        service: ServiceIndex,
        rank: ClassRank,
        memory: Duration,
    ) -> DemandRank {
        let own = class_place(rank);
        let last_demands = self.last_demands.get(service as usize).copied();
        let mut demand = DemandRank {
            rank: 0,
            classes: 1,
        };
        for (place, last_demand) in last_demands.unwrap_or_default().iter().enumerate() {
            let recent =
                last_demand.is_some_and(|last| now.saturating_duration_since(last) < memory);
            if place == own || !recent {
                continue;
            }
            demand.classes += 1;
            demand.rank += ClassRank::from(place < own);
        }
        demand
    }
}

fn class_place(rank: ClassRank) -> usize {
    usize::from(rank).min(MOST_CLASSES - 1)
}
