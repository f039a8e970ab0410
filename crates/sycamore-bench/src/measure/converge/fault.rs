//! Faults that `measure converge` can inject into configuration changes.

use std::fmt;

/// Fault that is injected into every change.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    /// 30% of the nodes are killed at the same time and restarted a second later.
    Herd,
    /// One node is paused with SIGSTOP before the change and resumed when the others have it.
    Freeze,
    /// The platform is unavailable for a time, starting as soon as the change is accepted.
    PlatformOut,
    /// The platform loses its answers to the change's writes after they took effect.
    LostAnswer,
    /// Two operators apply a configuration at the same time.
    Race,
}

impl Fault {
    const ALL: [Fault; 5] =
        [Fault::Herd, Fault::Freeze, Fault::PlatformOut, Fault::LostAnswer, Fault::Race];

    /// Returns the fault's name on the command line and in the result.
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

/// Parses a comma-separated list of faults; empty names are skipped.
pub(super) fn parse(list: &str) -> Result<Vec<Fault>, String> {
    let names = list.split(',').filter(|name| !name.is_empty());
    let faults = names.map(|name| {
        let known = Fault::ALL.into_iter().find(|fault| fault.as_str() == name);
        known.ok_or_else(|| {
            let expected = Fault::ALL.map(Fault::as_str).join(", ");
            format!("unknown fault {name:?}, expected one of {expected}")
        })
    });
    faults.collect()
}
