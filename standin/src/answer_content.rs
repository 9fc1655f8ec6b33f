//! Generates request payloads and answers whose content identifies the request and shows whether
//! the answer is whole.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::BufMut;
use bytes::Bytes;
use bytes::BytesMut;
use lagoonproxy::ids::FlowId;
use lagoonproxy::ids::RequestId;
use lagoonproxy::ids::ServiceAddress;
use lagoonproxy::wire_frame::MAX_PAYLOAD;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64;

/// First bytes of a payload that carries a [`PayloadSpec`].
const PAYLOAD_MAGIC: &[u8; 4] = b"JOB1";
/// Length in bytes of the payload's header: magic, answer length and work.
const PAYLOAD_HEADER: usize = 12;
/// Maximum length of an answer in bytes.
const MAX_ANSWER: u32 = 1 << 20;

/// What a payload asks of the upstream that receives it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PayloadSpec {
    /// Length of the answer in bytes; the answer is never shorter than its header line.
    pub answer_len: u32,
    /// Processing time that is added to the upstream's own service time.
    pub work: Duration,
}

/// Identifies a request, and the answer to it, across all callers and services.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct RequestIdentity {
    /// The service that runs the request.
    pub service: ServiceAddress,
    /// The address of the caller.
    pub caller: SocketAddr,
    /// The flow, unique to the caller and service.
    pub flow: FlowId,
    /// The request, unique to the flow.
    pub request: RequestId,
}

/// The result of comparing a received answer with the expected one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerIntegrity {
    /// Every byte matches.
    Whole,
    /// The answer is a proper prefix of the expected one.
    Truncated,
    /// The answer belongs to another request, or mixes several answers.
    Foreign,
}

impl PayloadSpec {
    /// Encodes the spec into a payload, followed by `padding` bytes; the payload is limited to
    /// [`MAX_PAYLOAD`] bytes.
    pub fn payload(self, padding: usize) -> Bytes {
        let len = (PAYLOAD_HEADER + padding).min(MAX_PAYLOAD);
        let mut payload = BytesMut::with_capacity(len);
        payload.put_slice(PAYLOAD_MAGIC);
        payload.put_u32_le(self.answer_len);
        payload.put_u32_le(u32::try_from(self.work.as_micros()).unwrap_or(u32::MAX));
        payload.resize(len, b'.');
        payload.freeze()
    }

    /// Decodes the spec of a payload; returns the default for a payload without the header.
    pub fn from_payload(payload: &[u8]) -> Self {
        let Some((magic, rest)) = payload.split_first_chunk::<4>() else {
            return Self::default();
        };
        let Some((answer_len, rest)) = rest.split_first_chunk::<4>() else {
            return Self::default();
        };
        let Some((work, _padding)) = rest.split_first_chunk::<4>() else {
            return Self::default();
        };
        if magic != PAYLOAD_MAGIC {
            return Self::default();
        }
        Self {
            answer_len: u32::from_le_bytes(*answer_len).min(MAX_ANSWER),
            work: Duration::from_micros(u32::from_le_bytes(*work).into()),
        }
    }
}

impl RequestIdentity {
    /// Returns the only correct answer to a payload: a header line that names everything the answer
    /// depends on, then pseudorandom bytes seeded by that line.
    pub fn answer(&self, payload: &[u8]) -> Vec<u8> {
        let mut answer = self.header_line(payload).into_bytes();
        let len = PayloadSpec::from_payload(payload).answer_len as usize;
        let begin = answer.len();
        let mut random = StdRng::seed_from_u64(xxh3_64(&answer));
        if len > begin {
            answer.resize(len, 0);
            random.fill_bytes(&mut answer[begin..]);
        }
        answer
    }

    /// Compares what a caller received with the correct answer.
    pub fn verify(&self, payload: &[u8], received: &[u8]) -> AnswerIntegrity {
        let expected = self.answer(payload);
        if received == expected {
            return AnswerIntegrity::Whole;
        }
        if expected.starts_with(received) {
            return AnswerIntegrity::Truncated;
        }
        AnswerIntegrity::Foreign
    }

    fn header_line(&self, payload: &[u8]) -> String {
        let Self {
            service,
            caller,
            flow,
            request,
        } = self;
        let digest = xxh3_64(payload);
        format!("{service} {caller} {flow} {request} {digest:016x}\n")
    }
}
