//! Tests of the rates of client accounts over all nodes.

use super::common::{at, instance};
use std::collections::BTreeMap;
use std::time::Duration;
use sycamore_call::credit::{Borrower, Lender, Loan, Spent, LOAN_TIME};
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
    starts: Vec<u64>,
    refused: usize,
    messages: usize,
    random: u64,
    next_call: u64,
}

enum Mail {
    Request(usize, u64, u32),
    Loan(usize, u64, Loan),
}

impl Fleet {
    fn new(nodes: usize, account: ClientAccount, seed: u64) -> Self {
        let mut lender = Lender::default();
        lender.serve(at(0), std::iter::once(&account.name));
        Self {
            account,
            lender,
            nodes: (0..nodes).map(|_| Borrower::new(1)).collect(),
            mail: BTreeMap::new(),
            sent: 0,
            is_home_dead: false,
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
        if let Some((number, wanted)) = self.nodes[node].request(at(now)) {
            self.post(now, Mail::Request(node, number, wanted));
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
            Mail::Request(node, number, wanted) => {
                let name = instance(&format!("n{node}"));
                let loan = self.lender.lend(at(now), &self.account, &name, number, wanted).unwrap();
                self.post(now, Mail::Loan(node, number, loan));
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

/// Guards against a request that is granted twice since its answer was lost, and against a loan that is
/// spent after it is void.
#[test]
fn a_repeated_request_has_one_loan_and_a_loan_ends() {
    let account = account(100.0, 100);
    let mut lender = Lender::default();
    lender.serve(at(0), std::iter::once(&account.name));
    let lend = |lender: &mut Lender, now, number| {
        lender.lend(at(now), &account, &instance("n"), number, 60).unwrap()
    };
    let first = lend(&mut lender, 1_000, 1);
    assert_eq!(first.calls, 60);
    assert_eq!(lend(&mut lender, 1_030, 1), first);
    assert!(lend(&mut lender, 1_031, 2).calls < 60);

    let mut borrower = Borrower::new(9);
    assert_eq!(borrower.spend(at(0), 1), Spent::Wait);
    let (number, _) = borrower.request(at(0)).unwrap();
    let loan = Loan { calls: 3, wait: Duration::ZERO };
    assert_eq!(borrower.answer(at(2), number, loan).0, [1]);
    assert_eq!(borrower.spend(at(3), 2), Spent::Run);
    let void = u64::try_from(LOAN_TIME.as_millis()).unwrap();
    assert_eq!(borrower.spend(at(void), 3), Spent::Wait);
}

/// Guards against credit that is lost with calls which have not run.
#[test]
fn a_call_that_has_not_run_gives_its_credit_back_once() {
    let mut borrower = Borrower::new(9);
    assert_eq!(borrower.spend(at(0), 1), Spent::Wait);
    let (number, _) = borrower.request(at(0)).unwrap();
    borrower.answer(at(2), number, Loan { calls: 1, wait: Duration::from_secs(9) });
    borrower.give_back(at(10));
    assert_eq!(borrower.spend(at(11), 2), Spent::Run);
    assert_ne!(borrower.spend(at(12), 3), Spent::Run);
}
