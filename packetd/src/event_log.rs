//! Writes the core's events to logs and metrics.

use std::time::Duration;

use lagoonproxy::result_code::ResultCode;
use lagoonproxy_packet::packet_action::DecisionEvent;
use lagoonproxy_packet::packet_action::RefusalTrigger;
use lagoonproxy_packet::packet_action::UpstreamChange;

use crate::host_metrics::HostMetrics;

/// Logs and counts the core's events. `request` is the id of the request in the packet that caused
/// them, if it has one.
pub fn log_events(events: &[DecisionEvent], request: Option<&str>, metrics: &HostMetrics) {
    let request = request.unwrap_or_default();
    for event in events {
        log_event(event, request, metrics);
    }
}

fn log_event(event: &DecisionEvent, request: &str, metrics: &HostMetrics) {
    metrics.services.record(event);
    match event {
        DecisionEvent::Placed {
            caller,
            service,
            transmission,
            upstream,
            zone,
            flows,
            heard_ago,
            hedged,
            dispatched,
            version,
        } => {
            metrics.placed.inc();
            if *hedged {
                metrics.hedged.inc();
            }
            if *dispatched {
                metrics.dispatched.inc();
            }
            let heard_ms = millis(*heard_ago);
            log::info!(caller:% = caller, service:% = service, copy = transmission, upstream:% = upstream, zone:% = zone, flows, heard_ms, hedged, dispatched, version; "flow placed");
        }
        DecisionEvent::Deferred {
            caller,
            service,
            transmission,
            upstream,
            requests,
            version,
        } => {
            metrics.deferred.inc();
            log::info!(caller:% = caller, service:% = service, copy = transmission, upstream:% = upstream, requests, version; "flow deferred");
        }
        DecisionEvent::ClassLimited {
            caller,
            service,
            service_name,
            transmission,
            class,
            code,
            deferred,
            upstream,
            in_progress,
            contention,
            age,
            version,
        } => {
            let code = code.number();
            let (priority, rank, pressure) = (class.priority.0, class.rank, contention.pressure);
            let age_ms = millis(*age);
            log::info!(caller:% = caller, service:% = service, service_name:% = service_name, copy = transmission, priority, rank, code, deferred, upstream:% = upstream, in_progress, pressure, age_ms, version; "flow limited by class");
        }
        DecisionEvent::Contention {
            service,
            contended,
            pressure,
            reporters,
        } => {
            log::info!(service:% = service, contended, pressure, reporters; "service contention");
        }
        DecisionEvent::Spill {
            service,
            zone,
            share,
            local_pressure,
            remote_pressure,
        } => {
            log::info!(service:% = service, zone:% = zone, share, local_pressure, remote_pressure; "spill to another zone");
        }
        DecisionEvent::DispatcherSilent { dispatcher } => {
            log::warn!(dispatcher:%; "dispatcher does not reply");
        }
        DecisionEvent::LoadRejected { peer } => {
            let code = ResultCode::LoadReportInvalid;
            metrics.count_result(code);
            metrics.rejected_load_reports.inc();
            log::warn!(code = code.number(), peer:% = peer; "load report rejected");
        }
        DecisionEvent::Refused {
            caller,
            service,
            code,
            trigger,
            evidence,
            version,
            through,
            synced_for,
            confirmed_ago,
        } => {
            let evidence = evidence.as_ref();
            let registration = evidence.map_or("", |evidence| evidence.registration.name());
            if !matches!(trigger, RefusalTrigger::Syn) {
                metrics.count_open_flow_reset(*code, registration);
            }
            let code = code.number();
            let upstream = evidence.map_or("", |evidence| evidence.upstream.as_str());
            let attempts = evidence.map_or(0, |evidence| evidence.attempts);
            let heard_ms = millis(evidence.and_then(|evidence| evidence.heard_ago));
            let synced_ms = millis(*synced_for);
            let confirmed_ms = millis(*confirmed_ago);
            log::info!(request, caller:% = caller, service:% = service, code, trigger:? = trigger, upstream, registration, attempts, heard_ms, version, through:%, synced_ms, confirmed_ms; "flow refused");
        }
        DecisionEvent::Answered { took } => metrics.answer_seconds.observe(took.as_secs_f64()),
        DecisionEvent::Retransmitted {
            caller,
            service,
            upstream,
            waited,
            heard_ago,
            attempts,
        } => {
            metrics.repeated.inc();
            let waited_ms = millis(Some(*waited));
            let heard_ms = millis(*heard_ago);
            log::info!(request, caller:% = caller, service:% = service, upstream:% = upstream, waited_ms, heard_ms, attempts; "request sent again");
        }
        DecisionEvent::Upstream {
            upstream,
            zone,
            change,
            before,
            flows,
            attempts,
            outcomes,
            heard_ago,
            through,
        } => {
            match change {
                UpstreamChange::Avoided => metrics.avoided.inc(),
                UpstreamChange::Failing => metrics.failing.inc(),
                _ => 0,
            };
            let heard_ms = millis(*heard_ago);
            let (served, failed) = (outcomes.served, outcomes.failed);
            log::info!(upstream:% = upstream, zone:% = zone, change:? = change, before = before.name(), flows, attempts, served, failed, heard_ms, through:%; "upstream");
        }
        DecisionEvent::Role {
            change,
            reader,
            peers,
            through,
        } => {
            let reader = reader.map(|reader| reader.to_string()).unwrap_or_default();
            log::info!(change:? = change, reader, peers, through:%; "reading of the store");
        }
        DecisionEvent::FirstState { upstreams, through } => {
            log::info!(upstreams, through:%; "first state");
        }
        DecisionEvent::RouteFieldIgnored { version, fault } => {
            metrics.invalid_fields.inc_by(fault.count.into());
            let code = ResultCode::RouteFieldInvalid.number();
            let (field, owner, value) = (&fault.field, &fault.owner, &fault.value);
            log::warn!(code, version, field:% = field, reason:? = fault.reason, owner:% = owner, value:% = value, count = fault.count; "route field not used");
        }
        DecisionEvent::Routes {
            version,
            routes,
            through,
        } => log::info!(version, routes, through:%; "routes in force"),
        DecisionEvent::Evacuation {
            zone,
            evacuated,
            known,
            flows,
            through,
        } => {
            let code = match *known || !*evacuated {
                true => ResultCode::Success,
                false => ResultCode::EvacuationUnknown,
            };
            let code = code.number();
            log::info!(code, zone:% = zone, evacuated, known, flows, through:%; "zone evacuation");
        }
        DecisionEvent::EraChanged {
            before,
            through,
            whole,
        } => {
            let code = ResultCode::PlatformRestored.number();
            log::warn!(code, before:%, through:%, whole; "store came back from a copy");
        }
        DecisionEvent::UpdateRejected {
            whole,
            offered,
            through,
        } => {
            metrics.rejected_updates.inc();
            if *whole {
                log::warn!(offered:%, through:%; "state rejected as older");
            }
        }
        DecisionEvent::RoutesRegressed { version } => {
            log::warn!(version; "older routes rejected");
        }
        DecisionEvent::Unreadable { items } => {
            metrics.unreadable.inc_by(*items as u64);
        }
    }
}

/// Converts a time to milliseconds for a log line; -1 stands for `None`.
fn millis(duration: Option<Duration>) -> i64 {
    duration.map_or(-1, |duration| {
        i64::try_from(duration.as_millis()).unwrap_or(i64::MAX)
    })
}
