//! Where fill tasks fit, and whom they disturb there.

use crate::flow::interference::Share;
use crate::flow::message::{Image, Sample};
use crate::flow::model::Step;
use crate::flow::owner::{image_number, Node, Owner, Slot};

/// A fill task may start on a worker that leaves it this part of what it asks for, if no other
/// fill task is there.
const MIN_BEST_EFFORT_PERCENT: u64 = 50;
/// Part of their declared processors that lasting tasks are taken to use: fill tasks that took up to
/// seven tenths of a worker beside them were not slowed.
const LONG_RUNNING_USE_PERCENT: u64 = 40;
/// Expected tail, in percent of its target, up to which a worker gets more fill tasks: those that
/// it has finish sooner at full pace.
const MAX_TAIL_PERCENT: f64 = 75.0;
/// Rise of the logarithm of a tail that is not worth avoiding: smaller than what the serving tasks'
/// own load does within a second.
const MIN_RISE: f64 = 0.02;
/// Part of the processors that fill tasks ask for, in percent, below which a worker gets no more
/// that disturb it.
const MIN_PRESSURE_LEVEL: u32 = 50;
/// Factor on the expected rise by a new fill task: tails near their target rose by twice to three
/// times what the weights say, which are learned at lower tails.
const RISE_SAFETY_FACTOR: f64 = 2.0;
/// Weight of a rise of the expected tail, against the tail itself and the share of a worker's
/// processors that fill tasks take.
const RISE_WEIGHT: f64 = 2.0;

impl Node {
    /// Processors that fill tasks ask for.
    pub(in crate::flow) fn total_best_effort_cpu(&self) -> u64 {
        self.best_effort_cpu.values().sum()
    }

    /// Processors that fill tasks are expected to get, beyond those that are there.
    fn spare_cpu(&self) -> u64 {
        let idle = self.long_running.cpu_milli * (100 - LONG_RUNNING_USE_PERCENT) / 100;
        (self.cpu_capacity() + idle)
            .saturating_sub(self.used.cpu_milli + self.total_best_effort_cpu())
    }

    /// Serving images on the worker beside that of a serving step. Fill tasks find more workers on
    /// which they disturb nobody if each serves few images.
    pub(super) fn other_serving_images(&self, step: &Step) -> usize {
        let own = image_number(step);
        match step.target_ms {
            0 => 0,
            _ => self.serving.keys().filter(|image| **image != own).count(),
        }
    }

    /// Shares of the worker's processors that fill tasks take at full pace.
    fn shares(&self) -> Vec<Share> {
        self.best_effort_cpu.iter().map(|(image, cpu)| (*image, self.share(*cpu))).collect()
    }

    fn share(&self, cpu: u64) -> f64 {
        cpu as f64 / self.cpu_capacity().max(1) as f64
    }

    /// Tells whether one more fill task gets its processors beside `taken` more of the same step.
    pub(super) fn best_effort_fits(&self, step: &Step, taken: u64) -> bool {
        let need = step.need.cpu_milli;
        let free = self.spare_cpu().saturating_sub(taken * need);
        let is_large = need > self.cpu_capacity() / 2;
        let is_first = self.total_best_effort_cpu() == 0 && is_large;
        free >= need || (is_first && free * 100 >= need * MIN_BEST_EFFORT_PERCENT)
    }
}

impl Owner {
    /// Learns from the last report of a worker.
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

    /// Weights of a step's image beside the serving images of a worker.
    pub(in crate::flow) fn step_weights(&self, slot: Slot, step: &Step) -> Vec<(Image, u32)> {
        let best_effort = image_number(step);
        let weight = |image: &Image| (*image, self.interference.scaled_weight(*image, best_effort));
        match step.best_effort {
            true => self.nodes[slot].serving.keys().map(weight).collect(),
            false => Vec::new(),
        }
    }

    /// Weights of all fill images of a worker beside its serving images.
    pub(in crate::flow) fn weights(&self, slot: Slot) -> Vec<(Image, Image, u32)> {
        let node = &self.nodes[slot];
        let pairs =
            node.best_effort_cpu.keys().flat_map(|f| node.serving.keys().map(move |s| (*s, *f)));
        pairs.map(|(s, f)| (s, f, self.interference.scaled_weight(s, f))).collect()
    }

    /// Highest expected tail beside all fill tasks of a worker at full pace and `count` more tasks of
    /// a step, in percent of its target, and how much of it these cause. Only serving images that
    /// the step disturbs count.
    fn expected_tail(&self, node: &Node, step: &Step, count: u64) -> (f64, f64) {
        let shares = node.shares();
        let own = [(image_number(step), node.share(step.need.cpu_milli * count))];
        let mut worst = (0.0, 0.0);
        for (image, (_, baseline)) in &node.serving {
            let more = self.interference.rise(*image, &own);
            let before = self.interference.rise(*image, &shares);
            let (tail, rise) =
                (baseline.tail(before + RISE_SAFETY_FACTOR * more), baseline.tail(before));
            if more > MIN_RISE && tail > worst.0 {
                worst = (tail, tail - rise);
            }
        }
        worst
    }

    /// Tells whether one more fill task, beside `here` in the same decision, would press the tasks
    /// that serve too much. A worker may always have one.
    pub(super) fn would_interfere(&self, node: &Node, step: &Step, here: u64) -> bool {
        let (tail, rise) = self.expected_tail(node, step, here + 1);
        node.total_best_effort_cpu() > 0
            && rise > 0.0
            && (node.pressure.level < MIN_PRESSURE_LEVEL || tail > MAX_TAIL_PERCENT)
    }

    /// Preference among workers for a fill task, beside `taken` processors given away in the same
    /// decision: little fill work, and a tail that is low and rises little.
    pub(super) fn best_effort_cost(&self, node: &Node, step: &Step, taken: u64) -> u64 {
        let share =
            ((node.total_best_effort_cpu() + taken) * 100 / node.cpu_capacity().max(1)) as f64;
        let (tail, rise) = self.expected_tail(node, step, 1);
        (share + tail + RISE_WEIGHT * rise) as u64
    }
}
