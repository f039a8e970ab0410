//! Faults during the changes.

use std::fmt;

/// A fault that each change meets.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// 30% of the nodes are killed at once and started again a second later.
    Herd,
    /// A node is frozen over the change and thawed afterwards.
    Freeze,
    /// The platform goes out as soon as the change is accepted.
    PlatformOut,
    /// The answer to the acceptance is lost after it took effect.
    LostAnswer,
    /// Two operators apply at once.
    Race,
}

impl Fault {
    const ALL: [Fault; 5] =
        [Fault::Herd, Fault::Freeze, Fault::PlatformOut, Fault::LostAnswer, Fault::Race];

    /// Its name on the command line.
    pub fn as_str(self) -> &'static str {
        match self {
            Fault::Herd => "herd",
            Fault::Freeze => "freeze",
            Fault::PlatformOut => "platform-out",
            Fault::LostAnswer => "lost-answer",
            Fault::Race => "race",
        }
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// Reads a comma list of faults.
pub(super) fn parse(list: &str) -> Result<Vec<Fault>, String> {
    let names = list.split(',').filter(|name| !name.is_empty());
    let faults = names.map(|name| {
        let known = Fault::ALL.into_iter().find(|fault| fault.as_str() == name);
        known.ok_or_else(|| format!("{name:?} is no fault that this measurement knows"))
    });
    faults.collect()
}
