//! Reader of settings files, which parses each key separately to report all faults at once.

use crate::literal::Literals;
use crate::{check, Settings};
use ::config::{Config as Source, File, FileFormat};
use error_stack::Report;
use serde::de::value::{Error as ValueError, MapDeserializer};
use serde::de::DeserializeOwned;
use std::collections::BTreeMap;
use std::fmt;
use std::path::Path;

/// Fault in one key or section of a settings file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Fault {
    /// Name of the file.
    pub file: String,
    /// Name of the section.
    pub section: String,
    /// Name of the key; empty if the fault concerns the whole section.
    pub key: String,
    /// Description of the problem.
    pub problem: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: [{}]", self.file, self.section)?;
        if !self.key.is_empty() {
            write!(f, " {}", self.key)?;
        }
        write!(f, ": {}", self.problem)
    }
}

/// Error of reading settings.
#[derive(Debug)]
pub enum SettingsError {
    /// The file could not be read or is not valid INI; names the file and the reason.
    Unreadable(String),
    /// The file is valid INI but its settings are not; holds all faults, at least one.
    Faulty(Vec<Fault>),
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            SettingsError::Unreadable(why) => f.write_str(why),
            SettingsError::Faulty(faults) => {
                let lines: Vec<String> = faults.iter().map(Fault::to_string).collect();
                f.write_str(&lines.join("\n"))
            }
        }
    }
}

impl std::error::Error for SettingsError {}

/// Values of one section by key.
type Section = BTreeMap<String, String>;

/// Reads the settings in the file at `path`.
///
/// # Errors
/// [`SettingsError::Unreadable`] if the file can't be read or is not valid INI,
/// [`SettingsError::Faulty`] with all faults in its settings.
pub fn from_file(path: impl AsRef<Path>) -> Result<Settings, Report<SettingsError>> {
    let path = path.as_ref();
    let name = path.display().to_string();
    let text = std::fs::read_to_string(path)
        .map_err(|error| Report::new(SettingsError::Unreadable(format!("{name}: {error}"))))?;
    from_text(&name, &text)
}

/// Reads the settings in `text`; `name` is the file name in errors.
///
/// # Errors
/// [`SettingsError::Unreadable`] if `text` is not valid INI, [`SettingsError::Faulty`] with all
/// faults in its settings.
pub fn from_text(name: &str, text: &str) -> Result<Settings, Report<SettingsError>> {
    let (literals, text) = Literals::extract(text);
    let mut sections = parse_sections(name, &text)?;
    for value in sections.values_mut().flat_map(Section::values_mut) {
        *value = literals.resolve(std::mem::take(value));
    }
    let mut reader = Reader { file: name, sections, faults: Vec::new() };
    let settings = Settings {
        node: reader.required_section("node"),
        listen: reader.section("listen"),
        platform: reader.section("platform"),
        operator: reader.section("operator"),
        log: reader.section("log"),
        calls: reader.section("calls"),
        accounts: reader.section("accounts"),
        hedge: reader.section("hedge"),
        peers: reader.section("peers"),
        config: reader.section("config"),
        moves: reader.section("moves"),
    };
    reader.reject_unknown_sections();
    for contradiction in check::contradictions(&settings) {
        reader.fault(contradiction.section, contradiction.key, contradiction.problem);
    }
    match reader.faults.is_empty() {
        true => Ok(settings),
        false => Err(Report::new(SettingsError::Faulty(reader.faults))),
    }
}

fn parse_sections(
    name: &str,
    text: &str,
) -> Result<BTreeMap<String, Section>, Report<SettingsError>> {
    let unreadable = |error: ::config::ConfigError| {
        Report::new(SettingsError::Unreadable(format!("{name}: {error}")))
    };
    Source::builder()
        .add_source(File::from_str(text, FileFormat::Ini))
        .build()
        .map_err(unreadable)?
        .try_deserialize()
        .map_err(unreadable)
}

struct Reader<'a> {
    file: &'a str,
    /// Sections that have not been parsed yet.
    sections: BTreeMap<String, Section>,
    faults: Vec<Fault>,
}

impl Reader<'_> {
    fn fault(&mut self, section: &str, key: &str, problem: impl Into<String>) {
        self.faults.push(Fault {
            file: self.file.to_owned(),
            section: section.to_owned(),
            key: key.to_owned(),
            problem: problem.into(),
        });
    }

    /// Removes and parses the section `name`. Keys that are absent or faulty get their defaults.
    fn section<T: DeserializeOwned + Default>(&mut self, name: &str) -> T {
        let mut keys = self.sections.remove(name).unwrap_or_default();
        let mut problems = Vec::new();
        keys.retain(|key, value| {
            match parse::<T>(std::iter::once((key.as_str(), value.as_str()))) {
                Ok(_) => true,
                Err(error) => {
                    problems.push((key.clone(), error.to_string()));
                    false
                }
            }
        });
        for (key, problem) in problems {
            self.fault(name, &key, problem);
        }
        let pairs = keys.iter().map(|(key, value)| (key.as_str(), value.as_str()));
        parse(pairs).unwrap_or_else(|error| {
            self.fault(name, "", error.to_string());
            T::default()
        })
    }

    /// Removes and parses the section `name`, in which all keys must be given.
    fn required_section<T>(&mut self, name: &str) -> T
    where
        T: DeserializeOwned + Default + serde::Serialize,
    {
        let given: Vec<String> =
            self.sections.get(name).map(|keys| keys.keys().cloned().collect()).unwrap_or_default();
        for key in check::keys_of(&T::default()) {
            if !given.contains(&key) {
                self.fault(name, &key, "must be given");
            }
        }
        self.section(name)
    }

    /// Reports the sections that were not parsed as unknown.
    fn reject_unknown_sections(&mut self) {
        for name in std::mem::take(&mut self.sections).into_keys() {
            self.fault(&name, "", "unknown section");
        }
    }
}

fn parse<'a, T: DeserializeOwned>(
    pairs: impl Iterator<Item = (&'a str, &'a str)>,
) -> Result<T, ValueError> {
    T::deserialize(MapDeserializer::<_, ValueError>::new(pairs))
}
