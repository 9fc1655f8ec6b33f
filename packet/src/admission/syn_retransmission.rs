//! The retransmission schedule of SYNs.
//!
//! The transmission number of a SYN is 0 for the first SYN of a flow and n for retransmission n.

use std::time::Duration;

/// Time from the first SYN of a flow to each of its transmissions.
const TRANSMISSION_OFFSETS: [Duration; 3] = [
    Duration::ZERO,
    Duration::from_millis(200),
    Duration::from_millis(600),
];

/// Returns the time from the first SYN of a flow to the transmission with this number. Numbers
/// beyond the last have the offset of the last.
pub fn transmission_offset(transmission: u32) -> Duration {
    let last = TRANSMISSION_OFFSETS.len() - 1;
    TRANSMISSION_OFFSETS[(transmission as usize).min(last)]
}

/// Returns the time from the first SYN of a flow to the transmission after this one; `None` after
/// the last.
pub fn next_transmission_offset(transmission: u32) -> Option<Duration> {
    TRANSMISSION_OFFSETS.get(transmission as usize + 1).copied()
}
