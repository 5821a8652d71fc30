//! Runs of placement whose effects are undone.

use super::{Job, Owner};
use crate::flow::model::{JobNumber, JobSpec};
use crate::flow::progress::Progress;
use crate::time::Time;

impl Owner {
    /// Calls `run`, which may place tasks of one job, and undoes all its effects. `spec` adds the job for
    /// this time. `run` must not change other jobs.
    pub(in crate::flow) fn dry_run<T>(
        &mut self,
        now: Time,
        number: JobNumber,
        spec: Option<JobSpec>,
        run: impl FnOnce(&mut Owner) -> T,
    ) -> T {
        let nodes = self.nodes.clone();
        let near = self.near.clone();
        let (forecast, intake) = (self.forecast.clone(), self.intake.clone());
        let job: Option<Job> = self.jobs.get(&number).cloned();
        let effects = self.effects.len();
        let (placement_due, rounds) = (self.placement_due, self.rounds);
        let (was_unplaced, examined) = (self.unplaced.contains(&number), self.examined.get());
        let due = job.is_none().then(|| self.occurrences_due.clone());
        if let Some(spec) = spec {
            self.insert(now, number, spec, Progress::default(), false);
        }
        let result = run(self);
        self.nodes = nodes;
        self.near = near;
        (self.forecast, self.intake) = (forecast, intake);
        self.effects.truncate(effects);
        (self.placement_due, self.rounds) = (placement_due, rounds);
        self.examined.set(examined);
        if !was_unplaced {
            self.unplaced.remove(&number);
        }
        match job {
            Some(job) => {
                self.jobs.insert(number, job);
            }
            None => {
                self.jobs.remove(&number);
            }
        }
        self.occurrences_due = due.unwrap_or_else(|| std::mem::take(&mut self.occurrences_due));
        result
    }
}
