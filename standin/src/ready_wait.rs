//! Waits until daemons call themselves ready.

use std::net::SocketAddr;
use std::time::Duration;

/// Time between two looks at a host that is not ready.
const READY_PAUSE: Duration = Duration::from_millis(100);

/// Waits until `/readyz` of each admin address answers with success; says what it waits for.
pub async fn wait_until_ready(admins: &[SocketAddr]) {
    for address in admins {
        wait_until_ok(&format!("http://{address}/readyz")).await;
    }
}

/// Waits until a URL answers with success; says once what it waits for.
pub async fn wait_until_ok(url: &str) {
    let mut told = false;
    loop {
        let answer = reqwest::get(url).await;
        if answer.is_ok_and(|answer| answer.status().is_success()) {
            return;
        }
        if !told {
            eprintln!("waiting for {url}");
            told = true;
        }
        tokio::time::sleep(READY_PAUSE).await;
    }
}
