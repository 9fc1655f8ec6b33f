//! Finds the services of an address, shares new flows among them by weight, and ranks the classes of requests.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddrV4;
use std::time::Duration;

use foldhash::HashMap;

use crate::ids::ClassRank;
use crate::ids::ServiceIndex;
use crate::routes::route_config::RequestPriority;
use crate::routes::route_config::RouteConfig;
use crate::upstreams::upstream_table::UpstreamTable;

/// Most classes of a service that are told apart; less urgent ones share the last rank.
pub const MOST_CLASSES: usize = 4;

/// The class of one route's requests at one service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestClass {
    /// Its rank; below `classes`.
    pub rank: ClassRank,
    /// Classes that the service has; from 1 to [`MOST_CLASSES`].
    pub classes: u8,
    /// The priority that the operators published.
    pub priority: RequestPriority,
}

/// One service of a route.
#[derive(Clone, Copy, Debug)]
struct RouteShare {
    /// Upper end of its part of the weights.
    end: u64,
    service: ServiceIndex,
    class: RequestClass,
}

/// One route in force.
#[derive(Debug)]
struct RouteRecord {
    /// Never empty; `end` ascends.
    shares: Vec<RouteShare>,
    target: Option<Duration>,
    timeout: Option<Duration>,
}

/// The routes in force.
#[derive(Debug, Default)]
pub struct RouteTable {
    routes: HashMap<SocketAddrV4, RouteRecord>,
}

impl RouteTable {
    /// The routes of a configuration.
    pub fn new(config: &RouteConfig, upstreams: &mut UpstreamTable) -> Self {
        let priorities = service_priorities(config, upstreams);
        let mut routes = HashMap::with_capacity_and_hasher(config.routes.len(), Default::default());
        for route in &config.routes {
            let mut end = 0;
            let shares = route.shares.iter().filter(|share| share.weight > 0);
            let shares: Vec<RouteShare> = shares
                .map(|share| {
                    end += u64::from(share.weight);
                    let service = upstreams.service(&share.service);
                    let class = request_class(&priorities[&service], route.priority);
                    RouteShare {
                        end,
                        service,
                        class,
                    }
                })
                .collect();
            let record = RouteRecord {
                shares,
                target: route.target,
                timeout: route.timeout,
            };
            routes.insert(route.address, record);
        }
        for (service, priorities) in priorities {
            upstreams.set_priorities(service, priorities.into_iter().collect());
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

    /// The shortest time in which requests to a service should be answered, if the operators say so.
    pub fn service_target(&self, service: ServiceIndex) -> Option<Duration> {
        let leads =
            |route: &&RouteRecord| route.shares.iter().any(|share| share.service == service);
        let routes = self.routes.values().filter(leads);
        routes.filter_map(|route| route.target).min()
    }

    /// How long callers of this address wait for a response, if the operators say so.
    pub fn timeout(&self, address: SocketAddrV4) -> Option<Duration> {
        self.routes.get(&address)?.timeout
    }

    /// The service of a new flow, drawn by weight from a hash of the flow, so that every copy of
    /// its opening packet goes to the same service.
    pub fn service(&self, address: SocketAddrV4, flow_hash: u64) -> Option<ServiceIndex> {
        let shares = &self.routes.get(&address)?.shares;
        let sum = shares.last()?.end;
        let point = flow_hash % sum;
        let share = shares.iter().find(|share| point < share.end);
        share.map(|share| share.service)
    }

    /// The class of requests to this address at one of its services; `None` if it does not lead there.
    pub fn class(&self, address: SocketAddrV4, service: ServiceIndex) -> Option<RequestClass> {
        let shares = &self.routes.get(&address)?.shares;
        let share = shares.iter().find(|share| share.service == service);
        share.map(|share| share.class)
    }
}

/// The priorities of the routes that lead to each service.
fn service_priorities(
    config: &RouteConfig,
    upstreams: &mut UpstreamTable,
) -> BTreeMap<ServiceIndex, BTreeSet<RequestPriority>> {
    let mut priorities: BTreeMap<ServiceIndex, BTreeSet<RequestPriority>> = BTreeMap::new();
    for route in &config.routes {
        for share in route.shares.iter().filter(|share| share.weight > 0) {
            let service = upstreams.service(&share.service);
            priorities
                .entry(service)
                .or_default()
                .insert(route.priority);
        }
    }
    priorities
}

fn request_class(
    priorities: &BTreeSet<RequestPriority>,
    priority: RequestPriority,
) -> RequestClass {
    let more_urgent = priorities.range(..priority).count();
    let last = MOST_CLASSES - 1;
    RequestClass {
        rank: more_urgent.min(last) as ClassRank,
        classes: priorities.len().clamp(1, MOST_CLASSES) as u8,
        priority,
    }
}
