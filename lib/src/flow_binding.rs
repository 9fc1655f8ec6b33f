//! Interned bindings of flows to upstream processes.
//!
//! Hundreds of thousands of flows share a few upstreams. A flow's record holds a four-byte index of
//! its binding, and each binding counts its flows.

use std::collections::BTreeMap;

use crate::ids::Generation;
use crate::ids::ServiceId;
use crate::ids::UpstreamId;

/// Index of a binding in its table.
pub type BindingIndex = u32;

/// An upstream process bound to flows of one service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct FlowBinding {
    /// The service for which the flows were opened. Frames for another service are never sent on
    /// them.
    pub service: ServiceId,
    /// The upstream that holds the flows until they close or it is removed.
    pub upstream: UpstreamId,
    /// The upstream's generation when the flows were opened. Another generation has no state of
    /// them.
    pub incarnation: Generation,
}

#[derive(Clone, Debug)]
struct BindingEntry {
    binding: FlowBinding,
    flows: u32,
}

/// The bindings of one flow table. Invariant: `index` contains exactly the entries that have flows.
#[derive(Clone, Debug, Default)]
pub struct BindingTable {
    entries: Vec<BindingEntry>,
    index: BTreeMap<FlowBinding, BindingIndex>,
    free: Vec<BindingIndex>,
    service_flows: BTreeMap<ServiceId, u32>,
}

impl BindingTable {
    /// Adds a flow to a binding, creating the binding if necessary, and returns its index.
    pub fn acquire(&mut self, binding: FlowBinding) -> BindingIndex {
        *self.service_flows.entry(binding.service).or_default() += 1;
        if let Some(index) = self.index.get(&binding) {
            self.entries[*index as usize].flows += 1;
            return *index;
        }
        let entry = BindingEntry { binding, flows: 1 };
        let index = match self.free.pop() {
            Some(index) => {
                self.entries[index as usize] = entry;
                index
            }
            None => {
                self.entries.push(entry);
                (self.entries.len() - 1) as BindingIndex
            }
        };
        self.index.insert(binding, index);
        index
    }

    /// Removes a flow from a binding, and the binding with its last flow.
    pub fn release(&mut self, index: BindingIndex) {
        let entry = &mut self.entries[index as usize];
        entry.flows -= 1;
        if let Some(flows) = self.service_flows.get_mut(&entry.binding.service) {
            *flows -= 1;
        }
        if entry.flows == 0 {
            self.index.remove(&entry.binding);
            self.free.push(index);
        }
    }

    /// Returns the binding for an index that [`Self::acquire`] returned.
    pub fn get(&self, index: BindingIndex) -> FlowBinding {
        self.entries[index as usize].binding
    }

    /// Returns the number of flows of a binding.
    pub fn flows(&self, binding: FlowBinding) -> u32 {
        let index = self.index.get(&binding);
        index.map_or(0, |index| self.entries[*index as usize].flows)
    }

    /// Returns the number of flows of a service.
    pub fn service_flows(&self, service: ServiceId) -> u32 {
        self.service_flows.get(&service).copied().unwrap_or(0)
    }
}
