//! Credit of client accounts: what their home lends, and the calls that wait for it.

use super::answer::Answer;
use super::meta::CallMeta;
use super::state::State;
use crate::peers::{CreditBody, CreditMessage, Credits, Peers};
use crate::tasks::TaskGroup;
use futures::future::{select, Either};
use std::cell::RefCell;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use sycamore_call::credit::{homes, Ask, Borrower, Lender, Loan, Refusal, Spent};
use sycamore_types::prelude::*;
use tokio::sync::{oneshot, Notify};

/// Longest pause between two checks for answers that are overdue, while none is expected.
const IDLE_INTERVAL: Duration = Duration::from_secs(1);

/// Credit of client accounts on this node.
#[derive(Default)]
pub(super) struct Credit {
    peers: RefCell<Option<Rc<Peers>>>,
    lender: RefCell<Lender>,
    borrowers: RefCell<HashMap<AccountName, Borrower>>,
    /// Home of each account with a rate: its instance and the address for messages.
    homes: RefCell<BTreeMap<AccountName, (InstanceId, SocketAddr)>>,
    waiters: RefCell<HashMap<u64, oneshot::Sender<Result<(), Refusal>>>>,
    /// Wakes the task that sends requests again.
    asked: Notify,
}

/// Starts the task that exchanges credit with the nodes of `peers`.
pub(super) fn start(state: &Rc<State>, tasks: &TaskGroup, peers: &Rc<Peers>) {
    let Some(credits) = peers.take_credits() else { return };
    *state.credit.peers.borrow_mut() = Some(peers.clone());
    tasks.spawn_until_stop(handle_messages(state.clone(), credits));
}

/// Applies the members and the accounts that are in force to the choice of homes.
pub(super) fn update_homes(state: &State) {
    let snapshot = state.hub.snapshot.borrow().clone();
    let view = state.hub.members.borrow().clone();
    // Views agree on who is a member sooner than on states, and a home need not serve calls itself.
    let members: Vec<&Member> =
        view.members.values().filter(|member| member.state != MemberState::Dead).collect();
    let with_rate = snapshot.accounts.iter().filter(|account| account.rate.is_some());
    let found = homes(with_rate.map(|account| &account.name), &members);
    let own = &state.hub.settings.node.instance;
    let served = found.iter().filter(|(_, home)| home.instance == *own).map(|(name, _)| name);
    state.credit.lender.borrow_mut().serve(state.hub.clock.boot(), served);
    let address = |home: &Member| (home.instance.clone(), home.endpoints.peer);
    let found = found.into_iter().map(|(name, home)| (name, address(home))).collect();
    *state.credit.homes.borrow_mut() = found;
    let is_known = |name: &AccountName| snapshot.accounts.named(name).is_some();
    state.credit.borrowers.borrow_mut().retain(|name, _| is_known(name));
}

/// Spends credit of the call's account, and waits for it where none is at hand.
///
/// # Errors
/// Returns the answer that refuses the call.
pub(super) async fn acquire(state: &Rc<State>, meta: &CallMeta) -> Result<(), Answer> {
    let Some(account) = rated_account(state, meta) else { return Ok(()) };
    let id = state.next_id();
    let (tx, rx) = oneshot::channel();
    let spent = with_borrower(state, &account.name, |borrower, now| borrower.spend(now, id));
    if spent == Spent::Wait {
        state.credit.waiters.borrow_mut().insert(id, tx);
    }
    request(state, &account);
    let spent = match spent {
        Spent::Run => Ok(()),
        Spent::Refused(refusal) => Err(refusal),
        Spent::Wait => {
            let _wait = Wait { state, account: &account.name, id };
            let left = meta.left(state.now());
            match select(pin!(rx), pin!(monoio::time::sleep(left))).await {
                Either::Left((Ok(decided), _)) => decided,
                Either::Left((Err(_), _)) | Either::Right(_) => {
                    Err(Refusal::HomeUnreachable(Duration::ZERO))
                }
            }
        }
    };
    let (outcome, answer) = match spent {
        Ok(()) => ("credit", Ok(())),
        Err(Refusal::RateUsed(wait)) => {
            ("rate-used", Err(Answer::refused(RefusalReason::AccountRate, wait)))
        }
        Err(Refusal::HomeUnreachable(wait)) => {
            ("home-unreachable", Err(Answer::refused(RefusalReason::NoCredit, wait)))
        }
    };
    state.metrics.count_account(&account.name, outcome);
    answer
}

/// Gives back the credit of a call that has not run.
pub(super) fn give_back(state: &State, meta: &CallMeta) {
    if let Some(account) = rated_account(state, meta) {
        with_borrower(state, &account.name, |borrower, now| borrower.give_back(now));
    }
}

/// Returns the call's account if it has a rate.
fn rated_account(state: &State, meta: &CallMeta) -> Option<Arc<ClientAccount>> {
    let snapshot = state.hub.snapshot.borrow();
    let account = snapshot.accounts.named(meta.account.as_ref()?)?;
    account.rate.is_some().then(|| account.clone())
}

/// Wait of one call for credit; given up on drop.
struct Wait<'a> {
    state: &'a State,
    account: &'a AccountName,
    id: u64,
}

impl Drop for Wait<'_> {
    fn drop(&mut self) {
        if self.state.credit.waiters.borrow_mut().remove(&self.id).is_some() {
            with_borrower(self.state, self.account, |borrower, _| borrower.cancel(self.id));
        }
    }
}

fn with_borrower<T>(
    state: &State,
    account: &AccountName,
    act: impl FnOnce(&mut Borrower, Time) -> T,
) -> T {
    let mut borrowers = state.credit.borrowers.borrow_mut();
    // Numbers of another start of the node must not be taken for this one's.
    let first = || Borrower::new(state.hub.incarnation.0 << 20);
    act(borrowers.entry(account.clone()).or_insert_with(first), state.hub.clock.boot())
}

/// Sends the request to the account's home that is due, if any.
fn request(state: &State, account: &ClientAccount) {
    let due = with_borrower(state, &account.name, |borrower, now| borrower.request(now));
    let Some(ask) = due else { return };
    let own = &state.hub.settings.node.instance;
    let home = state.credit.homes.borrow().get(&account.name).cloned();
    match home {
        Some((home, _)) if home == *own => {
            if let Some(loan) = lend(state, account, own, ask) {
                apply_loan(state, &account.name, ask.number, loan);
            }
        }
        Some((_, address)) => {
            send_request(state, address, &account.name, ask);
            state.credit.asked.notify_one();
        }
        None => state.credit.asked.notify_one(),
    }
}

fn send(state: &State, to: SocketAddr, account: &AccountName, number: u64, body: CreditBody) {
    let peers = state.credit.peers.borrow().clone();
    peers.iter().for_each(|peers| peers.send_credit(to, account.clone(), number, body));
}

fn send_request(state: &State, to: SocketAddr, account: &AccountName, ask: Ask) {
    let Ask { number, wanted, spent } = ask;
    send(state, to, account, number, CreditBody::Request { wanted, spent });
}

/// Returns the answer to a request for credit that another node is the home for.
fn home_of(state: &State, account: &AccountName) -> Option<CreditBody> {
    let homes = state.credit.homes.borrow();
    let (home, address) = homes.get(account)?;
    (*home != state.hub.settings.node.instance).then_some(CreditBody::Home(*address))
}

/// Sends request `number` to the `home` that another node names, until this node's view has it.
fn redirect(state: &State, account: &AccountName, number: u64, home: SocketAddr) {
    let is_other = {
        let mut homes = state.credit.homes.borrow_mut();
        homes.get_mut(account).is_some_and(|(_, known)| std::mem::replace(known, home) != home)
    };
    let ask = with_borrower(state, account, |borrower, now| borrower.redirect(now, number));
    if let Some(ask) = ask.filter(|_| is_other) {
        send_request(state, home, account, ask);
    }
}

fn lend(state: &State, account: &ClientAccount, borrower: &InstanceId, ask: Ask) -> Option<Loan> {
    let now = state.hub.clock.boot();
    state.credit.lender.borrow_mut().lend(now, account, borrower, ask)
}

fn apply_loan(state: &State, account: &AccountName, number: u64, loan: Loan) {
    let decided = with_borrower(state, account, |borrower, now| borrower.answer(now, number, loan));
    deliver(state, decided);
}

fn deliver(state: &State, (run, refused): (Vec<u64>, Vec<(u64, Refusal)>)) {
    let run = run.into_iter().map(|id| (id, Ok(())));
    for (id, decided) in run.chain(refused.into_iter().map(|(id, why)| (id, Err(why)))) {
        let waiter = state.credit.waiters.borrow_mut().remove(&id);
        // The send fails if the caller has left, whose credit is void with the loan.
        let _ = waiter.map(|waiter| waiter.send(decided));
    }
}

async fn handle_messages(state: Rc<State>, mut credits: Credits) {
    while let Some(message) = credits.recv().await {
        let CreditMessage { from, source, account, number, body } = message;
        let snapshot = state.hub.snapshot.borrow().clone();
        let Some(account) = snapshot.accounts.named(&account) else { continue };
        match body {
            CreditBody::Home(home) => redirect(&state, &account.name, number, home),
            CreditBody::Loan(loan) => {
                apply_loan(&state, &account.name, number, loan);
                request(&state, account);
            }
            CreditBody::Request { wanted, spent } => {
                let ask = Ask { number, wanted, spent };
                let lent = lend(&state, account, &from, ask).map(CreditBody::Loan);
                // The borrower's view lacks the home, whose rank is higher than this node's.
                let Some(body) = lent.or_else(|| home_of(&state, &account.name)) else { continue };
                send(&state, source, &account.name, number, body);
            }
        }
    }
}

/// Sends requests again that are not answered, and gives up on homes that don't answer, until the node
/// stops.
pub(super) async fn repeat_requests(state: Rc<State>) {
    loop {
        let now = state.hub.clock.boot();
        let next = state.credit.borrowers.borrow().values().filter_map(Borrower::next_tick).min();
        let pause = next.map_or(IDLE_INTERVAL, |at| at.since(now).max(Duration::from_millis(1)));
        let _ = monoio::time::timeout(pause, state.credit.asked.notified()).await;
        let now = state.hub.clock.boot();
        let is_due = |borrower: &Borrower| borrower.next_tick().is_some_and(|at| at <= now);
        let due: Vec<AccountName> = {
            let borrowers = state.credit.borrowers.borrow();
            let due = borrowers.iter().filter(|(_, borrower)| is_due(borrower));
            due.map(|(name, _)| name.clone()).collect()
        };
        for name in due {
            let decided = with_borrower(&state, &name, Borrower::tick);
            deliver(&state, decided);
            let account = state.hub.snapshot.borrow().accounts.named(&name).cloned();
            account.iter().for_each(|account| request(&state, account));
        }
    }
}
