//! What the slice's tasks share.

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

/// Moves held in memory at most; ended ones that are no service's last go first.
pub const MAX_MOVES: usize = 1_024;
/// Bounds of the time after which an instance that is gone counts out of a move's signatures.
const MIN_RETIRE: Duration = Duration::from_secs(5);
const MAX_RETIRE: Duration = Duration::from_secs(30);

/// One move on this node.
pub struct Entry {
    /// Its state machine.
    pub control: MoveControl,
    /// Counts what runs beside this node, while the move is open and about its service.
    pub collector: Option<Collector>,
    /// When evidence was last sent.
    pub sent: Time,
    /// The phase and share that were last recorded on the time line.
    pub recorded: Option<(Phase, Share)>,
    /// An outcome is being written.
    pub ending: bool,
}

/// What the slice's tasks share.
pub struct State {
    /// What the slices share.
    pub hub: Rc<Hub>,
    /// The table.
    pub platform: Rc<Platform>,
    /// Other nodes.
    pub peers: Rc<Peers>,
    /// The moves by name.
    pub moves: RefCell<BTreeMap<MoveId, Entry>>,
    /// Short tasks: sending evidence, writing outcomes.
    pub errands: TaskGroup,
    /// Merging nodes that evidence is being sent to.
    pub sending: RefCell<BTreeSet<(MoveId, InstanceId)>>,
}

impl State {
    /// A state without moves.
    pub fn new(hub: Rc<Hub>, platform: Rc<Platform>, peers: Rc<Peers>) -> Self {
        Self {
            hub,
            platform,
            peers,
            moves: RefCell::default(),
            errands: TaskGroup::default(),
            sending: RefCell::default(),
        }
    }

    /// Both clocks.
    pub fn now(&self) -> Moment {
        Moment { time: self.hub.clock.now(), wall: self.hub.clock.wall() }
    }

    /// Whether `service` is the one beside this node.
    pub fn is_own(&self, service: &ServiceName) -> bool {
        self.hub.settings.node.service == *service
    }

    /// The live instances of this node's service, and the regions in which members are seen.
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

    /// This node as a member of the fleet; `None` until it knows itself as one.
    pub fn me(&self) -> Option<Member> {
        self.hub.members.borrow().members.get(&self.hub.settings.node.instance).cloned()
    }

    /// Takes in a row; an older revision than known changes nothing. Gives whether it was news.
    pub fn learn(&self, row: MoveRow, revision: u64) -> bool {
        let now = self.now();
        let mut moves = self.moves.borrow_mut();
        if let Some(entry) = moves.get_mut(&row.spec.mv) {
            let is_news = revision > entry.control.row().1;
            let input = sycamore_moves::control::Input::Row { row: Box::new(row), revision };
            entry.control.step(now, input);
            return is_news;
        }
        let watch = row.schedule.steps[row.schedule.watch_step()].hold;
        let options = ControlOptions {
            departure_grace: watch.clamp(MIN_RETIRE, MAX_RETIRE),
            ..ControlOptions::default()
        };
        let mv = row.spec.mv.clone();
        let me = self.hub.settings.node.instance.clone();
        let mut control = MoveControl::new(me, row, revision, options, now.time);
        for fact in self.hub.facts.known().values() {
            control.step(now, sycamore_moves::control::Input::Fact(fact.clone()));
        }
        let entry =
            Entry { control, collector: None, sent: Time(0), recorded: None, ending: false };
        moves.insert(mv, entry);
        forget(&mut moves);
        true
    }
}

/// Keeps the number of moves within bounds: the ended move with the oldest deadline goes first.
fn forget(moves: &mut BTreeMap<MoveId, Entry>) {
    while moves.len() > MAX_MOVES {
        let ended = moves.iter().filter(|(_, entry)| entry.control.row().0.is_ended());
        let oldest = ended.min_by_key(|(_, entry)| entry.control.row().0.spec.deadline);
        match oldest.map(|(mv, _)| mv.clone()) {
            Some(mv) => moves.remove(&mv),
            None => return,
        };
    }
}
