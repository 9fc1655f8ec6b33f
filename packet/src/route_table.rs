//! Finds the services of an address, and shares new flows among them by weight.

use std::net::SocketAddrV4;

use foldhash::HashMap;

use crate::ids::ServiceIndex;
use crate::route_config::RouteConfig;
use crate::upstream_table::UpstreamTable;

/// A route's services with the upper ends of their parts of the weight, ascending.
type RouteShares = Vec<(u64, ServiceIndex)>;

/// The routes in force.
#[derive(Debug, Default)]
pub struct RouteTable {
    routes: HashMap<SocketAddrV4, RouteShares>,
}

impl RouteTable {
    /// The routes of a configuration.
    pub fn new(config: &RouteConfig, upstreams: &mut UpstreamTable) -> Self {
        let mut routes = HashMap::with_capacity_and_hasher(config.routes.len(), Default::default());
        for route in &config.routes {
            let mut sum = 0;
            let shares = route.shares.iter().filter(|share| share.weight > 0);
            let shares: RouteShares = shares
                .map(|share| {
                    sum += u64::from(share.weight);
                    (sum, upstreams.service(&share.service))
                })
                .collect();
            routes.insert(route.address, shares);
        }
        Self { routes }
    }

    /// Whether the address has a route.
    pub fn contains(&self, address: SocketAddrV4) -> bool {
        self.routes.contains_key(&address)
    }

    /// The service of a new flow, drawn by weight from a hash of the flow, so that every copy of
    /// its opening packet goes to the same service.
    pub fn service(&self, address: SocketAddrV4, flow_hash: u64) -> Option<ServiceIndex> {
        let shares = self.routes.get(&address)?;
        let sum = shares.last()?.0;
        let point = flow_hash % sum;
        let share = shares.iter().find(|(end, _service)| point < *end);
        share.map(|(_end, service)| *service)
    }
}
