//! Keeps a stopping host forwarding until the fabric no longer sends packets to it.
//!
//! During a rolling restart, the fabric checks the readiness of each host twice a second and
//! removes a host after two failed checks. Until then it sends packets, and for longer if many
//! hosts of the zone are down. A host that ended at once would lose them, and each lost packet
//! delays its caller by 200 ms or more. A host that stayed until the end of its grace time would
//! increase the number of hosts of the zone that are down at the same time.

use std::rc::Rc;
use std::time::Instant;

use crate::host_state::HostState;
use crate::stop_wait::POLL_INTERVAL;
use crate::stop_wait::StopWait;

/// Waits until the process may end: the fabric has removed the host, or its grace time is over.
pub async fn wait_until_idle(state: Rc<HostState>) {
    let grace = state.settings.borrow().stop_grace;
    let mut wait = StopWait::new(Instant::now(), grace);
    while !wait.may_end(Instant::now(), state.last_packet.get()) {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}
