//! Implements a caller behind the fabric: flows, requests, retransmission, and a check of the
//! content of each answer.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use lagoonproxy::answer_buffer::AnswerBuffer;
use lagoonproxy::ids::FlowId;
use lagoonproxy::ids::RequestId;
use lagoonproxy::ids::ServiceAddress;
use lagoonproxy::ids::ZoneName;
use lagoonproxy::wire_frame;
use lagoonproxy::wire_frame::AnswerPart;
use lagoonproxy::wire_frame::CallerBody;
use lagoonproxy::wire_frame::CallerFrame;
use lagoonproxy::wire_frame::MAX_DATAGRAM;
use lagoonproxy::wire_frame::RefusalBody;
use lagoonproxy::wire_frame::RequestBody;
use lagoonproxy::wire_frame::RunOutcome;
use rand::RngExt;
use tokio::net::UdpSocket;
use tokio::sync::mpsc;
use tokio::task::JoinHandle;

use crate::answer_content::AnswerIntegrity;
use crate::answer_content::RequestIdentity;
use crate::fabric::Fabric;

/// Time before the first retransmission of a frame; it doubles with each retransmission.
const RETRANSMIT_INTERVAL: Duration = Duration::from_millis(100);
/// Maximum time between two retransmissions.
const MAX_RETRANSMIT_INTERVAL: Duration = Duration::from_secs(1);
/// Time after a request's deadline during which the caller requests its outcome.
const OUTCOME_GRACE: Duration = Duration::from_secs(1);
/// Request number under which frames that concern a whole flow are received.
const FLOW_FRAME_REQUEST: RequestId = 0;

/// A request to be sent by a caller.
#[derive(Clone, Debug)]
pub struct CallSpec {
    /// The address of the service.
    pub service: ServiceAddress,
    /// The flow that carries the request.
    pub flow: FlowId,
    /// The request's number, not zero.
    pub request: RequestId,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// The payload for the upstream.
    pub payload: Bytes,
    /// Time after which the caller no longer needs the answer.
    pub deadline: Instant,
}

/// The outcome of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// All parts of an answer arrived; its content was checked.
    Answered(AnswerIntegrity),
    /// The request was refused, and a retransmission under the same number would not change that.
    Refused(RefusalBody),
    /// Neither an answer nor a refusal arrived in time.
    TimedOut,
}

type FrameKey = (ServiceAddress, FlowId, RequestId);

struct CallerShared {
    socket: Arc<UdpSocket>,
    address: SocketAddr,
    zone: ZoneName,
    fabric: Fabric,
    inboxes: Mutex<HashMap<FrameKey, mpsc::UnboundedSender<CallerBody>>>,
    /// The flows that a host has confirmed and that have not been closed.
    opened: Mutex<BTreeSet<(ServiceAddress, FlowId)>>,
}

/// A caller with an address of its own; its flows and requests run concurrently.
pub struct Caller {
    shared: Arc<CallerShared>,
    tasks: [JoinHandle<()>; 2],
}

/// Receives the frames of one request or flow until it is dropped.
struct FrameInbox<'a> {
    shared: &'a CallerShared,
    key: FrameKey,
    frames: mpsc::UnboundedReceiver<CallerBody>,
}

impl Caller {
    /// Binds a port behind `fabric`, in `zone`.
    pub async fn bind(fabric: &Fabric, zone: &str) -> std::io::Result<Self> {
        let socket = Arc::new(UdpSocket::bind("127.0.0.1:0").await?);
        let shared = Arc::new(CallerShared {
            address: socket.local_addr()?,
            socket,
            zone: zone.into(),
            fabric: fabric.clone(),
            inboxes: Mutex::default(),
            opened: Mutex::default(),
        });
        let (sender, receiver) = mpsc::unbounded_channel();
        let tasks = [
            tokio::spawn(receive_datagrams(Arc::clone(&shared), sender)),
            tokio::spawn(route_frames(Arc::clone(&shared), receiver)),
        ];
        Ok(Self { shared, tasks })
    }

    /// Returns the caller's address as entry hosts see it.
    pub fn address(&self) -> SocketAddr {
        self.shared.address
    }

    /// Opens a flow; the error is the last refusal, or `None` if no reply arrived before `deadline`.
    pub async fn open(
        &self,
        service: ServiceAddress,
        flow: FlowId,
        deadline: Instant,
    ) -> Result<(), Option<RefusalBody>> {
        let mut inbox = self.shared.inbox((service, flow, FLOW_FRAME_REQUEST));
        let mut last_refusal = None;
        let mut interval = RETRANSMIT_INTERVAL;
        while Instant::now() < deadline {
            self.send(service, flow, CallerBody::Open).await;
            let mut next_send = Instant::now() + interval;
            while let Some(body) = inbox.receive(next_send.min(deadline)).await {
                match body {
                    CallerBody::Opened => {
                        self.shared.lock_opened().insert((service, flow));
                        return Ok(());
                    }
                    CallerBody::Refusal(refusal) => {
                        next_send = Instant::now() + with_jitter(refusal.retry_after.max(interval));
                        last_refusal = Some(refusal);
                    }
                    _ => {}
                }
            }
            interval = MAX_RETRANSMIT_INTERVAL.min(interval * 2);
        }
        Err(last_refusal)
    }

    /// Closes a flow without waiting for a confirmation.
    pub async fn close(&self, service: ServiceAddress, flow: FlowId) {
        self.shared.lock_opened().remove(&(service, flow));
        self.send(service, flow, CallerBody::Close).await;
    }

    /// Cancels a request; [`Self::call`] still returns its outcome.
    pub async fn cancel(&self, service: ServiceAddress, flow: FlowId, request: RequestId) {
        self.send(service, flow, CallerBody::Cancel { request })
            .await;
    }

    /// Sends a request, and retransmits it until it has an outcome.
    ///
    /// A refusal with an unknown outcome is not final if it has a retry delay: a retransmission
    /// under the same number is always safe, and a host with a record of the request may know its
    /// outcome.
    pub async fn call(&self, call: &CallSpec) -> CallOutcome {
        let key = (call.service, call.flow, call.request);
        let mut inbox = self.shared.inbox(key);
        let mut answer = None;
        let mut last_refusal = None;
        let mut interval = RETRANSMIT_INTERVAL;
        let start = Instant::now();
        while Instant::now() < call.deadline {
            self.send_request(call, start).await;
            let mut next_send = Instant::now() + interval;
            while let Some(body) = inbox.receive(next_send.min(call.deadline)).await {
                match body {
                    CallerBody::Part(part) => {
                        if let Some(integrity) = self.receive_part(call, &part, &mut answer).await {
                            return CallOutcome::Answered(integrity);
                        }
                    }
                    CallerBody::Refusal(refusal) if is_final(&refusal) => {
                        return CallOutcome::Refused(refusal);
                    }
                    CallerBody::Refusal(refusal) => {
                        next_send = Instant::now() + with_jitter(refusal.retry_after);
                        last_refusal = Some(refusal);
                    }
                    _ => {}
                }
            }
            interval = MAX_RETRANSMIT_INTERVAL.min(interval * 2);
        }
        self.await_late_outcome(call, start, &mut inbox, answer, last_refusal)
            .await
    }

    /// Waits for the outcome of a request whose deadline has passed, and retransmits the request.
    ///
    /// The refusal that the deadline causes may be lost like any datagram. A retransmission with no
    /// time left is never run, and is refused again.
    async fn await_late_outcome(
        &self,
        call: &CallSpec,
        start: Instant,
        inbox: &mut FrameInbox<'_>,
        mut answer: Option<AnswerBuffer>,
        last_refusal: Option<RefusalBody>,
    ) -> CallOutcome {
        let end = call.deadline + OUTCOME_GRACE;
        while Instant::now() < end {
            let next_send = end.min(Instant::now() + RETRANSMIT_INTERVAL);
            while let Some(body) = inbox.receive(next_send).await {
                match body {
                    CallerBody::Part(part) => {
                        if let Some(integrity) = self.receive_part(call, &part, &mut answer).await {
                            return CallOutcome::Answered(integrity);
                        }
                    }
                    CallerBody::Refusal(refusal) => return CallOutcome::Refused(refusal),
                    _ => {}
                }
            }
            self.send_request(call, start).await;
        }
        last_refusal.map_or(CallOutcome::TimedOut, CallOutcome::Refused)
    }

    /// Adds a part of an answer. Once the answer is whole, acknowledges it and returns the result
    /// of the check of its content.
    async fn receive_part(
        &self,
        call: &CallSpec,
        part: &AnswerPart,
        answer: &mut Option<AnswerBuffer>,
    ) -> Option<AnswerIntegrity> {
        match answer {
            Some(buffer) if buffer.run() == part.run => {
                buffer.add(part);
            }
            _ => *answer = Some(AnswerBuffer::new(part)),
        }
        let whole = answer.take_if(|buffer| buffer.is_whole())?;
        let received: Vec<u8> = whole.parts().flat_map(|part| part.payload).collect();
        let request = call.request;
        self.send(call.service, call.flow, CallerBody::Ack { request })
            .await;
        Some(self.identity(call).verify(&call.payload, &received))
    }

    /// Returns the identity of a request, which determines the correct answer.
    pub fn identity(&self, call: &CallSpec) -> RequestIdentity {
        RequestIdentity {
            service: call.service,
            caller: self.shared.address,
            flow: call.flow,
            request: call.request,
        }
    }

    async fn send_request(&self, call: &CallSpec, start: Instant) {
        let body = CallerBody::Request(RequestBody {
            request: call.request,
            age: start.elapsed(),
            remaining: call.deadline.saturating_duration_since(Instant::now()),
            idempotent: call.idempotent,
            established: self
                .shared
                .lock_opened()
                .contains(&(call.service, call.flow)),
            payload: call.payload.clone(),
        });
        self.send(call.service, call.flow, body).await;
    }

    async fn send(&self, service: ServiceAddress, flow: FlowId, body: CallerBody) {
        let frame = CallerFrame {
            service,
            flow,
            body,
        };
        let shared = &self.shared;
        match wire_frame::encode_caller(&frame) {
            Ok(bytes) => {
                shared
                    .fabric
                    .spray(&shared.zone, &shared.socket, bytes)
                    .await;
            }
            Err(code) => log::error!("cannot encode a frame to an entry host: {code:?}"),
        }
    }
}

impl Drop for Caller {
    fn drop(&mut self) {
        for task in &self.tasks {
            task.abort();
        }
    }
}

impl CallerShared {
    fn inbox(&self, key: FrameKey) -> FrameInbox<'_> {
        let (sender, frames) = mpsc::unbounded_channel();
        self.lock_inboxes().insert(key, sender);
        FrameInbox {
            shared: self,
            key,
            frames,
        }
    }

    fn lock_inboxes(&self) -> MutexGuard<'_, HashMap<FrameKey, mpsc::UnboundedSender<CallerBody>>> {
        self.inboxes
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    fn lock_opened(&self) -> MutexGuard<'_, BTreeSet<(ServiceAddress, FlowId)>> {
        self.opened
            .lock()
            .unwrap_or_else(|poisoned| poisoned.into_inner())
    }
}

impl FrameInbox<'_> {
    /// Returns the next frame, or `None` if `deadline` passes first.
    async fn receive(&mut self, deadline: Instant) -> Option<CallerBody> {
        tokio::time::timeout_at(deadline.into(), self.frames.recv())
            .await
            .unwrap_or(None)
    }
}

impl Drop for FrameInbox<'_> {
    fn drop(&mut self) {
        self.shared.lock_inboxes().remove(&self.key);
    }
}

/// Adds up to half of `interval` at random, so that refused callers don't retry at the same time.
pub fn with_jitter(interval: Duration) -> Duration {
    interval.mul_f64(rand::rng().random_range(1.0..1.5))
}

/// Returns whether a retransmission under the same number would not change the refusal.
fn is_final(refusal: &RefusalBody) -> bool {
    refusal.outcome != RunOutcome::Unknown || refusal.retry_after.is_zero()
}

async fn receive_datagrams(shared: Arc<CallerShared>, sender: mpsc::UnboundedSender<Bytes>) {
    let mut buffer = [0; MAX_DATAGRAM + 1];
    loop {
        let Ok((len, _host)) = shared.socket.recv_from(&mut buffer).await else {
            continue;
        };
        let bytes = Bytes::copy_from_slice(&buffer[..len]);
        shared.fabric.give_back(&sender, bytes).await;
    }
}

async fn route_frames(shared: Arc<CallerShared>, mut receiver: mpsc::UnboundedReceiver<Bytes>) {
    while let Some(bytes) = receiver.recv().await {
        let Ok(frame) = wire_frame::decode_caller(&bytes) else {
            continue;
        };
        let request = request_id(&frame.body);
        let inboxes = shared.lock_inboxes();
        if let Some(inbox) = inboxes.get(&(frame.service, frame.flow, request)) {
            let _receiver_dropped = inbox.send(frame.body);
        }
    }
}

fn request_id(body: &CallerBody) -> RequestId {
    match body {
        CallerBody::Accepted { request }
        | CallerBody::Ack { request }
        | CallerBody::Cancel { request } => *request,
        CallerBody::Part(part) => part.request,
        CallerBody::Refusal(refusal) => refusal.request.unwrap_or(FLOW_FRAME_REQUEST),
        CallerBody::Request(request) => request.request,
        CallerBody::Open | CallerBody::Opened | CallerBody::Close | CallerBody::Closed => {
            FLOW_FRAME_REQUEST
        }
    }
}
