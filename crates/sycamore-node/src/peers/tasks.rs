//! Tasks that feed the membership state machine.

use super::driver::Driver;
use super::{CreditBody, CreditMessage, DeltaBody, DeltaMessage};
use crate::tasks::TaskGroup;
use futures::StreamExt;
use slog::warn;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use sycamore_call::credit::Loan;
use sycamore_http::conn::Turn;
use sycamore_member::message::{Body, ExchangeReply, ExchangeRequest, Packet};
use sycamore_member::Input;
use sycamore_peer::{Call, Received};

/// Time between two ticks of the state machine.
const TICK: Duration = Duration::from_millis(100);
/// Ticks between two rounds of housekeeping: closing idle connections, expiring facts and updating
/// the traffic metrics.
const HOUSEKEEPING_TICKS: u32 = 10;
/// Pause after an error of the datagram socket.
const SOCKET_PAUSE: Duration = Duration::from_millis(100);

type ExchangeCalls = futures::channel::mpsc::Receiver<Call<ExchangeRequest, ExchangeReply>>;

/// Spawns the tasks that feed the membership state machine.
pub(super) fn start(driver: &Rc<Driver>, tasks: &TaskGroup, exchanges: ExchangeCalls) {
    tasks.spawn_until_stop(tick(driver.clone()));
    tasks.spawn_until_stop(receive(driver.clone()));
    tasks.spawn_until_stop(answer(driver.clone(), exchanges));
    tasks.spawn_until_stop(follow_local(driver.clone()));
    tasks.spawn_until_stop(spread_facts(driver.clone()));
}

async fn tick(driver: Rc<Driver>) {
    for round in 1u32.. {
        monoio::time::sleep(TICK).await;
        driver.input(Input::Tick);
        driver.publish_changes();
        if round.is_multiple_of(HOUSEKEEPING_TICKS) {
            driver.calls.close_idle();
            driver.hub.facts.expire(driver.hub.clock.wall());
            driver.metrics.copy_traffic(driver.calls.counters());
        }
    }
}

async fn receive(driver: Rc<Driver>) {
    let mut turn = Turn::default();
    loop {
        turn.give_way_if_due().await;
        match turn.run(driver.datagrams.recv()).await {
            Ok(Received { packet, at, from }) => {
                driver.hub.observe(at);
                handle_packet(&driver, from, packet);
            }
            Err(report) => {
                warn!(driver.hub.log, "datagram socket failed"; "error" => %report);
                monoio::time::sleep(SOCKET_PAUSE).await;
            }
        }
    }
}

/// Hands `packet` to the subsystem that its body is for.
fn handle_packet(driver: &Driver, source: SocketAddr, packet: Packet) {
    let Packet { from, body, .. } = packet;
    let body = match body {
        Body::CreditRequest { number, account, calls, spent } => {
            let body = CreditBody::Request { wanted: calls, spent };
            return driver.queue_credit(CreditMessage { from, source, account, number, body });
        }
        Body::Credit { number, account, calls, wait, alone_per_ks, home } => {
            let loan = CreditBody::Loan(Loan { calls, wait, alone_per_ks });
            let body = home.map_or(loan, CreditBody::Home);
            return driver.queue_credit(CreditMessage { from, source, account, number, body });
        }
        Body::DeltaRequest { base, asked_at } => DeltaBody::Request { base, asked_at },
        Body::Delta { encoded } => DeltaBody::Delta(encoded),
        Body::Current { head, revision, age, rejected, proof } => {
            DeltaBody::Current { head, revision, age, rejected, proof }
        }
        body => {
            let packet = Packet { from, body, items: packet.items };
            return driver.input(Input::Packet { from: source, packet });
        }
    };
    driver.queue_delta(DeltaMessage { from, source, body });
}

async fn answer(driver: Rc<Driver>, mut calls: ExchangeCalls) {
    while let Some(call) = calls.next().await {
        let reply = driver.answer(&call.body);
        // The send fails if the caller has given up, which is harmless.
        let _ = call.tx.send(reply);
    }
}

/// Updates this node's member record when its upstream or its phase changes.
async fn follow_local(driver: Rc<Driver>) {
    let mut upstream = driver.hub.upstream.subscribe();
    let mut phases = driver.hub.phases();
    loop {
        driver.update_local();
        let ended = monoio::select! {
            changed = upstream.changed() => changed.is_err(),
            changed = phases.changed() => changed.is_err(),
        };
        if ended {
            return;
        }
    }
}

/// Hands the facts raised on this node to the state machine, which spreads them.
async fn spread_facts(driver: Rc<Driver>) {
    let mut raised = driver.hub.facts.subscribe_raised();
    loop {
        for fact in driver.hub.facts.take_unsent() {
            driver.input(Input::Raise(fact));
        }
        if raised.changed().await.is_err() {
            return;
        }
    }
}
