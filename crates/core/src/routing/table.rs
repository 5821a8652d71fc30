//! Table of upstreams and choice of an upstream for a request.
//!
//! An upstream is an agent that receives requests from entries. It announces its state, services
//! and load to the entries about once a second. The cost of an upstream is the estimated wait for
//! an answer, raised by its recent share of failures.

use std::collections::HashMap;
use std::time::Duration;

use serde::Serialize;

use crate::id::{AgentId, DataCentreId, Incarnation, ServiceId};
use crate::message::announce::{AgentState, Announce, ServiceLoad};
use crate::time::Time;

/// Time after its last announcement at which an upstream receives no more work.
pub const EXPIRY: Duration = Duration::from_secs(3);
/// Time for which a silent agent and its last sequence number are kept, so that a delayed
/// announcement cannot make the agent eligible again.
const SILENCE_RETENTION: Duration = Duration::from_secs(60);
/// Time in which a latency estimate without new samples halves, so that a slow upstream is tried
/// again.
const LATENCY_HALF_LIFE: Duration = Duration::from_secs(10);
/// Time in which a failure rate without new outcomes halves.
const FAILURE_HALF_LIFE: Duration = Duration::from_secs(5);
/// Weight of a new sample in the smoothed latency.
const LATENCY_WEIGHT: f64 = 0.2;
/// Weight of a new announcement in the smoothed number of other entries' requests. An announced
/// count is up to 1 s old; without smoothing, all entries send to the upstreams that were idle at
/// the time of the announcement.
const OTHER_REQUESTS_WEIGHT: f64 = 0.2;
/// Weight of a new outcome in the smoothed failure rate. With a count of failures instead of a
/// rate, one missed deadline in a thousand requests raised the cost of a healthy upstream 20 times.
const FAILURE_WEIGHT: f64 = 0.02;
/// Cost factor of an upstream whose requests all fail. An error after 1 ms must cost more than an
/// answer after 50 ms.
const FAILURE_COST: f64 = 1_000.0;
/// Consecutive failures after which an upstream is ejected: it receives no requests for a while.
/// With 1% independent failures, such a streak occurs once in 10 billion requests.
const EJECTION_STREAK: u32 = 5;
/// Length of the first ejection, which doubles with each ejection that follows without an answer.
const EJECTION_MIN: Duration = Duration::from_secs(1);
/// Maximum length of an ejection.
const EJECTION_MAX: Duration = Duration::from_secs(30);
/// Minimum latency estimate in seconds; differences below it are measurement noise.
const LATENCY_FLOOR_S: f64 = 0.000_5;
/// Maximum number of replaced incarnations that are remembered per agent.
const REPLACED_LIMIT: usize = 8;
/// Number of random draws after which the eligible upstreams are enumerated instead.
const DRAW_LIMIT: usize = 8;

/// The agent incarnation that was chosen for a request, with its address.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Target {
    pub agent: AgentId,
    pub incarnation: Incarnation,
    pub address: String,
}

/// How a request to an upstream ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Feedback {
    /// The response head arrived after this time, without a server error.
    Answered(Duration),
    /// The response was a server error, or the outcome is unknown.
    Failed,
    /// The upstream refused the request for lack of capacity. Raises its cost but never ejects it,
    /// since that would move its load to other overloaded upstreams.
    Refused,
    /// The connection failed. The upstream is not chosen until its next announcement.
    Unreachable,
    /// The caller gave up, which says nothing about the upstream.
    Abandoned,
}

/// State of an upstream as shown to operators.
#[derive(Debug, Clone, Serialize)]
pub struct UpstreamView {
    pub agent: AgentId,
    pub incarnation: Incarnation,
    pub address: String,
    pub data_centre: DataCentreId,
    /// One of `ready`, `leaving`, `expired` and `unreachable`.
    pub state: &'static str,
    pub services: Vec<ServiceId>,
    /// Requests of this entry in flight to the upstream.
    pub in_flight: u32,
    pub config_version: u64,
    /// Time since the last announcement in milliseconds.
    pub heard_ms: u64,
}

/// Load, latency and failures of one service on one upstream.
#[derive(Debug)]
struct ServiceStats {
    /// Load as last announced.
    load: ServiceLoad,
    /// Requests of this entry in flight.
    in_flight: u32,
    /// Running and queued requests of other entries, smoothed over announcements.
    other_requests: f64,
    /// Smoothed latency in seconds, as of `latency_updated`.
    latency: f64,
    latency_updated: Time,
    /// Smoothed share of failed requests from 0 to 1, as of `failure_rate_updated`.
    failure_rate: f64,
    failure_rate_updated: Time,
    /// Consecutive failures since the last answer.
    failure_streak: u32,
    /// Ejections since the last answer.
    ejections: u32,
    ejected_until: Time,
}

/// The known incarnation of an agent.
#[derive(Debug)]
struct Upstream {
    announce: Announce,
    /// Time of the last announcement.
    last_heard: Time,
    /// A connection failed since the last announcement.
    demoted: bool,
    /// Earlier incarnations of the agent with their last sequence number, the latest last.
    replaced: Vec<(Incarnation, u64)>,
    stats: HashMap<ServiceId, ServiceStats>,
}

/// Upstreams known to an entry.
#[derive(Debug, Default)]
pub struct UpstreamTable {
    upstreams: HashMap<AgentId, Upstream>,
    /// Agents that announce each service.
    services: HashMap<ServiceId, Vec<AgentId>>,
}

impl UpstreamTable {
    /// Applies an announcement that arrived at `now` or, if it was relayed, reached the relaying
    /// entry at `now`. Tells whether the announcement was newer than the known one.
    pub fn announce(&mut self, now: Time, announce: Announce) -> bool {
        if self.upstreams.get(&announce.agent).is_some_and(|known| known.supersedes(now, &announce))
        {
            return false;
        }
        let agent = announce.agent.clone();
        let (mut stats, replaced) = match self.upstreams.remove(&agent) {
            Some(known) if known.announce.incarnation == announce.incarnation => {
                (known.stats, known.replaced)
            }
            Some(known) => (HashMap::new(), known.replaced_with(announce.incarnation)),
            None => (HashMap::new(), Vec::new()),
        };
        let known_services = stats.len();
        stats.retain(|service, _| announce.services.iter().any(|load| load.service == *service));
        let mut is_indexed = known_services == stats.len();
        for load in &announce.services {
            match stats.get_mut(&load.service) {
                Some(stats) => stats.refresh(load),
                None => {
                    is_indexed = false;
                    stats.insert(load.service.clone(), ServiceStats::new(now, load));
                }
            }
        }
        // Indexing scans all services, so it runs only when the agent's services change.
        if !is_indexed {
            self.index_services(&agent, &announce);
        }
        self.upstreams
            .insert(agent, Upstream { announce, last_heard: now, demoted: false, replaced, stats });
        true
    }

    /// Drops agents that have been silent for `SILENCE_RETENTION`.
    pub fn prune(&mut self, now: Time) {
        self.upstreams
            .retain(|_, upstream| now.saturating_sub(upstream.last_heard) < SILENCE_RETENTION);
        let upstreams = &self.upstreams;
        for agents in self.services.values_mut() {
            agents.retain(|agent| upstreams.contains_key(agent));
        }
        self.services.retain(|_, agents| !agents.is_empty());
    }

    /// Records that a request of this entry is sent to `target`.
    pub fn begin(&mut self, target: &Target, service: &str) {
        if let Some(stats) = self.stats_mut(target, service) {
            stats.in_flight += 1;
        }
    }

    /// Records how a request of this entry to `target` ended, as soon as that is known.
    pub fn record_feedback(
        &mut self,
        now: Time,
        target: &Target,
        service: &str,
        feedback: Feedback,
    ) {
        if let Some(stats) = self.stats_mut(target, service) {
            stats.record_feedback(now, feedback);
        }
        if feedback == Feedback::Failed {
            self.eject(now, target, service);
        }
        match self.upstreams.get_mut(&target.agent) {
            Some(upstream)
                if feedback == Feedback::Unreachable
                    && upstream.announce.incarnation == target.incarnation =>
            {
                upstream.demoted = true;
            }
            _ => {}
        }
    }

    /// Records that a request of this entry to `target` is no longer in flight.
    pub fn end(&mut self, target: &Target, service: &str) {
        if let Some(stats) = self.stats_mut(target, service) {
            stats.in_flight = stats.in_flight.saturating_sub(1);
        }
    }

    /// Chooses the cheaper of two random eligible upstreams of `service` that are not in `tried`.
    /// Ejected upstreams are chosen only if there are no others.
    pub fn choose(
        &self,
        now: Time,
        service: &str,
        tried: &[AgentId],
        rng: &mut fastrand::Rng,
    ) -> Option<Target> {
        let agents = self.services.get(service)?;
        let usable = |agent: &AgentId| !tried.contains(agent) && self.is_eligible(now, agent);
        let healthy = |agent: &AgentId| usable(agent) && !self.is_ejected(now, agent, service);
        let Some(first) = draw_agent(agents, healthy, rng) else {
            return self.target(draw_agent(agents, usable, rng)?);
        };
        let second = draw_agent(agents, |agent| agent != first && healthy(agent), rng);
        let best = match second {
            Some(second) if self.cost(now, second, service) < self.cost(now, first, service) => {
                second
            }
            _ => first,
        };
        self.target(best)
    }

    /// Returns the given incarnation of an agent if it may receive work of `service`.
    pub fn holder(
        &self,
        now: Time,
        agent: &str,
        incarnation: Incarnation,
        service: &str,
    ) -> Option<Target> {
        let upstream = self.upstreams.get(agent)?;
        let fits = upstream.announce.incarnation == incarnation
            && upstream.stats.contains_key(service)
            && upstream.is_eligible(now);
        fits.then(|| self.target(agent)).flatten()
    }

    /// Returns the live agents of each service with their incarnation, unreachable ones included.
    pub fn live_agents(&self, now: Time) -> HashMap<ServiceId, Vec<(AgentId, Incarnation)>> {
        let mut result: HashMap<_, Vec<_>> = HashMap::new();
        for (agent, upstream) in self.upstreams.iter().filter(|(_, u)| u.is_live(now)) {
            for service in upstream.stats.keys() {
                let entry = (agent.clone(), upstream.announce.incarnation);
                result.entry(service.clone()).or_default().push(entry);
            }
        }
        result
    }

    /// Returns the agents that have announced that they are shutting down.
    pub fn leaving(&self) -> Vec<(AgentId, Incarnation)> {
        self.upstreams
            .values()
            .filter(|upstream| upstream.announce.state == AgentState::Leaving)
            .map(|upstream| (upstream.announce.agent.clone(), upstream.announce.incarnation))
            .collect()
    }

    /// Returns the state of all upstreams for operators, ordered by agent.
    pub fn views(&self, now: Time) -> Vec<UpstreamView> {
        let mut views: Vec<_> = self.upstreams.values().map(|u| u.view(now)).collect();
        views.sort_by(|a, b| a.agent.cmp(&b.agent));
        views
    }

    /// Updates the agents of each service for an agent whose services have changed.
    fn index_services(&mut self, agent: &AgentId, announce: &Announce) {
        for (service, agents) in &mut self.services {
            if !announce.services.iter().any(|load| load.service == *service) {
                agents.retain(|known| known != agent);
            }
        }
        for load in &announce.services {
            let agents = self.services.entry(load.service.clone()).or_default();
            if !agents.contains(agent) {
                agents.push(agent.clone());
            }
        }
    }

    fn is_eligible(&self, now: Time, agent: &str) -> bool {
        self.upstreams.get(agent).is_some_and(|upstream| upstream.is_eligible(now))
    }

    fn is_ejected(&self, now: Time, agent: &str, service: &str) -> bool {
        let stats = self.upstreams.get(agent).and_then(|upstream| upstream.stats.get(service));
        stats.is_some_and(|stats| now < stats.ejected_until)
    }

    /// Ejects an upstream with a streak of failures, unless that would eject more than half of the
    /// service's upstreams: the cause is then probably elsewhere, and the others could not take
    /// the load.
    fn eject(&mut self, now: Time, target: &Target, service: &str) {
        if !self.stats_mut(target, service).is_some_and(|stats| stats.is_failing(now)) {
            return;
        }
        let agents = self.services.get(service).map_or(&[][..], Vec::as_slice);
        let ejected = agents.iter().filter(|agent| self.is_ejected(now, agent, service)).count();
        if (ejected + 1) * 2 > agents.len() {
            return;
        }
        if let Some(stats) = self.stats_mut(target, service) {
            stats.eject(now);
        }
    }

    /// Returns the cost of an upstream, or infinity when its service is not known.
    fn cost(&self, now: Time, agent: &str, service: &str) -> f64 {
        match self.upstreams.get(agent).and_then(|upstream| upstream.stats.get(service)) {
            Some(stats) => stats.cost(now),
            None => f64::INFINITY,
        }
    }

    fn target(&self, agent: &str) -> Option<Target> {
        let announce = &self.upstreams.get(agent)?.announce;
        Some(Target {
            agent: announce.agent.clone(),
            incarnation: announce.incarnation,
            address: announce.address.clone(),
        })
    }

    /// Returns the statistics of a service, unless the agent has another incarnation by now.
    fn stats_mut(&mut self, target: &Target, service: &str) -> Option<&mut ServiceStats> {
        let upstream = self.upstreams.get_mut(&target.agent)?;
        match upstream.announce.incarnation == target.incarnation {
            true => upstream.stats.get_mut(service),
            false => None,
        }
    }
}

/// Draws a random agent for which `fits` holds.
fn draw_agent<'a>(
    agents: &'a [AgentId],
    fits: impl Fn(&AgentId) -> bool,
    rng: &mut fastrand::Rng,
) -> Option<&'a AgentId> {
    if agents.is_empty() {
        return None;
    }
    for _ in 0..DRAW_LIMIT {
        let agent = &agents[rng.usize(..agents.len())];
        if fits(agent) {
            return Some(agent);
        }
    }
    let eligible: Vec<_> = agents.iter().filter(|agent| fits(agent)).collect();
    rng.choice(eligible)
}

impl Upstream {
    /// Tells whether `announce` is older than the known announcement. Incarnations have no order:
    /// an incarnation is older if this entry saw it replaced. Once the known incarnation has been
    /// silent for [`EXPIRY`], a replaced one with a newer announcement is accepted, which corrects
    /// announcements that arrived in the wrong order.
    fn supersedes(&self, now: Time, announce: &Announce) -> bool {
        if announce.incarnation == self.announce.incarnation {
            return announce.sequence <= self.announce.sequence;
        }
        let known = self.replaced.iter().find(|(known, _)| *known == announce.incarnation);
        known.is_some_and(|(_, sequence)| {
            announce.sequence <= *sequence || now.saturating_sub(self.last_heard) < EXPIRY
        })
    }

    /// Returns the replaced incarnations once `next` replaces the known one.
    fn replaced_with(self, next: Incarnation) -> Vec<(Incarnation, u64)> {
        let mut replaced = self.replaced;
        replaced.retain(|(known, _)| *known != next);
        replaced.push((self.announce.incarnation, self.announce.sequence));
        if replaced.len() > REPLACED_LIMIT {
            replaced.remove(0);
        }
        replaced
    }

    /// Tells whether the upstream is ready and has announced itself within [`EXPIRY`].
    fn is_live(&self, now: Time) -> bool {
        self.announce.state == AgentState::Ready && now.saturating_sub(self.last_heard) < EXPIRY
    }

    /// Tells whether the upstream is live and reachable.
    fn is_eligible(&self, now: Time) -> bool {
        self.is_live(now) && !self.demoted
    }

    fn view(&self, now: Time) -> UpstreamView {
        let silent = now.saturating_sub(self.last_heard);
        let state = match self.announce.state {
            AgentState::Leaving => "leaving",
            AgentState::Ready if silent >= EXPIRY => "expired",
            AgentState::Ready if self.demoted => "unreachable",
            AgentState::Ready => "ready",
        };
        UpstreamView {
            agent: self.announce.agent.clone(),
            incarnation: self.announce.incarnation,
            address: self.announce.address.clone(),
            data_centre: self.announce.data_centre.clone(),
            state,
            services: self.announce.services.iter().map(|load| load.service.clone()).collect(),
            in_flight: self.stats.values().map(|stats| stats.in_flight).sum(),
            config_version: self.announce.config_version,
            heard_ms: silent.as_millis() as u64,
        }
    }
}

impl ServiceStats {
    fn new(now: Time, load: &ServiceLoad) -> Self {
        ServiceStats {
            load: load.clone(),
            in_flight: 0,
            other_requests: f64::from(load.running + load.queued),
            latency: load.latency.as_secs_f64(),
            latency_updated: now,
            failure_rate: 0.0,
            failure_rate_updated: now,
            failure_streak: 0,
            ejections: 0,
            ejected_until: Time::ZERO,
        }
    }

    /// Applies a newly announced load.
    fn refresh(&mut self, load: &ServiceLoad) {
        let other_requests = f64::from((load.running + load.queued).saturating_sub(self.in_flight));
        self.other_requests += OTHER_REQUESTS_WEIGHT * (other_requests - self.other_requests);
        self.load = load.clone();
    }

    fn record_feedback(&mut self, now: Time, feedback: Feedback) {
        match feedback {
            Feedback::Answered(latency) => {
                let known = self.latency_at(now);
                let sample = latency.as_secs_f64();
                self.latency = known + LATENCY_WEIGHT * (sample - known);
                self.latency_updated = now;
                self.record_outcome(now, 0.0);
                (self.failure_streak, self.ejections) = (0, 0);
            }
            Feedback::Refused | Feedback::Unreachable => self.record_outcome(now, 1.0),
            Feedback::Failed => {
                self.record_outcome(now, 1.0);
                self.failure_streak = self.failure_streak.saturating_add(1);
            }
            Feedback::Abandoned => {}
        }
    }

    /// Adds an outcome to the failure rate: 1 for a failure, 0 for an answer.
    fn record_outcome(&mut self, now: Time, failure: f64) {
        let known = self.failure_rate_at(now);
        self.failure_rate = known + FAILURE_WEIGHT * (failure - known);
        self.failure_rate_updated = now;
    }

    /// Tells whether the upstream has to be ejected. Failures that arrive during an ejection do not
    /// prolong it, since their requests were sent before.
    fn is_failing(&self, now: Time) -> bool {
        self.failure_streak >= EJECTION_STREAK && now >= self.ejected_until
    }

    fn eject(&mut self, now: Time) {
        let length = EJECTION_MIN * 2_u32.saturating_pow(self.ejections.min(16));
        self.ejected_until = now + length.min(EJECTION_MAX);
        self.ejections += 1;
    }

    /// Returns the latency estimate in seconds, decayed to `now`.
    fn latency_at(&self, now: Time) -> f64 {
        let age = now.saturating_sub(self.latency_updated).as_secs_f64();
        self.latency * 0.5_f64.powf(age / LATENCY_HALF_LIFE.as_secs_f64())
    }

    /// Returns the failure rate, decayed to `now`.
    fn failure_rate_at(&self, now: Time) -> f64 {
        let age = now.saturating_sub(self.failure_rate_updated).as_secs_f64();
        self.failure_rate * 0.5_f64.powf(age / FAILURE_HALF_LIFE.as_secs_f64())
    }

    /// Returns the estimated wait in seconds, raised by the failure rate.
    fn cost(&self, now: Time) -> f64 {
        let waiting = f64::from(self.in_flight) + self.other_requests + 1.0;
        let latency = self.latency_at(now).max(LATENCY_FLOOR_S);
        waiting * latency * (1.0 + FAILURE_COST * self.failure_rate_at(now))
    }
}
