//! How long a host that was asked to stop goes on forwarding.
//!
//! Load pattern: a rolling restart. The fabric asks twice a second whether a host is ready and
//! lets go of it after two misses; until then, and longer when many hosts of the zone are away, it
//! sends packets. A host that ends at once loses them, and each costs its caller 200 ms or more.
//! One that stays to the end of its grace keeps more hosts of the zone away at the same time.

use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use crate::host_state::HostState;

/// How long the fabric takes at most to let go: two misses, half a second apart, and one more
/// for a question that was under way.
const LETTING_GO: Duration = Duration::from_millis(1500);

/// Silence after which the fabric has let go. Hosts receive a packet every few milliseconds.
const SILENCE: Duration = Duration::from_millis(300);

/// Left of the grace when the process ends whatever comes, so that it ends by itself.
const RESERVE: Duration = Duration::from_millis(1000);

/// How often it is looked whether packets still come.
const LOOK_PAUSE: Duration = Duration::from_millis(50);

/// Waits until the process may end.
pub async fn wait_for_silence(state: Rc<HostState>) {
    let asked = Instant::now();
    let grace = state.settings.borrow().stop_grace;
    let end = asked + grace.saturating_sub(RESERVE);
    loop {
        let now = Instant::now();
        let let_go = now.saturating_duration_since(asked) >= LETTING_GO;
        let silent = now.saturating_duration_since(state.last_packet.get()) >= SILENCE;
        if now >= end || (let_go && silent) {
            return;
        }
        tokio::time::sleep(LOOK_PAUSE).await;
    }
}
