//! Runs release moves: I/O and tasks around the state machines of `sycamore-moves`.

mod act;
mod commands;
mod evidence;
mod orders;
mod queries;
mod rows;
mod shares;
mod state;

use crate::edge::OperatorEdge;
use crate::hub::Hub;
use crate::peers::Peers;
use crate::platform::Platform;
use crate::tasks::TaskGroup;
use error_stack::Report;
use rows::Pollers;
use state::State;
use std::rc::Rc;
use std::time::Duration;

/// Time between two ticks of the moves' state machines.
const TICK: Duration = Duration::from_millis(200);

/// Handle to the running moves subsystem.
pub struct Moves {
    state: Rc<State>,
}

/// Spawns the moves subsystem's tasks on `tasks`. With `operators`, this node also executes the
/// release orders that operators write as rows.
///
/// # Errors
/// None at present.
pub async fn start(
    hub: &Rc<Hub>,
    tasks: &TaskGroup,
    platform: &Rc<Platform>,
    peers: &Rc<Peers>,
    operators: Option<Rc<dyn OperatorEdge>>,
) -> Result<Rc<Moves>, Report<std::io::Error>> {
    let state = Rc::new(State::new(hub.clone(), platform.clone(), peers.clone()));
    let pollers = match &operators {
        Some(_) => Pollers::Watchers,
        None => Pollers::All,
    };
    tasks.spawn_until_stop(rows::poll(state.clone(), pollers));
    tasks.spawn_until_stop(rows::follow_facts(state.clone()));
    tasks.spawn_until_stop(evidence::collect(state.clone()));
    tasks.spawn_until_stop(evidence::watch_upstream(state.clone()));
    tasks.spawn_until_stop(evidence::receive(state.clone()));
    if let Some(edge) = operators {
        tasks.spawn_until_stop(orders::run(state.clone(), edge));
    }
    let ticking = state.clone();
    let mut stop = tasks.stop_signal();
    tasks.spawn(async move {
        stop.or(tick(ticking.clone())).await;
        ticking.short_tasks.stop();
        ticking.short_tasks.join().await;
    });
    Ok(Rc::new(Moves { state }))
}

async fn tick(state: Rc<State>) {
    loop {
        monoio::time::sleep(TICK).await;
        act::tick(&state);
        evidence::send(&state);
        shares::publish(&state);
    }
}
