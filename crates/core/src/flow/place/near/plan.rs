//! Decides in a placement round which tasks wait for a near node.

use std::cmp::Reverse;
use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use super::state::RackKey;
use super::{time_left, Amount, Costs, NearOutcome, NearRule, Need, NodeForecast, RackForecast};
use crate::flow::model::{JobSpec, Run, Step, TaskId};
use crate::flow::owner::{Node, Owner, Slot};
use crate::flow::place::round::{Mode, Round, Search};
use crate::flow::place::Candidate;
use crate::flow::step::StepState;
use crate::time::Time;

/// Maximum number of steps among which the places of the racks are shared in a round. Steps behind them
/// do not wait.
const MAX_CONTENDERS: usize = 256;
/// Number of steps at the head of the queue among which the contenders are searched for.
const MAX_EXAMINED: usize = 400;
/// Maximum number of tasks that a round assigns to places.
const MAX_ASSIGNED: usize = 512;
/// Maximum number of tasks of a step that are assigned to places in a round.
const MAX_STEP_TASKS: usize = 64;
/// Maximum number of waits in progress.
const MAX_WAITS: usize = 1_024;
/// Time within which a run that is being stopped is expected to end: an order and its answer.
const STOP_TIME: Duration = Duration::from_millis(100);

/// Forecast of a rack in one round, and what it says for the tasks that asked.
#[derive(Debug, Clone)]
pub(super) struct Plan {
    forecast: RackForecast,
    /// All open nodes of the rack, also those that are not waited for.
    slots: Vec<Slot>,
    /// Costs of a wait by task, for those that have a place; `None` if the wait does not pay.
    costs: HashMap<TaskId, Option<Costs>>,
}

impl NearRule {
    /// Returns for how long a wait may last.
    pub(super) fn limit(self, costs: &Costs) -> Duration {
        match self {
            NearRule::Never => Duration::ZERO,
            NearRule::Fixed(time) => time,
            NearRule::Offers(_) => Duration::MAX / 4,
            NearRule::Cost => costs.limit(),
        }
    }
}

impl Owner {
    /// Prepares the waits of a round. `candidates` are its steps, in order of rank.
    pub(in crate::flow::place) fn begin_near_round(&mut self, candidates: &[Candidate]) {
        self.near.budget = MAX_ASSIGNED;
        if !self.has_slow_remote() {
            return;
        }
        let head = candidates.iter().take(MAX_EXAMINED);
        let prefers = |candidate: &&Candidate| {
            let step = &self.jobs[&candidate.job].spec.steps[usize::from(candidate.step)];
            step.preferred_rack.is_some() && may_wait(step)
        };
        self.near.contenders = head.filter(prefers).take(MAX_CONTENDERS).copied().collect();
    }

    /// Tells whether a task or gang of a step waits for the rack of its search, although the node `slot`
    /// outside has capacity. `index` is that of the task, or of the first waiting one of the gang.
    pub(in crate::flow::place) fn prefers_wait(
        &mut self,
        round: &Round,
        spec: &JobSpec,
        search: &Search<'_>,
        index: u32,
        slot: Slot,
    ) -> bool {
        let Some(rack) = search.rack.filter(|_| search.mode == Mode::Ranked) else { return false };
        if !may_wait(search.step) || !self.has_slow_remote() {
            return false;
        }
        if self.nodes[slot].rack() == Some(rack) {
            self.note_near_start(round.now, spec, search, index, slot);
            return false;
        }
        let task = task_id(&search.candidate, index);
        if self.state(&search.candidate).near_waited.contains(&index) {
            return false;
        }
        let costs = self.wait_costs(round, spec, search, rack, index);
        let pays = match (self.near.rule, costs) {
            (NearRule::Never, _) => false,
            (NearRule::Cost, costs) => costs.is_some(),
            (NearRule::Fixed(_) | NearRule::Offers(_), _) => true,
        };
        let key = (spec.queue.service.clone(), rack.to_owned());
        let has_room = !search.step.gang
            && self.near.plans.get(&key).is_some_and(|plan| {
                plan.slots.iter().any(|slot| self.score(round, search, *slot, 0).is_ok())
            });
        let (rule, is_cut) = (self.near.rule, costs.is_none() && self.near.budget == 0);
        let may_begin = pays && !has_room && self.near.waits.len() < MAX_WAITS;
        match self.near.waits.get_mut(&task) {
            Some(wait) => {
                wait.offers += 1;
                let is_offered = matches!(rule, NearRule::Offers(most) if wait.offers > most);
                let outcome = match round.now >= wait.until || is_offered {
                    true => NearOutcome::Failed,
                    false if (pays || is_cut) && !has_room => return true,
                    false => NearOutcome::Far,
                };
                self.end_near_wait(round.now, &task, outcome);
                false
            }
            None if may_begin => {
                let costs = costs.unwrap_or(self.run_costs(round.now, search, index));
                self.begin_near_wait(round.now, task, rack, costs);
                true
            }
            None => false,
        }
    }

    /// Returns the rack for a step that shares one: the one that can hold all its tasks soonest, if the
    /// wait for it pays, otherwise `most`, on which most of them fit now.
    pub(in crate::flow::place) fn soonest_rack(
        &mut self,
        round: &Round,
        candidate: &Candidate,
        spec: &JobSpec,
        most: String,
    ) -> String {
        let step = &spec.steps[usize::from(candidate.step)];
        let state = self.state(candidate);
        let (count, first) = (state.waiting.len(), state.waiting.first().copied());
        let (Some(first), true) = (first, self.has_slow_remote() && may_wait(step)) else {
            return most;
        };
        if !state.running.is_empty() || count > MAX_STEP_TASKS {
            return most;
        }
        if self.near.rule != NearRule::Cost {
            return most;
        }
        let open = round.open_nodes.get(&spec.queue.service).map_or(&[][..], Vec::as_slice);
        let known = self.near_wait_of(candidate).map(|wait| wait.rack.clone());
        let is_open =
            |rack: &String| open.iter().any(|slot| self.nodes[*slot].rack() == Some(rack));
        if let Some(rack) = known.filter(is_open) {
            return rack;
        }
        let racks: BTreeSet<String> =
            open.iter().filter_map(|slot| self.nodes[*slot].rack().map(str::to_owned)).collect();
        let search =
            Search { candidate: *candidate, step, image: 0, rack: None, mode: Mode::Ranked };
        let costs = self.run_costs(round.now, &search, first);
        let mut soonest: Option<(Duration, bool, &String)> = None;
        for rack in &racks {
            let key = (spec.queue.service.clone(), rack.clone());
            self.plan(round, &key);
            let mut forecast = self.near.plans[&key].forecast.clone();
            let suits = |slot| self.suits(candidate, step, slot);
            let wait = forecast.assign(&need(step), count, costs.near, suits);
            let key = wait.map(|wait| (wait, *rack != most, rack));
            soonest = soonest.into_iter().chain(key).min();
        }
        match soonest {
            Some((wait, _, rack)) if Costs { wait, ..costs }.pays() => rack.clone(),
            _ => most,
        }
    }

    /// Learns from a run that ended by itself after `took`.
    pub(in crate::flow) fn learn_run_time(
        &mut self,
        now: Time,
        slot: Slot,
        task: &TaskId,
        took: Duration,
    ) {
        if !self.has_slow_remote() {
            return;
        }
        let Some((spec, state)) = self.step_mut(task) else { return };
        let spec = spec.clone();
        let step = &spec.steps[usize::from(task.step)];
        let is_whole = !state.work_done.contains_key(&work_key(step, task.index));
        let node = &self.nodes[slot];
        let (Some(rack), true) = (node.rack(), is_whole && may_wait(step)) else { return };
        let estimate = Duration::from_millis(step.estimate_ms).mul_f64(self.slowdown(step, node));
        let key = (spec.queue.service.clone(), rack.to_owned());
        self.near.learned.entry(key).or_default().learn(now, took, estimate);
    }

    /// Notes the work that the newest checkpoint of a run holds, which is still in progress at `now`.
    pub(in crate::flow) fn note_work_done(&mut self, now: Time, task: &TaskId, run: Run) {
        if !self.has_slow_remote() {
            return;
        }
        let Some((spec, state)) = self.step_mut(task) else { return };
        let spec = spec.clone();
        let step = &spec.steps[usize::from(task.step)];
        let Some(attempt) = state.running.get(&task.index).filter(|it| it.run == run) else {
            return;
        };
        let (slot, since) = (attempt.slot, attempt.since);
        if step.preferred_rack.is_none() && !step.same_rack || !may_wait(step) {
            return;
        }
        let age = now.saturating_sub(since).div_f64(self.slowdown(step, &self.nodes[slot]));
        let Some((_, state)) = self.step_mut(task) else { return };
        let (last, base, done) =
            state.work_done.entry(work_key(step, task.index)).or_insert((run, Duration::ZERO, age));
        if *last != run {
            (*last, *base) = (run, *done);
        }
        *done = *base + age;
    }

    /// Returns the forecast time until an open node has room for one more task of a step, regardless of the
    /// queue; `None` if it is not known.
    pub(in crate::flow::place) fn forecast_wait(
        &self,
        round: &Round,
        spec: &JobSpec,
        candidate: &Candidate,
    ) -> Option<Duration> {
        let step = &spec.steps[usize::from(candidate.step)];
        let open = self.open_to(round, spec, step).filter(|(slot, _)| {
            self.suits(candidate, step, *slot) && !round.held_nodes.contains(slot)
        });
        let nodes = open.map(|(slot, _)| self.forecast_node(round.now, slot, 1.0)).collect();
        let place = RackForecast::new(nodes).earliest(&need(step), |_| true);
        place.map(|(at, _)| at).filter(|at| *at > Duration::ZERO)
    }

    /// Returns the run time of a task on its rack; `None` if it is not known.
    pub(in crate::flow::place) fn run_time(
        &self,
        search: &Search<'_>,
        index: u32,
    ) -> Option<Duration> {
        let is_known = may_wait(search.step);
        let near = near_time(search.step, self.state(&search.candidate), index);
        near.filter(|_| is_known)
    }

    /// Tells whether tasks take longer away from their rack.
    fn has_slow_remote(&self) -> bool {
        self.settings.remote_slowdown > 1.0 && self.near.rule != NearRule::Never
    }

    /// Returns the factor by which a task of a step takes longer on a node.
    fn slowdown(&self, step: &Step, node: &Node) -> f64 {
        let is_far = step.preferred_rack.as_deref().is_some_and(|rack| node.rack() != Some(rack));
        match is_far && self.settings.remote_slowdown > 1.0 {
            true => self.settings.remote_slowdown,
            false => 1.0,
        }
    }

    /// Returns the run times of a task near and far, with a wait of zero.
    fn run_costs(&self, now: Time, search: &Search<'_>, index: u32) -> Costs {
        let state = self.state(&search.candidate);
        let near = near_time(search.step, state, index).unwrap_or(Duration::ZERO);
        Costs {
            wait: Duration::ZERO,
            near,
            far: near.mul_f64(self.settings.remote_slowdown),
            objective: self.jobs[&search.candidate.job].objective.saturating_sub(now),
        }
    }

    /// Returns the costs of a wait of a task or gang for a rack, if it pays.
    fn wait_costs(
        &mut self,
        round: &Round,
        spec: &JobSpec,
        search: &Search<'_>,
        rack: &str,
        index: u32,
    ) -> Option<Costs> {
        let key = (spec.queue.service.clone(), rack.to_owned());
        if !self.near.plans.contains_key(&key) {
            self.plan(round, &key);
            self.share_places(round, &key);
        }
        if let Some(known) = self.near.plans[&key].costs.get(&task_id(&search.candidate, index)) {
            return known.filter(|costs| costs.wait > Duration::ZERO);
        }
        // Room that the forecast sees now, and the search does not, is not waited for.
        let costs = self.assign_place(round.now, &key, search, index);
        costs.filter(|costs| costs.wait > Duration::ZERO)
    }

    /// Takes the room of a task that starts on its rack now, unless it had a place there.
    fn note_near_start(
        &mut self,
        now: Time,
        spec: &JobSpec,
        search: &Search<'_>,
        index: u32,
        slot: Slot,
    ) {
        let run = self.run_costs(now, search, index).near;
        let rack = self.nodes[slot].rack().unwrap_or_default().to_owned();
        let plan = self.near.plans.get_mut(&(spec.queue.service.clone(), rack));
        let task = task_id(&search.candidate, index);
        if let Some(plan) = plan.filter(|plan| plan.costs.get(&task).is_none_or(Option::is_none)) {
            plan.forecast.start(&need(search.step), slot, run);
        }
    }

    /// Assigns the places of a rack to the tasks that prefer it: by lateness and priority, and then
    /// those first for which a run elsewhere costs most time.
    fn share_places(&mut self, round: &Round, key: &RackKey) {
        let mut claims = Vec::new();
        for (place, candidate) in self.near.contenders.iter().enumerate() {
            let spec = &self.jobs[&candidate.job].spec;
            let step = &spec.steps[usize::from(candidate.step)];
            let is_its_rack = step.preferred_rack.as_ref() == Some(&key.1);
            if spec.queue.service != key.0 || !is_its_rack {
                continue;
            }
            let state = self.state(candidate);
            let most = if step.gang { 1 } else { MAX_STEP_TASKS };
            for index in state.waiting.iter().copied().take(most) {
                let near = near_time(step, state, index);
                let rank = (candidate.rank.lateness, candidate.rank.priority);
                claims.push((rank, Reverse(near), place, index));
            }
        }
        claims.sort_unstable();
        for (_, _, place, index) in claims {
            let candidate = self.near.contenders[place];
            let spec = self.jobs[&candidate.job].spec.clone();
            let step = &spec.steps[usize::from(candidate.step)];
            let rack = Some(key.1.as_str());
            let search = Search { candidate, step, image: 0, rack, mode: Mode::Ranked };
            self.assign_place(round.now, key, &search, index);
        }
    }

    /// Assigns the earliest place of a rack to a task or gang if the wait for it pays, and returns its
    /// costs.
    fn assign_place(
        &mut self,
        now: Time,
        key: &RackKey,
        search: &Search<'_>,
        index: u32,
    ) -> Option<Costs> {
        let (candidate, step) = (search.candidate, search.step);
        let state = self.state(&candidate);
        let count = if step.gang { state.waiting.len() } else { 1 };
        let has_waited = state.near_waited.contains(&index);
        if has_waited || count > MAX_STEP_TASKS {
            return None;
        }
        if count > self.near.budget {
            self.near.budget = 0;
            return None;
        }
        self.near.budget -= count;
        let costs = self.run_costs(now, search, index);
        let mut plan = self.near.plans.remove(key)?;
        let (need, suits) = (need(step), |slot| self.suits(&candidate, step, slot));
        let at = |wait| Some(Costs { wait, ..costs }).filter(Costs::pays);
        // A wait that does not pay takes no place.
        let costs = match count {
            1 => plan.forecast.earliest(&need, suits).and_then(|(wait, _)| at(wait)),
            _ => plan.forecast.clone().assign(&need, count, costs.near, suits).and_then(at),
        };
        if let Some(costs) = costs {
            plan.forecast.assign(&need, count, costs.near, suits);
        }
        plan.costs.insert(task_id(&candidate, index), costs);
        self.near.plans.insert(key.clone(), plan);
        costs
    }

    /// Tells whether a step may use a node, apart from its capacity.
    fn suits(&self, candidate: &Candidate, step: &Step, slot: Slot) -> bool {
        let node = &self.nodes[slot];
        step.required_label.as_ref().is_none_or(|label| node.has_label(label))
            && self.state(candidate).has_quota(step, slot, 0)
    }

    /// Makes the forecast of a rack, unless this round has one.
    fn plan(&mut self, round: &Round, key: &RackKey) {
        if self.near.plans.contains_key(key) {
            return;
        }
        let ratio = self.near.learned.get(key).map_or(1.0, |learned| learned.ratio(round.now));
        let open = round.open_nodes.get(&key.0).map_or(&[][..], Vec::as_slice);
        let is_near = |slot: &Slot| self.nodes[*slot].rack() == Some(key.1.as_str());
        let slots: Vec<Slot> = open.iter().copied().filter(is_near).collect();
        // Workers with recent failures, and those held for long-running tasks, are not waited for.
        let is_expected =
            |slot: &&Slot| self.nodes[**slot].troubles() == 0 && !round.held_nodes.contains(*slot);
        let nodes = slots.iter().filter(is_expected);
        let nodes = nodes.map(|slot| self.forecast_node(round.now, *slot, ratio)).collect();
        let plan = Plan { forecast: RackForecast::new(nodes), slots, costs: HashMap::new() };
        self.near.plans.insert(key.clone(), plan);
    }

    /// Returns the forecast of a node's room from its runs; `ratio` corrects their estimates.
    fn forecast_node(&self, now: Time, slot: Slot, ratio: f64) -> NodeForecast {
        let node = &self.nodes[slot];
        let capacity = node.worker.as_ref().map(|worker| worker.capacity).unwrap_or_default();
        let room = Amount::new(capacity.minus(&node.used), node.spare_cpu());
        let release = |task: &TaskId| {
            let job = self.jobs.get(&task.job)?;
            let step = job.spec.steps.get(usize::from(task.step)).filter(|step| may_wait(step))?;
            let state = job.occurrences.get(&task.occurrence)?.get(usize::from(task.step))?;
            let attempt = state.running.get(&task.index)?;
            let whole =
                near_time(step, state, task.index)?.mul_f64(ratio * self.slowdown(step, node));
            let left = match attempt.is_stopping() {
                true => STOP_TIME,
                false => time_left(whole, now.saturating_sub(attempt.since))?,
            };
            Some((left, need(step).takes))
        };
        NodeForecast::new(slot, room, node.tasks.keys().filter_map(release).collect())
    }
}

/// Returns the ID of a candidate's task.
fn task_id(candidate: &Candidate, index: u32) -> TaskId {
    let Candidate { job, occurrence, step, .. } = *candidate;
    TaskId { job, occurrence, step, index }
}

/// Tells whether the run time of a step's tasks is known, so that a wait for them or by them can be
/// weighed.
fn may_wait(step: &Step) -> bool {
    !step.long_running && step.estimate_ms > 0
}

/// Returns what a task of a step needs of a node.
fn need(step: &Step) -> Need {
    Need { takes: Amount::new(step.reserved(), step.need.cpu_milli), needs_idle: step.best_effort }
}

/// Returns the key of a task's work done: that of its checkpoint.
fn work_key(step: &Step, index: u32) -> u32 {
    if step.gang {
        0
    } else {
        index
    }
}

/// Returns the time that a task's next run needs on its rack, after the work that its checkpoint holds;
/// `None` if it is unknown.
fn near_time(step: &Step, state: &StepState, index: u32) -> Option<Duration> {
    let done = state.work_done.get(&work_key(step, index));
    let estimate = Duration::from_millis(step.estimate_ms);
    time_left(estimate, done.map_or(Duration::ZERO, |(_, _, done)| *done))
}
