//! Collects the parts of an answer until it is whole.

use std::collections::BTreeMap;

use bytes::Bytes;

use crate::ids::RequestId;
use crate::wire_frame::AnswerPart;

/// The parts of one answer that have arrived.
///
/// Invariant: the parts are of one run, and their ranges neither overlap nor pass `total`.
#[derive(Clone, Debug)]
pub struct AnswerBuffer {
    request: RequestId,
    run: u64,
    total: u32,
    parts: BTreeMap<u32, Bytes>,
    received: u32,
}

impl AnswerBuffer {
    /// Starts an answer with its first part.
    pub fn new(part: &AnswerPart) -> Self {
        let mut buffer = Self {
            request: part.request,
            run: part.run,
            total: part.total,
            parts: BTreeMap::new(),
            received: 0,
        };
        buffer.add(part);
        buffer
    }

    /// Adds a part; `false` if it was there already or contradicts what is there.
    pub fn add(&mut self, part: &AnswerPart) -> bool {
        let len = part.payload.len() as u32;
        let end = u64::from(part.offset) + u64::from(len);
        let same_answer = part.run == self.run && part.total == self.total;
        if !same_answer || end > u64::from(self.total) || self.overlaps(part) {
            return false;
        }
        self.received += len;
        self.parts.insert(part.offset, part.payload.clone());
        true
    }

    /// The run that the parts come from.
    pub fn run(&self) -> u64 {
        self.run
    }

    /// Whether every byte has arrived.
    pub fn is_whole(&self) -> bool {
        self.received == self.total
    }

    /// The bytes held.
    pub fn received(&self) -> u32 {
        self.received
    }

    /// The parts in order of offset.
    pub fn parts(&self) -> impl Iterator<Item = AnswerPart> + '_ {
        self.parts.iter().map(|(offset, payload)| AnswerPart {
            request: self.request,
            run: self.run,
            offset: *offset,
            total: self.total,
            payload: payload.clone(),
        })
    }

    fn overlaps(&self, part: &AnswerPart) -> bool {
        if self.parts.contains_key(&part.offset) {
            return true;
        }
        let end = part.offset + part.payload.len() as u32;
        let before = self.parts.range(..part.offset).next_back();
        let before_overlaps =
            before.is_some_and(|(offset, payload)| offset + payload.len() as u32 > part.offset);
        let after = self.parts.range(part.offset..).next();
        before_overlaps || after.is_some_and(|(offset, _payload)| *offset < end)
    }
}
