//! Logs as JSON lines on standard output, bounded in rate and never blocking.
//!
//! Lines gather in a buffer and are written on each tick without waiting. What does not fit, into
//! the rate or into the buffer, is counted, and the count is a line of its own.

use std::collections::VecDeque;
use std::fs::File;
use std::fs::OpenOptions;
use std::io::ErrorKind;
use std::io::Write;
use std::os::unix::fs::OpenOptionsExt;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use logforth::append::Append;
use logforth::record::Level;
use logforth::record::LevelFilter;
use logforth::record::Record;

use crate::line_layout::LineLayout;

/// Lines a second over time. A decision takes about 0.4 KB, so that this is 20 KB a second.
const LINES_PER_SECOND: f64 = 50.0;

/// Lines that may come at once: the registrations of a start, and the decisions of a burst.
const LINE_BURST: f64 = 400.0;

/// Most bytes that wait for a reader of standard output.
const MOST_WAITING: usize = 256 * 1024;

/// The kernel's flag for writing without waiting (`O_NONBLOCK` on Linux).
const NONBLOCKING: i32 = 0o4000;

/// The buffer of lines.
#[derive(Debug)]
struct LineBuffer {
    waiting: VecDeque<u8>,
    left_out: u64,
    tokens: f64,
    refilled: Instant,
    /// Standard output, opened again so that only this handle does not wait; `None` if that
    /// cannot be done here, and then lines are written as they are.
    output: Option<File>,
}

/// The logs of this process.
#[derive(Clone, Debug)]
pub struct LogLines {
    buffer: Arc<Mutex<LineBuffer>>,
}

/// Sends the records of `log` to standard output.
pub fn init() -> LogLines {
    let output = OpenOptions::new()
        .append(true)
        .custom_flags(NONBLOCKING)
        .open("/proc/self/fd/1")
        .ok();
    let buffer = LineBuffer {
        waiting: VecDeque::new(),
        left_out: 0,
        tokens: LINE_BURST,
        refilled: Instant::now(),
        output,
    };
    let lines = LogLines {
        buffer: Arc::new(Mutex::new(buffer)),
    };
    let append = LineAppend {
        lines: lines.clone(),
        layout: LineLayout,
    };
    logforth::starter_log::builder()
        .dispatch(|dispatch| {
            dispatch
                .filter(LevelFilter::MoreSevereEqual(Level::Info))
                .append(append)
        })
        .apply();
    lines
}

impl LogLines {
    /// Writes what waits, as far as the reader takes it.
    pub fn flush(&self) {
        let left_out = {
            let mut buffer = self.lock();
            buffer.write_out();
            std::mem::take(&mut buffer.left_out)
        };
        if left_out > 0 {
            log::warn!(left_out; "log lines left out");
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, LineBuffer> {
        self.buffer.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl LineBuffer {
    /// Whether a line may be added now.
    fn admit(&mut self, now: Instant) -> bool {
        let passed: Duration = now.saturating_duration_since(self.refilled);
        self.refilled = now;
        self.tokens = (self.tokens + passed.as_secs_f64() * LINES_PER_SECOND).min(LINE_BURST);
        let admitted = self.tokens >= 1.0 && self.waiting.len() < MOST_WAITING;
        if admitted {
            self.tokens -= 1.0;
        } else {
            self.left_out += 1;
        }
        admitted
    }

    fn write_out(&mut self) {
        while !self.waiting.is_empty() {
            let (front, _back) = self.waiting.as_slices();
            let written = match &mut self.output {
                Some(output) => output.write(front),
                None => std::io::stdout().write(front),
            };
            match written {
                Ok(count) => drop(self.waiting.drain(..count)),
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) if error.kind() == ErrorKind::WouldBlock => return,
                // Nobody reads any more: there is no place left to say so.
                Err(_error) => self.waiting.clear(),
            }
        }
    }
}

#[derive(Debug)]
struct LineAppend {
    lines: LogLines,
    layout: LineLayout,
}

impl Append for LineAppend {
    fn append(
        &self,
        record: &Record,
        diagnostics: &[Box<dyn logforth::Diagnostic>],
    ) -> Result<(), logforth::Error> {
        if !self.lines.lock().admit(Instant::now()) {
            return Ok(());
        }
        let line = logforth::Layout::format(&self.layout, record, diagnostics)?;
        let mut buffer = self.lines.lock();
        buffer.waiting.extend(line);
        buffer.waiting.push_back(b'\n');
        Ok(())
    }

    fn flush(&self) -> Result<(), logforth::Error> {
        Ok(())
    }
}
