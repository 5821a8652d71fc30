//! Waiting work by place in the placement order.

use std::collections::BTreeMap;

/// Place of a job in the placement order; the smallest comes first. Jobs whose remaining work differs
/// by less than a quarter octave share a place, so that the number of places is bounded.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Place {
    /// 0 if the job can still meet its objective, 1 if it will be late, 2 if it is too late to matter.
    class: u8,
    /// Priority of the job's queue; 0 is the highest.
    priority: u8,
    /// Logarithm of the remaining work, in quarter octaves.
    size: u8,
}

impl Place {
    /// Returns the place of a job with a class of lateness and an amount of remaining work.
    pub fn new(class: u8, priority: u8, work: u64) -> Self {
        // The exponent and the two bits below the highest one.
        let size = match work.checked_ilog2() {
            None => 0,
            Some(log @ 0..=1) => 1 + 4 * log,
            Some(log) => 1 + 4 * log + ((work >> (log - 2)) & 3) as u32,
        };
        Place { class, priority, size: size as u8 }
    }
}

/// Sums of work by place, updated with each change. Their number does not grow with that of the jobs.
#[derive(Debug, Clone, Default)]
pub struct Backlog {
    sums: BTreeMap<Place, u64>,
    total: u64,
}

impl Backlog {
    /// Adds work at a place.
    pub fn add(&mut self, place: Place, work: u64) {
        if work > 0 {
            *self.sums.entry(place).or_default() += work;
            self.total += work;
        }
    }

    /// Takes out work that was added at a place.
    pub fn remove(&mut self, place: Place, work: u64) {
        let Some(sum) = self.sums.get_mut(&place) else { return };
        *sum = sum.saturating_sub(work);
        self.total = self.total.saturating_sub(work);
        if *sum == 0 {
            self.sums.remove(&place);
        }
    }

    /// Returns the work at a place and before it.
    pub fn up_to(&self, place: Place) -> u64 {
        self.sums.range(..=place).map(|(_, work)| work).sum()
    }

    /// Returns the work at a place and before it, with that of jobs of the same kind that will be late
    /// but whose results still have value.
    pub fn valued_up_to(&self, place: Place) -> u64 {
        let late = Place { class: 1, ..place };
        let first = Place { class: 1, priority: 0, size: 0 };
        let late = match place.class {
            0 => self.sums.range(first..=late).map(|(_, work)| work).sum(),
            _ => 0,
        };
        self.up_to(place) + late
    }

    /// Returns all work.
    pub fn total(&self) -> u64 {
        self.total
    }
}
