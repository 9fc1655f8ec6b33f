//! Tests that the upstream stand-in never starts a request that it reported as not started, and
//! that its records and answers show duplicates and mix-ups.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use lagoonproxy::wire_frame::NotStartedReason;
use lagoonproxy::wire_frame::RoutingTag;
use lagoonproxy::wire_frame::UpstreamBody;
use lagoonproxy::wire_frame::UpstreamFrame;
use lagoonproxy_standin::answer_content::AnswerIntegrity;
use lagoonproxy_standin::answer_content::PayloadSpec;
use lagoonproxy_standin::answer_content::RequestIdentity;
use lagoonproxy_standin::service_time::ServiceTime;
use lagoonproxy_standin::upstream_core::UpstreamBehaviour;
use lagoonproxy_standin::upstream_core::UpstreamCore;
use lagoonproxy_standin::upstream_core::UpstreamReply;
use lagoonproxy_standin::upstream_core::UpstreamSettings;

const LEDGER: ([u8; 4], u16) = ([10, 0, 0, 1], 700);
const WORK: Duration = Duration::from_millis(10);

fn settings() -> UpstreamSettings {
    UpstreamSettings {
        id: 1,
        address: ([127, 0, 0, 1], 0).into(),
        health_address: ([127, 0, 0, 1], 0).into(),
        services: vec![LEDGER.into()],
        incarnation: 0,
        slots: 1,
        queue: 1,
        connections: 1,
        service_time: ServiceTime::Fixed { ms: 10.0 },
        cold_start: None,
        seed: 0,
    }
}

fn frame(request: u64, body: UpstreamBody) -> UpstreamFrame {
    let tag = RoutingTag {
        caller: ([127, 0, 0, 1], 9).into(),
        service: LEDGER.into(),
        flow: 1,
        request,
        attempt: 0,
        owner: 1,
        owner_incarnation: 1,
        upstream: 1,
        incarnation: 0,
    };
    UpstreamFrame { tag, body }
}

fn run_body(remaining: Duration) -> UpstreamBody {
    UpstreamBody::Run {
        remaining,
        idempotent: false,
        payload: PayloadSpec::default().payload(0),
    }
}

struct RefusalCase {
    name: &'static str,
    behaviour: UpstreamBehaviour,
    /// Number of requests sent before the one that is rejected.
    before: u64,
    remaining: Duration,
    cancel: bool,
    reason: NotStartedReason,
}

#[test]
fn test_rejected_requests_are_never_started() {
    let second = Duration::from_secs(1);
    let plain = UpstreamBehaviour::default();
    let cases = [
        RefusalCase {
            name: "slot and queue are full",
            behaviour: plain.clone(),
            before: 2,
            remaining: second,
            cancel: false,
            reason: NotStartedReason::Shed,
        },
        RefusalCase {
            name: "draining",
            behaviour: UpstreamBehaviour {
                draining: true,
                ..plain.clone()
            },
            before: 0,
            remaining: second,
            cancel: false,
            reason: NotStartedReason::Draining,
        },
        RefusalCase {
            name: "deadline passes in the queue",
            behaviour: plain.clone(),
            before: 1,
            remaining: WORK / 2,
            cancel: false,
            reason: NotStartedReason::DeadlinePassed,
        },
        RefusalCase {
            name: "cancelled in the queue",
            behaviour: plain,
            before: 1,
            remaining: second,
            cancel: true,
            reason: NotStartedReason::Cancelled,
        },
    ];
    for case in cases {
        let start = Instant::now();
        let mut core = UpstreamCore::new(settings(), start);
        core.set_behaviour(case.behaviour);
        let host: SocketAddr = ([127, 0, 0, 1], 1).into();
        let mut replies: Vec<UpstreamReply> = Vec::new();
        for request in 1..=case.before {
            core.handle_frame(start, host, frame(request, run_body(second)), &mut replies);
        }
        let refused = case.before + 1;
        let body = run_body(case.remaining);
        core.handle_frame(start, host, frame(refused, body), &mut replies);
        if case.cancel {
            core.handle_frame(
                start,
                host,
                frame(refused, UpstreamBody::Cancel),
                &mut replies,
            );
        }
        for step in 1..=5 {
            core.advance(start + WORK * step, &mut replies);
        }
        let reasons: Vec<NotStartedReason> = replies
            .iter()
            .filter(|reply| reply.frame.tag.request == refused)
            .filter_map(|reply| match reply.frame.body {
                UpstreamBody::NotStarted { reason, .. } => Some(reason),
                _ => None,
            })
            .collect();
        assert_eq!(reasons, [case.reason], "{}", case.name);
        assert_eq!(core.records().totals.started, case.before, "{}", case.name);
        assert_eq!(core.records().totals.answered, case.before, "{}", case.name);
    }
}

#[test]
fn test_duplicate_request_is_run_and_counted() {
    let start = Instant::now();
    let mut core = UpstreamCore::new(settings(), start);
    let host: SocketAddr = ([127, 0, 0, 1], 1).into();
    let mut replies = Vec::new();
    for _copy in 0..2 {
        let copy = frame(1, run_body(Duration::from_secs(1)));
        core.handle_frame(start, host, copy, &mut replies);
    }
    core.advance(start + WORK, &mut replies);
    core.advance(start + 2 * WORK, &mut replies);
    assert_eq!(core.records().double_runs().count(), 1);
}

#[test]
fn test_answers_identify_their_request() {
    let right = RequestIdentity {
        service: LEDGER.into(),
        caller: ([127, 0, 0, 1], 9).into(),
        flow: 1,
        request: 1,
    };
    let spec = PayloadSpec {
        answer_len: 3_000,
        work: Duration::ZERO,
    };
    let payload = spec.payload(10);
    let answer = right.answer(&payload);
    assert_eq!(answer.len(), 3_000);
    let other = RequestIdentity {
        request: 2,
        ..right
    };
    let mut mixed = other.answer(&payload);
    mixed[..1_000].copy_from_slice(&answer[..1_000]);
    let cases = [
        ("whole", answer.clone(), AnswerIntegrity::Whole),
        (
            "truncated",
            answer[..2_000].to_vec(),
            AnswerIntegrity::Truncated,
        ),
        (
            "of another request",
            other.answer(&payload),
            AnswerIntegrity::Foreign,
        ),
        ("two mixed", mixed, AnswerIntegrity::Foreign),
        (
            "other payload",
            right.answer(b"x"),
            AnswerIntegrity::Foreign,
        ),
    ];
    for (name, received, verdict) in cases {
        assert_eq!(right.verify(&payload, &received), verdict, "{name}");
    }
}
