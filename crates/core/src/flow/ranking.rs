//! Order of the nodes that can run the tasks of one step.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use super::owner::Slot;

/// Nodes ordered by score, the lowest first, and by slot among equal scores.
///
/// The start of a task changes the score of its own node only. So the nodes are scored once for a
/// step, and each start then costs the logarithm of their number instead of a search of all nodes.
#[derive(Debug)]
pub struct Ranking<S> {
    nodes: BinaryHeap<Reverse<(S, Slot)>>,
}

impl<S: Copy + Ord> Ranking<S> {
    /// Orders nodes by their scores; each node may occur once.
    pub fn new(nodes: impl IntoIterator<Item = (S, Slot)>) -> Self {
        Ranking { nodes: nodes.into_iter().map(Reverse).collect() }
    }

    /// Removes and returns the best node. `avoid` is returned only if it is the last one.
    pub fn take(&mut self, avoid: Option<Slot>) -> Option<Slot> {
        let Reverse((score, slot)) = self.nodes.pop()?;
        match self.nodes.pop() {
            Some(Reverse((_, next))) if avoid == Some(slot) => {
                self.nodes.push(Reverse((score, slot)));
                Some(next)
            }
            next => {
                self.nodes.extend(next);
                Some(slot)
            }
        }
    }

    /// Adds a node that was taken, with its new score.
    pub fn put(&mut self, score: S, slot: Slot) {
        self.nodes.push(Reverse((score, slot)));
    }
}
