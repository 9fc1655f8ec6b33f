//! Shutdown on SIGTERM or SIGINT.

use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

/// Resolves when the process receives SIGTERM or SIGINT.
pub async fn terminated() {
    let (Ok(mut term), Ok(mut interrupt)) = (
        signal(SignalKind::terminate()),
        signal(SignalKind::interrupt()),
    ) else {
        return std::future::pending().await;
    };
    tokio::select! {
        _ = term.recv() => {}
        _ = interrupt.recv() => {}
    }
}
