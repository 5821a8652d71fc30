//! Persistence: batches changed job records into one write to the store at a time, and acknowledges
//! the ends of runs to workers once the write is durable.

use std::collections::BTreeSet;

use super::{
    Commit, InFlight, Node, Owner, RoundCause, Slot, COMMIT_DELAY, INTERFERENCE_INTERVAL,
    MAX_COMMIT_KEYS,
};
use crate::flow::message::OwnerMessage;
use crate::time::Time;

impl Owner {
    /// Returns when the next write to the store is due; `None` if there is nothing to write or a
    /// write is in flight.
    pub fn commit_due(&self) -> Option<Time> {
        let is_urgent = self.is_urgent
            || self.roster_changed
            || self.crashes_are_due()
            || self.dirty.len() >= MAX_COMMIT_KEYS
            || self.expired_cancels.len() >= MAX_COMMIT_KEYS;
        match self.in_flight {
            Some(_) => None,
            None if is_urgent => Some(Time::ZERO),
            None => self.dirty_since.map(|since| since + COMMIT_DELAY),
        }
    }

    /// Returns the contents of the next write to the store, if one is due and none is in flight.
    pub fn take_commit(&mut self, now: Time) -> Option<Commit> {
        if self.commit_due().is_none_or(|at| now < at) {
            return None;
        }
        let mut commit = Commit::default();
        let mut slots = Vec::new();
        let mut keys_left = MAX_COMMIT_KEYS;
        if self.roster_changed {
            self.roster_changed = false;
            keys_left -= 1;
            // A successor need not wait for a node that runs nothing and gets no starts.
            let is_member = |node: &Node| node.worker.is_some() && !node.is_drained();
            slots = (0..self.nodes.len()).filter(|s| is_member(&self.nodes[*s])).collect();
            // A node that is left out must be in a durable roster again before it gets starts.
            self.nodes.iter_mut().for_each(|node| node.in_roster &= is_member(node));
            let mut names: BTreeSet<String> = self.unreported.clone();
            names.extend(slots.iter().map(|slot| self.nodes[*slot].name.clone()));
            commit.roster = Some(names.into_iter().collect());
        }
        let crash_acks = std::mem::take(&mut self.crash_acks);
        if std::mem::take(&mut self.crashes_changed) {
            keys_left -= 1;
            commit.crashes = Some(self.crashes.rows());
        }
        if now >= self.next_interference {
            self.next_interference = now + INTERFERENCE_INTERVAL;
            keys_left -= 1;
            commit.interference = Some(self.interference.rows()).filter(|rows| !rows.is_empty());
        }
        let mut versions = Vec::new();
        while let Some(number) = self.dirty.first().copied() {
            let Some(job) = self.jobs.get(&number) else {
                self.dirty.remove(&number);
                continue;
            };
            let record = job.record(number);
            if record.keys() > keys_left {
                break;
            }
            keys_left -= record.keys();
            versions.push((number, job.version));
            commit.records.push(record);
            self.dirty.remove(&number);
        }
        while keys_left > 0 {
            let Some(number) = self.expired.pop() else { break };
            commit.expired.push(number);
            keys_left -= 1;
        }
        let cancels = self.expired_cancels.len().min(keys_left);
        commit.expired_cancels = self.expired_cancels.drain(..cancels).collect();
        self.is_urgent = !self.dirty.is_empty();
        self.dirty_since = None;
        self.in_flight = Some(InFlight { versions, slots, crash_acks });
        Some(commit)
    }

    /// Handles the completion of the write in flight: its contents are now durable.
    pub fn committed(&mut self) {
        let Some(InFlight { versions, slots, crash_acks }) = self.in_flight.take() else { return };
        for (number, version) in versions {
            if let Some(job) = self.jobs.get_mut(&number) {
                job.durable = job.durable.max(version);
                if job.phase.is_final() && job.version == version {
                    job.has_cancel = false;
                    job.has_durable_end = true;
                }
            }
        }
        for slot in slots {
            self.nodes[slot].in_roster = true;
            self.request_round(RoundCause::Room);
        }
        for slot in 0..self.nodes.len() {
            self.acknowledge(slot);
        }
        for (slot, worker) in crash_acks {
            self.send(slot, OwnerMessage::CrashSeen { worker });
        }
    }

    /// Tells whether the ledger of crashes has to be written, or reports of crashes to be acknowledged.
    fn crashes_are_due(&self) -> bool {
        self.crashes_changed || !self.crash_acks.is_empty()
    }

    /// Schedules a write of the roster to the store.
    pub(in crate::flow) fn mark_roster_changed(&mut self) {
        self.roster_changed = true;
    }

    /// Acknowledges to a node's worker the ends of runs whose effects on job records are durable.
    pub(in crate::flow) fn acknowledge(&mut self, slot: Slot) {
        let mut last = None;
        while let Some((number, job, version)) = self.nodes[slot].pending_acks.front().copied() {
            if self.jobs.get(&job).is_some_and(|job| job.durable < version) {
                break;
            }
            self.nodes[slot].pending_acks.pop_front();
            last = Some(number);
        }
        let Some(number) = last else { return };
        self.nodes[slot].acknowledged = number;
        if self.nodes[slot].is_drained() {
            self.mark_roster_changed();
        }
        self.send_acknowledgement(slot);
    }

    /// Sends the newest acknowledgement of ends to a node's agent. It is lost if the agent is not
    /// connected.
    pub(in crate::flow) fn send_acknowledgement(&mut self, slot: Slot) {
        let node = &self.nodes[slot];
        let number = node.acknowledged;
        if let Some(worker) = node.worker.as_ref().map(|worker| worker.id.clone()) {
            self.send(slot, OwnerMessage::Seen { worker, number });
        }
    }
}
