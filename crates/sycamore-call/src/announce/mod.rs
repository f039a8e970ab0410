//! Which announcements of an upstream count: messages arrive late, twice and out of order, and an
//! earlier start of the upstream may still be heard after a later one.

use sycamore_types::prelude::*;

/// One start of an upstream, as its messages name it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ProcessRef<'a> {
    /// Its own name; a later start may take it again.
    pub name: Option<&'a str>,
    /// When it started.
    pub started: Option<WallTime>,
}

/// What a message is worth.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Heard {
    /// It is the newest of the current start, or of a later one.
    Current,
    /// It is of the current start and says nothing that still counts.
    Repeated,
    /// It is of an earlier start.
    Earlier,
}

#[derive(Debug, Clone, PartialEq, Eq)]
struct Current {
    name: Option<String>,
    started: Option<WallTime>,
    sequence: Option<u64>,
    left: bool,
}

/// Orders the messages of the starts of one upstream.
#[derive(Debug, Clone, Default)]
pub struct AnnouncementLog {
    current: Option<Current>,
}

impl AnnouncementLog {
    /// Takes an announcement; `sequence` counts those of one start.
    pub fn announced(&mut self, process: ProcessRef<'_>, sequence: Option<u64>) -> Heard {
        match (self.order(process), &mut self.current) {
            (Order::Earlier, _) => Heard::Earlier,
            (Order::Same, Some(current)) => {
                let is_old = sequence.is_some() && sequence <= current.sequence;
                if is_old || (current.left && current.name.is_some()) {
                    return Heard::Repeated;
                }
                current.sequence = sequence;
                current.left = false;
                Heard::Current
            }
            _ => {
                self.begin(process, sequence, false);
                Heard::Current
            }
        }
    }

    /// Takes the message that an upstream leaves.
    pub fn left(&mut self, process: ProcessRef<'_>) -> Heard {
        match (self.order(process), &mut self.current) {
            (Order::Earlier, _) => Heard::Earlier,
            (Order::Same, Some(current)) => {
                current.left = true;
                Heard::Current
            }
            // Without a time it can't be told whether another process is a later one.
            (_, Some(_)) if process.started.is_none() => Heard::Earlier,
            _ => {
                self.begin(process, None, true);
                Heard::Current
            }
        }
    }

    fn begin(&mut self, process: ProcessRef<'_>, sequence: Option<u64>, left: bool) {
        let name = process.name.map(str::to_owned);
        self.current = Some(Current { name, started: process.started, sequence, left });
    }

    fn order(&self, process: ProcessRef<'_>) -> Order {
        let Some(current) = &self.current else { return Order::Later };
        match (process.started, current.started) {
            (Some(new), Some(old)) if new < old => Order::Earlier,
            (Some(new), Some(old)) if new > old => Order::Later,
            _ if process.name == current.name.as_deref() => Order::Same,
            _ => Order::Later,
        }
    }
}

enum Order {
    Earlier,
    Same,
    Later,
}
