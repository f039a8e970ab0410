//! Ordering of an upstream's announcements: messages arrive late, twice and out of order, and those
//! of an earlier process may arrive after those of a later one.

use sycamore_types::prelude::*;

/// Identity of an upstream process, as its messages state it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ProcessRef<'a> {
    /// Name that the process gave itself; a later process may reuse it. `None` where it gave none.
    pub name: Option<&'a str>,
    /// Start time of the process; `None` where it gave none.
    pub started: Option<WallTime>,
}

/// Position of a message in the order of an upstream's messages.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MessageOrder {
    /// The message is the newest of the current process, or the first of a later one.
    Current,
    /// The message is of the current process but repeats or predates one already applied.
    Repeated,
    /// The message is of an earlier process.
    Earlier,
}

#[derive(Debug, Clone, PartialEq, Eq)]
struct CurrentProcess {
    name: Option<String>,
    started: Option<WallTime>,
    sequence: Option<u64>,
    left: bool,
}

/// Orders the messages of the successive processes of one upstream.
#[derive(Debug, Clone, Default)]
pub struct AnnouncementLog {
    current: Option<CurrentProcess>,
}

impl AnnouncementLog {
    /// Records an announcement; `sequence` numbers the announcements of one process, and `is_leaving`
    /// tells whether it announces that the process leaves. A leave is final for a process with a name,
    /// so it counts however late it arrives.
    pub fn record_announcement(
        &mut self,
        process: ProcessRef<'_>,
        sequence: Option<u64>,
        is_leaving: bool,
    ) -> MessageOrder {
        match (self.order_of(process), &mut self.current) {
            (ProcessOrder::Earlier, _) => MessageOrder::Earlier,
            (ProcessOrder::Same, Some(current)) => {
                let is_repeated = sequence.is_some() && sequence <= current.sequence;
                let has_left = current.left && current.name.is_some();
                let is_outdated = match is_leaving {
                    true => is_repeated && has_left,
                    false => is_repeated || has_left,
                };
                if is_outdated {
                    return MessageOrder::Repeated;
                }
                current.sequence = current.sequence.max(sequence);
                current.left = is_leaving;
                MessageOrder::Current
            }
            _ => {
                self.start_process(process, sequence, is_leaving);
                MessageOrder::Current
            }
        }
    }

    /// Records the message by which an upstream process leaves.
    pub fn record_leave(&mut self, process: ProcessRef<'_>) -> MessageOrder {
        match (self.order_of(process), &mut self.current) {
            (ProcessOrder::Earlier, _) => MessageOrder::Earlier,
            (ProcessOrder::Same, Some(current)) => {
                current.left = true;
                MessageOrder::Current
            }
            // Without a start time, a process of another name can't be recognised as a later one.
            (_, Some(_)) if process.started.is_none() => MessageOrder::Earlier,
            _ => {
                self.start_process(process, None, true);
                MessageOrder::Current
            }
        }
    }

    fn start_process(&mut self, process: ProcessRef<'_>, sequence: Option<u64>, left: bool) {
        let name = process.name.map(str::to_owned);
        self.current = Some(CurrentProcess { name, started: process.started, sequence, left });
    }

    fn order_of(&self, process: ProcessRef<'_>) -> ProcessOrder {
        let Some(current) = &self.current else { return ProcessOrder::Later };
        match (process.started, current.started) {
            (Some(new), Some(old)) if new < old => ProcessOrder::Earlier,
            (Some(new), Some(old)) if new > old => ProcessOrder::Later,
            _ if process.name == current.name.as_deref() => ProcessOrder::Same,
            _ => ProcessOrder::Later,
        }
    }
}

enum ProcessOrder {
    Earlier,
    Same,
    Later,
}
