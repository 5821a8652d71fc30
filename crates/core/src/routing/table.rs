//! Upstreams as announced by their agents.

use std::collections::HashMap;
use std::time::Duration;

use serde::Serialize;

use crate::id::{AgentId, DataCentreId, Incarnation, ServiceId};
use crate::message::announce::{AgentState, Announce, ServiceLoad};
use crate::time::Time;

/// Time after the last announcement at which an upstream receives no more work.
pub const EXPIRY: Duration = Duration::from_secs(3);
/// Time for which the last sequence of a silent agent is kept, so that a delayed announcement
/// cannot bring it back.
const RETENTION: Duration = Duration::from_secs(60);
/// An unused latency estimate halves in this time, so that a slow upstream is tried again.
const LATENCY_HALF_LIFE: Duration = Duration::from_secs(10);
/// The share of failures halves in this time without outcomes.
const ERROR_HALF_LIFE: Duration = Duration::from_secs(5);
/// Share of a new sample in the smoothed latency.
const SAMPLE_WEIGHT: f64 = 0.2;
/// Share of a new announcement in the smoothed load of other entries. An unsmoothed count is up to
/// 1 s old, in which all entries send to the upstreams that happened to be idle at that moment.
const OTHERS_WEIGHT: f64 = 0.2;
/// Share of a new outcome in the smoothed share of failures. When failures were counted instead,
/// one missed deadline in a thousand requests raised the cost of a healthy upstream 20 times.
const ERROR_WEIGHT: f64 = 0.02;
/// Cost factor of an upstream that fails always. An error that returns in 1 ms must not look
/// better than an answer in 50 ms.
const ERROR_COST: f64 = 1_000.0;
/// Consecutive failures after which an upstream is ejected. Chance alone, at 1% failures, causes
/// such a run once in 10 billion requests.
const EJECT_RUN: u32 = 5;
/// Length of the first ejection. It doubles each time that the upstream fails again after it.
const EJECT_MIN: Duration = Duration::from_secs(1);
const EJECT_MAX: Duration = Duration::from_secs(30);
/// Floor of the latency estimate; below it, differences are measurement noise.
const LATENCY_FLOOR: f64 = 0.000_5;
/// Earlier incarnations of an agent that are remembered.
const REPLACED_KEPT: usize = 8;
/// Random draws before the eligible upstreams are enumerated.
const DRAWS: usize = 8;

/// An upstream that was chosen for a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Target {
    pub agent: AgentId,
    pub incarnation: Incarnation,
    pub address: String,
}

/// How a request to an upstream ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Feedback {
    /// The head of an answer without a server error arrived after this time.
    Answered(Duration),
    /// A server error or an unknown outcome.
    Failed,
    /// Refused for lack of capacity. Raises the cost, but never ejects an upstream: that would
    /// move its load to others that are overloaded as well.
    Refused,
    /// The connection failed; the upstream is demoted until its next announcement.
    Unreachable,
    /// The caller gave up; says nothing about the upstream.
    Abandoned,
}

/// An upstream as shown to operators.
#[derive(Debug, Clone, Serialize)]
pub struct UpstreamView {
    pub agent: AgentId,
    pub incarnation: Incarnation,
    pub address: String,
    pub data_centre: DataCentreId,
    pub state: &'static str,
    pub services: Vec<ServiceId>,
    pub in_flight: u32,
    pub config_version: u64,
    pub heard_ms: u64,
}

#[derive(Debug)]
struct Usage {
    load: ServiceLoad,
    /// Requests of this entry in flight.
    in_flight: u32,
    /// Requests of other entries, smoothed over announcements.
    others: f64,
    /// Smoothed latency in seconds, as of `updated`.
    latency: f64,
    updated: Time,
    /// Smoothed share of failures, as of `judged`.
    errors: f64,
    judged: Time,
    /// Failures since the last answer.
    run: u32,
    /// Ejections since the last answer.
    ejections: u32,
    ejected_until: Time,
}

#[derive(Debug)]
struct Upstream {
    announce: Announce,
    heard: Time,
    demoted: bool,
    /// Earlier incarnations of the agent with their last sequence, the latest last.
    replaced: Vec<(Incarnation, u64)>,
    usage: HashMap<ServiceId, Usage>,
}

/// Upstreams known to an entry.
#[derive(Debug, Default)]
pub struct UpstreamTable {
    upstreams: HashMap<AgentId, Upstream>,
    services: HashMap<ServiceId, Vec<AgentId>>,
}

impl UpstreamTable {
    /// Takes an announcement that arrived at `now`, or, when it was relayed, that reached its
    /// first entry at `now`. Tells whether it was newer than what is known.
    pub fn announce(&mut self, now: Time, announce: Announce) -> bool {
        if self.upstreams.get(&announce.agent).is_some_and(|known| known.outdates(now, &announce)) {
            return false;
        }
        let agent = announce.agent.clone();
        let (mut usage, replaced) = match self.upstreams.remove(&agent) {
            Some(known) if known.announce.incarnation == announce.incarnation => {
                (known.usage, known.replaced)
            }
            Some(known) => (HashMap::new(), known.replaced_with(announce.incarnation)),
            None => (HashMap::new(), Vec::new()),
        };
        let kept = usage.len();
        usage.retain(|service, _| announce.services.iter().any(|load| load.service == *service));
        let mut indexed = kept == usage.len();
        for load in &announce.services {
            match usage.get_mut(&load.service) {
                Some(usage) => usage.refresh(load),
                None => {
                    indexed = false;
                    usage.insert(load.service.clone(), Usage::new(now, load));
                }
            }
        }
        // The index is scanned only when the services of the agent change.
        if !indexed {
            self.index(&agent, &announce);
        }
        self.upstreams
            .insert(agent, Upstream { announce, heard: now, demoted: false, replaced, usage });
        true
    }

    /// Drops agents that have been silent for a long time.
    pub fn prune(&mut self, now: Time) {
        self.upstreams.retain(|_, upstream| now.saturating_sub(upstream.heard) < RETENTION);
        let upstreams = &self.upstreams;
        for agents in self.services.values_mut() {
            agents.retain(|agent| upstreams.contains_key(agent));
        }
        self.services.retain(|_, agents| !agents.is_empty());
    }

    /// Records that a request of this entry is sent to `target`.
    pub fn begin(&mut self, target: &Target, service: &str) {
        if let Some(usage) = self.usage_mut(target, service) {
            usage.in_flight += 1;
        }
    }

    /// Records the result of the request, as soon as it is known.
    pub fn record_feedback(
        &mut self,
        now: Time,
        target: &Target,
        service: &str,
        feedback: Feedback,
    ) {
        if let Some(usage) = self.usage_mut(target, service) {
            usage.record_feedback(now, feedback);
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

    /// Records that the request of this entry is no longer in flight.
    pub fn end(&mut self, target: &Target, service: &str) {
        if let Some(usage) = self.usage_mut(target, service) {
            usage.in_flight = usage.in_flight.saturating_sub(1);
        }
    }

    /// Chooses the cheaper of two random eligible upstreams of `service` that are not in `tried`.
    /// Ejected ones are chosen only if there are no others.
    pub fn choose(
        &self,
        now: Time,
        service: &str,
        tried: &[AgentId],
        rng: &mut fastrand::Rng,
    ) -> Option<Target> {
        let agents = self.services.get(service)?;
        let usable = |agent: &AgentId| !tried.contains(agent) && self.is_eligible(now, agent);
        let sound = |agent: &AgentId| usable(agent) && !self.is_ejected(now, agent, service);
        let Some(first) = draw(agents, sound, rng) else {
            return self.target(draw(agents, usable, rng)?);
        };
        let second = draw(agents, |agent| agent != first && sound(agent), rng);
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
            && upstream.usage.contains_key(service)
            && upstream.is_eligible(now);
        fits.then(|| self.target(agent)).flatten()
    }

    /// Returns the eligible agents of each service with their incarnation.
    pub fn eligible(&self, now: Time) -> HashMap<ServiceId, Vec<(AgentId, Incarnation)>> {
        let mut result: HashMap<_, Vec<_>> = HashMap::new();
        for (agent, upstream) in self.upstreams.iter().filter(|(_, u)| u.is_live(now)) {
            for service in upstream.usage.keys() {
                let entry = (agent.clone(), upstream.announce.incarnation);
                result.entry(service.clone()).or_default().push(entry);
            }
        }
        result
    }

    /// Returns the agents that have announced that they are leaving.
    pub fn leaving(&self) -> Vec<(AgentId, Incarnation)> {
        self.upstreams
            .values()
            .filter(|upstream| upstream.announce.state == AgentState::Leaving)
            .map(|upstream| (upstream.announce.agent.clone(), upstream.announce.incarnation))
            .collect()
    }

    /// Lists the upstreams for operators.
    pub fn views(&self, now: Time) -> Vec<UpstreamView> {
        let mut views: Vec<_> = self.upstreams.values().map(|u| u.view(now)).collect();
        views.sort_by(|a, b| a.agent.cmp(&b.agent));
        views
    }

    fn index(&mut self, agent: &AgentId, announce: &Announce) {
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
        let usage = self.upstreams.get(agent).and_then(|upstream| upstream.usage.get(service));
        usage.is_some_and(|usage| now < usage.ejected_until)
    }

    /// Ejects an upstream that only fails, unless half of the upstreams are ejected already: then
    /// the cause is probably elsewhere, and the others could not take the load.
    fn eject(&mut self, now: Time, target: &Target, service: &str) {
        if !self.usage_mut(target, service).is_some_and(|usage| usage.is_failing(now)) {
            return;
        }
        let agents = self.services.get(service).map_or(&[][..], Vec::as_slice);
        let ejected = agents.iter().filter(|agent| self.is_ejected(now, agent, service)).count();
        if (ejected + 1) * 2 > agents.len() {
            return;
        }
        if let Some(usage) = self.usage_mut(target, service) {
            usage.eject(now);
        }
    }

    fn cost(&self, now: Time, agent: &str, service: &str) -> f64 {
        match self.upstreams.get(agent).and_then(|upstream| upstream.usage.get(service)) {
            Some(usage) => usage.cost(now),
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

    fn usage_mut(&mut self, target: &Target, service: &str) -> Option<&mut Usage> {
        let upstream = self.upstreams.get_mut(&target.agent)?;
        match upstream.announce.incarnation == target.incarnation {
            true => upstream.usage.get_mut(service),
            false => None,
        }
    }
}

/// Draws one of the agents that fit.
fn draw<'a>(
    agents: &'a [AgentId],
    fits: impl Fn(&AgentId) -> bool,
    rng: &mut fastrand::Rng,
) -> Option<&'a AgentId> {
    if agents.is_empty() {
        return None;
    }
    for _ in 0..DRAWS {
        let agent = &agents[rng.usize(..agents.len())];
        if fits(agent) {
            return Some(agent);
        }
    }
    let eligible: Vec<_> = agents.iter().filter(|agent| fits(agent)).collect();
    rng.choice(eligible)
}

impl Upstream {
    /// Tells whether `announce` is older than what is known. Incarnations have no order: one is
    /// older if it was replaced here before. While the known incarnation is silent, a replaced one
    /// is taken all the same, so that a wrong order of arrival is corrected within the expiry.
    fn outdates(&self, now: Time, announce: &Announce) -> bool {
        if announce.incarnation == self.announce.incarnation {
            return announce.sequence <= self.announce.sequence;
        }
        let known = self.replaced.iter().find(|(known, _)| *known == announce.incarnation);
        known.is_some_and(|(_, sequence)| {
            announce.sequence <= *sequence || now.saturating_sub(self.heard) < EXPIRY
        })
    }

    fn replaced_with(self, next: Incarnation) -> Vec<(Incarnation, u64)> {
        let mut replaced = self.replaced;
        replaced.retain(|(known, _)| *known != next);
        replaced.push((self.announce.incarnation, self.announce.sequence));
        if replaced.len() > REPLACED_KEPT {
            replaced.remove(0);
        }
        replaced
    }

    fn is_live(&self, now: Time) -> bool {
        self.announce.state == AgentState::Ready && now.saturating_sub(self.heard) < EXPIRY
    }

    fn is_eligible(&self, now: Time) -> bool {
        self.is_live(now) && !self.demoted
    }

    fn view(&self, now: Time) -> UpstreamView {
        let silent = now.saturating_sub(self.heard);
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
            in_flight: self.usage.values().map(|usage| usage.in_flight).sum(),
            config_version: self.announce.config_version,
            heard_ms: silent.as_millis() as u64,
        }
    }
}

impl Usage {
    fn new(now: Time, load: &ServiceLoad) -> Self {
        Usage {
            load: load.clone(),
            in_flight: 0,
            others: f64::from(load.running + load.queued),
            latency: load.latency.as_secs_f64(),
            updated: now,
            errors: 0.0,
            judged: now,
            run: 0,
            ejections: 0,
            ejected_until: Time::ZERO,
        }
    }

    fn refresh(&mut self, load: &ServiceLoad) {
        let others = f64::from((load.running + load.queued).saturating_sub(self.in_flight));
        self.others += OTHERS_WEIGHT * (others - self.others);
        self.load = load.clone();
    }

    fn record_feedback(&mut self, now: Time, feedback: Feedback) {
        match feedback {
            Feedback::Answered(latency) => {
                let known = self.latency_at(now);
                let sample = latency.as_secs_f64();
                self.latency = known + SAMPLE_WEIGHT * (sample - known);
                self.updated = now;
                self.judge(now, 0.0);
                (self.run, self.ejections) = (0, 0);
            }
            Feedback::Refused | Feedback::Unreachable => self.judge(now, 1.0),
            Feedback::Failed => {
                self.judge(now, 1.0);
                self.run = self.run.saturating_add(1);
            }
            Feedback::Abandoned => {}
        }
    }

    fn judge(&mut self, now: Time, failure: f64) {
        let known = self.errors_at(now);
        self.errors = known + ERROR_WEIGHT * (failure - known);
        self.judged = now;
    }

    /// Tells whether the upstream has to be ejected. Failures of requests that were sent before an
    /// ejection do not prolong it.
    fn is_failing(&self, now: Time) -> bool {
        self.run >= EJECT_RUN && now >= self.ejected_until
    }

    fn eject(&mut self, now: Time) {
        let length = EJECT_MIN * 2_u32.saturating_pow(self.ejections.min(16));
        self.ejected_until = now + length.min(EJECT_MAX);
        self.ejections += 1;
    }

    fn latency_at(&self, now: Time) -> f64 {
        let age = now.saturating_sub(self.updated).as_secs_f64();
        self.latency * 0.5_f64.powf(age / LATENCY_HALF_LIFE.as_secs_f64())
    }

    fn errors_at(&self, now: Time) -> f64 {
        let age = now.saturating_sub(self.judged).as_secs_f64();
        self.errors * 0.5_f64.powf(age / ERROR_HALF_LIFE.as_secs_f64())
    }

    fn cost(&self, now: Time) -> f64 {
        let waiting = f64::from(self.in_flight) + self.others + 1.0;
        let latency = self.latency_at(now).max(LATENCY_FLOOR);
        waiting * latency * (1.0 + ERROR_COST * self.errors_at(now))
    }
}
