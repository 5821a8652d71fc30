//! Choice of an upstream by an entry: the policy of the core and plain baselines.

use std::collections::HashMap;

use peridotfold_core::id::{AgentId, Incarnation};
use peridotfold_core::routing::{Target, UpstreamTable};
use peridotfold_core::time::Time;

use super::instance::SERVICE;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Policy {
    /// [`Table::choose`].
    Core,
    Random,
    RoundRobin,
    /// Fewest requests of this entry in flight.
    LeastConnections,
}

impl Policy {
    pub const ALL: [Policy; 4] =
        [Policy::Core, Policy::Random, Policy::RoundRobin, Policy::LeastConnections];

    pub fn name(self) -> &'static str {
        match self {
            Policy::Core => "policy",
            Policy::Random => "random",
            Policy::RoundRobin => "round robin",
            Policy::LeastConnections => "least conn.",
        }
    }
}

/// Chooses upstreams for one entry.
#[derive(Debug)]
pub struct Chooser {
    policy: Policy,
    agents: Vec<AgentId>,
    incarnations: HashMap<AgentId, Incarnation>,
    in_flight: HashMap<AgentId, u32>,
    turn: usize,
}

impl Chooser {
    pub fn new(policy: Policy, agents: Vec<AgentId>, turn: usize) -> Self {
        let (incarnations, in_flight) = (HashMap::new(), HashMap::new());
        Chooser { policy, agents, incarnations, in_flight, turn }
    }

    /// Notes the incarnation that an agent announced last.
    pub fn announced(&mut self, agent: &AgentId, incarnation: Incarnation) {
        self.incarnations.insert(agent.clone(), incarnation);
    }

    pub fn begin(&mut self, agent: &AgentId) {
        *self.in_flight.entry(agent.clone()).or_default() += 1;
    }

    pub fn end(&mut self, agent: &AgentId) {
        if let Some(count) = self.in_flight.get_mut(agent) {
            *count = count.saturating_sub(1);
        }
    }

    /// Chooses among the upstreams that the table holds eligible and that are not in `tried`.
    pub fn choose(
        &mut self,
        now: Time,
        table: &UpstreamTable,
        tried: &[AgentId],
        rng: &mut fastrand::Rng,
    ) -> Option<Target> {
        if self.policy == Policy::Core {
            return table.choose(now, SERVICE, tried, rng);
        }
        let mut targets: Vec<_> = self
            .agents
            .iter()
            .filter(|agent| !tried.contains(agent))
            .filter_map(|agent| {
                let incarnation = *self.incarnations.get(agent)?;
                table.holder(now, agent, incarnation, SERVICE)
            })
            .collect();
        match self.policy {
            Policy::RoundRobin => {
                self.turn += 1;
                (!targets.is_empty()).then(|| targets.swap_remove(self.turn % targets.len()))
            }
            Policy::LeastConnections => {
                rng.shuffle(&mut targets);
                let count = |t: &Target| self.in_flight.get(&t.agent).copied().unwrap_or(0);
                targets.into_iter().min_by_key(count)
            }
            Policy::Random | Policy::Core => rng.choice(targets),
        }
    }
}
