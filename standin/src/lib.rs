//! Stand-ins for what lies outside lagoonproxy, for tests and demonstrations; not shipped.
//!
//! The platform, upstreams, and callers behind a fabric that sprays datagrams over entry hosts.

pub mod caller;
pub mod demo;
pub mod key_store;
pub mod platform;
mod platform_legacy;
pub mod platform_operator;
pub mod upstream;
