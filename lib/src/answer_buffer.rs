//! Reassembly of an answer from its parts.

use std::collections::BTreeMap;

use bytes::Bytes;

use crate::ids::RequestId;
use crate::wire_frame::AnswerPart;

/// The parts of one answer that have arrived.
///
/// Invariant: all parts belong to one run, and their ranges neither overlap nor exceed `total`.
#[derive(Clone, Debug)]
pub struct AnswerBuffer {
    request: RequestId,
    run: u64,
    total: u32,
    parts: BTreeMap<u32, Bytes>,
    received: u32,
}

impl AnswerBuffer {
    /// Creates a buffer with the first part that arrived.
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

    /// Adds a part. Returns `false` if it was already present or contradicts the parts present.
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

    /// The run that the parts belong to.
    pub fn run(&self) -> u64 {
        self.run
    }

    /// Whether every byte has arrived.
    pub fn is_whole(&self) -> bool {
        self.received == self.total
    }

    /// The number of bytes that have arrived.
    pub fn received(&self) -> u32 {
        self.received
    }

    /// Returns the parts in order of offset.
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
        let previous = self.parts.range(..part.offset).next_back();
        let previous_overlaps =
            previous.is_some_and(|(offset, payload)| offset + payload.len() as u32 > part.offset);
        let next = self.parts.range(part.offset..).next();
        previous_overlaps || next.is_some_and(|(offset, _payload)| *offset < end)
    }
}
