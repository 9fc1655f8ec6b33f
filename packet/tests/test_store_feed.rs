//! Tests of reading the store despite failures.

use std::time::Duration;
use std::time::Instant;

use lagoonproxy_packet::ids::Revision;
use lagoonproxy_packet::state::store_feed::FIRST_WATCH_WAIT;
use lagoonproxy_packet::state::store_feed::FeedStep;
use lagoonproxy_packet::state::store_feed::ListPage;
use lagoonproxy_packet::state::store_feed::RESPONSE_TIMEOUT;
use lagoonproxy_packet::state::store_feed::StoreFault;
use lagoonproxy_packet::state::store_feed::StoreFeed;
use lagoonproxy_packet::state::store_feed::WATCH_TIMEOUT;
use lagoonproxy_packet::state::store_feed::WATCH_WAIT;
use lagoonproxy_packet::state::store_feed::WatchBatch;
use lagoonproxy_packet::state::store_position::StorePosition;

use crate::core_rig::*;

fn list_page(revision: u64, numbers: &[u8], next_after: Option<&str>) -> ListPage {
    let items = numbers
        .iter()
        .map(|number| upstream_item(revision, entry(*number, "ledger")));
    ListPage {
        items: items.collect(),
        next_after: next_after.map(Into::into),
        position: at(revision),
    }
}

fn listed_feed() -> StoreFeed {
    let mut feed = StoreFeed::default();
    feed.accept_page(list_page(10, &[1], None))
        .expect("one page");
    feed
}

fn first_page(now: Instant) -> FeedStep {
    page_step(now, None)
}

fn page_step(now: Instant, after: Option<&str>) -> FeedStep {
    FeedStep::List {
        after: after.map(Into::into),
        progress_check_after: None,
        deadline: now + RESPONSE_TIMEOUT,
    }
}

/// Returns a watch of a store that has responded to the last call.
fn next_watch(now: Instant, after: Revision) -> FeedStep {
    FeedStep::Watch {
        after: at(after),
        wait: WATCH_WAIT,
        deadline: now + WATCH_WAIT + WATCH_TIMEOUT,
    }
}

/// Returns a watch of a store that has not responded to the last call.
fn first_watch(now: Instant, after: Revision) -> FeedStep {
    FeedStep::Watch {
        after: at(after),
        wait: FIRST_WATCH_WAIT,
        deadline: now + FIRST_WATCH_WAIT + RESPONSE_TIMEOUT,
    }
}

#[test]
fn test_watch_continues_from_first_page() {
    // Guards against missing changes that are made between two pages of a listing.
    let mut feed = StoreFeed::default();
    let now = Instant::now();
    assert_eq!(
        feed.accept_page(list_page(10, &[1], Some("servers/i-01"))),
        Ok(None)
    );
    let next = page_step(now, Some("servers/i-01"));
    assert_eq!(feed.next_step(now), next);
    let update = feed
        .accept_page(list_page(14, &[2], None))
        .expect("pages of one era")
        .expect("the list is complete");
    assert_eq!(
        (update.items.len(), update.through, update.whole),
        (2, at(10), true)
    );
    assert_eq!(feed.next_step(now), next_watch(now, 10));
}

#[test]
fn test_faults_while_watching() {
    struct Case {
        name: &'static str,
        fault: StoreFault,
        lists_again: bool,
        waits: bool,
    }
    let cases = [
        Case {
            name: "history dropped",
            fault: StoreFault::HistoryDropped,
            lists_again: true,
            waits: false,
        },
        Case {
            name: "no connection",
            fault: StoreFault::Unreachable {
                reason: String::new(),
            },
            lists_again: false,
            waits: true,
        },
        Case {
            name: "no answer",
            fault: StoreFault::TimedOut,
            lists_again: false,
            waits: false,
        },
        Case {
            name: "too many calls",
            fault: StoreFault::Refused { status: 429 },
            lists_again: false,
            waits: true,
        },
        Case {
            name: "unreadable answer",
            fault: StoreFault::Malformed {
                reason: String::new(),
            },
            lists_again: false,
            waits: true,
        },
    ];
    for case in cases {
        let mut feed = listed_feed();
        let now = Instant::now();
        feed.call_failed(now, &case.fault);
        let waits = matches!(feed.next_step(now), FeedStep::Wait { .. });
        assert_eq!(waits, case.waits, "{}", case.name);
        let later = now + Duration::from_secs(2);
        let expected = if case.lists_again {
            first_page(later)
        } else {
            first_watch(later, 10)
        };
        assert_eq!(feed.next_step(later), expected, "{}", case.name);
    }
}

#[test]
fn test_repeated_faults_cause_backoff() {
    // Guards against calls without a pause to a store that drops its history, or does not respond,
    // repeatedly.
    for fault in [StoreFault::HistoryDropped, StoreFault::TimedOut] {
        let mut feed = listed_feed();
        let now = Instant::now();
        feed.call_failed(now, &fault);
        feed.call_failed(now, &fault);
        assert!(
            matches!(feed.next_step(now), FeedStep::Wait { .. }),
            "{fault}"
        );
    }
}

#[test]
fn test_outage_costs_few_calls() {
    // The store does not answer for a minute. Failed calls have a cost too.
    let mut feed = listed_feed();
    let start = Instant::now();
    let mut now = start;
    let mut calls = 0;
    while now < start + Duration::from_secs(60) {
        match feed.next_step(now) {
            FeedStep::Wait { until } => now = until,
            _ => {
                calls += 1;
                feed.call_failed(now, &StoreFault::TimedOut);
            }
        }
    }
    assert!(
        (55..=65).contains(&calls),
        "about one a second, made {calls}"
    );
}

#[test]
fn test_failed_page_restarts_the_list() {
    // A page fails after others have arrived. Continuing with the pages of a later list would mix
    // two states.
    let mut feed = StoreFeed::default();
    feed.accept_page(list_page(10, &[1], Some("servers/i-01")))
        .expect("a page");
    let now = Instant::now();
    feed.call_failed(now, &StoreFault::TimedOut);
    let later = now + Duration::from_secs(2);
    assert_eq!(feed.next_step(later), first_page(later));
    let update = feed
        .accept_page(list_page(20, &[2], None))
        .expect("pages of one era")
        .expect("one page is all");
    assert_eq!((update.items.len(), update.through), (1, at(20)));
}

#[test]
fn test_changes_are_batched() {
    let mut feed = listed_feed();
    let now = Instant::now();
    let batch = WatchBatch {
        items: Vec::new(),
        changed: true,
        position: at(12),
    };
    let update = feed.accept_watch_batch(now, batch).expect("it continues");
    assert_eq!((update.after, update.through), (at(10), at(12)));
    assert!(
        matches!(feed.next_step(now), FeedStep::Wait { .. }),
        "a pause after changes"
    );
    let no_changes = WatchBatch {
        items: Vec::new(),
        changed: false,
        position: at(12),
    };
    let mut feed = listed_feed();
    feed.accept_watch_batch(now, no_changes)
        .expect("it continues");
    assert_eq!(
        feed.next_step(now),
        next_watch(now, 12),
        "no pause without changes"
    );
}

#[test]
fn test_peer_state_advances_the_watch() {
    let now = Instant::now();
    let mut feed = listed_feed();
    feed.advance_to(at(30));
    assert_eq!(feed.next_step(now), next_watch(now, 30));
    feed.advance_to(at(20));
    assert_eq!(
        feed.next_step(now),
        next_watch(now, 30),
        "it never moves back"
    );
}

#[test]
fn test_where_reading_continues() {
    // Guards against a listing where a watch is enough.
    struct Case {
        name: &'static str,
        history_dropped: bool,
        peer_state: Revision,
        expected: FeedStep,
    }
    let now = Instant::now();
    let cases = [
        Case {
            name: "a state from a peer needs no list",
            history_dropped: false,
            peer_state: 30,
            expected: first_watch(now, 30),
        },
        Case {
            name: "the store has dropped the history after that state",
            history_dropped: true,
            peer_state: 10,
            expected: first_page(now),
        },
        Case {
            name: "a peer has read the list meanwhile",
            history_dropped: true,
            peer_state: 40,
            expected: first_watch(now, 40),
        },
    ];
    for case in cases {
        let mut feed = StoreFeed::default();
        if case.history_dropped {
            feed.advance_to(at(10));
            feed.call_failed(now, &StoreFault::HistoryDropped);
        }
        feed.advance_to(at(case.peer_state));
        assert_eq!(feed.next_step(now), case.expected, "{}", case.name);
    }
}

#[test]
fn test_peer_state_discards_partial_list() {
    // Guards against a listing that begins with the pages of an abandoned one.
    let now = Instant::now();
    let mut feed = StoreFeed::default();
    feed.accept_page(list_page(10, &[1], Some("servers/i-01")))
        .expect("a page");
    feed.advance_to(at(30));
    feed.call_failed(now, &StoreFault::HistoryDropped);
    assert_eq!(feed.next_step(now), first_page(now));
    let update = feed
        .accept_page(list_page(50, &[2], None))
        .expect("pages of one era")
        .expect("one page is all");
    assert_eq!((update.items.len(), update.through), (1, at(50)));
}

#[test]
fn test_first_watch_of_a_new_reader_returns_at_once() {
    // Guards against a first watch that waits at the store, so that other hosts take over as well.
    let now = Instant::now();
    let mut feed = listed_feed();
    feed.restart_calls();
    assert_eq!(feed.next_step(now), first_watch(now, 10));
    feed.accept_watch_batch(
        now,
        WatchBatch {
            items: Vec::new(),
            changed: false,
            position: at(10),
        },
    )
    .expect("it continues");
    assert_eq!(feed.next_step(now), next_watch(now, 10));
}

fn page_at(position: StorePosition, next_after: Option<&str>) -> ListPage {
    ListPage {
        position,
        ..list_page(position.revision, &[1], next_after)
    }
}

fn batch_at(position: StorePosition) -> WatchBatch {
    WatchBatch {
        items: Vec::new(),
        changed: true,
        position,
    }
}

#[test]
fn test_watch_response_of_another_era_is_rejected() {
    // Guards against a watch that continues from a revision that a restored store has assigned
    // again.
    struct Case {
        name: &'static str,
        watch_after: StorePosition,
        received: StorePosition,
        expected: Result<(), StoreFault>,
        lists: bool,
    }
    let regressed = |received, known| StoreFault::Regressed { received, known };
    let cases = [
        Case {
            name: "the same era",
            watch_after: in_era(2, 10),
            received: in_era(2, 12),
            expected: Ok(()),
            lists: false,
        },
        Case {
            name: "a later era at a smaller revision",
            watch_after: in_era(2, 10),
            received: in_era(3, 4),
            expected: Err(StoreFault::EraChanged { era: 3 }),
            lists: true,
        },
        Case {
            name: "a later era at a larger revision: the store was restored during the watch",
            watch_after: in_era(2, 10),
            received: in_era(3, 14),
            expected: Err(StoreFault::EraChanged { era: 3 }),
            lists: true,
        },
        Case {
            name: "some eras later",
            watch_after: in_era(2, 10),
            received: in_era(9, 10),
            expected: Err(StoreFault::EraChanged { era: 9 }),
            lists: true,
        },
        Case {
            name: "an earlier era",
            watch_after: in_era(2, 10),
            received: in_era(1, 40),
            expected: Err(regressed(in_era(1, 40), in_era(2, 10))),
            lists: false,
        },
        Case {
            name: "no era, after an earlier response had one",
            watch_after: in_era(2, 10),
            received: in_era(0, 11),
            expected: Err(regressed(in_era(0, 11), in_era(2, 10))),
            lists: false,
        },
        Case {
            name: "a smaller revision in the same era: a stale read",
            watch_after: in_era(2, 10),
            received: in_era(2, 9),
            expected: Ok(()),
            lists: false,
        },
    ];
    for case in cases {
        let now = Instant::now();
        let mut feed = StoreFeed::default();
        feed.advance_to(case.watch_after);
        let answer = feed.accept_watch_batch(now, batch_at(case.received));
        if let Err(fault) = &answer {
            feed.call_failed(now, fault);
        }
        assert_eq!(answer.map(drop), case.expected, "{}", case.name);
        let later = now + Duration::from_secs(2);
        let lists = feed.next_step(now) == first_page(now);
        assert_eq!(lists, case.lists, "{}", case.name);
        if let FeedStep::Watch { after, .. } = feed.next_step(later) {
            assert!(after >= case.watch_after, "{}", case.name);
        }
    }
}

#[test]
fn test_list_that_mixes_eras_is_restarted() {
    // Guards against a list whose pages are from before and after the store was restored.
    let now = Instant::now();
    let mut feed = StoreFeed::default();
    let first = feed.accept_page(page_at(in_era(1, 50), Some("servers/i-01")));
    assert_eq!(first, Ok(None));
    let second = feed.accept_page(page_at(in_era(2, 20), None));
    assert_eq!(second, Err(StoreFault::EraChanged { era: 2 }));
    feed.call_failed(now, &StoreFault::EraChanged { era: 2 });
    assert_eq!(feed.next_step(now), first_page(now));
    let whole = feed.accept_page(page_at(in_era(2, 20), None));
    let update = whole.expect("one era").expect("one page is all");
    assert_eq!((update.items.len(), update.through), (1, in_era(2, 20)));
}

#[test]
fn test_store_that_regresses_without_an_era_causes_backoff() {
    // Guards against alternating listings and failed watches without a pause.
    let start = Instant::now();
    let mut now = start;
    let mut feed = listed_feed();
    let mut calls = 0;
    while now < start + Duration::from_secs(20) {
        let fault = match feed.next_step(now) {
            FeedStep::Wait { until } => {
                now = until;
                continue;
            }
            FeedStep::Watch { .. } => StoreFault::HistoryDropped,
            FeedStep::List { .. } => match feed.accept_page(page_at(at(4), None)) {
                Ok(_update) => panic!("an older list was accepted"),
                Err(fault) => fault,
            },
        };
        calls += 1;
        now += Duration::from_millis(8);
        feed.call_failed(now, &fault);
    }
    assert!(calls <= 25, "{calls} calls in 20 s");
}

#[test]
fn test_store_that_refuses_every_watch_causes_backoff() {
    // Guards against alternating listings and failed watches without a pause, when a store keeps no
    // history.
    let start = Instant::now();
    let mut now = start;
    let mut feed = listed_feed();
    let mut calls = 0;
    while now < start + Duration::from_secs(20) {
        match feed.next_step(now) {
            FeedStep::Wait { until } => {
                now = until;
                continue;
            }
            FeedStep::Watch { .. } => feed.call_failed(now, &StoreFault::HistoryDropped),
            FeedStep::List { .. } => {
                let update = feed.accept_page(page_at(at(10), None));
                assert!(update.is_ok_and(|update| update.is_some()));
            }
        }
        calls += 1;
        now += Duration::from_millis(8);
    }
    assert!(calls <= 50, "{calls} calls in 20 s");
}
