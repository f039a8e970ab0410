//! Tests of the rates of client accounts over all nodes.

use super::common::{at, instance};
use std::collections::BTreeMap;
use std::time::Duration;
use sycamore_call::credit::{Ask, Borrower, Lender, Loan, Spent, LOAN_TIME};
use sycamore_types::prelude::*;

/// Time of a message between two nodes, in milliseconds.
const DELAY: u64 = 1;
/// Window over which the users count an account's calls, in milliseconds.
const WINDOW: u64 = 5_000;

fn account(per_second: f64, burst: u32) -> ClientAccount {
    ClientAccount {
        name: AccountName::new("joiner").unwrap(),
        keys: Vec::new(),
        rank: None,
        rate: Some(RateLimit::new(per_second).unwrap()),
        burst,
        fault: None,
    }
}

/// Fleet of nodes that an account's calls come in at, on faked time.
struct Fleet {
    account: ClientAccount,
    lender: Lender,
    nodes: Vec<Borrower>,
    /// Messages by the time of their arrival: requests to the home, and loans to a node.
    mail: BTreeMap<(u64, usize), Mail>,
    sent: usize,
    is_home_dead: bool,
    /// Number of nodes, from the first one on, that can't reach the home.
    cut: usize,
    starts: Vec<u64>,
    refused: usize,
    messages: usize,
    random: u64,
    next_call: u64,
}

enum Mail {
    Request(usize, Ask),
    Loan(usize, u64, Loan),
}

impl Fleet {
    fn new(nodes: usize, account: ClientAccount, seed: u64) -> Self {
        let mut lender = Lender::default();
        lender.serve(at(0), std::iter::once(&account.name));
        Self {
            account,
            lender,
            // Starts of nodes differ, and with them the numbers of their requests.
            nodes: (1..=nodes as u64).map(|node| Borrower::new(node << 20)).collect(),
            mail: BTreeMap::new(),
            sent: 0,
            is_home_dead: false,
            cut: 0,
            starts: Vec::new(),
            refused: 0,
            messages: 0,
            random: seed | 1,
            next_call: 0,
        }
    }

    fn draw(&mut self, below: usize) -> usize {
        self.random ^= self.random << 13;
        self.random ^= self.random >> 7;
        self.random ^= self.random << 17;
        usize::try_from(self.random % below as u64).unwrap()
    }

    fn post(&mut self, now: u64, mail: Mail) {
        self.sent += 1;
        self.messages += 1;
        self.mail.insert((now + DELAY, self.sent), mail);
    }

    fn request(&mut self, now: u64, node: usize) {
        if let Some(ask) = self.nodes[node].request(at(now)) {
            self.post(now, Mail::Request(node, ask));
        }
    }

    fn record(&mut self, now: u64, run: usize, refused: usize) {
        self.starts.extend(std::iter::repeat_n(now, run));
        self.refused += refused;
    }

    /// Lets `per_second` calls come in at random ones of the first `entries` nodes until `end`.
    fn play(&mut self, begin: u64, end: u64, per_second: f64, entries: usize) {
        let mut owed = 0.0;
        for now in begin..end {
            while let Some(((due, _), _)) = self.mail.first_key_value() {
                if *due > now {
                    break;
                }
                let (_, mail) = self.mail.pop_first().unwrap();
                self.deliver(now, mail);
            }
            owed += per_second / 1_000.0;
            while owed >= 1.0 {
                owed -= 1.0;
                let node = self.draw(entries);
                self.next_call += 1;
                match self.nodes[node].spend(at(now), self.next_call) {
                    Spent::Run => self.record(now, 1, 0),
                    Spent::Refused(_) => self.record(now, 0, 1),
                    Spent::Wait => {}
                }
                self.request(now, node);
            }
            for node in 0..entries {
                if self.nodes[node].next_tick().is_some_and(|tick| tick <= at(now)) {
                    let (run, refused) = self.nodes[node].tick(at(now));
                    self.record(now, run.len(), refused.len());
                    self.request(now, node);
                }
            }
        }
    }

    fn deliver(&mut self, now: u64, mail: Mail) {
        match mail {
            Mail::Request(..) if self.is_home_dead => {}
            Mail::Request(node, _) | Mail::Loan(node, ..) if node < self.cut => {}
            Mail::Request(node, ask) => {
                let name = instance(&format!("n{node}"));
                let loan = self.lender.lend(at(now), &self.account, &name, ask).unwrap();
                self.post(now, Mail::Loan(node, ask.number, loan));
            }
            Mail::Loan(node, number, loan) => {
                let (run, refused) = self.nodes[node].answer(at(now), number, loan);
                self.record(now, run.len(), refused.len());
                self.request(now, node);
            }
        }
    }

    /// Returns the most calls in any [`WINDOW`], as a share of rate and burst.
    fn worst(&self) -> f64 {
        let rate = self.account.rate.unwrap().per_second();
        let allowed = rate * WINDOW as f64 / 1_000.0 + f64::from(self.account.burst);
        let within = |(i, from): (usize, &u64)| {
            self.starts.partition_point(|start| *start < from + WINDOW) - i
        };
        self.starts.iter().enumerate().map(within).max().unwrap_or(0) as f64 / allowed
    }
}

/// Guards against an account whose nodes together take more than its rate, in any window, and against a
/// rate that can't be used: twice the rate comes in at all nodes, or at five of them.
#[test]
fn a_fleet_keeps_an_accounts_rate_and_uses_it() {
    for nodes in [12, 63, 196, 930] {
        for (per_second, burst) in [(3.0, 3), (40.0, 40), (450.0, 450)] {
            for entries in [5, nodes] {
                let mut fleet = Fleet::new(nodes, account(per_second, burst), 77);
                fleet.play(1_000, 21_000, per_second * 2.0, entries);
                let used = fleet.starts.len() as f64 / (per_second * 20.0);
                let worst = fleet.worst();
                assert!(worst <= 1.0, "{worst} of rate and burst, {per_second} at {entries} nodes");
                assert!(used >= 0.95, "{used} of {per_second} a second at {entries} nodes");
            }
        }
    }
}

/// Guards against calls that are refused although the account is below its rate: seven times its usual
/// demand comes at once, and then its usual again.
#[test]
fn an_account_below_its_rate_is_not_refused() {
    let mut fleet = Fleet::new(63, account(160.0, 160), 5);
    fleet.play(2_000, 10_000, 100.0, 63);
    assert_eq!(fleet.refused, 0);
    fleet.play(10_000, 16_000, 700.0, 63);
    assert!(fleet.refused > 0);
    fleet.play(16_000, 18_000, 100.0, 63);
    let refused = fleet.refused;
    fleet.play(18_000, 28_000, 100.0, 63);
    assert_eq!(fleet.refused - refused, 0, "after the burst");
    assert!(fleet.worst() <= 1.0, "{}", fleet.worst());
}

/// Returns the fleet of an account whose home was dead for 3 s, after which a successor lends, and the
/// part of its rate that was used meanwhile.
fn play_dead_home(seed: u64) -> (Fleet, f64) {
    let mut fleet = Fleet::new(63, account(160.0, 160), seed * 31);
    fleet.play(2_000, 8_000, 320.0, 63);
    fleet.is_home_dead = true;
    let before = fleet.starts.len();
    fleet.play(8_000, 11_000, 320.0, 63);
    let used = (fleet.starts.len() - before) as f64 / (160.0 * 3.0);
    fleet.lender = Lender::default();
    fleet.lender.serve(at(11_000), std::iter::once(&fleet.account.name));
    fleet.is_home_dead = false;
    fleet.play(11_000, 20_000, 320.0, 63);
    (fleet, used)
}

/// Guards against calls beyond the rate while the home is dead, or when it has a successor, whose bucket
/// must not begin full.
#[test]
fn an_account_keeps_its_rate_while_its_home_is_dead_and_replaced() {
    for seed in 1..=20 {
        let worst = play_dead_home(seed).0.worst();
        assert!(worst <= 1.0, "{worst} of rate and burst, seed {seed}");
    }
}

/// Guards against a rate that can't be used while the home is dead, at twice the rate.
#[test]
fn an_account_uses_its_rate_while_its_home_is_dead() {
    for seed in 1..=20 {
        let used = play_dead_home(seed).1;
        assert!(used >= 0.95, "{used} of the rate without a home, seed {seed}");
    }
}

/// Way in which the nodes lose the home of an account, and get one back.
#[derive(Debug, Clone, Copy)]
enum Loss {
    /// The home is killed; none takes its place.
    Killed,
    /// The home is killed, and after this time in milliseconds it is back, or has a successor.
    Replaced(u64),
    /// The home stands still for this time in milliseconds and goes on with what it knows.
    Paused(u64),
    /// This part of the nodes, in percent, can't reach the home for this time in milliseconds.
    Cut(usize, u64),
}

/// Returns the most calls in any window, over those that the users allow, of an account that sends many
/// times its usual from 8 s on, and whose home is lost `after` as many milliseconds.
fn play_loss_in_heat(
    loss: Loss,
    after: u64,
    nodes: usize,
    account: ClientAccount,
    seed: u64,
) -> f64 {
    const HEAT: u64 = 8_000;
    const END: u64 = HEAT + 6_500;
    let rate = account.rate.unwrap().per_second();
    let burst = f64::from(account.burst);
    let (usual, hot) = (0.6 * rate, 4.5 * rate);
    let mut fleet = Fleet::new(nodes, account, seed * 31);
    fleet.play(2_000, HEAT, usual, nodes);
    let lost_at = HEAT + after;
    fleet.play(HEAT, lost_at, hot, nodes);
    match loss {
        Loss::Cut(percent, _) => fleet.cut = nodes * percent / 100,
        Loss::Killed | Loss::Replaced(_) | Loss::Paused(_) => fleet.is_home_dead = true,
    }
    let back_at = match loss {
        Loss::Killed => END,
        Loss::Replaced(time) | Loss::Paused(time) | Loss::Cut(_, time) => lost_at + time,
    };
    fleet.play(lost_at, back_at, hot, nodes);
    (fleet.is_home_dead, fleet.cut) = (false, 0);
    if let Loss::Replaced(_) = loss {
        fleet.lender = Lender::default();
        fleet.lender.serve(at(back_at), std::iter::once(&fleet.account.name));
    }
    fleet.play(back_at.min(END), END, hot, nodes);
    fleet.play(END, END + 2_000, usual, nodes);
    let full = rate * WINDOW as f64 / 1_000.0 + burst;
    // The users' `quota_overshoot` and `quota_slack`.
    fleet.worst() * full / (full * 1.1 + 20.0)
}

/// Guards against nodes that together go on at a rate which has a burst in it, whichever way the home of
/// the account is lost in the heat, and against a bucket that is full again when it comes back.
#[test]
fn an_account_keeps_its_rate_however_its_home_is_lost_in_the_heat() {
    let mut broken = Vec::new();
    for loss in [
        Loss::Killed,
        Loss::Replaced(100),
        Loss::Replaced(1_000),
        Loss::Replaced(3_500),
        Loss::Paused(200),
        Loss::Paused(1_000),
        Loss::Paused(3_000),
        Loss::Paused(4_500),
        Loss::Cut(10, 3_000),
        Loss::Cut(90, 500),
        Loss::Cut(100, 3_000),
    ] {
        for after in [300, 1_000, 1_700] {
            for nodes in [5, 63, 930] {
                for (per_second, burst) in [(3.0, 3), (200.0, 200), (200.0, 600)] {
                    // A fleet of the largest size takes long to play.
                    for seed in 1..=if nodes < 500 { 2 } else { 1 } {
                        let account = account(per_second, burst);
                        let worst = play_loss_in_heat(loss, after, nodes, account, seed);
                        if worst > 1.0 {
                            broken.push(format!(
                                "{worst:.3}: {loss:?} after {after} ms at {nodes} nodes, \
                                 {per_second} a second and {burst}, seed {seed}"
                            ));
                        }
                    }
                }
            }
        }
    }
    assert!(broken.is_empty(), "{} of all: {broken:#?}", broken.len());
}

/// Guards against a request that is granted twice since its answer was lost, and against a loan that is
/// spent after it is void.
#[test]
fn a_repeated_request_has_one_loan_and_a_loan_ends() {
    let account = account(100.0, 100);
    let mut lender = Lender::default();
    lender.serve(at(0), std::iter::once(&account.name));
    let lend = |lender: &mut Lender, now, number| {
        let ask = Ask { number, wanted: 60, spent: 0 };
        lender.lend(at(now), &account, &instance("n"), ask).unwrap()
    };
    let first = lend(&mut lender, 1_000, 1);
    assert_eq!(first.calls, 60);
    assert_eq!(lend(&mut lender, 1_030, 1), first);
    assert!(lend(&mut lender, 1_031, 2).calls < 60);

    let mut borrower = Borrower::new(9);
    assert_eq!(borrower.spend(at(0), 1), Spent::Wait);
    let number = borrower.request(at(0)).unwrap().number;
    let loan = Loan { calls: 3, ..Loan::default() };
    assert_eq!(borrower.answer(at(2), number, loan).0, [1]);
    assert_eq!(borrower.spend(at(3), 2), Spent::Run);
    let void = u64::try_from(LOAN_TIME.as_millis()).unwrap();
    assert_eq!(borrower.spend(at(void), 3), Spent::Wait);
}

/// Guards against a home that lends the whole rate beside what other nodes spend without it, and against one
/// that lends nothing for long to make up for it.
#[test]
fn what_was_spent_without_a_home_is_lent_less_afterwards() {
    let account = account(100.0, 100);
    let lend_at = |lender: &mut Lender, now, number, spent| {
        let ask = Ask { number, wanted: 10, spent };
        lender.lend(at(now), &account, &instance("n"), ask).unwrap().calls
    };
    for (spent, still_owes, pays_again) in [(50, 5_400, 5_700), (10_000, 5_900, 6_200)] {
        let mut lender = Lender::default();
        lender.serve(at(0), std::iter::once(&account.name));
        // Takes all that the bucket holds.
        let emptied = (0..20).map(|number| lend_at(&mut lender, 5_000, number, 0)).sum::<u32>();
        assert!(emptied >= 90, "{emptied}");
        assert_eq!(lend_at(&mut lender, 5_000, 20, spent), 0);
        assert_eq!(lend_at(&mut lender, still_owes, 21, 0), 0, "{spent} spent");
        assert!(lend_at(&mut lender, pays_again, 22, 0) > 0, "{spent} spent");
    }
}

/// Guards against an account that pays twice for calls: a slow home lends what its borrower, having given
/// the request up, spends alone.
#[test]
fn calls_of_a_late_loan_are_not_told_as_spent_alone() {
    let mut borrower = Borrower::new(9);
    borrower.spend(at(0), 1);
    let first = borrower.request(at(0)).unwrap();
    let loan = Loan { calls: 1, alone_per_ks: 20_000, ..Loan::default() };
    borrower.answer(at(2), first.number, loan);
    for id in 2..6 {
        borrower.spend(at(310), id);
    }
    let late = borrower.request(at(310)).unwrap();
    let (run, _) = borrower.tick(at(310 + 120));
    assert_eq!(run.len(), 4, "20 a second for more than 200 ms");
    borrower.spend(at(440), 7);
    let lent = Loan { calls: 3, ..Loan::default() };
    assert_eq!(borrower.answer(at(441), late.number, lent), Default::default());
    // A repeated answer is the same loan.
    borrower.answer(at(442), late.number, lent);
    let ask = borrower.request(at(450)).unwrap();
    assert_eq!(ask.spent, 4 + 1 - 3);
}

/// Guards against credit that is lost with calls which have not run.
#[test]
fn a_call_that_has_not_run_gives_its_credit_back_once() {
    let mut borrower = Borrower::new(9);
    assert_eq!(borrower.spend(at(0), 1), Spent::Wait);
    let number = borrower.request(at(0)).unwrap().number;
    let loan = Loan { calls: 1, wait: Duration::from_secs(9), ..Loan::default() };
    borrower.answer(at(2), number, loan);
    borrower.give_back(at(10));
    assert_eq!(borrower.spend(at(11), 2), Spent::Run);
    assert_ne!(borrower.spend(at(12), 3), Spent::Run);
}
