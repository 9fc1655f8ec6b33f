//! Which upstream process a flow lives on, stored once for all flows that share it.
//!
//! Hundreds of thousands of flows live on a few upstreams; a flow's record holds four bytes that
//! name its binding, and the binding counts its flows.

use std::collections::BTreeMap;

use crate::ids::Incarnation;
use crate::ids::ServiceId;
use crate::ids::UpstreamId;

/// Position of a binding in its table.
pub type BindingIndex = u32;

/// One upstream process, for the flows of one service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct FlowBinding {
    /// The service the flows were opened for; a frame for another service never reaches them.
    pub service: ServiceId,
    /// The upstream that holds the flows until they close or it goes.
    pub upstream: UpstreamId,
    /// The upstream's incarnation when they were opened; another one does not know them.
    pub incarnation: Incarnation,
}

#[derive(Clone, Debug)]
struct BindingEntry {
    binding: FlowBinding,
    flows: u32,
}

/// The bindings of one flow table. Invariant: `index` holds exactly the entries with flows.
#[derive(Clone, Debug, Default)]
pub struct BindingTable {
    entries: Vec<BindingEntry>,
    index: BTreeMap<FlowBinding, BindingIndex>,
    free: Vec<BindingIndex>,
    service_flows: BTreeMap<ServiceId, u32>,
}

impl BindingTable {
    /// Counts one more flow on a binding, which is made if it is new.
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

    /// Counts one flow less on a binding, which goes with its last flow.
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

    /// The binding at a position that [`Self::acquire`] returned.
    pub fn get(&self, index: BindingIndex) -> FlowBinding {
        self.entries[index as usize].binding
    }

    /// How many flows a binding has.
    pub fn flows(&self, binding: FlowBinding) -> u32 {
        let index = self.index.get(&binding);
        index.map_or(0, |index| self.entries[*index as usize].flows)
    }

    /// How many flows a service has.
    pub fn service_flows(&self, service: ServiceId) -> u32 {
        self.service_flows.get(&service).copied().unwrap_or(0)
    }
}
