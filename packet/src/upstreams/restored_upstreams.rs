//! Handles registrations and evacuations that are lost when the store is restored from a backup.
//!
//! The following stay in effect for a grace time, in which they are written again: a registration
//! that the restored store does not list, one that it lists in an older state than the one applied,
//! and an evacuation that it does not list.

use std::time::Instant;

use lagoonproxy::ids::ZoneName;

use crate::ids::UpstreamIndex;
use crate::ids::UpstreamName;
use crate::upstreams::upstream_entry::UpstreamEntry;
use crate::upstreams::upstream_record::HeldRegistration;
use crate::upstreams::upstream_record::RegistrationState;
use crate::upstreams::upstream_table::UpstreamTable;

/// How a registration that a restored store lists was handled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RestoreOutcome {
    /// The registration was applied.
    Registered(UpstreamIndex),
    /// The registration is older than the one applied last, and is held for the grace time.
    Held(UpstreamIndex),
}

impl UpstreamTable {
    /// Applies a registration that a restored store lists. If the upstream has written a newer one,
    /// which the store lost, the newer one stays in effect until the upstream writes again, or for
    /// the grace time.
    pub fn register_restored(&mut self, now: Instant, entry: &UpstreamEntry) -> RestoreOutcome {
        let known = self.by_name(&entry.name);
        match known.filter(|index| self.get(*index).supersedes(entry)) {
            Some(index) => {
                let until = now + self.config.lapse.restored_grace;
                let entry = entry.clone();
                let held = Box::new(HeldRegistration { entry, until });
                self.get_mut(index).held = Some(held);
                RestoreOutcome::Held(index)
            }
            None => RestoreOutcome::Registered(self.register(now, entry)),
        }
    }

    /// Lapses a registration that a restored store does not list: it stays in effect for the grace
    /// time, in which its upstream writes it again. Returns the upstream, or `None` if it is not
    /// known or already deregistered.
    pub fn lapse_unlisted(&mut self, now: Instant, name: &UpstreamName) -> Option<UpstreamIndex> {
        let until = now + self.config.lapse.restored_grace;
        let index = self.by_name(name)?;
        let record = self.get_mut(index);
        record.held = None;
        let is_draining = match record.registration {
            RegistrationState::Ready => false,
            RegistrationState::Draining => true,
            RegistrationState::Lapsed { is_draining, .. } => is_draining,
            RegistrationState::Deregistered { .. } => return None,
        };
        record.registration = RegistrationState::Lapsed { until, is_draining };
        Some(index)
    }

    /// Restarts the grace time of all lapsed and held registrations and of all evacuations that
    /// expire, because the store was restored once more and may have lost them again.
    pub fn restart_grace_times(&mut self, now: Instant) {
        let deadline = now + self.config.lapse.restored_grace;
        for record in &mut self.records {
            if let RegistrationState::Lapsed { until, .. } = &mut record.registration {
                *until = deadline;
            }
            if let Some(held) = &mut record.held {
                held.until = deadline;
            }
        }
        for evacuation in self.evacuated.values_mut() {
            if let Some(expires_at) = &mut evacuation.expires_at {
                *expires_at = now + self.config.lapse.evacuation_grace;
            }
        }
    }

    /// Starts the grace time of an evacuation that a restored store does not list, in which
    /// operators request it again.
    pub fn start_evacuation_grace(&mut self, now: Instant, zone: &ZoneName) {
        let expires_at = now + self.config.lapse.evacuation_grace;
        if let Some(evacuation) = self.evacuated.get_mut(zone) {
            evacuation.expires_at = Some(expires_at);
        }
    }

    /// Ends the evacuations whose grace time is over, because the store lost them and nobody
    /// requested them again; returns their zones. As in [`UpstreamTable::tick`], the store must have
    /// confirmed that.
    pub fn expire_evacuations(
        &mut self,
        now: Instant,
        confirmed_at: Option<Instant>,
    ) -> Vec<ZoneName> {
        let due = self.evacuated.iter().filter(|(_zone, evacuation)| {
            let expires_at = evacuation.expires_at;
            expires_at.is_some_and(|expires_at| confirmed_at.is_some_and(|at| expires_at <= at))
        });
        let expired: Vec<ZoneName> = due.map(|(zone, _evacuation)| zone.clone()).collect();
        for zone in &expired {
            self.restore(now, zone);
        }
        expired
    }
}
