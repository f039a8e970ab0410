//! State shared by the tasks of the moves subsystem.

use crate::hub::Hub;
use crate::peers::Peers;
use crate::platform::Platform;
use crate::tasks::TaskGroup;
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;
use sycamore_moves::control::{ControlOptions, Moment, MoveControl, Peer, Phase};
use sycamore_moves::evidence::Collector;
use sycamore_moves::plan::MoveRow;
use sycamore_types::prelude::*;

/// Maximum number of moves kept in memory; beyond it, the ended move with the oldest deadline is
/// removed.
pub const MAX_MOVES: usize = 1_024;
/// Shortest time after which a move no longer waits for the confirmation of an instance that left.
const MIN_DEPARTURE_GRACE: Duration = Duration::from_secs(5);
/// Longest time after which a move no longer waits for the confirmation of an instance that left.
const MAX_DEPARTURE_GRACE: Duration = Duration::from_secs(30);

/// Move known to this node.
pub struct Entry {
    /// State machine of the move.
    pub control: MoveControl,
    /// Counts outcomes of the local upstream's calls; `None` until the first count, and for moves
    /// that don't concern the upstream's service or version.
    pub collector: Option<Collector>,
    /// Time at which evidence was last sent.
    pub sent: Time,
    /// Phase and share that were last recorded on the timeline.
    pub recorded: Option<(Phase, Share)>,
    /// Whether an outcome is being written to the table.
    pub ending: bool,
    /// Number of calls beyond the evidence's limits at the latest line about them.
    pub without_cell_logged: u64,
    /// Number of reports beyond this node's limits at the latest line about them.
    pub cut_logged: u64,
}

/// State shared by the tasks of the moves subsystem.
pub struct State {
    /// State shared by the subsystems of the node.
    pub hub: Rc<Hub>,
    /// Client of the platform's table.
    pub platform: Rc<Platform>,
    /// Client of other nodes.
    pub peers: Rc<Peers>,
    /// Known moves by identifier.
    pub moves: RefCell<BTreeMap<MoveId, Entry>>,
    /// Short tasks that send evidence, read the registry or write outcomes.
    pub short_tasks: TaskGroup,
    /// Moves and merging nodes for which evidence is being sent.
    pub sending: RefCell<BTreeSet<(MoveId, InstanceId)>>,
}

impl State {
    /// Creates a state without moves.
    pub fn new(hub: Rc<Hub>, platform: Rc<Platform>, peers: Rc<Peers>) -> Self {
        Self {
            hub,
            platform,
            peers,
            moves: RefCell::default(),
            short_tasks: TaskGroup::default(),
            sending: RefCell::default(),
        }
    }

    /// Returns the current monotonic and wall-clock time.
    pub fn now(&self) -> Moment {
        Moment { time: self.hub.clock.now(), wall: self.hub.clock.wall() }
    }

    /// Returns whether `service` is the service of the local upstream.
    pub fn is_own(&self, service: &ServiceName) -> bool {
        self.hub.settings.node.service == *service
    }

    /// Returns the serving instances of this node's service, and the regions of all known members.
    pub fn service_peers(&self) -> (Vec<Peer>, BTreeSet<Region>) {
        let view = self.hub.members.borrow().clone();
        let peer = |member: &Member| Peer {
            instance: member.instance.clone(),
            incarnation: member.incarnation,
            version: member.version.clone(),
            region: member.region.clone(),
        };
        let live = view.serving(&self.hub.settings.node.service).map(peer).collect();
        let regions = view.members.values().map(|member| member.region.clone()).collect();
        (live, regions)
    }

    /// Returns this node's own member record; `None` until it is in the membership view.
    pub fn me(&self) -> Option<Member> {
        self.hub.members.borrow().members.get(&self.hub.settings.node.instance).cloned()
    }

    /// Learns a move's row; an older revision than the known one changes nothing. Returns whether
    /// the row was new.
    pub fn learn(&self, row: MoveRow, revision: u64) -> bool {
        let now = self.now();
        let mut moves = self.moves.borrow_mut();
        if let Some(entry) = moves.get_mut(&row.spec.mv) {
            let is_new = revision > entry.control.row().1;
            let input = sycamore_moves::control::Input::Row { row: Box::new(row), revision };
            entry.control.step(now, input);
            return is_new;
        }
        let watch = row.schedule.steps[row.schedule.watch_step()].hold;
        let options = ControlOptions {
            departure_grace: watch.clamp(MIN_DEPARTURE_GRACE, MAX_DEPARTURE_GRACE),
            ..ControlOptions::default()
        };
        let mv = row.spec.mv.clone();
        let me = self.hub.settings.node.instance.clone();
        let mut control = MoveControl::new(me, row, revision, options, now.time);
        for fact in self.hub.facts.known().values() {
            control.step(now, sycamore_moves::control::Input::Fact(fact.clone()));
        }
        let entry = Entry {
            control,
            collector: None,
            sent: Time(0),
            recorded: None,
            ending: false,
            without_cell_logged: 0,
            cut_logged: 0,
        };
        moves.insert(mv, entry);
        evict_excess(&mut moves);
        true
    }
}

/// Removes ended moves, oldest deadline first, until at most [`MAX_MOVES`] are left. Open moves are
/// never removed.
fn evict_excess(moves: &mut BTreeMap<MoveId, Entry>) {
    while moves.len() > MAX_MOVES {
        let ended = moves.iter().filter(|(_, entry)| entry.control.row().0.is_ended());
        let oldest = ended.min_by_key(|(_, entry)| entry.control.row().0.spec.deadline);
        match oldest.map(|(mv, _)| mv.clone()) {
            Some(mv) => moves.remove(&mv),
            None => return,
        };
    }
}
