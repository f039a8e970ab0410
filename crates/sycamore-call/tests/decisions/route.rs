//! Tests of the choice of an upstream for a call.

use super::common::{at, centre, instance, member, ms, region, service, shares, version, view};
use std::collections::{BTreeMap, BTreeSet};
use sycamore_call::report::{LimitReport, ProcessReport};
use sycamore_call::route::{AttemptEnd, VersionBans};
use sycamore_call::{Load, Pick, Router, RouterConfig};
use sycamore_types::prelude::*;

struct Fixture {
    router: Router,
    view: MemberView,
    shares: ShareTable,
    bans: VersionBans,
    out_of_use: BTreeSet<DataCentre>,
    tried: Vec<InstanceId>,
}

impl Fixture {
    fn new(members: impl IntoIterator<Item = Member>) -> Self {
        let view = view(members);
        let mut router = Router::new(RouterConfig::default(), 7);
        router.update(at(0), &view);
        let (shares, bans) = (ShareTable::default(), VersionBans::default());
        Self { router, view, shares, bans, out_of_use: BTreeSet::new(), tried: Vec::new() }
    }

    fn pick(&mut self, now: Time) -> Option<InstanceId> {
        let (service, centre, region) = (service(), centre("a"), region());
        let pick = Pick {
            service: &service,
            view: &self.view,
            shares: &self.shares,
            bans: &self.bans,
            out_of_use: &self.out_of_use,
            tried: &self.tried,
            data_centre: &centre,
            region: &region,
            bytes: Some(0),
        };
        self.router.pick(now, &pick).map(|choice| choice.instance)
    }

    /// Makes `count` consecutive calls, each answered with `load`; returns the number of calls per
    /// instance.
    fn spread(&mut self, now: Time, count: usize, load: Load) -> BTreeMap<String, usize> {
        let mut counts = BTreeMap::new();
        for _ in 0..count {
            let chosen = self.pick(now).unwrap();
            self.router.record_end(now, &chosen, AttemptEnd::Answered(load));
            *counts.entry(chosen.to_string()).or_default() += 1;
        }
        counts
    }
}

const IDLE: Load = Load { running: 0, limit: 10, queued: 0, rate_percent: None };
const FULL: Load = Load { running: 10, limit: 10, queued: 10, rate_percent: None };

/// Guards against sending calls far away without need, and against queueing them near while a far
/// instance is idle.
#[test]
fn calls_stay_in_the_data_centre_until_its_instances_are_full() {
    let mut fixture = Fixture::new([member("n", "1", "a"), member("f", "1", "b")]);
    let counts = fixture.spread(at(1), 100, IDLE);
    assert_eq!(counts.get("n"), Some(&100));
    let near = fixture.pick(at(2)).unwrap();
    fixture.router.record_end(at(2), &near, AttemptEnd::Answered(FULL));
    let spilled: Vec<_> = (0..10).map(|_| fixture.pick(at(3)).unwrap().to_string()).collect();
    assert!(spilled.iter().all(|name| name == "f"), "{spilled:?}");
}

/// Guards against calls to a data centre that operators have taken out of use, the caller's own
/// included, and against one that stays out when it is taken back.
#[test]
fn a_data_centre_out_of_use_gets_no_calls_until_it_is_back() {
    let mut fixture = Fixture::new([member("n", "1", "a"), member("f", "1", "b")]);
    fixture.out_of_use.insert(centre("a"));
    assert_eq!(fixture.spread(at(1), 100, IDLE).get("f"), Some(&100));
    fixture.out_of_use.insert(centre("b"));
    assert_eq!(fixture.pick(at(2)), None);
    fixture.out_of_use.clear();
    assert_eq!(fixture.spread(at(3), 100, IDLE).get("n"), Some(&100));
}

/// Guards against calls that are refused at one cold instance of an unproven version after the other,
/// while the settled version has room: the version is drawn anew for each attempt.
#[test]
fn calls_leave_an_unproven_version_whose_instances_are_all_cold() {
    let members = [member("s", "1", "a"), member("c1", "2", "a"), member("c2", "2", "a")];
    let mut fixture = Fixture::new(members);
    fixture.shares = shares(0, 10_000);
    fixture.shares.services.get_mut(&service()).unwrap()[0].share = Share::from_basis_points(9_200);
    fixture.shares.services.get_mut(&service()).unwrap()[1].share = Share::from_basis_points(800);
    for name in ["c1", "c2"] {
        let end = AttemptEnd::RateLimited(IDLE, ms(500));
        fixture.router.record_end(at(1), &instance(name), end);
    }
    assert_eq!(fixture.spread(at(2), 200, IDLE).get("s"), Some(&200));
    assert!(fixture.spread(at(600), 200, IDLE).len() > 1, "the version is left for good");
}

/// Guards against avoiding an instance forever because its last report, now old, said that it was
/// full.
#[test]
fn an_outdated_load_report_is_ignored() {
    let mut fixture = Fixture::new([member("n", "1", "a"), member("f", "1", "b")]);
    let near = fixture.pick(at(0)).unwrap();
    fixture.router.record_end(at(0), &near, AttemptEnd::Answered(FULL));
    assert_eq!(fixture.pick(at(10)).unwrap().as_str(), "f");
    assert_eq!(fixture.pick(at(5_000)).unwrap().as_str(), "n");
}

/// Guards against choosing at random between instances whose loads are known.
#[test]
fn the_less_utilised_of_two_instances_is_chosen() {
    let mut fixture = Fixture::new([member("x", "1", "a"), member("y", "1", "a")]);
    for name in ["x", "y"] {
        // One answer from each instance makes both loads known.
        let load = if name == "x" { Load { running: 6, ..IDLE } } else { IDLE };
        fixture.router.record_end(at(0), &instance(name), AttemptEnd::Answered(load));
    }
    let mut counts = BTreeMap::new();
    for _ in 0..6 {
        *counts.entry(fixture.pick(at(1)).unwrap().to_string()).or_insert(0) += 1;
    }
    assert_eq!(counts.get("y"), Some(&6), "{counts:?}");
}

/// Guards against giving a cold instance a full part of the calls at once.
#[test]
fn a_new_instance_starts_slowly() {
    let old: Vec<_> = ["x", "y", "z"].map(|name| member(name, "1", "a")).into();
    let mut fixture = Fixture::new(old.clone());
    fixture.view = view(old.into_iter().chain([member("new", "1", "a")]));
    fixture.router.update(at(10_000), &fixture.view);
    let cold = fixture.spread(at(10_000), 400, IDLE).get("new").copied().unwrap_or(0);
    let warm = fixture.spread(at(16_000), 400, IDLE).get("new").copied().unwrap_or(0);
    assert!(cold < 20, "{cold}");
    assert!((60..=140).contains(&warm), "{warm}");
}

/// Guards against ejecting a whole service when all of its instances fail, and against ejections
/// that don't end.
#[test]
fn at_most_half_of_the_instances_are_ejected() {
    let mut fixture = Fixture::new(["w", "x", "y", "z"].map(|name| member(name, "1", "a")));
    for name in ["w", "x", "y", "z"] {
        for _ in 0..3 {
            fixture.router.record_end(at(100), &instance(name), AttemptEnd::Failed);
        }
    }
    let mut left = BTreeMap::new();
    for _ in 0..100 {
        *left.entry(fixture.pick(at(200)).unwrap()).or_insert(0) += 1;
    }
    assert_eq!(left.len(), 2, "half of the instances stay: {left:?}");
    for name in ["w", "x", "y", "z"] {
        fixture.router.record_end(at(2_500), &instance(name), AttemptEnd::Answered(IDLE));
    }
    assert_eq!(fixture.spread(at(2_600), 200, IDLE).len(), 4, "ejections end");
}

/// Guards against sending calls to an instance that refused with `draining`, even where no other is
/// left.
#[test]
fn a_draining_instance_gets_no_calls() {
    let mut fixture = Fixture::new([member("x", "1", "a"), member("y", "1", "a")]);
    fixture.router.record_end(at(0), &instance("x"), AttemptEnd::Draining);
    assert_eq!(fixture.spread(at(1), 50, IDLE).get("x"), None);
    fixture.router.record_end(at(0), &instance("y"), AttemptEnd::Draining);
    assert_eq!(fixture.pick(at(2)), None);
}

/// Guards against a share of calls that deviates from the share table.
#[test]
fn versions_receive_their_traffic_share() {
    let mut fixture = Fixture::new([member("x", "1", "a"), member("y", "2", "a")]);
    fixture.shares = shares(9_500, 500);
    let new = fixture.spread(at(1), 10_000, IDLE)["y"];
    assert!((400..=600).contains(&new), "{new} of 10,000 at 5%");
}

/// Guards against losing calls when the new version is banned, and against retries that raise the
/// share of an unproven version when the stable one was tried.
#[test]
fn overflow_goes_to_the_stable_version_but_not_to_the_unproven_one() {
    let mut fixture = Fixture::new([member("x", "1", "a"), member("y", "2", "a")]);
    fixture.shares = shares(0, 10_000);
    fixture.bans.insert(service(), version("2"));
    assert_eq!(fixture.pick(at(1)).unwrap().as_str(), "x");
    fixture.bans = VersionBans::default();
    fixture.shares = shares(9_900, 100);
    fixture.tried = vec![instance("x")];
    let taken = (0..200).filter(|_| fixture.pick(at(1)).is_some()).count();
    assert!(taken < 20, "{taken} of 200 went to the unproven version at 1%");
}

/// Guards against sending calls to a version that the share table doesn't list.
#[test]
fn a_version_without_a_share_gets_no_calls() {
    let mut fixture = Fixture::new([member("x", "1", "a"), member("y", "3", "a")]);
    fixture.shares = shares(9_500, 500);
    assert_eq!(fixture.spread(at(1), 200, IDLE).get("y"), None);
}

/// Guards against retries towards a service without a usable instance.
#[test]
fn has_room_ignores_full_unreachable_and_tried_instances() {
    let mut fixture = Fixture::new([member("x", "1", "a"), member("y", "1", "a")]);
    let has_room = |fixture: &Fixture, tried: &[InstanceId]| {
        fixture.router.has_room(at(10), &service(), &fixture.view, &Default::default(), tried)
    };
    assert!(has_room(&fixture, &[]));
    fixture.router.record_end(at(5), &instance("x"), AttemptEnd::Answered(FULL));
    assert!(!has_room(&fixture, &[instance("y")]));
    fixture.router.record_end(at(5), &instance("y"), AttemptEnd::NoUpstream);
    assert!(!has_room(&fixture, &[]));
}

/// Guards against a load header that the receiving node can't parse or that malformed text passes
/// for.
#[test]
fn loads_survive_formatting_and_parsing() {
    for rate_percent in [None, Some(0), Some(140)] {
        let load = Load { running: 3, limit: 12, queued: 1, rate_percent };
        assert_eq!(load.to_string().parse(), Ok(load));
    }
    for bad in ["", "1/2", "1/2/x", "1/2/3/x", "1/2/3/", "1/2/3/4/5", "-1/2/3"] {
        assert!(bad.parse::<Load>().is_err(), "{bad}");
    }
    assert!(ms(1) > ms(0));
}

fn report(process: u64, limit: LimitReport, is_leaving: bool) -> ProcessReport {
    ProcessReport { process: ProcessId(process), limit, is_leaving }
}

/// Guards against a leave that is forgotten with the node beside the process, and against an instance
/// that gets no calls for the leave of a process which is gone.
#[test]
fn a_leaving_process_gets_no_calls_and_is_named_to_a_restarted_node() {
    let mut fixture = Fixture::new([member("x", "1", "a"), member("y", "1", "a")]);
    let (x, leave) = (instance("x"), report(1, LimitReport::Unknown, true));
    fixture.router.learn_report(at(0), &x, leave);
    assert_eq!(fixture.spread(at(60_000), 50, IDLE).keys().collect::<Vec<_>>(), ["y"]);
    fixture.view.members.get_mut(&x).unwrap().incarnation = Incarnation(2);
    let view = fixture.view.clone();
    fixture.router.update(at(60_000), &view);
    assert!(fixture.spread(at(70_000), 50, IDLE).contains_key("x"));
    assert_eq!(fixture.router.report_of(&x), Some(leave));
    // The restarted node still has that process.
    fixture.router.learn_report(at(70_000), &x, report(1, LimitReport::Unknown, false));
    assert!(!fixture.spread(at(80_000), 50, IDLE).contains_key("x"));
    fixture.router.learn_report(at(80_000), &x, report(2, LimitReport::Unlimited, false));
    assert!(fixture.spread(at(90_000), 50, IDLE).contains_key("x"));
    assert_eq!(fixture.router.report_of(&x), None);
}

/// Guards against a limit that is lifted by a node which hasn't heard from the upstream yet, and
/// against one that outlives the answer which ends it.
#[test]
fn a_limit_is_kept_while_the_node_beside_does_not_know_it() {
    let mut fixture = Fixture::new([member("x", "1", "a")]);
    let x = instance("x");
    let limit = LimitReport::Limit(RateLimit::new(3.0).unwrap());
    fixture.router.learn_report(at(0), &x, report(1, limit, false));
    fixture.router.learn_report(at(10), &x, report(1, LimitReport::Unknown, false));
    assert_eq!(fixture.router.report_of(&x), Some(report(1, limit, false)));
    let absent = view([]);
    fixture.router.update(at(20), &absent);
    assert_eq!(fixture.router.report_of(&x), Some(report(1, limit, false)), "while it is away");
    fixture.router.learn_unrestricted(&x);
    assert_eq!(fixture.router.report_of(&x), None);
}

/// Guards against calls that go to an instance whose rate limit is known to be used up while another
/// has room, and against an instance that is avoided for longer than it asked.
#[test]
fn an_instance_without_rate_left_is_avoided_for_the_time_that_it_named() {
    let mut fixture = Fixture::new([member("x", "1", "a"), member("y", "1", "a")]);
    let x = instance("x");
    let limit = LimitReport::Limit(RateLimit::new(5.0).unwrap());
    fixture.router.learn_report(at(0), &x, report(1, limit, false));
    let spent = Load { rate_percent: Some(100), ..IDLE };
    fixture.router.record_end(at(0), &x, AttemptEnd::RateLimited(spent, ms(400)));
    assert_eq!(fixture.spread(at(100), 50, IDLE).keys().collect::<Vec<_>>(), ["y"]);
    fixture.tried = vec![instance("y")];
    assert!(!fixture.router.has_room(
        at(100),
        &service(),
        &fixture.view,
        &Default::default(),
        &fixture.tried
    ));
    assert_eq!(fixture.pick(at(100)).as_ref(), Some(&x), "with nowhere else to go");
    fixture.router.record_end(at(200), &x, AttemptEnd::Cancelled);
    fixture.tried.clear();
    assert!(fixture.spread(at(4_000), 50, IDLE).contains_key("x"));
}

/// Guards against a leave that only the nodes know whose callers got such an answer: a restarted node
/// beside the process would pass the calls of all others on.
#[test]
fn the_member_record_names_a_process_that_has_left() {
    let mut fixture = Fixture::new([member("x", "1", "a"), member("y", "1", "a")]);
    let x = instance("x");
    let record = fixture.view.members.get_mut(&x).unwrap();
    (record.state, record.left) = (MemberState::Draining, Some(ProcessId(1)));
    let view = fixture.view.clone();
    fixture.router.update(at(0), &view);
    let restarted = Member { incarnation: Incarnation(2), ..member("x", "1", "a") };
    fixture.view.members.insert(x.clone(), restarted);
    let view = fixture.view.clone();
    fixture.router.update(at(1_000), &view);
    let leave = report(1, LimitReport::Unknown, true);
    assert_eq!(fixture.router.report_of(&x), Some(leave));
}

/// Guards against a leave that is forgotten since an answer from before it arrives after it.
#[test]
fn an_answer_that_comes_late_does_not_undo_a_leave() {
    let mut fixture = Fixture::new([member("x", "1", "a"), member("y", "1", "a")]);
    let (x, leave) = (instance("x"), report(1, LimitReport::Unknown, true));
    fixture.router.learn_report(at(0), &x, leave);
    fixture.router.learn_unrestricted(&x);
    assert_eq!(fixture.router.report_of(&x), Some(leave));
    assert!(!fixture.spread(at(10), 50, IDLE).contains_key("x"));
}

/// Guards against an instance that gets no calls for good since its earlier process had left before
/// the instance was lost and came back.
#[test]
fn an_instance_that_comes_back_gets_calls_again_after_a_leave() {
    let mut fixture = Fixture::new([member("x", "1", "a"), member("y", "1", "a")]);
    let x = instance("x");
    fixture.router.learn_report(at(0), &x, report(1, LimitReport::Unknown, true));
    fixture.router.update(at(1_000), &view([member("y", "1", "a")]));
    let back = Member { incarnation: Incarnation(2), ..member("x", "1", "a") };
    fixture.view = view([back, member("y", "1", "a")]);
    let members = fixture.view.clone();
    fixture.router.update(at(9_000), &members);
    assert!(fixture.spread(at(60_000), 200, IDLE).contains_key("x"));
}
