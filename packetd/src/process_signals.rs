//! The signals that the process handles.

use tokio::signal::unix::Signal;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

/// Handlers of the signals. Once they are registered, none of the signals ends the process by
/// itself.
pub struct ProcessSignals {
    /// SIGHUP, which reloads the settings.
    pub hangup: Signal,
    /// The signals that stop the process.
    pub stop: StopSignals,
}

/// The signals that stop the process gracefully.
pub struct StopSignals {
    terminate: Signal,
    interrupt: Signal,
}

impl ProcessSignals {
    /// Registers the handlers. Fails if the system refuses one.
    pub fn new() -> std::io::Result<Self> {
        Ok(Self {
            hangup: signal(SignalKind::hangup())?,
            stop: StopSignals {
                terminate: signal(SignalKind::terminate())?,
                interrupt: signal(SignalKind::interrupt())?,
            },
        })
    }
}

impl StopSignals {
    /// Waits for SIGTERM or SIGINT.
    pub async fn received(mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}
