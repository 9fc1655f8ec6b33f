//! Stand-in for a caller behind the fabric that sprays its datagrams over the entry hosts.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use lagoonproxy::answer_buffer::AnswerBuffer;
use lagoonproxy::ids::FlowId;
use lagoonproxy::ids::RequestId;
use lagoonproxy::ids::ServiceAddress;
use lagoonproxy::wire_frame;
use lagoonproxy::wire_frame::CallerBody;
use lagoonproxy::wire_frame::CallerFrame;
use lagoonproxy::wire_frame::MAX_DATAGRAM;
use lagoonproxy::wire_frame::RefusalBody;
use lagoonproxy::wire_frame::RequestBody;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use tokio::net::UdpSocket;

/// How long a caller waits before it sends a request again.
const RESEND_PAUSE: Duration = Duration::from_millis(100);

/// What became of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    /// The whole answer.
    Answered(Vec<u8>),
    /// A refusal.
    Refused(RefusalBody),
    /// Nothing before the deadline.
    TimedOut,
}

/// One caller with its own port.
pub struct Caller {
    socket: UdpSocket,
    hosts: Vec<SocketAddr>,
    random: StdRng,
    /// The flows that a host has confirmed.
    opened: BTreeSet<FlowId>,
}

impl Caller {
    /// Binds a port; `seed` decides how datagrams are sprayed over `hosts`.
    pub async fn bind(hosts: Vec<SocketAddr>, seed: u64) -> std::io::Result<Self> {
        Ok(Self {
            socket: UdpSocket::bind("127.0.0.1:0").await?,
            hosts,
            random: StdRng::seed_from_u64(seed),
            opened: BTreeSet::new(),
        })
    }

    /// Opens a flow; `false` if no host confirmed it before `deadline`.
    pub async fn open(
        &mut self,
        service: ServiceAddress,
        flow: FlowId,
        deadline: Instant,
    ) -> std::io::Result<bool> {
        let frame = CallerFrame {
            service,
            flow,
            body: CallerBody::Open,
        };
        while Instant::now() < deadline {
            self.spray(&frame).await?;
            let pause = Instant::now() + RESEND_PAUSE;
            while let Some(reply) = self.receive(pause).await? {
                if reply.flow == flow && reply.body == CallerBody::Opened {
                    self.opened.insert(flow);
                    return Ok(true);
                }
            }
        }
        Ok(false)
    }

    /// Sends a request, again after each pause, until it has an outcome.
    pub async fn call(
        &mut self,
        service: ServiceAddress,
        flow: FlowId,
        request: RequestId,
        payload: &Bytes,
        budget: Duration,
    ) -> std::io::Result<CallOutcome> {
        let start = Instant::now();
        let deadline = start + budget;
        let mut answer: Option<AnswerBuffer> = None;
        while Instant::now() < deadline {
            let body = CallerBody::Request(RequestBody {
                request,
                age: start.elapsed(),
                remaining: deadline.saturating_duration_since(Instant::now()),
                idempotent: true,
                established: self.opened.contains(&flow),
                payload: payload.clone(),
            });
            self.spray(&CallerFrame {
                service,
                flow,
                body,
            })
            .await?;
            let pause = deadline.min(Instant::now() + RESEND_PAUSE);
            while let Some(reply) = self.receive(pause).await? {
                let Some(outcome) = take_reply(reply, flow, request, &mut answer) else {
                    continue;
                };
                let body = CallerBody::Ack { request };
                self.spray(&CallerFrame {
                    service,
                    flow,
                    body,
                })
                .await?;
                return Ok(outcome);
            }
        }
        Ok(CallOutcome::TimedOut)
    }

    async fn spray(&mut self, frame: &CallerFrame) -> std::io::Result<()> {
        let host = self.hosts[self.random.random_range(0..self.hosts.len())];
        let bytes = wire_frame::encode_caller(frame)
            .map_err(|code| std::io::Error::other(format!("cannot encode: {code:?}")))?;
        self.socket.send_to(&bytes, host).await?;
        Ok(())
    }

    /// The next frame, or `None` when `deadline` passes first.
    async fn receive(&self, deadline: Instant) -> std::io::Result<Option<CallerFrame>> {
        let mut buffer = [0; MAX_DATAGRAM + 1];
        let receiving = self.socket.recv_from(&mut buffer);
        let received = tokio::time::timeout_at(deadline.into(), receiving).await;
        let Ok(received) = received else {
            return Ok(None);
        };
        let (len, _host) = received?;
        Ok(wire_frame::decode_caller(&buffer[..len]).ok())
    }
}

fn take_reply(
    reply: CallerFrame,
    flow: FlowId,
    request: RequestId,
    answer: &mut Option<AnswerBuffer>,
) -> Option<CallOutcome> {
    if reply.flow != flow {
        return None;
    }
    match reply.body {
        CallerBody::Part(part) if part.request == request => {
            match answer {
                Some(buffer) => {
                    buffer.add(&part);
                }
                None => *answer = Some(AnswerBuffer::new(&part)),
            }
            let whole = answer.take_if(|buffer| buffer.is_whole())?;
            let bytes = whole.parts().flat_map(|part| part.payload).collect();
            Some(CallOutcome::Answered(bytes))
        }
        CallerBody::Refusal(refusal) if refusal.request == Some(request) => {
            Some(CallOutcome::Refused(refusal))
        }
        _ => None,
    }
}
