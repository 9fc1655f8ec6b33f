//! Writes logs as JSON lines to standard output, with a rate limit and without blocking.
//!
//! Lines are buffered and written on each tick. Lines that exceed the rate limit or the buffer are
//! dropped, and the number of dropped lines is logged.

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

use crate::json_layout::JsonLayout;

/// Sustained rate of lines per second. The line of a decision has about 0.4 KB, so that the rate is
/// about 20 KB/s.
const LINES_PER_SECOND: f64 = 50.0;

/// Maximum burst of lines. Enough for the registrations read at the start, and for the decisions of
/// a burst of flows.
const LINE_BURST: f64 = 400.0;

/// Size of the buffered lines, in bytes, from which further lines are dropped.
const MAX_PENDING_BYTES: usize = 256 * 1024;

/// `O_NONBLOCK` on Linux.
const NONBLOCKING: i32 = 0o4000;

/// The buffered lines and the state of the rate limit.
#[derive(Debug)]
struct LineBuffer {
    pending: VecDeque<u8>,
    /// Lines dropped since the last flush.
    dropped: u64,
    /// Tokens of the rate limit; a line takes one.
    tokens: f64,
    refilled: Instant,
    /// Standard output, opened again so that only this handle is nonblocking. `None` if it cannot
    /// be opened; lines are then written to the process's standard output.
    output: Option<File>,
}

/// The log of this process.
#[derive(Clone, Debug)]
pub struct LogWriter {
    buffer: Arc<Mutex<LineBuffer>>,
}

/// Installs the logger for the records of `log`, and returns its writer.
pub fn init() -> LogWriter {
    let output = OpenOptions::new()
        .append(true)
        .custom_flags(NONBLOCKING)
        .open("/proc/self/fd/1")
        .ok();
    let buffer = LineBuffer {
        pending: VecDeque::new(),
        dropped: 0,
        tokens: LINE_BURST,
        refilled: Instant::now(),
        output,
    };
    let writer = LogWriter {
        buffer: Arc::new(Mutex::new(buffer)),
    };
    let append = LineAppender {
        writer: writer.clone(),
        layout: JsonLayout,
    };
    logforth::starter_log::builder()
        .dispatch(|dispatch| {
            dispatch
                .filter(LevelFilter::MoreSevereEqual(Level::Info))
                .append(append)
        })
        .apply();
    writer
}

impl LogWriter {
    /// Writes buffered lines until standard output would block, and logs the number of dropped
    /// lines.
    pub fn flush(&self) {
        let left_out = {
            let mut buffer = self.lock();
            buffer.write_out();
            std::mem::take(&mut buffer.dropped)
        };
        if left_out > 0 {
            log::warn!(left_out; "log lines dropped");
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, LineBuffer> {
        self.buffer.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl LineBuffer {
    /// Takes a token for a line. Returns false, and counts the line as dropped, if there is none or
    /// the buffer is full.
    fn admit(&mut self, now: Instant) -> bool {
        let elapsed: Duration = now.saturating_duration_since(self.refilled);
        self.refilled = now;
        self.tokens = (self.tokens + elapsed.as_secs_f64() * LINES_PER_SECOND).min(LINE_BURST);
        let admitted = self.tokens >= 1.0 && self.pending.len() < MAX_PENDING_BYTES;
        if admitted {
            self.tokens -= 1.0;
        } else {
            self.dropped += 1;
        }
        admitted
    }

    /// Writes buffered lines until standard output would block.
    fn write_out(&mut self) {
        while !self.pending.is_empty() {
            let (front, _back) = self.pending.as_slices();
            let written = match &mut self.output {
                Some(output) => output.write(front),
                None => std::io::stdout().write(front),
            };
            match written {
                Ok(count) => drop(self.pending.drain(..count)),
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) if error.kind() == ErrorKind::WouldBlock => return,
                // Standard output is closed, so that the fault cannot be logged.
                Err(_error) => self.pending.clear(),
            }
        }
    }
}

/// Appends log records to the buffer.
#[derive(Debug)]
struct LineAppender {
    writer: LogWriter,
    layout: JsonLayout,
}

impl Append for LineAppender {
    fn append(
        &self,
        record: &Record,
        diagnostics: &[Box<dyn logforth::Diagnostic>],
    ) -> Result<(), logforth::Error> {
        if !self.writer.lock().admit(Instant::now()) {
            return Ok(());
        }
        let line = logforth::Layout::format(&self.layout, record, diagnostics)?;
        let mut buffer = self.writer.lock();
        buffer.pending.extend(line);
        buffer.pending.push_back(b'\n');
        Ok(())
    }

    fn flush(&self) -> Result<(), logforth::Error> {
        Ok(())
    }
}
