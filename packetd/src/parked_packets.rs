//! SYNs that are parked until a dispatcher's reply has arrived or timed out.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use lagoonproxy_packet::dispatch::dispatch_client::REPLY_TIMEOUT;
use lagoonproxy_packet::flows::flow_table::FlowKey;
use tokio::sync::Notify;

/// Sleep time while no packet is parked. Parking a packet wakes the task earlier.
const MAX_SLEEP: Duration = Duration::from_secs(3600);

/// A parked packet, with space for the upstream number in front of it.
#[derive(Debug)]
struct ParkedPacket {
    key: FlowKey,
    datagram: Vec<u8>,
    /// Time at which the packet is handled again.
    due_at: Instant,
}

/// The parked packets, in the order of `due_at`. The core limits their number.
#[derive(Debug, Default)]
pub struct ParkedPackets {
    packets: RefCell<VecDeque<ParkedPacket>>,
    /// Notified when the first packet may have changed.
    front_changed: Notify,
}

impl ParkedPackets {
    /// Parks a packet until [`REPLY_TIMEOUT`] has passed.
    pub fn park(&self, now: Instant, key: FlowKey, datagram: &[u8]) {
        let packet = ParkedPacket {
            key,
            datagram: datagram.to_vec(),
            due_at: now + REPLY_TIMEOUT,
        };
        let mut packets = self.packets.borrow_mut();
        let index = packets.partition_point(|other| other.due_at <= packet.due_at);
        packets.insert(index, packet);
        if index == 0 {
            self.front_changed.notify_one();
        }
    }

    /// Reschedules the parked packet of a flow: at once if a reply has arrived, later if the
    /// dispatcher needs more time. Does nothing if no packet of the flow is parked.
    pub fn reschedule(&self, key: FlowKey, due_at: Instant) {
        let mut packets = self.packets.borrow_mut();
        let index = packets.iter().position(|packet| packet.key == key);
        if let Some(mut packet) = index.and_then(|index| packets.remove(index)) {
            packet.due_at = due_at;
            let index = packets.partition_point(|other| other.due_at < due_at);
            packets.insert(index, packet);
            self.front_changed.notify_one();
        }
    }

    /// Waits until a packet is due, and returns it.
    pub async fn next_due(&self) -> Vec<u8> {
        loop {
            let now = Instant::now();
            let wait = {
                let mut packets = self.packets.borrow_mut();
                match packets.front() {
                    Some(packet) if packet.due_at <= now => {
                        if let Some(packet) = packets.pop_front() {
                            return packet.datagram;
                        }
                        MAX_SLEEP
                    }
                    Some(packet) => packet.due_at - now,
                    None => MAX_SLEEP,
                }
            };
            tokio::select! {
                () = tokio::time::sleep(wait) => {}
                () = self.front_changed.notified() => {}
            }
        }
    }
}
