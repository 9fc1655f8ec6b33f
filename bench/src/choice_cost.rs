//! Measures the cost of choosing an upstream, compared with a scan of all candidates in the same
//! run.

use std::hint::black_box;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use lagoonproxy::config_snapshot::UpstreamEntry;
use lagoonproxy::load_message::GrantOutcome;
use lagoonproxy::load_settings::LoadSettings;
use lagoonproxy::slot_table::PoolMember;
use lagoonproxy::slot_table::SlotTable;

use crate::cluster_plan::ClusterPlan;
use crate::cluster_plan::FleetState;
use crate::work_shape::WorkShape;

/// Number of requests timed.
const REQUEST_COUNT: u32 = 20_000;

/// Nanoseconds per request, the fastest of three runs.
#[derive(Clone, Copy, Debug)]
pub struct ChoiceCost {
    /// Cost of choosing, taking and returning a slot of the slot table.
    pub table: f64,
    /// Cost of choosing alone, by reading the load of every candidate.
    pub scan: f64,
}

/// Measures choices among `count` upstreams.
pub fn measure_choice(count: u32) -> ChoiceCost {
    let mut plan = ClusterPlan::standard(0.0, WorkShape::Fixed, 1);
    plan.upstreams = count;
    let config = plan.config(1, &FleetState::default());
    let entries: Vec<UpstreamEntry> = (0..count).map(|id| config.upstreams[&id].clone()).collect();
    let fastest = |time: &dyn Fn() -> f64| (0..3).map(|_run| time()).fold(f64::INFINITY, f64::min);
    ChoiceCost {
        table: fastest(&|| time_table(&entries)),
        scan: fastest(&|| time_scan(count)),
    }
}

fn time_table(entries: &[UpstreamEntry]) -> f64 {
    let now = Instant::now();
    let mut table = SlotTable::new(Arc::new(LoadSettings::default()));
    let is_new = false;
    let members = entries.iter().map(|entry| PoolMember { entry, is_new });
    table.configure(now, members);
    let average = Duration::from_millis(100);
    let mut at = now;
    let begin = Instant::now();
    for _request in 0..REQUEST_COUNT {
        at += Duration::from_micros(100);
        let slot = table
            .least_used()
            .and_then(|id| table.take(at, id, average));
        if let Some(slot) = black_box(slot) {
            table.give_back(at + average, slot, GrantOutcome::Answered, average);
        }
    }
    nanos_each(begin, REQUEST_COUNT)
}

fn time_scan(count: u32) -> f64 {
    let scans = REQUEST_COUNT / 20;
    let mut loads: Vec<f64> = (0..count).map(|id| f64::from(id % 97)).collect();
    let begin = Instant::now();
    for scan in 0..scans {
        let least = loads
            .iter()
            .enumerate()
            .min_by(|one, other| one.1.total_cmp(other.1));
        if let Some((index, load)) = least {
            loads[index] = load + f64::from(scan % 7);
        }
    }
    black_box(&loads);
    nanos_each(begin, scans)
}

fn nanos_each(begin: Instant, count: u32) -> f64 {
    begin.elapsed().as_nanos() as f64 / f64::from(count)
}
