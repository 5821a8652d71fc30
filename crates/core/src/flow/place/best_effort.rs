//! Placement of best-effort tasks on nodes with idle CPU where they interfere little with serving
//! tasks.

use crate::flow::interference::Share;
use crate::flow::message::{Image, Sample};
use crate::flow::model::Step;
use crate::flow::owner::{image_number, Node, Owner, Slot};

/// Image of a best-effort task and the CPU that it requests, in thousandths of a core.
type BestEffortTask = (Image, u64);

/// Minimum free CPU, in percent of its request, for a large best-effort task on a node that has no
/// other best-effort task.
const MIN_BEST_EFFORT_PERCENT: u64 = 50;
/// Assumed CPU usage of long-running tasks, in percent of their reservation. Best-effort tasks that
/// used up to 70 % of a worker beside them were not slowed down.
const LONG_RUNNING_USE_PERCENT: u64 = 40;
/// Maximum expected tail latency, in percent of its target, at which a node gets more best-effort
/// tasks. Above this the tasks that it already has finish sooner without new ones.
const MAX_TAIL_PERCENT: f64 = 75.0;
/// Rise of the logarithm of a serving image's tail latency up to which the interference of new
/// best-effort tasks is ignored, about 2 %. It is smaller than the change that the serving tasks'
/// own load causes within a second.
const MIN_RISE: f64 = 0.02;
/// CPU that best-effort tasks may use, in percent of their request, below which a node gets no more
/// best-effort tasks that interfere with its serving tasks.
const MIN_PRESSURE_LEVEL: u32 = 50;
/// Safety factor on the expected rise of a tail latency caused by a new best-effort task. Tail
/// latencies near their target rose by two to three times the prediction of the interference
/// weights, which are learned at lower latencies.
const RISE_SAFETY_FACTOR: f64 = 2.0;
/// Weight of the rise of the expected tail latency in the cost of a node, relative to the tail
/// latency itself and to the share of CPU that best-effort tasks request.
const RISE_WEIGHT: f64 = 2.0;

impl Node {
    /// Returns the CPU that more best-effort tasks can expect to get, in thousandths of a core.
    pub(super) fn spare_cpu(&self) -> u64 {
        self.idle_cpu().saturating_sub(self.total_best_effort_cpu)
    }

    /// Returns the CPU that best-effort tasks can expect to get in total, in thousandths of a core.
    pub(in crate::flow) fn idle_cpu(&self) -> u64 {
        let idle = self.long_running.cpu_milli * (100 - LONG_RUNNING_USE_PERCENT) / 100;
        (self.cpu_capacity() + idle).saturating_sub(self.used.cpu_milli)
    }

    /// Returns the number of serving images on the node other than `own`. Placement of serving tasks
    /// prefers low numbers: if tasks of the same serving image share nodes, more nodes are left on
    /// which a best-effort task interferes with none of the images.
    pub(super) fn other_serving_images(&self, own: Image) -> usize {
        self.serving.keys().filter(|image| **image != own).count()
    }

    /// Returns the fraction of the worker's CPU that each best-effort image requests.
    fn shares(&self) -> impl Iterator<Item = Share> + '_ {
        self.best_effort_cpu.iter().map(|(image, cpu)| (*image, self.share(*cpu)))
    }

    /// Returns a CPU amount as a fraction of the worker's CPU.
    fn share(&self, cpu: u64) -> f64 {
        cpu as f64 / self.cpu_capacity().max(1) as f64
    }

    /// Tells whether the node has enough idle CPU for one more best-effort task of a step, in
    /// addition to `planned` tasks of the step that have not been started yet.
    pub(super) fn best_effort_fits(&self, step: &Step, planned: u64) -> bool {
        let need = step.need.cpu_milli;
        let free = self.spare_cpu().saturating_sub(planned * need);
        let is_large = need > self.cpu_capacity() / 2;
        let is_first = self.total_best_effort_cpu == 0 && is_large;
        free >= need || (is_first && free * 100 >= need * MIN_BEST_EFFORT_PERCENT)
    }
}

impl Owner {
    /// Updates the learned interference, and the baselines of the node's serving images, from a
    /// ping of the node's agent. A baseline is a tail latency without best-effort tasks, in percent
    /// of its target.
    pub(in crate::flow) fn learn_interference(
        &mut self,
        slot: Slot,
        samples: &[Sample],
        baselines: &[(Image, u32)],
    ) {
        let node = &mut self.nodes[slot];
        for sample in samples {
            self.interference.learn(sample, node.cpu_capacity());
        }
        for (image, percent) in baselines {
            if let Some((_, baseline)) = node.serving.get_mut(image) {
                baseline.learn(*percent);
            }
        }
    }

    /// Returns the interference weight of a best-effort step's image on each serving image of a
    /// node, in units of 1 / `WEIGHT_SCALE`; empty for other steps.
    pub(in crate::flow) fn step_weights(&self, slot: Slot, step: &Step) -> Vec<(Image, u32)> {
        let best_effort = image_number(step);
        let weight = |image: &Image| (*image, self.interference.scaled_weight(*image, best_effort));
        match step.best_effort {
            true => self.nodes[slot].serving.keys().map(weight).collect(),
            false => Vec::new(),
        }
    }

    /// Returns the interference weight of each pair of a serving and a best-effort image on a node,
    /// in units of 1 / `WEIGHT_SCALE`.
    pub(in crate::flow) fn weights(&self, slot: Slot) -> Vec<(Image, Image, u32)> {
        let node = &self.nodes[slot];
        let pairs =
            node.best_effort_cpu.keys().flat_map(|b| node.serving.keys().map(move |s| (*s, *b)));
        pairs.map(|(s, b)| (s, b, self.interference.scaled_weight(s, b))).collect()
    }

    /// Returns the highest expected tail latency with all best-effort tasks of the node at full
    /// pace and `count` more tasks, in percent of its target, and the part that the new tasks
    /// cause. Serving images with which the tasks hardly interfere are ignored.
    fn expected_tail(&self, node: &Node, task: BestEffortTask, count: u64) -> (f64, f64) {
        let (image, cpu) = task;
        let own = node.share(cpu * count);
        let mut worst = (0.0, 0.0);
        for (serving, (_, baseline)) in &node.serving {
            let more = self.interference.rise(*serving, [(image, own)]);
            if more <= MIN_RISE || self.interference.is_light(*serving, image) {
                continue;
            }
            let before = self.interference.rise(*serving, node.shares());
            let tail = baseline.tail(before + RISE_SAFETY_FACTOR * more);
            if tail > worst.0 {
                worst = (tail, tail - baseline.tail(before));
            }
        }
        worst
    }

    /// Returns the cost of placing one more best-effort task on a node, in addition to `planned`
    /// ones that have not been started yet. The cost grows with the best-effort load, the expected
    /// tail latency and its rise.
    ///
    /// Returns `None` if the task would interfere too much with the node's serving tasks, unless it
    /// `may_interfere`. The first best-effort task on a node is always allowed.
    pub(super) fn best_effort_cost(
        &self,
        node: &Node,
        task: BestEffortTask,
        planned: u64,
        may_interfere: bool,
    ) -> Option<u64> {
        let (tail, rise) = self.expected_tail(node, task, planned + 1);
        let interferes = node.total_best_effort_cpu > 0
            && rise > 0.0
            && (node.pressure.level < MIN_PRESSURE_LEVEL || tail > MAX_TAIL_PERCENT);
        if interferes && !may_interfere {
            return None;
        }
        let (tail, rise) = match planned {
            0 => (tail, rise),
            _ => self.expected_tail(node, task, 1),
        };
        let requested = node.total_best_effort_cpu + planned * task.1;
        let share = (requested * 100 / node.cpu_capacity().max(1)) as f64;
        Some((share + tail + RISE_WEIGHT * rise) as u64)
    }
}
