//! SYNs that wait for the reply of a dispatcher.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use lagoonproxy_packet::dispatch::dispatch_client::REPLY_TIMEOUT;
use lagoonproxy_packet::flows::flow_table::FlowKey;
use tokio::sync::Notify;

/// Wait for the first packet to be parked.
const IDLE_WAIT: Duration = Duration::from_secs(3600);

/// One packet, with room for the number in front of it.
#[derive(Debug)]
struct ParkedPacket {
    key: FlowKey,
    datagram: Vec<u8>,
    /// When it is handed in again without a reply.
    due_at: Instant,
}

/// The packets in the order of `due_at`. The core bounds their number.
#[derive(Debug, Default)]
pub struct ParkedPackets {
    packets: RefCell<VecDeque<ParkedPacket>>,
    /// Wakes who hands packets in again.
    changed: Notify,
}

impl ParkedPackets {
    /// Keeps a packet until its reply comes, or is late.
    pub fn park(&self, now: Instant, key: FlowKey, datagram: &[u8]) {
        let packet = ParkedPacket {
            key,
            datagram: datagram.to_vec(),
            due_at: now + REPLY_TIMEOUT,
        };
        let mut packets = self.packets.borrow_mut();
        let place = packets.partition_point(|other| other.due_at <= packet.due_at);
        packets.insert(place, packet);
        if place == 0 {
            self.changed.notify_one();
        }
    }

    /// Changes when a flow's packet is handed in again: a reply has come, or will come later.
    pub fn postpone(&self, key: FlowKey, due_at: Instant) {
        let mut packets = self.packets.borrow_mut();
        let place = packets.iter().position(|packet| packet.key == key);
        if let Some(mut packet) = place.and_then(|place| packets.remove(place)) {
            packet.due_at = due_at;
            let place = packets.partition_point(|other| other.due_at < due_at);
            packets.insert(place, packet);
            self.changed.notify_one();
        }
    }

    /// Waits for a packet that is due.
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
                        IDLE_WAIT
                    }
                    Some(packet) => packet.due_at - now,
                    None => IDLE_WAIT,
                }
            };
            tokio::select! {
                () = tokio::time::sleep(wait) => {}
                () = self.changed.notified() => {}
            }
        }
    }
}
