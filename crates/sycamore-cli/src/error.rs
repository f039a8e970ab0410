//! Errors of the command line and their exit codes.

use std::fmt;

/// Why a command failed. Each kind has an exit code of its own.
#[derive(Debug, Clone, PartialEq)]
pub enum CliError {
    /// Exit code 1: a node or the platform can't be reached, or the outcome can't be known.
    Failed(String),
    /// Exit code 2: the input is wrong; nothing was changed.
    BadInput {
        /// What is wrong in all.
        error: String,
        /// Each fault, with its place.
        faults: Vec<String>,
    },
    /// Exit code 3: somebody else changed the same thing first.
    Conflict {
        /// What happened.
        error: String,
        /// The operator who won.
        winner: String,
    },
    /// Exit code 4: there is no such thing.
    NotFound(String),
    /// Exit code 5: the token is missing or wrong.
    Unauthorized,
}

impl CliError {
    /// An input with one fault.
    pub fn bad_input(error: impl fmt::Display) -> Self {
        Self::BadInput { error: error.to_string(), faults: Vec::new() }
    }

    /// The process' exit code.
    pub fn exit_code(&self) -> u8 {
        match self {
            CliError::Failed(_) => 1,
            CliError::BadInput { .. } => 2,
            CliError::Conflict { .. } => 3,
            CliError::NotFound(_) => 4,
            CliError::Unauthorized => 5,
        }
    }

    /// Each fault of a wrong input.
    pub fn faults(&self) -> &[String] {
        match self {
            CliError::BadInput { faults, .. } => faults,
            _ => &[],
        }
    }
}

impl fmt::Display for CliError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            CliError::Failed(error)
            | CliError::NotFound(error)
            | CliError::BadInput { error, .. } => f.write_str(error),
            CliError::Conflict { error, winner } => write!(f, "{error}; {winner} was first"),
            CliError::Unauthorized => {
                f.write_str("a valid operator token is needed: --token-file or SYCAMORESHIFT_TOKEN")
            }
        }
    }
}

impl std::error::Error for CliError {}
