//! Finds the services of an address, and shares new flows among them by weight.

use std::net::SocketAddrV4;
use std::time::Duration;

use foldhash::HashMap;

use crate::ids::ServiceIndex;
use crate::route_config::RouteConfig;
use crate::upstream_table::UpstreamTable;

/// A route's services with the upper ends of their parts of the weight, ascending.
type RouteShares = Vec<(u64, ServiceIndex)>;

/// One route in force.
#[derive(Debug)]
struct RouteRecord {
    /// Never empty.
    shares: RouteShares,
    /// How soon a request should be answered, if the operators say so.
    target: Option<Duration>,
}

/// The routes in force.
#[derive(Debug, Default)]
pub struct RouteTable {
    routes: HashMap<SocketAddrV4, RouteRecord>,
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
            let target = route.target;
            routes.insert(route.address, RouteRecord { shares, target });
        }
        Self { routes }
    }

    /// Whether the address has a route.
    pub fn contains(&self, address: SocketAddrV4) -> bool {
        self.routes.contains_key(&address)
    }

    /// How soon a request to this address should be answered, if the operators say so.
    pub fn target(&self, address: SocketAddrV4) -> Option<Duration> {
        self.routes.get(&address)?.target
    }

    /// The service of a new flow, drawn by weight from a hash of the flow, so that every copy of
    /// its opening packet goes to the same service.
    pub fn service(&self, address: SocketAddrV4, flow_hash: u64) -> Option<ServiceIndex> {
        let shares = &self.routes.get(&address)?.shares;
        let sum = shares.last()?.0;
        let point = flow_hash % sum;
        let share = shares.iter().find(|(end, _service)| point < *end);
        share.map(|(_end, service)| *service)
    }
}
