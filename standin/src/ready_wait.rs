//! Waits until daemons report that they are ready.

use std::net::SocketAddr;
use std::time::Duration;

/// Interval between two requests to a host that is not ready.
const READY_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Waits until `/readyz` of each admin address returns a success status; prints each URL that it
/// has to wait for.
pub async fn wait_until_ready(admin_addresses: &[SocketAddr]) {
    for address in admin_addresses {
        wait_until_ok(&format!("http://{address}/readyz")).await;
    }
}

/// Waits until a URL returns a success status; prints the URL once if it has to wait.
pub async fn wait_until_ok(url: &str) {
    let mut announced = false;
    loop {
        let response = reqwest::get(url).await;
        if response.is_ok_and(|response| response.status().is_success()) {
            return;
        }
        if !announced {
            eprintln!("waiting for {url}");
            announced = true;
        }
        tokio::time::sleep(READY_POLL_INTERVAL).await;
    }
}
