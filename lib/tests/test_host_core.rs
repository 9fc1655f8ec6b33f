//! Tests of the host core's actions on callers' and upstreams' frames.

use std::sync::Arc;
use std::time::Instant;

use bytes::Bytes;
use lagoonproxy::host_action::HostAction;
use lagoonproxy::host_core::HostCore;
use lagoonproxy::host_event::HostEvent;
use lagoonproxy::result_code::ResultCode;
use lagoonproxy::wire_frame::AnswerPart;
use lagoonproxy::wire_frame::CallerBody;
use lagoonproxy::wire_frame::PeerBody;
use lagoonproxy::wire_frame::RefusalBody;
use lagoonproxy::wire_frame::RunOutcome;
use lagoonproxy::wire_frame::UpstreamBody;
use lagoonproxy::wire_frame::UpstreamFrame;

use crate::world::caller_address;
use crate::world::host_core;
use crate::world::host_view;
use crate::world::ledger_config;
use crate::world::ledger_frame;
use crate::world::lone_core;
use crate::world::transfer;
use crate::world::upstream_address;

fn ready_core(now: Instant) -> HostCore {
    lone_core(now, 3)
}

fn step(core: &mut HostCore, now: Instant, event: HostEvent) -> Vec<HostAction> {
    let mut actions = Vec::new();
    core.handle(now, event, &mut actions);
    actions
}

fn from_caller(body: CallerBody) -> HostEvent {
    HostEvent::CallerFrame {
        caller: caller_address(),
        frame: ledger_frame(body),
    }
}

fn sent_upstream(actions: &[HostAction]) -> Vec<UpstreamFrame> {
    actions
        .iter()
        .filter_map(|action| match action {
            HostAction::ToUpstream { frame, .. } => Some(frame.clone()),
            _ => None,
        })
        .collect()
}

#[test]
fn test_request_second_copy_is_not_run() {
    // The fabric delivers a request twice. Without a record of the first copy, the owner would send
    // each copy to an upstream, and the transfer would be in the ledger twice.
    let now = Instant::now();
    let mut core = ready_core(now);
    let first = step(
        &mut core,
        now,
        from_caller(CallerBody::Request(transfer(1))),
    );
    let second = step(
        &mut core,
        now,
        from_caller(CallerBody::Request(transfer(1))),
    );
    assert_eq!(sent_upstream(&first).len(), 1);
    assert_eq!(sent_upstream(&second).len(), 0);
}

#[test]
fn test_answer_reaches_caller_once_whole() {
    let now = Instant::now();
    let mut core = ready_core(now);
    let sent = step(
        &mut core,
        now,
        from_caller(CallerBody::Request(transfer(1))),
    );
    let tag = sent_upstream(&sent)[0].tag;
    let part = AnswerPart {
        request: 1,
        run: tag.run_id(),
        offset: 0,
        total: 4,
        payload: Bytes::from_static(b"done"),
    };
    let frame = UpstreamFrame {
        tag,
        body: UpstreamBody::Part(part.clone()),
    };
    let event = HostEvent::UpstreamFrame {
        source: upstream_address(tag.upstream),
        frame,
    };
    let actions = step(&mut core, now, event.clone());
    let expected = HostAction::ToCaller {
        caller: caller_address(),
        frame: ledger_frame(CallerBody::Part(part)),
    };
    assert_eq!(actions, vec![expected]);
    assert_eq!(step(&mut core, now, event), vec![]);
    assert_eq!(core.requests_in_progress(), 0);
}

#[test]
fn test_frame_for_other_owner_is_forwarded() {
    let now = Instant::now();
    let mut core = host_core(1);
    step(&mut core, now, HostEvent::Hosts(host_view(&[2])));
    let actions = step(&mut core, now, from_caller(CallerBody::Open));
    let [HostAction::ToPeer { host: 2, frame, .. }] = actions.as_slice() else {
        panic!("expected one frame for host 2, got {actions:?}");
    };
    assert_eq!(frame.hops, 1);
    assert!(matches!(frame.body, PeerBody::FromCaller { .. }));
}

#[test]
fn test_older_config_is_ignored() {
    // A lagging replica delivers version 1 after version 2. If the host applied it, an upstream
    // that operators have removed would get traffic again.
    let now = Instant::now();
    let mut core = ready_core(now);
    let newer = ledger_config(2, 1).compile().unwrap();
    let older = ledger_config(1, 3).compile().unwrap();
    step(&mut core, now, HostEvent::Config(Arc::new(newer)));
    step(&mut core, now, HostEvent::Config(Arc::new(older)));
    assert_eq!(core.config_version(), Some(2));
}

#[test]
fn test_request_without_config_is_refused_at_once() {
    let now = Instant::now();
    let mut core = host_core(1);
    let actions = step(
        &mut core,
        now,
        from_caller(CallerBody::Request(transfer(1))),
    );
    let refused = actions.iter().any(|action| {
        matches!(action, HostAction::ToCaller { frame, .. }
        if matches!(&frame.body, CallerBody::Refusal(RefusalBody {
            code: ResultCode::NoConfig,
            outcome: RunOutcome::Unknown,
            ..
        })))
    });
    assert!(refused, "got {actions:?}");
}
