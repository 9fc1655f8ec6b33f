//! Tests of the ranking of readers, and of the links between hosts.

use std::collections::BTreeSet;

use lagoonproxy::config_snapshot::HostEntry;
use lagoonproxy::ids::HostId;
use lagoonproxy::reader_rank::READERS_PER_ZONE;
use lagoonproxy::reader_rank::SAME_ZONE_LINKS;
use lagoonproxy::reader_rank::link_rankings;
use lagoonproxy::reader_rank::reader_ranking;

use crate::world::host_view;

fn hosts(count: HostId) -> Vec<HostEntry> {
    let numbers: Vec<HostId> = (0..count).collect();
    host_view(&numbers).published.clone()
}

fn readers(hosts: &[HostEntry]) -> BTreeSet<HostId> {
    let ranking = reader_ranking("zig-a", hosts);
    ranking.into_iter().take(READERS_PER_ZONE).collect()
}

/// Guards against a change of most readers when a host joins and the lists of other hosts do not
/// show it yet: the calls on the platform would grow with each change of the list.
#[test]
fn test_ranking_one_host_more_changes_one_reader_at_most() {
    for count in 3..100 {
        let before = readers(&hosts(count));
        let after = readers(&hosts(count + 1));
        assert!(before.intersection(&after).count() >= READERS_PER_ZONE - 1);
    }
}

#[test]
fn test_ranking_leaves_out_leaving_hosts_and_other_zones() {
    let mut list = hosts(10);
    list[4].leaving = true;
    list[5].zone = "bign".into();
    let ranking = reader_ranking("zig-a", &list);
    assert_eq!(ranking.len(), 8);
    assert!(!ranking.contains(&4) && !ranking.contains(&5));
}

/// Guards against links that split a zone into parts, so that a change does not reach all hosts.
#[test]
fn test_links_connect_every_host_of_a_zone() {
    for count in [2, 8, 64, 424] {
        let list = hosts(count);
        let mut peers = vec![BTreeSet::new(); count as usize];
        for host in 0..count {
            let (near, _far) = link_rankings(host, "zig-a", &list);
            for peer in near.into_iter().take(SAME_ZONE_LINKS) {
                peers[host as usize].insert(peer);
                peers[peer as usize].insert(host);
            }
        }
        let mut reached = BTreeSet::from([0]);
        let mut frontier = vec![0];
        while let Some(host) = frontier.pop() {
            frontier.extend(
                peers[host as usize]
                    .iter()
                    .filter(|peer| reached.insert(**peer)),
            );
        }
        assert_eq!(reached.len(), count as usize);
        let degree = peers.iter().map(BTreeSet::len).max().unwrap_or(0);
        assert!(degree <= 16, "a host of {count} has {degree} links");
    }
}
