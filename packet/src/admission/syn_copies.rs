//! When callers send the copies of a SYN.

use std::time::Duration;

/// Time from the first SYN of a flow to each of its copies.
const COPY_AGES: [Duration; 3] = [
    Duration::ZERO,
    Duration::from_millis(200),
    Duration::from_millis(600),
];

/// Time from the first SYN of a flow to this copy; of a copy that callers do not send, that to the last.
pub fn copy_age(copy: u32) -> Duration {
    let last = COPY_AGES.len() - 1;
    COPY_AGES[(copy as usize).min(last)]
}

/// Time from the first SYN of a flow to the copy after this one; `None` if this is the last.
pub fn next_copy_age(copy: u32) -> Option<Duration> {
    COPY_AGES.get(copy as usize + 1).copied()
}
