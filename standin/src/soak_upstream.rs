//! The upstreams of a soak run: their services, zones and numbers.

use std::net::Ipv4Addr;
use std::net::SocketAddrV4;
use std::ops::Range;

use crate::packet_cluster::certs;
use crate::packet_cluster::ledger;

/// Indices of the ledger's upstreams that stay until the end of the run.
pub(crate) const LEDGER_UPSTREAMS: Range<usize> = 0..6;
/// Indices of the upstreams of `certs`.
pub(crate) const CERT_UPSTREAMS: Range<usize> = 6..8;
/// Indices of the ledger's upstreams that leave and come back as new processes. Only planned
/// removals, lateness and the store affect them.
pub(crate) const LEAVING_UPSTREAMS: Range<usize> = 8..10;
/// Indices of the ledger's upstreams in the remote zone.
pub(crate) const REMOTE_UPSTREAMS: [usize; 3] = [4, 5, 9];
/// Number of upstreams.
pub(crate) const UPSTREAMS: usize = 10;

/// Network of the ledger's added addresses; a /24.
const ADDED_ADDRESSES: Ipv4Addr = Ipv4Addr::new(198, 18, 1, 0);

/// Difference between the numbers of two processes at the same index.
const NUMBER_STEP: u8 = 16;
/// Maximum number of an upstream, since its IP address follows from it.
const MAX_NUMBER: u8 = 99;

/// Returns the index of the upstream with this number.
pub(crate) fn index_of(number: u64) -> usize {
    (number % u64::from(NUMBER_STEP)) as usize - 1
}

/// Returns the main address of the service of the upstream with this number.
pub(crate) fn service_of(number: u64) -> SocketAddrV4 {
    match CERT_UPSTREAMS.contains(&index_of(number)) {
        true => certs(),
        false => ledger(),
    }
}

/// Returns the name of the service of the upstream with this number.
pub(crate) fn service_name(number: u64) -> &'static str {
    match service_of(number) == certs() {
        true => "certs",
        false => "ledger",
    }
}

/// Returns the number of the next process at the index of an upstream, or the present one if there
/// is no further number.
pub(crate) fn next_number(number: u64) -> u8 {
    let number = number as u8;
    match number + NUMBER_STEP > MAX_NUMBER {
        true => number,
        false => number + NUMBER_STEP,
    }
}

/// Returns all numbers that the upstreams of a service may have. `address` is any of the addresses
/// of the service.
pub(crate) fn numbers_of(address: SocketAddrV4) -> impl Iterator<Item = u64> {
    let main_address = main_address(address);
    let numbers = (1..=MAX_NUMBER).filter(|number| number % NUMBER_STEP != 0);
    numbers
        .map(u64::from)
        .filter(move |number| service_of(*number) == main_address)
}

/// Returns the address of the ledger's route number `index` among those that are added.
pub(crate) fn added_address(index: u8) -> SocketAddrV4 {
    let [first, second, third, _last] = ADDED_ADDRESSES.octets();
    SocketAddrV4::new(Ipv4Addr::new(first, second, third, index), 443)
}

/// Returns the main address of the ledger for an added one, and any other address unchanged.
pub(crate) fn main_address(address: SocketAddrV4) -> SocketAddrV4 {
    match address.ip().octets()[..3] == ADDED_ADDRESSES.octets()[..3] {
        true => ledger(),
        false => address,
    }
}
