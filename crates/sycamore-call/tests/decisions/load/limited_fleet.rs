//! A fleet on simulated time whose upstreams name rate limits: each node routes by what it knows,
//! the node beside each upstream admits, and the upstream counts what it gets.

use super::super::common::{instance, member, ms, region, service};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::time::Duration;
use sycamore_call::admit::{Input, RunEnd};
use sycamore_call::report::{LimitReport, ReportLog};
use sycamore_call::retry::CallState;
use sycamore_call::route::{AttemptEnd, VersionBans};
use sycamore_call::{
    Admission, AdmissionConfig, Arrival, AttemptFailure, Criticality, Decision, LimitPolicy, Pick,
    RetryBudget, RetryConfig, RetryDecision, Router, RouterConfig,
};
use sycamore_types::prelude::*;

/// Calls that each upstream runs at a time.
const SLOTS: u16 = 12;
/// Time of a message from one node to another.
const HOP: Duration = Duration::from_millis(1);
/// Mean run time of a call.
const WORK: Duration = Duration::from_millis(100);
/// Time within which a call is to be answered.
const OBJECTIVE: Duration = Duration::from_millis(400);
/// Time after the limits are named from which the users count what an upstream gets.
const CONTACT: Duration = Duration::from_secs(3);
/// Span over which they count.
const WINDOW: Duration = Duration::from_secs(4);
/// End of the run.
const END: Time = Time::from_secs(12);

/// Numbers of nodes, and of upstreams of the service that they call.
const SIZES: [(usize, usize); 4] = [(12, 5), (70, 16), (196, 24), (930, 24)];

/// Course of one run.
struct Course {
    nodes: usize,
    upstreams: usize,
    /// Number of upstreams that name a limit.
    limited: usize,
    /// Limit that they name, in requests per second.
    limit: f64,
    /// Calls per second of all nodes together.
    demand: f64,
    /// Time at which they begin to name it.
    named_at: Time,
    /// Whether the nodes beside the limited upstreams restart in turn while these live on.
    restarts: bool,
    seed: u64,
}

/// Figures of one run.
#[derive(Debug, Default)]
struct Figures {
    /// Most requests that a limited upstream got in [`WINDOW`], over those allowed.
    worst: f64,
    /// Share of the limits that was used from [`CONTACT`] on.
    used: f64,
    calls: usize,
    answered: usize,
    /// Attempts that the calls took.
    attempts: usize,
    /// Time from a call to its refusal that 99% of the refused calls stay below.
    refusal_p99: Duration,
}

/// Event of the run, at the time that it is queued for.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    /// A caller sends a call to a node.
    Call(usize),
    /// A relayed call reaches the node beside an upstream.
    Arrive { call: usize, at: usize },
    /// An upstream answers.
    Answer { call: usize, at: usize, incarnation: u64 },
    /// An answer or a refusal reaches the node that relayed the call.
    Back(Back),
    /// A queued call may start.
    Tick(usize),
    /// The node beside an upstream restarts.
    Restart(usize),
}

/// Answer or refusal, with what the node beside the upstream says of it.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
struct Back {
    call: usize,
    at: usize,
    /// Time to wait, of a refusal.
    retry_after: Option<Duration>,
    load: String,
    report: Option<String>,
}

struct Call {
    node: usize,
    began: Time,
    tried: Vec<InstanceId>,
    rerouted: u8,
}

/// Upstream with the node beside it.
struct Beside {
    admission: Admission,
    reports: ReportLog,
    incarnation: u64,
    limit: Option<RateLimit>,
    arrivals: Vec<Time>,
    sent: BTreeMap<usize, Time>,
}

impl Beside {
    fn restart(&mut self) {
        self.admission = admission();
        self.admission.step(Time(0), Input::ProbeLimit);
        self.reports = ReportLog::default();
        self.reports.begin(ProcessId(1));
        self.incarnation += 1;
        self.sent.clear();
    }
}

fn admission() -> Admission {
    let policy = LimitPolicy::Fixed;
    let min_retry_after = ms(50);
    let mut admission =
        Admission::new(AdmissionConfig { policy, min_retry_after, ..Default::default() });
    admission.step(Time(0), Input::Announce { slots: SLOTS, connections: 120 });
    admission
}

struct World<'a> {
    course: &'a Course,
    rng: SmallRng,
    events: BinaryHeap<Reverse<(Time, u64, Event)>>,
    count: u64,
    view: MemberView,
    names: Vec<InstanceId>,
    routers: Vec<Router>,
    budget: RetryBudget,
    besides: Vec<Beside>,
    calls: Vec<Call>,
    refusals: Vec<Duration>,
    figures: Figures,
}

impl<'a> World<'a> {
    fn new(course: &'a Course) -> Self {
        let centres = ["a", "b", "c"];
        let names: Vec<String> = (0..course.upstreams).map(|i| format!("u-{i:03}")).collect();
        let members = names.iter().enumerate().map(|(i, name)| member(name, "1", centres[i % 3]));
        let view = super::super::common::view(members);
        let routers = (0..course.nodes).map(|i| {
            let mut router = Router::new(RouterConfig::default(), course.seed + i as u64);
            router.update(Time(0), &view);
            router
        });
        let limit = RateLimit::new(course.limit).unwrap();
        let besides = (0..course.upstreams).map(|i| {
            let mut beside = Beside {
                admission: admission(),
                reports: ReportLog::default(),
                incarnation: 0,
                limit: (i < course.limited).then_some(limit),
                arrivals: Vec::new(),
                sent: BTreeMap::new(),
            };
            beside.reports.begin(ProcessId(1));
            beside
        });
        Self {
            course,
            rng: SmallRng::seed_from_u64(course.seed),
            events: BinaryHeap::new(),
            count: 0,
            names: names.iter().map(|name| instance(name)).collect(),
            routers: routers.collect(),
            budget: RetryBudget::new(RetryConfig::default(), 1),
            besides: besides.collect(),
            view,
            calls: Vec::new(),
            refusals: Vec::new(),
            figures: Figures::default(),
        }
    }

    fn queue(&mut self, at: Time, event: Event) {
        self.count += 1;
        self.events.push(Reverse((at, self.count, event)));
    }

    fn run(mut self) -> Figures {
        self.queue_call(Time(0));
        if self.course.restarts {
            for i in 0..self.course.limited {
                let first = (CONTACT + Duration::from_secs(2)).mul_f64(self.rng.random::<f64>());
                for round in 0..3 {
                    let at = self.course.named_at + first + Duration::from_secs(4) * round;
                    self.queue(at, Event::Restart(i));
                }
            }
        }
        while let Some(Reverse((now, _, event))) = self.events.pop() {
            if now >= END {
                break;
            }
            self.handle(now, event);
        }
        self.summarise()
    }

    fn queue_call(&mut self, now: Time) {
        let gap = -(1.0 - self.rng.random::<f64>()).ln() / self.course.demand;
        let node = self.rng.random_range(0..self.course.nodes);
        self.queue(now + Duration::from_secs_f64(gap), Event::Call(node));
    }

    fn handle(&mut self, now: Time, event: Event) {
        match event {
            Event::Call(node) => {
                self.queue_call(now);
                self.figures.calls += 1;
                self.calls.push(Call { node, began: now, tried: Vec::new(), rerouted: 0 });
                self.attempt(now, self.calls.len() - 1);
            }
            Event::Arrive { call, at } => self.arrive(now, call, at),
            Event::Answer { call, at, incarnation } => self.answer(now, call, at, incarnation),
            Event::Back(back) => self.back(now, &back),
            Event::Tick(at) => self.step(now, at, Input::Tick),
            Event::Restart(at) => self.restart(now, at),
        }
    }

    fn attempt(&mut self, now: Time, call: usize) {
        let Call { node, tried, .. } = &self.calls[call];
        let (service, region) = (service(), region());
        let data_centre = DataCentre::new(["a", "b", "c"][node % 3]).unwrap();
        let (shares, bans) = (ShareTable::default(), VersionBans::default());
        let pick = Pick {
            service: &service,
            view: &self.view,
            shares: &shares,
            bans: &bans,
            out_of_use: &Default::default(),
            tried,
            data_centre: &data_centre,
            region: &region,
            bytes: Some(0),
        };
        let Some(choice) = self.routers[*node].pick(now, &pick) else {
            return self.refuse(now, call);
        };
        self.figures.attempts += 1;
        let at = self.names.iter().position(|name| *name == choice.instance).unwrap();
        self.calls[call].tried.push(choice.instance);
        self.queue(now + HOP, Event::Arrive { call, at });
    }

    fn arrive(&mut self, now: Time, call: usize, at: usize) {
        let Call { node, began, .. } = self.calls[call];
        let beside = &mut self.besides[at];
        if let Some(report) = self.routers[node].report_of(&self.names[at]) {
            if let LimitReport::Limit(limit) = report.limit {
                beside.reports.adopt_limit(report.process, now, limit);
                let limit = beside.reports.limit();
                self.step(now, at, Input::Limit(limit));
            }
        }
        let arrival = Arrival {
            id: call as u64,
            caller: node as u64,
            class: Criticality::Normal,
            deadline: began + Duration::from_secs(2),
            objective: Some(began + OBJECTIVE),
            work: 1,
            is_inner: false,
        };
        self.step(now, at, Input::Arrive(arrival));
    }

    fn step(&mut self, now: Time, at: usize, input: Input) {
        let decisions = self.besides[at].admission.step(now, input);
        for decision in decisions {
            match decision {
                Decision::Admit(id) => {
                    let call = id as usize;
                    let work = WORK.mul_f64(self.rng.random_range(0.5..1.5));
                    let beside = &mut self.besides[at];
                    beside.arrivals.push(now);
                    beside.sent.insert(call, now);
                    let incarnation = beside.incarnation;
                    self.queue(now + work, Event::Answer { call, at, incarnation });
                }
                Decision::Refuse { id, retry_after, .. } => {
                    self.send_back(now, id as usize, at, Some(retry_after));
                }
            }
        }
        if let Some(due) = self.besides[at].admission.next_tick(now) {
            self.queue(due.max(now + ms(1)), Event::Tick(at));
        }
    }

    fn answer(&mut self, now: Time, call: usize, at: usize, incarnation: u64) {
        let beside = &mut self.besides[at];
        if beside.incarnation != incarnation {
            return;
        }
        let sent = beside.sent.remove(&call).unwrap();
        let named = beside.limit.filter(|_| now >= self.course.named_at);
        let report = named.map_or(LimitReport::Unlimited, LimitReport::Limit);
        beside.reports.record_limit(ProcessId(1), sent, now, report);
        let limit = beside.reports.limit();
        self.step(now, at, Input::Limit(limit));
        self.step(now, at, Input::Finish(call as u64, RunEnd::Answered));
        self.send_back(now, call, at, None);
    }

    fn send_back(&mut self, now: Time, call: usize, at: usize, retry_after: Option<Duration>) {
        let beside = &self.besides[at];
        let load = beside.admission.load(now).to_string();
        let report = beside.reports.report().filter(|report| report.is_restrictive());
        let report = report.map(|report| report.to_string());
        self.queue(now + HOP, Event::Back(Back { call, at, retry_after, load, report }));
    }

    fn back(&mut self, now: Time, back: &Back) {
        let call = back.call;
        let node = self.calls[call].node;
        let name = &self.names[back.at];
        let load = back.load.parse().unwrap();
        let router = &mut self.routers[node];
        match &back.report {
            Some(report) => router.learn_report(now, name, report.parse().unwrap()),
            None if back.retry_after.is_none() => router.learn_unrestricted(name),
            None => {}
        }
        let Some(wait) = back.retry_after else {
            router.record_end(now, name, AttemptEnd::Answered(load));
            self.figures.answered += 1;
            return;
        };
        router.record_end(now, name, AttemptEnd::RateLimited(load, wait));
        let Call { began, tried, rerouted, .. } = &self.calls[call];
        let state = CallState {
            attempts: tried.len() as u8,
            rerouted: *rerouted,
            idempotent: true,
            is_retry: false,
            has_room: router.has_room(now, &service(), &self.view, &Default::default(), tried),
            left: (*began + Duration::from_secs(2)).since(now),
        };
        let failure = AttemptFailure::NotRun(RefusalReason::RateLimited);
        match self.budget.decide(&state, failure) {
            RetryDecision::Retry(_) => {
                self.calls[call].rerouted += 1;
                self.attempt(now, call);
            }
            RetryDecision::GiveUp => self.refuse(now, call),
        }
    }

    fn refuse(&mut self, now: Time, call: usize) {
        self.refusals.push(now.since(self.calls[call].began));
    }

    fn restart(&mut self, now: Time, at: usize) {
        self.besides[at].restart();
        let member = self.view.members.get_mut(&self.names[at]).unwrap();
        member.incarnation.0 += 1;
        for router in &mut self.routers {
            router.update(now, &self.view);
        }
    }

    fn summarise(mut self) -> Figures {
        let allowed = 1.5 * self.course.limit * WINDOW.as_secs_f64() + 5.0;
        let judged = self.course.named_at + CONTACT;
        // Nobody knows a limit before the first answer that names it. What an upstream got before is
        // counted unless that alone may exceed the limit.
        let counted_from = match self.course.restarts {
            true => self.course.named_at + Duration::from_millis(500),
            false => Time(0),
        };
        let limited = &self.besides[..self.course.limited];
        let mut got = 0;
        for beside in limited {
            let arrivals = &beside.arrivals;
            for (i, from) in arrivals.iter().enumerate() {
                let end = *from + WINDOW;
                let count = arrivals.partition_point(|at| *at < end) - i;
                if end > judged && *from >= counted_from {
                    self.figures.worst = self.figures.worst.max(count as f64 / allowed);
                }
            }
            got += arrivals.len() - arrivals.partition_point(|at| *at < judged);
        }
        let span = END.since(judged).as_secs_f64();
        self.refusals.sort_unstable();
        let p99 = self.refusals.get(self.refusals.len() * 99 / 100).copied();
        self.figures.refusal_p99 = p99.unwrap_or_default();
        self.figures.used = got as f64 / (self.course.limit * span * limited.len() as f64);
        self.figures
    }
}

/// Guards against a limit that is kept by each node for itself, and against calls that are refused or
/// sent around while upstreams without a limit have room.
#[test]
fn calls_over_the_limits_go_where_there_is_room() {
    for (nodes, upstreams) in SIZES {
        for seed in 0..2 {
            // Without limits the upstreams would run at a third of their slots.
            let demand = 40.0 * upstreams as f64;
            let (limited, named_at) = (upstreams / 3, Time::from_secs(2));
            let course = Course {
                nodes,
                upstreams,
                limited,
                limit: 14.0,
                demand,
                named_at,
                restarts: false,
                seed,
            };
            let figures = World::new(&course).run();
            eprintln!("{nodes} nodes: {figures:?}");
            assert!(figures.worst <= 1.0, "{nodes} nodes: {figures:?}");
            let pending = (demand * WORK.as_secs_f64() * 2.0) as usize;
            assert!(figures.answered + pending >= figures.calls, "{nodes} nodes: {figures:?}");
        }
    }
}

/// Guards against a limit that is kept but not used, and refusals that come late, when all upstreams
/// are limited and the demand is several times what they take.
#[test]
fn limits_are_used_and_the_rest_is_refused_at_once() {
    for (nodes, upstreams) in SIZES {
        for times in [2.0, 5.0] {
            let limit = 18.4;
            let demand = limit * times * upstreams as f64;
            let (limited, named_at) = (upstreams, Time::from_secs(2));
            let seed = nodes as u64;
            let course = Course {
                nodes,
                upstreams,
                limited,
                limit,
                demand,
                named_at,
                restarts: false,
                seed,
            };
            let figures = World::new(&course).run();
            eprintln!("{nodes} nodes, {times} times: {figures:?}");
            assert!(figures.worst <= 1.0, "{nodes} nodes, {times} times: {figures:?}");
            assert!(figures.used >= 0.95, "{nodes} nodes, {times} times: {figures:?}");
            let is_at_once = figures.refusal_p99 <= OBJECTIVE / 8;
            assert!(is_at_once, "{nodes} nodes, {times} times: {figures:?}");
        }
    }
}

/// Guards against a burst at an upstream that lives on while the node beside it restarts: other nodes
/// know the limit, and their calls bring it.
#[test]
fn limits_hold_while_the_nodes_beside_the_upstreams_restart() {
    for (nodes, upstreams) in SIZES {
        for limit in [0.5, 3.0, 18.4] {
            let demand = 60.0 * upstreams as f64;
            let (limited, named_at) = (upstreams / 2, Time(0));
            let seed = nodes as u64;
            let course =
                Course { nodes, upstreams, limited, limit, demand, named_at, restarts: true, seed };
            let figures = World::new(&course).run();
            eprintln!("{nodes} nodes, {limit} a second: {figures:?}");
            assert!(figures.worst <= 1.0, "{nodes} nodes, {limit} a second: {figures:?}");
        }
    }
}
