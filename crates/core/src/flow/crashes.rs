//! Ledger of crashed workers, with the tasks that each one may have crashed under. It tells the tasks
//! that crash their workers apart from those that only ran beside them.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::incarnation;
use super::message::LostRun;
use super::model::{Run, TaskId};

/// Age of a run at the crash of its worker above which the run is not suspected: a task that crashes
/// its worker does so soon after its start.
pub const MAX_SUSPECT_AGE: Duration = Duration::from_millis(250);
/// Number of crashes under a task, without a common cause with others, after which it is given up.
const MAX_SINGLE_CRASHES: usize = 3;
/// Number of crashes under a task after which it is given up in any case. The platform allows two starts
/// after the third crash; one crash may go unreported, if the agent exits too.
const MAX_CRASHES: usize = 4;
/// Maximum number of suspects of one crash; the youngest runs are kept. A worker that has just come back
/// may get all its tasks in one placement round.
const MAX_SUSPECTS: usize = 256;
/// Maximum number of crashes in the ledger.
const MAX_LEDGER: usize = 128;

/// The crash of one incarnation of a worker.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Crash {
    /// ID of the incarnation.
    pub worker: String,
    /// Runs under which the worker may have crashed. A crash without suspects is kept, so that a repeated
    /// report does not count again.
    pub suspects: Vec<LostRun>,
    /// Whether many workers crashed at the same time, so that the cause is more likely outside their tasks.
    pub is_common: bool,
    /// Whether one of its suspects has been found to crash its workers.
    pub has_culprit: bool,
}

/// What the ledger knows of a suspected task.
#[derive(Debug, Clone, Default)]
struct Suspicion {
    /// Runs of the task under which workers crashed. The runs of a gang have one number, so that a gang
    /// that crashes several workers at once counts once.
    runs: BTreeSet<Run>,
    /// Those of `runs` whose crashes have no other likely cause.
    single_runs: BTreeSet<Run>,
    /// Age of the oldest of `runs` at its crash.
    age: Duration,
    /// Whether the newest crash is explained by another task.
    is_explained: bool,
}

/// The crashes of workers that may matter to tasks that have not ended. A gang has the task with
/// index 0.
#[derive(Debug, Default)]
pub struct CrashLedger {
    /// Oldest first.
    crashes: VecDeque<Crash>,
    /// Derived from `crashes`.
    suspicions: BTreeMap<TaskId, Suspicion>,
}

impl CrashLedger {
    /// Returns a ledger with stored crashes.
    pub fn restore(crashes: Vec<Crash>) -> Self {
        let mut ledger = CrashLedger { crashes: crashes.into(), ..CrashLedger::default() };
        ledger.derive();
        ledger
    }

    /// Returns the crashes to be stored.
    pub fn rows(&self) -> Vec<Crash> {
        self.crashes.iter().cloned().collect()
    }

    /// Adds the crash of a worker under `runs`. Returns whether the crash was not known.
    pub fn record(&mut self, worker: &str, mut runs: Vec<LostRun>) -> bool {
        if self.crashes.iter().any(|crash| crash.worker == worker) {
            return false;
        }
        runs.sort_by_key(|lost| (lost.age, lost.task));
        let mut known = BTreeSet::new();
        runs.retain(|lost| known.insert(lost.task));
        runs.truncate(MAX_SUSPECTS);
        if self.crashes.len() == MAX_LEDGER {
            let explained = self.crashes.iter().position(|crash| crash.suspects.is_empty());
            self.crashes.remove(explained.unwrap_or(0));
        }
        let worker = worker.to_owned();
        self.crashes.push_back(Crash {
            worker,
            suspects: runs,
            is_common: false,
            has_culprit: false,
        });
        self.derive();
        true
    }

    /// Removes the suspects of a recorded crash that a more exact report does not name. Only the crash of an
    /// incarnation that its ID names may have been recorded before its agent's report. Returns whether the
    /// ledger has changed.
    pub fn narrow(&mut self, worker: &str, named: &[TaskId]) -> bool {
        let is_its = |crash: &&mut Crash| crash.worker == worker && incarnation::is_named(worker);
        let Some(crash) = self.crashes.iter_mut().find(is_its) else { return false };
        let before = crash.suspects.len();
        crash.suspects.retain(|lost| named.contains(&lost.task));
        let is_changed = crash.suspects.len() < before;
        if is_changed {
            self.derive();
        }
        is_changed
    }

    /// Notes that many workers crashed at the same time as these. Returns whether this was not known of
    /// one.
    pub fn mark_common(&mut self, workers: &[String]) -> bool {
        let is_new = |crash: &&mut Crash| !crash.is_common && workers.contains(&crash.worker);
        let marked = self.crashes.iter_mut().filter(is_new).map(|c| c.is_common = true).count();
        self.derive();
        marked > 0
    }

    /// Tells whether a task must start apart from others: it is suspected of a crash without another
    /// likely cause, or of more than one crash.
    pub fn starts_apart(&self, task: &TaskId) -> bool {
        self.suspicions
            .get(task)
            .is_some_and(|known| !known.single_runs.is_empty() || known.runs.len() > 1)
    }

    /// Returns the age of a suspected task's oldest run at its crash.
    pub fn age(&self, task: &TaskId) -> Duration {
        self.suspicions.get(task).map_or(Duration::ZERO, |known| known.age)
    }

    /// Returns the suspected tasks, beginning with the one whose runs were youngest at the crash.
    pub fn suspects(&self) -> Vec<TaskId> {
        let mut tasks: Vec<(Duration, TaskId)> =
            self.suspicions.iter().map(|(task, known)| (known.age, *task)).collect();
        tasks.sort_unstable();
        tasks.into_iter().map(|(_, task)| task).collect()
    }

    /// Returns the runs of a task under which workers may have crashed.
    pub fn crashed_runs(&self, task: &TaskId) -> Vec<Run> {
        self.suspicions.get(task).map_or(Vec::new(), |known| known.runs.iter().copied().collect())
    }

    /// Tells whether the crashes show that a task crashes its workers. `is_frequent` tells whether many
    /// workers crash for other reasons, so that more crashes are needed to show it.
    pub fn is_culprit(&self, task: &TaskId, is_frequent: bool) -> bool {
        self.suspicions.get(task).is_some_and(|known| match known.single_runs.len() {
            _ if known.is_explained => false,
            _ if known.runs.len() >= MAX_CRASHES => true,
            _ if is_frequent => false,
            crashes => crashes >= MAX_SINGLE_CRASHES,
        })
    }

    /// Tells whether the crash of a worker is explained by a task that crashes its workers.
    pub fn has_culprit(&self, worker: &str) -> bool {
        self.crashes.iter().any(|crash| crash.worker == worker && crash.has_culprit)
    }

    /// Clears a task of all crashes. Returns whether it was suspected.
    pub fn clear(&mut self, task: &TaskId) -> bool {
        let is_suspect = self.suspicions.contains_key(task);
        if is_suspect {
            for crash in &mut self.crashes {
                crash.suspects.retain(|lost| lost.task != *task);
            }
            self.derive();
        }
        is_suspect
    }

    /// Takes the crashes under a task as explained by it. Their other suspects need not start apart on
    /// their account, but the crashes still count: another task may have caused them as well.
    pub fn convict(&mut self, task: &TaskId) {
        for crash in &mut self.crashes {
            let suspects = crash.suspects.len();
            crash.suspects.retain(|lost| lost.task != *task);
            crash.has_culprit |= crash.suspects.len() < suspects;
        }
        self.derive();
    }

    /// Recomputes what is known of each suspect from the crashes.
    fn derive(&mut self) {
        self.suspicions.clear();
        for crash in &self.crashes {
            for LostRun { task, run, age } in &crash.suspects {
                let known = self.suspicions.entry(*task).or_default();
                known.runs.insert(*run);
                known.age = known.age.max(*age);
                known.is_explained = crash.has_culprit;
                if !crash.is_common && !crash.has_culprit {
                    known.single_runs.insert(*run);
                }
            }
        }
    }
}
