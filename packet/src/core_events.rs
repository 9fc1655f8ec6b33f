//! Adds events about decisions of a core to its output, for logs and metrics.

use std::time::Duration;
use std::time::Instant;

use lagoonproxy::ids::ZoneName;
use lagoonproxy::result_code::ResultCode;

use crate::admission::syn_deferral::SynDeferralQuery;
use crate::flows::flow_table::FlowKey;
use crate::ids::UpstreamIndex;
use crate::packet_action::DecisionEvent;
use crate::packet_action::PacketOutput;
use crate::packet_action::RefusalTrigger;
use crate::packet_action::ResetEvidence;
use crate::packet_action::UpstreamChange;
use crate::packet_core::PacketCore;
use crate::packet_head::PacketHead;
use crate::state::state_snapshot::MergeOutcome;
use crate::state::state_snapshot::StateUpdate;
use crate::state::store_position::StorePosition;
use crate::upstreams::upstream_record::RegistrationState;

impl PacketCore {
    pub(crate) fn record_merge(&self, outcome: &MergeOutcome, output: &mut PacketOutput) {
        if let Some(version) = outcome.regressed {
            output
                .events
                .push(DecisionEvent::RoutesRegressed { version });
        }
        if outcome.unreadable > 0 {
            output.events.push(DecisionEvent::Unreadable {
                items: outcome.unreadable,
            });
        }
    }

    pub(crate) fn record_rejected_update(&self, update: &StateUpdate, output: &mut PacketOutput) {
        output.events.push(DecisionEvent::UpdateRejected {
            whole: update.whole,
            offered: update.through,
            through: self.snapshot.through(),
        });
    }

    pub(crate) fn record_era_change(
        &self,
        before: StorePosition,
        whole: bool,
        output: &mut PacketOutput,
    ) {
        output.events.push(DecisionEvent::EraChanged {
            before,
            through: self.snapshot.through(),
            whole,
        });
    }

    pub(crate) fn record_placed(
        &self,
        now: Instant,
        head: &PacketHead,
        index: UpstreamIndex,
        hedged: bool,
        dispatched: bool,
        output: &mut PacketOutput,
    ) {
        let record = self.upstreams.get(index);
        output.events.push(DecisionEvent::Placed {
            caller: head.caller,
            service: head.service,
            transmission: head.ack,
            upstream: record.name.clone(),
            zone: record.zone.clone(),
            flows: record.flows,
            heard_ago: time_since(now, record.failure_detector.last_response()),
            hedged,
            dispatched,
            version: self.version,
        });
    }

    pub(crate) fn record_deferred(
        &self,
        head: &PacketHead,
        index: UpstreamIndex,
        query: SynDeferralQuery,
        output: &mut PacketOutput,
    ) {
        output.events.push(DecisionEvent::Deferred {
            caller: head.caller,
            service: head.service,
            transmission: query.transmission,
            upstream: self.upstreams.get(index).name.clone(),
            requests: query.requests,
            version: self.version,
        });
    }

    pub(crate) fn record_retransmission(
        &self,
        now: Instant,
        head: &PacketHead,
        index: UpstreamIndex,
        waited: Duration,
        output: &mut PacketOutput,
    ) {
        let record = self.upstreams.get(index);
        output.events.push(DecisionEvent::Retransmitted {
            caller: head.caller,
            service: head.service,
            upstream: record.name.clone(),
            waited,
            heard_ago: time_since(now, record.failure_detector.last_response()),
            attempts: record.failure_detector.attempts(),
        });
    }

    pub(crate) fn record_refused(
        &self,
        now: Instant,
        key: FlowKey,
        trigger: RefusalTrigger,
        index: Option<UpstreamIndex>,
        code: ResultCode,
        output: &mut PacketOutput,
    ) {
        let evidence = index.map(|index| {
            let record = self.upstreams.get(index);
            ResetEvidence {
                upstream: record.name.clone(),
                registration: record.registration,
                heard_ago: time_since(now, record.failure_detector.last_response()),
                attempts: record.failure_detector.attempts(),
            }
        });
        let span = self.confirmation.span();
        output.events.push(DecisionEvent::Refused {
            caller: key.caller,
            service: key.service,
            code,
            trigger,
            evidence,
            version: self.version,
            through: self.snapshot.through(),
            synced_for: span.map(|span| span.length()),
            confirmed_ago: time_since(now, span.map(|span| span.confirmed_at)),
        });
    }

    pub(crate) fn record_evacuation(
        &self,
        zone: &ZoneName,
        evacuated: bool,
        output: &mut PacketOutput,
    ) {
        let members = self.upstreams.records();
        let members = members.filter(|record| record.zone == *zone);
        let (mut upstreams, mut flows) = (0, 0);
        for record in members {
            upstreams += 1;
            flows += record.open_flows();
        }
        output.events.push(DecisionEvent::Evacuation {
            zone: zone.clone(),
            evacuated,
            known: upstreams > 0 || self.zones.contains(zone),
            flows,
            through: self.snapshot.through(),
        });
    }

    pub(crate) fn record_upstream(
        &self,
        now: Instant,
        index: UpstreamIndex,
        change: UpstreamChange,
        output: &mut PacketOutput,
    ) {
        let registration = self.upstreams.get(index).registration;
        self.record_registration(now, index, registration, change, output);
    }

    /// Records a change of an upstream whose registration was in the state `before`.
    pub(crate) fn record_registration(
        &self,
        now: Instant,
        index: UpstreamIndex,
        before: RegistrationState,
        change: UpstreamChange,
        output: &mut PacketOutput,
    ) {
        let record = self.upstreams.get(index);
        output.events.push(DecisionEvent::Upstream {
            upstream: record.name.clone(),
            zone: record.zone.clone(),
            change,
            before,
            flows: record.open_flows(),
            attempts: record.failure_detector.attempts(),
            outcomes: record.outlier_detector.counts(),
            heard_ago: time_since(now, record.failure_detector.last_response()),
            through: self.snapshot.through(),
        });
    }
}

fn time_since(now: Instant, time: Option<Instant>) -> Option<Duration> {
    time.map(|time| now.saturating_duration_since(time))
}
