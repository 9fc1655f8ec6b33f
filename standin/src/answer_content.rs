//! Payloads and answers whose content shows whom an answer was for and whether it is whole.

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

/// First bytes of a payload that states what it asks of the upstream.
const PAYLOAD_MAGIC: &[u8; 4] = b"JOB1";
/// Bytes of magic, length of answer and work.
const PAYLOAD_HEADER: usize = 12;
/// Longest answer in bytes that an upstream gives.
const MAX_ANSWER: u32 = 1 << 20;

/// What a payload asks of an upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct JobOrder {
    /// Bytes that the answer shall have, at least those of its first line.
    pub answer_len: u32,
    /// Work beyond the upstream's own service time.
    pub work: Duration,
}

/// Whose answer it is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct AnswerIdentity {
    /// The service that ran it.
    pub service: ServiceAddress,
    /// The caller it is for.
    pub caller: SocketAddr,
    /// The flow.
    pub flow: FlowId,
    /// The request.
    pub request: RequestId,
}

/// What is wrong with an answer, if anything.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerVerdict {
    /// Every byte is as expected.
    Whole,
    /// It is a beginning of what was expected.
    Truncated,
    /// It answers something else, or mixes answers.
    Foreign,
}

impl JobOrder {
    /// A payload that states the order, with `filler` further bytes.
    pub fn payload(self, filler: usize) -> Bytes {
        let len = (PAYLOAD_HEADER + filler).min(MAX_PAYLOAD);
        let mut payload = BytesMut::with_capacity(len);
        payload.put_slice(PAYLOAD_MAGIC);
        payload.put_u32_le(self.answer_len);
        payload.put_u32_le(u32::try_from(self.work.as_micros()).unwrap_or(u32::MAX));
        payload.resize(len, b'.');
        payload.freeze()
    }

    /// What a payload states; nothing of a payload of another form.
    pub fn of_payload(payload: &[u8]) -> Self {
        let Some((magic, rest)) = payload.split_first_chunk::<4>() else {
            return Self::default();
        };
        let Some((answer_len, rest)) = rest.split_first_chunk::<4>() else {
            return Self::default();
        };
        let Some((work, _filler)) = rest.split_first_chunk::<4>() else {
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

impl AnswerIdentity {
    /// The one right answer to a payload: a line that names everything it depends on, then bytes
    /// drawn from that line.
    pub fn answer(&self, payload: &[u8]) -> Vec<u8> {
        let mut answer = self.first_line(payload).into_bytes();
        let len = JobOrder::of_payload(payload).answer_len as usize;
        let begin = answer.len();
        let mut random = StdRng::seed_from_u64(xxh3_64(&answer));
        if len > begin {
            answer.resize(len, 0);
            random.fill_bytes(&mut answer[begin..]);
        }
        answer
    }

    /// Judges what a caller received.
    pub fn judge(&self, payload: &[u8], received: &[u8]) -> AnswerVerdict {
        let expected = self.answer(payload);
        if received == expected {
            return AnswerVerdict::Whole;
        }
        if expected.starts_with(received) {
            return AnswerVerdict::Truncated;
        }
        AnswerVerdict::Foreign
    }

    fn first_line(&self, payload: &[u8]) -> String {
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
