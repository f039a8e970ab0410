//! Reading settings: every key is tried alone, so that all faults are told at once.

use crate::{check, Settings};
use ::config::{Config as Source, File, FileFormat};
use error_stack::Report;
use serde::de::value::{Error as ValueError, MapDeserializer};
use serde::de::DeserializeOwned;
use std::collections::BTreeMap;
use std::fmt;
use std::path::Path;

/// One thing wrong with a settings file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Fault {
    /// The file's name.
    pub file: String,
    /// The section.
    pub section: String,
    /// The key; empty where the fault is the section's.
    pub key: String,
    /// What is wrong, in a sentence.
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

/// Settings could not be used.
#[derive(Debug)]
pub enum SettingsError {
    /// The file could not be read or is no INI.
    Unreadable(String),
    /// The file is readable, its content is wrong: every fault found.
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

type Section = BTreeMap<String, String>;

/// Reads the settings in the file at `path`.
///
/// # Errors
/// [`SettingsError`] where the file can't be read, or with every fault in it.
pub fn from_file(path: impl AsRef<Path>) -> Result<Settings, Report<SettingsError>> {
    let path = path.as_ref();
    let name = path.display().to_string();
    let text = std::fs::read_to_string(path)
        .map_err(|error| Report::new(SettingsError::Unreadable(format!("{name}: {error}"))))?;
    from_text(&name, &text)
}

/// Reads the settings in `text`; `name` stands for the file in faults.
///
/// # Errors
/// [`SettingsError`] where the text is no INI, or with every fault in it.
pub fn from_text(name: &str, text: &str) -> Result<Settings, Report<SettingsError>> {
    let sections = sections(name, text)?;
    let mut reader = Reader { file: name, sections, faults: Vec::new() };
    let settings = Settings {
        node: reader.required_section("node"),
        listen: reader.section("listen"),
        platform: reader.section("platform"),
        operator: reader.section("operator"),
        log: reader.section("log"),
        calls: reader.section("calls"),
        peers: reader.section("peers"),
        config: reader.section("config"),
        moves: reader.section("moves"),
    };
    reader.refuse_rest();
    for contradiction in check::contradictions(&settings) {
        reader.fault(contradiction.section, contradiction.key, contradiction.problem);
    }
    match reader.faults.is_empty() {
        true => Ok(settings),
        false => Err(Report::new(SettingsError::Faulty(reader.faults))),
    }
}

fn sections(name: &str, text: &str) -> Result<BTreeMap<String, Section>, Report<SettingsError>> {
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

    /// Takes the section `name`; keys that are not given keep their defaults.
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

    /// Takes a section of which every key must be given.
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

    fn refuse_rest(&mut self) {
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
