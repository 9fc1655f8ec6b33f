//! The signals that the process acts on.

use tokio::signal::unix::Signal;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

/// Streams of signals. From its making on, none of them ends the process by itself.
pub struct ProcessSignals {
    /// Asks to read the settings again.
    pub hangup: Signal,
    /// Ask the process to stop.
    pub stop: StopSignals,
}

/// The signals that ask the process to stop.
pub struct StopSignals {
    terminate: Signal,
    interrupt: Signal,
}

impl ProcessSignals {
    /// Begins to take signals.
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
