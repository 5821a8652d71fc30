//! Occurrences of a job, and its progress record.

use super::{Job, Record};
use crate::flow::model::JobNumber;
use crate::flow::progress::Progress;
use crate::flow::step::StepState;

impl Job {
    /// Opens the occurrences that the stored progress contains. A job without a timetable has
    /// exactly one.
    pub(super) fn restore(&mut self, progress: &Progress) {
        let recorded = progress.steps.keys().map(|(occurrence, _)| occurrence + 1).max();
        let open = match self.spec.timetable {
            None => 1,
            Some(_) => recorded.unwrap_or(0),
        };
        for occurrence in 0..open {
            self.open(occurrence, progress);
        }
        self.next_occurrence = open;
    }

    /// Opens an occurrence: its unfinished tasks wait to be started.
    pub(in crate::flow) fn open(&mut self, occurrence: u32, progress: &Progress) {
        let steps = self.spec.steps.iter().enumerate().map(|(number, step)| {
            StepState::restore(step, progress.steps.get(&(occurrence, number as u16)))
        });
        self.occurrences.insert(occurrence, steps.collect());
    }

    /// Tells whether all occurrences are due and all their tasks done.
    pub(super) fn is_complete(&self) -> bool {
        let times = self.spec.timetable.map_or(1, |table| table.times);
        self.next_occurrence >= times
            && self
                .occurrences
                .values()
                .all(|steps| steps.iter().zip(&self.spec.steps).all(|(s, step)| s.is_done(step)))
    }

    /// Returns the progress record of the job to be stored. The record of an ended job holds only
    /// its phase.
    pub(super) fn record(&self, number: JobNumber) -> Record {
        let mut progress = Progress { phase: self.phase, ..Progress::default() };
        if !self.phase.is_final() {
            for (occurrence, steps) in &self.occurrences {
                for (step, state) in steps.iter().enumerate() {
                    progress.steps.insert((*occurrence, step as u16), state.record());
                }
            }
        }
        Record { job: number, progress, drops_cancel: self.has_cancel && self.phase.is_final() }
    }
}
