//! Handling of requests, reservations and probes by the simulated upstreams.

use std::time::Duration;
use std::time::Instant;

use lagoonproxy::host_event::UpstreamReport;
use lagoonproxy::ids::HostId;
use lagoonproxy::ids::UpstreamId;
use lagoonproxy::load_message::LoadBody;
use lagoonproxy::load_message::LoadMessage;
use lagoonproxy::load_policy::AttemptOutcome;

use crate::cluster_plan::SERVICE;
use crate::virtual_cluster::UPSTREAM_HOST_BASE;
use crate::virtual_cluster::VirtualCluster;
use crate::virtual_cluster::VirtualEvent;
use crate::virtual_upstream::SaturationBehavior;
use crate::virtual_upstream::WaitingEntry;

/// Delay after which an upstream that sheds a request expects a free slot.
const SHED_RETRY_AFTER: Duration = Duration::from_millis(50);

impl VirtualCluster {
    pub(crate) fn admit_run(&mut self, id: UpstreamId, index: usize, attempt: u32) {
        let now = self.now;
        let deadline = self.deadline_of(index);
        let upstream = &mut self.run.upstreams[id as usize];
        if upstream.unresponsive {
            return;
        }
        upstream.arrivals.push(now);
        if self.saturation_behavior == SaturationBehavior::Reserve {
            upstream.busy -= 1;
        }
        if now >= deadline || upstream.draining {
            return self.respond(id, index, attempt, not_started(Duration::ZERO));
        }
        if upstream.has_room() {
            return self.start_request(id, index, attempt);
        }
        match self.saturation_behavior {
            SaturationBehavior::Queue => upstream.queue.push_back(WaitingEntry::Request(index)),
            SaturationBehavior::Shed | SaturationBehavior::Reserve => {
                self.respond(id, index, attempt, not_started(SHED_RETRY_AFTER));
            }
        }
    }

    fn start_request(&mut self, id: UpstreamId, index: usize, attempt: u32) {
        let upstream = &mut self.run.upstreams[id as usize];
        upstream.busy += 1;
        let request = &mut self.run.requests[index];
        request.started = Some(self.now);
        let held = request.service.mul_f64(upstream.service_time_factor);
        let event = VirtualEvent::Finish(id, index, self.now, attempt);
        self.schedule(self.now + held, event);
    }

    pub(crate) fn finish(&mut self, id: UpstreamId, index: usize, since: Instant, attempt: u32) {
        let now = self.now;
        let upstream = &mut self.run.upstreams[id as usize];
        upstream.busy -= 1;
        upstream.runs.push((since, now));
        if !upstream.unresponsive {
            self.respond(id, index, attempt, AttemptOutcome::Answered);
        }
        self.start_waiting(id);
    }

    /// Starts queued requests and grants queued reservations while slots are free.
    fn start_waiting(&mut self, id: UpstreamId) {
        while self.run.upstreams[id as usize].has_room() {
            let Some(entry) = self.run.upstreams[id as usize].queue.pop_front() else {
                return;
            };
            match entry {
                WaitingEntry::Request(index) if self.now >= self.deadline_of(index) => {
                    let attempt = self.run.requests[index].sends;
                    self.respond(id, index, attempt, not_started(Duration::ZERO));
                }
                WaitingEntry::Request(index) => {
                    let attempt = self.run.requests[index].sends;
                    self.start_request(id, index, attempt);
                }
                WaitingEntry::Reservation(host, slot_request) => {
                    self.run.upstreams[id as usize].busy += 1;
                    let body = LoadBody::Grant { upstream: id };
                    self.send_message_from_upstream(id, host, slot_request, body);
                }
            }
        }
    }

    fn send_message_from_upstream(
        &mut self,
        id: UpstreamId,
        host: HostId,
        slot_request: u32,
        body: LoadBody,
    ) {
        let message = LoadMessage {
            service: SERVICE,
            slot_request,
            body,
            previous_release: None,
        };
        self.count_message(UPSTREAM_HOST_BASE + id, &message);
        let delay = self.delay(host, id);
        let event = VirtualEvent::Peer(host, UPSTREAM_HOST_BASE + id, message);
        self.schedule(self.now + delay, event);
    }

    /// Handles a reservation, its release, or a probe. A release or the start of the reserved run
    /// frees the reserved slot.
    pub(crate) fn handle_load_message(
        &mut self,
        id: UpstreamId,
        host: HostId,
        message: &LoadMessage,
    ) {
        match message.body {
            LoadBody::Request(_) => {
                let entry = WaitingEntry::Reservation(host, message.slot_request);
                self.run.upstreams[id as usize].queue.push_back(entry);
            }
            LoadBody::Release(_) => self.run.upstreams[id as usize].busy -= 1,
            _ => {
                let report = self.report(id);
                let delay = self.delay(host, id);
                let event = VirtualEvent::Result(host, usize::MAX, 0, AttemptOutcome::Lost, report);
                self.count_message(UPSTREAM_HOST_BASE + id, message);
                self.schedule(self.now + delay, event);
            }
        }
        self.start_waiting(id);
    }

    fn report(&self, id: UpstreamId) -> UpstreamReport {
        let upstream = &self.run.upstreams[id as usize];
        UpstreamReport {
            upstream: id,
            healthy: true,
            busy_slots: upstream.busy + upstream.queue.len() as u32,
            connections: 0,
        }
    }

    fn respond(&mut self, id: UpstreamId, index: usize, attempt: u32, end: AttemptOutcome) {
        let host = self.run.requests[index].host;
        let report = self.report(id);
        let delay = self.delay(host, id);
        let event = VirtualEvent::Result(host, index, attempt, end, report);
        self.schedule(self.now + delay, event);
    }
}

fn not_started(retry_after: Duration) -> AttemptOutcome {
    AttemptOutcome::NotStarted { retry_after }
}
