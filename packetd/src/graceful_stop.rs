//! Keeps a stopping host forwarding until the fabric no longer sends packets to it.
//!
//! During a rolling restart, the fabric checks the readiness of each host twice a second and
//! removes a host after two failed checks. Until then it sends packets, and for longer if many
//! hosts of the zone are down. A host that ended at once would lose them, and each lost packet
//! delays its caller by 200 ms or more. A host that stayed until the end of its grace time would
//! increase the number of hosts of the zone that are down at the same time.

use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use crate::host_state::HostState;

/// Minimum time from the stop signal to the end of the process. It covers the longest time in which
/// the fabric removes a host: two failed checks, half a second apart, and one more for a check that
/// was in progress.
const MIN_STOP_TIME: Duration = Duration::from_millis(1500);

/// Time without packets that shows that the fabric has removed the host. Hosts in rotation receive
/// a packet every few milliseconds.
const IDLE_TIME: Duration = Duration::from_millis(300);

/// Time before the end of the grace time at which the process ends even if packets still arrive, so
/// that it is not killed.
const EXIT_RESERVE: Duration = Duration::from_millis(1000);

/// Interval at which the end conditions are checked.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Waits until the process may end: the fabric has removed the host, or its grace time is over.
pub async fn wait_until_idle(state: Rc<HostState>) {
    let requested = Instant::now();
    let grace = state.settings.borrow().stop_grace;
    let end = requested + grace.saturating_sub(EXIT_RESERVE);
    loop {
        let now = Instant::now();
        let is_past_min = now.saturating_duration_since(requested) >= MIN_STOP_TIME;
        let is_idle = now.saturating_duration_since(state.last_packet.get()) >= IDLE_TIME;
        if now >= end || (is_past_min && is_idle) {
            return;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}
