//! Policy that knows the true interference, as a bound of what speeds alone can reach.

use std::collections::BTreeMap;

/// Latency of the service up to which batch work runs, relative to that without it.
const BOUND: f64 = 1.2;

/// Interference of the classes with a VM's service at the present load.
#[derive(Debug)]
pub struct Truth<'a> {
    /// Cores that each class would use at full speed.
    pub full: BTreeMap<&'a str, f64>,
    /// Slow-down by one core of each class, before crowding.
    pub harm: BTreeMap<&'a str, f64>,
}

/// Returns the speeds, in percent, that give the most batch work while `ratio`, the true latency
/// beside these cores relative to that without batch work, stays within the bound.
///
/// Crowding and overload depend on the sum of the cores only, so the least harmful cores are the
/// best ones for any sum.
pub fn speeds(truth: &Truth, ratio: impl Fn(&BTreeMap<&str, f64>) -> f64) -> BTreeMap<String, u8> {
    let mut classes: Vec<(&str, f64)> =
        truth.full.iter().map(|(class, cores)| (*class, *cores)).collect();
    let harm = |class: &str| truth.harm.get(class).copied().unwrap_or(0.0);
    classes.sort_by(|(one, _), (other, _)| harm(one).total_cmp(&harm(other)));
    let mut cores: BTreeMap<&str, f64> = classes.iter().map(|(class, _)| (*class, 0.0)).collect();
    let mut speeds = BTreeMap::new();
    for (class, full) in classes {
        let fits = |percent: &u8| {
            let mut tried = cores.clone();
            tried.insert(class, full * f64::from(*percent) / 100.0);
            ratio(&tried) <= BOUND
        };
        let percent = (1..=100).rev().find(fits).unwrap_or(0);
        cores.insert(class, full * f64::from(percent) / 100.0);
        if percent < 100 {
            speeds.insert(class.to_owned(), percent);
        }
    }
    speeds
}
