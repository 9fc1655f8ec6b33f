//! Looks up the services of an address, splits new flows among them by weight, and ranks the
//! priority classes of each service.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddrV4;
use std::time::Duration;
use std::time::Instant;

use foldhash::HashMap;

use crate::ids::ClassRank;
use crate::ids::ServiceIndex;
use crate::routes::route_config::RequestPriority;
use crate::routes::route_config::RouteConfig;
use crate::upstreams::upstream_table::UpstreamTable;

/// Maximum number of priority classes per service; less urgent priorities share the last rank.
pub const MAX_CLASSES: usize = 4;

/// Priority class of a route's requests at one of its services.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestClass {
    /// Rank among the classes of the service, 0 being the most urgent; less than `classes`.
    pub rank: ClassRank,
    /// Number of classes of the service; from 1 to [`MAX_CLASSES`].
    pub classes: u8,
    /// Priority of the route, as published by the operators.
    pub priority: RequestPriority,
}

/// Share of one service in the new flows of a route.
#[derive(Clone, Copy, Debug)]
struct RouteShare {
    /// Sum of the weights up to and including this share.
    end: u64,
    service: ServiceIndex,
    class: RequestClass,
}

/// One route.
#[derive(Debug)]
struct RouteRecord {
    /// Shares with a weight above 0; never empty, `end` ascends.
    shares: Vec<RouteShare>,
    objective: Option<Duration>,
    timeout: Option<Duration>,
}

/// The routes of the current configuration.
#[derive(Debug, Default)]
pub struct RouteTable {
    routes: HashMap<SocketAddrV4, RouteRecord>,
    /// Addresses whose route a configuration has removed since this process started, with the time
    /// until which flows of the route may still be open. Disjoint from `routes`.
    removed: HashMap<SocketAddrV4, Instant>,
}

impl RouteTable {
    /// Creates the table of a configuration, and sets the priorities of the services that it leads
    /// to in `upstreams`.
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
                objective: route.target,
                timeout: route.timeout,
            };
            routes.insert(route.address, record);
        }
        for (service, priorities) in priorities {
            upstreams.set_priorities(service, priorities.into_iter().collect());
        }
        Self {
            routes,
            removed: HashMap::default(),
        }
    }

    /// Replaces the routes by those of a newer configuration. Flows of routes that it removes may
    /// still be open until `flows_end_at`.
    pub fn update(
        &mut self,
        now: Instant,
        flows_end_at: Instant,
        config: &RouteConfig,
        upstreams: &mut UpstreamTable,
    ) {
        let previous = std::mem::replace(self, Self::new(config, upstreams));
        let mut removed = previous.removed;
        let addresses = previous.routes.into_keys();
        removed.extend(addresses.map(|address| (address, flows_end_at)));
        removed.retain(|address, until| *until > now && !self.contains(*address));
        self.removed = removed;
    }

    /// Whether the address has a route.
    pub fn contains(&self, address: SocketAddrV4) -> bool {
        self.routes.contains_key(&address)
    }

    /// Whether a configuration has removed the route of this address, so that flows of it may still
    /// be open.
    pub fn is_removed(&self, address: SocketAddrV4) -> bool {
        self.removed.contains_key(&address)
    }

    /// Returns the latency objective of requests to this address, if the operators publish one.
    pub fn objective(&self, address: SocketAddrV4) -> Option<Duration> {
        self.routes.get(&address)?.objective
    }

    /// Returns the shortest latency objective of the routes to a service, if the operators publish
    /// one.
    pub fn service_objective(&self, service: ServiceIndex) -> Option<Duration> {
        let leads_to_service =
            |route: &&RouteRecord| route.shares.iter().any(|share| share.service == service);
        let routes = self.routes.values().filter(leads_to_service);
        routes.filter_map(|route| route.objective).min()
    }

    /// Returns how long callers of this address wait for a response, if the operators publish it.
    pub fn timeout(&self, address: SocketAddrV4) -> Option<Duration> {
        self.routes.get(&address)?.timeout
    }

    /// Returns the service of a new flow, drawn by weight with a hash of the flow, so that each
    /// retransmission of its SYN goes to the same service. `None` if the address has no route.
    pub fn service(&self, address: SocketAddrV4, flow_hash: u64) -> Option<ServiceIndex> {
        let shares = &self.routes.get(&address)?.shares;
        let sum = shares.last()?.end;
        let point = flow_hash % sum;
        let share = shares.iter().find(|share| point < share.end);
        share.map(|share| share.service)
    }

    /// Returns the priority class of requests to this address at a service; `None` if no route of
    /// this address leads to the service.
    pub fn class(&self, address: SocketAddrV4, service: ServiceIndex) -> Option<RequestClass> {
        let shares = &self.routes.get(&address)?.shares;
        let share = shares.iter().find(|share| share.service == service);
        share.map(|share| share.class)
    }
}

/// Returns the priorities of the routes that lead to each service.
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

/// Returns the class of a priority at a service whose routes have `priorities`.
fn request_class(
    priorities: &BTreeSet<RequestPriority>,
    priority: RequestPriority,
) -> RequestClass {
    let more_urgent = priorities.range(..priority).count();
    let last = MAX_CLASSES - 1;
    RequestClass {
        rank: more_urgent.min(last) as ClassRank,
        classes: priorities.len().clamp(1, MAX_CLASSES) as u8,
        priority,
    }
}
