//! Outcomes of requests at a single host: which refusals callers get, and which responses are
//! accepted.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use lagoonproxy::answer_buffer::AnswerBuffer;
use lagoonproxy::config_snapshot::ConfigSnapshot;
use lagoonproxy::host_action::HostAction;
use lagoonproxy::host_core::HostCore;
use lagoonproxy::host_core::MAX_HOPS;
use lagoonproxy::host_core::TICK;
use lagoonproxy::host_event::HostEvent;
use lagoonproxy::load_policy::AttemptOutcome;
use lagoonproxy::load_policy::LoadDecision;
use lagoonproxy::load_policy::LoadPolicy;
use lagoonproxy::load_policy::SubmittedRequest;
use lagoonproxy::request_table::MAX_ANSWER_BYTES;
use lagoonproxy::request_table::RequestKey;
use lagoonproxy::result_code::ResultCode;
use lagoonproxy::wire_frame::AnswerPart;
use lagoonproxy::wire_frame::CallerBody;
use lagoonproxy::wire_frame::NotStartedReason;
use lagoonproxy::wire_frame::PeerBody;
use lagoonproxy::wire_frame::PeerFrame;
use lagoonproxy::wire_frame::RequestBody;
use lagoonproxy::wire_frame::RoutingTag;
use lagoonproxy::wire_frame::RunOutcome;
use lagoonproxy::wire_frame::UpstreamBody;
use lagoonproxy::wire_frame::UpstreamFrame;

use crate::world::caller_address;
use crate::world::ledger_frame;
use crate::world::lone_core;
use crate::world::lone_core_with;
use crate::world::transfer;
use crate::world::upstream_address;

struct SingleHost {
    core: HostCore,
    now: Instant,
}

impl SingleHost {
    fn new(upstreams: u32) -> Self {
        let now = Instant::now();
        Self {
            core: lone_core(now, upstreams),
            now,
        }
    }

    fn event(&mut self, event: HostEvent) -> Vec<HostAction> {
        let mut actions = Vec::new();
        self.core.handle(self.now, event, &mut actions);
        actions
    }

    fn handle_caller(&mut self, body: CallerBody) -> Vec<HostAction> {
        self.event(HostEvent::CallerFrame {
            caller: caller_address(),
            frame: ledger_frame(body),
        })
    }

    /// Sends a request and returns the tag of its attempt.
    fn run(&mut self, request: RequestBody) -> RoutingTag {
        let actions = self.handle_caller(CallerBody::Request(request));
        let sent = actions.iter().find_map(|action| match action {
            HostAction::ToUpstream { frame, .. } => Some(frame.tag),
            _ => None,
        });
        sent.unwrap_or_else(|| panic!("not sent: {actions:?}"))
    }

    fn handle_upstream(&mut self, tag: RoutingTag, body: UpstreamBody) -> Vec<HostAction> {
        self.event(HostEvent::UpstreamFrame {
            source: upstream_address(tag.upstream),
            frame: UpstreamFrame { tag, body },
        })
    }

    fn advance_time(&mut self, time: Duration) -> Vec<HostAction> {
        let end = self.now + time;
        let mut actions = Vec::new();
        while self.now < end {
            self.now += TICK;
            actions.extend(self.event(HostEvent::Tick));
        }
        actions
    }
}

fn part(tag: RoutingTag, payload: &'static [u8]) -> UpstreamBody {
    UpstreamBody::Part(AnswerPart {
        request: tag.request,
        run: 0,
        offset: 0,
        total: payload.len() as u32,
        payload: Bytes::from_static(payload),
    })
}

fn not_started(reason: NotStartedReason) -> UpstreamBody {
    UpstreamBody::NotStarted {
        reason,
        retry_after: Duration::from_millis(50),
    }
}

fn refusals(actions: &[HostAction]) -> Vec<(ResultCode, RunOutcome)> {
    let refusal = |action: &HostAction| match action {
        HostAction::ToCaller { frame, .. } => match &frame.body {
            CallerBody::Refusal(refusal) => Some((refusal.code, refusal.outcome)),
            _ => None,
        },
        _ => None,
    };
    actions.iter().filter_map(refusal).collect()
}

struct TagCase {
    name: &'static str,
    change: fn(&mut RoutingTag),
}

#[test]
fn test_answer_with_other_tag_is_dropped() {
    // Guards against a caller that receives the response to another request. Such a response comes
    // late, from an abandoned attempt or from the process that had the upstream's address before.
    let cases = [
        TagCase {
            name: "previous attempt",
            change: |tag| tag.attempt -= 1,
        },
        TagCase {
            name: "previous process at the upstream's address",
            change: |tag| tag.incarnation += 1,
        },
        TagCase {
            name: "other upstream",
            change: |tag| tag.upstream += 1,
        },
        TagCase {
            name: "other request",
            change: |tag| tag.request += 1,
        },
        TagCase {
            name: "other flow",
            change: |tag| tag.flow += 1,
        },
        TagCase {
            name: "other caller",
            change: |tag| tag.caller.set_port(1),
        },
    ];
    for case in cases {
        let mut host = SingleHost::new(3);
        let tag = host.run(transfer(1));
        let mut other = tag;
        (case.change)(&mut other);
        assert_eq!(
            host.handle_upstream(other, part(tag, b"x")),
            [],
            "{}",
            case.name
        );
        let own = host.handle_upstream(tag, part(tag, b"x"));
        assert_eq!(own.len(), 1, "{}", case.name);
    }
}

#[test]
fn test_answer_of_former_process_is_delivered_by_tag() {
    // Guards against a response that is lost because the host that sent the request to the upstream
    // has restarted.
    let mut host = SingleHost::new(3);
    let mut tag = host.run(transfer(1));
    tag.owner_incarnation += 7;
    tag.request = 2;
    let actions = host.handle_upstream(tag, part(tag, b"x"));
    let [HostAction::ToCaller { caller, frame }] = actions.as_slice() else {
        panic!("{actions:?}");
    };
    assert_eq!(*caller, tag.caller);
    let CallerBody::Part(part) = &frame.body else {
        panic!("{frame:?}");
    };
    assert_eq!((part.request, part.run), (2, tag.run_id()));
}

#[test]
fn test_answer_parts_of_two_runs_do_not_mix() {
    let whole = |run, offset, payload| AnswerPart {
        request: 1,
        run,
        offset,
        total: 4,
        payload: Bytes::from_static(payload),
    };
    let mut buffer = AnswerBuffer::new(&whole(1, 0, b"ab"));
    assert!(!buffer.add(&whole(2, 2, b"cd")));
    assert!(!buffer.is_whole());
    assert!(buffer.add(&whole(1, 2, b"cd")));
    assert!(buffer.is_whole());
}

#[test]
fn test_answer_not_acknowledged_gives_way_within_bound() {
    // Guards against a host that runs out of memory because callers disappear without acknowledging
    // their responses.
    let mut host = SingleHost::new(3);
    let payload: &'static [u8] = &[7; 1_000];
    let requests = (MAX_ANSWER_BYTES / payload.len()) as u64 + 2;
    for request in 1..=requests {
        let tag = host.run(transfer(request));
        host.handle_upstream(tag, part(tag, payload));
    }
    let first = host.handle_caller(CallerBody::Request(transfer(1)));
    let expected = [(ResultCode::AnswerLost, RunOutcome::Run)];
    assert_eq!(refusals(&first), expected);
    let last = host.handle_caller(CallerBody::Request(transfer(requests)));
    let [HostAction::ToCaller { frame, .. }] = last.as_slice() else {
        panic!("{last:?}");
    };
    assert!(matches!(frame.body, CallerBody::Part(_)));
}

#[test]
fn test_refusal_is_the_same_for_each_copy() {
    let mut host = SingleHost::new(0);
    let first = host.handle_caller(CallerBody::Request(transfer(1)));
    let expected = [(ResultCode::NoUpstream, RunOutcome::NotRun)];
    assert_eq!(refusals(&first), expected);
    let copy = host.handle_caller(CallerBody::Request(transfer(1)));
    assert_eq!(refusals(&copy), expected);
}

struct CancelCase {
    name: &'static str,
    reply: fn(RoutingTag) -> Option<UpstreamBody>,
    refusals: &'static [(ResultCode, RunOutcome)],
}

#[test]
fn test_cancel_of_sent_request_needs_proof() {
    // Guards against a caller that is told that its cancelled request did not run although the
    // upstream started it just before the cancellation arrived.
    let cases = [
        CancelCase {
            name: "the upstream confirms that it did not start it",
            reply: |_tag| Some(not_started(NotStartedReason::Cancelled)),
            refusals: &[(ResultCode::Cancelled, RunOutcome::NotRun)],
        },
        CancelCase {
            name: "a new process at the address does not know the request",
            reply: |_tag| Some(not_started(NotStartedReason::WrongUpstream)),
            refusals: &[(ResultCode::Cancelled, RunOutcome::Unknown)],
        },
        CancelCase {
            name: "no reply",
            reply: |_tag| None,
            refusals: &[(ResultCode::Cancelled, RunOutcome::Unknown)],
        },
        CancelCase {
            name: "the request had started",
            reply: |_tag| Some(UpstreamBody::Started),
            refusals: &[(ResultCode::Cancelled, RunOutcome::Unknown)],
        },
        CancelCase {
            name: "the response arrives",
            reply: |tag| Some(part(tag, b"x")),
            refusals: &[],
        },
    ];
    for case in cases {
        let mut host = SingleHost::new(3);
        let tag = host.run(transfer(1));
        let mut actions = host.handle_caller(CallerBody::Cancel { request: 1 });
        if let Some(body) = (case.reply)(tag) {
            actions.extend(host.handle_upstream(tag, body));
        }
        actions.extend(host.advance_time(Duration::from_millis(700)));
        assert_eq!(refusals(&actions), case.refusals, "{}", case.name);
    }
}

#[test]
fn test_refusal_of_sent_request_needs_proof() {
    let mut host = SingleHost::new(3);
    let tag = host.run(transfer(1));
    let shed = host.handle_upstream(tag, not_started(NotStartedReason::Shed));
    let expected = [(ResultCode::UpstreamShed, RunOutcome::NotRun)];
    assert_eq!(refusals(&shed), expected);
    host.run(transfer(2));
    let overdue = host.advance_time(Duration::from_millis(1_100));
    let expected = [(ResultCode::DeadlinePassed, RunOutcome::Unknown)];
    assert_eq!(refusals(&overdue), expected);
}

#[test]
fn test_refusal_of_idempotent_request_without_claim_is_unknown() {
    // Guards against a caller that is told that its query did not run although a host with another
    // member list ran it.
    let mut host = SingleHost::new(0);
    let now = host.now;
    host.core = crate::world::host_core_at(now, 1);
    let config = crate::world::ledger_config(1, 0).compile().unwrap();
    host.event(HostEvent::Config(std::sync::Arc::new(config)));
    let query = RequestBody {
        idempotent: true,
        ..transfer(1)
    };
    let actions = host.handle_caller(CallerBody::Request(query));
    let expected = [(ResultCode::NoUpstream, RunOutcome::Unknown)];
    assert_eq!(refusals(&actions), expected);
}

#[test]
fn test_request_with_extreme_times_does_no_harm() {
    let mut host = SingleHost::new(3);
    let request = RequestBody {
        age: Duration::from_millis(u64::MAX),
        remaining: Duration::from_millis(u64::MAX),
        ..transfer(1)
    };
    let mut actions = host.handle_caller(CallerBody::Request(request));
    actions.extend(host.advance_time(Duration::from_millis(100)));
    let expected = [(ResultCode::OutcomeUnknown, RunOutcome::Unknown)];
    assert_eq!(refusals(&actions), expected);
}

#[test]
fn test_request_asked_again_after_its_deadline_is_not_run_again() {
    // Guards against a request that runs twice. Its caller got no response and was told that the
    // outcome is unknown, and sends the request again under the same number after the host has
    // removed the record.
    for pause in [2, 20, 40, 100] {
        let mut host = SingleHost::new(3);
        host.run(transfer(1));
        host.advance_time(Duration::from_secs(pause));
        let again = RequestBody {
            age: Duration::from_secs(pause),
            ..transfer(1)
        };
        let mut actions = host.handle_caller(CallerBody::Request(again));
        actions.extend(host.advance_time(Duration::from_millis(200)));
        let runs = |action: &HostAction| matches!(action, HostAction::ToUpstream { .. });
        assert!(!actions.iter().any(runs), "after {pause} s");
        assert_eq!(refusals(&actions)[0].1, RunOutcome::Unknown);
    }
}

struct PeerCase {
    name: &'static str,
    sender: u32,
    hops: u8,
    code: ResultCode,
}

#[test]
fn test_peer_frame_is_dropped_and_counted() {
    let cases = [
        PeerCase {
            name: "not in the host list",
            sender: 9,
            hops: 1,
            code: ResultCode::PeerUnknown,
        },
        PeerCase {
            name: "too many hops",
            sender: 1,
            hops: MAX_HOPS + 1,
            code: ResultCode::HopsExceeded,
        },
    ];
    for case in cases {
        let mut host = SingleHost::new(3);
        let frame = PeerFrame {
            sender: case.sender,
            hops: case.hops,
            body: PeerBody::FromCaller {
                caller: caller_address(),
                view: 1,
                echo: None,
                frame: ledger_frame(CallerBody::Request(transfer(1))),
            },
        };
        let actions = host.event(HostEvent::PeerFrame(frame));
        assert_eq!(actions, [HostAction::Count(case.code)], "{}", case.name);
    }
}

/// Sends every request to the same upstream, and sends it again when it was not started.
struct SameUpstreamPolicy;

impl LoadPolicy for SameUpstreamPolicy {
    fn configure(&mut self, _now: Instant, _config: &Arc<ConfigSnapshot>) {}

    fn submit(&mut self, _now: Instant, job: SubmittedRequest, decisions: &mut Vec<LoadDecision>) {
        let key = job.key;
        decisions.push(LoadDecision::Send { key, upstream: 0 });
    }

    fn end(
        &mut self,
        _now: Instant,
        key: RequestKey,
        end: AttemptOutcome,
        decisions: &mut Vec<LoadDecision>,
    ) {
        if matches!(end, AttemptOutcome::NotStarted { .. }) {
            decisions.push(LoadDecision::Send { key, upstream: 0 });
        }
    }

    fn withdraw(&mut self, _now: Instant, _key: RequestKey, _decisions: &mut Vec<LoadDecision>) {}

    fn tick(&mut self, _now: Instant, _decisions: &mut Vec<LoadDecision>) {}
}

struct RetryCase {
    reason: NotStartedReason,
    code: ResultCode,
}

#[test]
fn test_retry_is_counted_by_its_reason() {
    let cases = [
        RetryCase {
            reason: NotStartedReason::Shed,
            code: ResultCode::UpstreamShed,
        },
        RetryCase {
            reason: NotStartedReason::Draining,
            code: ResultCode::UpstreamDraining,
        },
        RetryCase {
            reason: NotStartedReason::WrongUpstream,
            code: ResultCode::UpstreamWrong,
        },
    ];
    for case in cases {
        let now = Instant::now();
        let core = lone_core_with(now, 1, Box::new(SameUpstreamPolicy));
        let mut host = SingleHost { core, now };
        let tag = host.run(transfer(1));
        let actions = host.handle_upstream(tag, not_started(case.reason));
        let retries: Vec<&HostAction> = actions
            .iter()
            .filter(|action| matches!(action, HostAction::CountRetry(_)))
            .collect();
        assert_eq!(retries, [&HostAction::CountRetry(case.code)]);
    }
}
