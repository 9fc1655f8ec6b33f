//! Stand-in for an upstream: runs requests and answers with content that can be checked.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use bytes::Bytes;
use lagoonproxy::ids::UpstreamId;
use lagoonproxy::wire_frame;
use lagoonproxy::wire_frame::AnswerPart;
use lagoonproxy::wire_frame::MAX_DATAGRAM;
use lagoonproxy::wire_frame::RoutingTag;
use lagoonproxy::wire_frame::UpstreamBody;
use lagoonproxy::wire_frame::UpstreamFrame;
use smol_str::SmolStr;
use tokio::net::UdpSocket;

/// Bytes of payload in each part of an answer.
const PART_LEN: usize = 1_000;

/// An upstream of one service.
pub struct Upstream {
    id: UpstreamId,
    service: SmolStr,
    runs: Arc<AtomicU64>,
    socket: UdpSocket,
}

impl Upstream {
    /// Binds a port that the system chooses.
    pub async fn bind(id: UpstreamId, service: &str) -> std::io::Result<Self> {
        Ok(Self {
            id,
            service: service.into(),
            runs: Arc::default(),
            socket: UdpSocket::bind("127.0.0.1:0").await?,
        })
    }

    /// Where it receives.
    pub fn address(&self) -> std::io::Result<SocketAddr> {
        self.socket.local_addr()
    }

    /// Counts the requests that were run.
    pub fn runs(&self) -> Arc<AtomicU64> {
        Arc::clone(&self.runs)
    }

    /// Serves until the task is aborted.
    pub async fn run(self) {
        let mut buffer = [0; MAX_DATAGRAM + 1];
        loop {
            let Ok((len, host)) = self.socket.recv_from(&mut buffer).await else {
                continue;
            };
            let Ok(frame) = wire_frame::decode_upstream(&buffer[..len]) else {
                continue;
            };
            if let UpstreamBody::Run { payload, .. } = &frame.body {
                self.answer(host, frame.tag, payload).await;
            }
        }
    }

    async fn answer(&self, host: SocketAddr, tag: RoutingTag, payload: &Bytes) {
        self.runs.fetch_add(1, Ordering::Relaxed);
        self.send(host, tag, UpstreamBody::Started).await;
        let answer = expected_answer(&self.service, payload);
        let total = answer.len() as u32;
        for (index, chunk) in answer.chunks(PART_LEN).enumerate() {
            let part = AnswerPart {
                request: tag.request,
                run: tag.run_id(),
                offset: (index * PART_LEN) as u32,
                total,
                payload: Bytes::copy_from_slice(chunk),
            };
            self.send(host, tag, UpstreamBody::Part(part)).await;
        }
    }

    async fn send(&self, host: SocketAddr, tag: RoutingTag, body: UpstreamBody) {
        match wire_frame::encode_upstream(&UpstreamFrame { tag, body }) {
            Ok(bytes) => {
                let _lost = self.socket.send_to(&bytes, host).await;
            }
            Err(code) => log::error!("upstream {}: cannot encode: {code:?}", self.id),
        }
    }
}

/// The answer of a service to a payload: both names, then the payload three times.
pub fn expected_answer(service: &str, payload: &[u8]) -> Vec<u8> {
    let mut answer = service.as_bytes().to_vec();
    answer.push(b':');
    for _copy in 0..3 {
        answer.extend_from_slice(payload);
    }
    answer
}
