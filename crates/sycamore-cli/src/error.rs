//! Errors of the command line and their exit codes.

use std::fmt;

/// Error that ends the program; each variant has its own exit code.
#[derive(Debug, Clone, PartialEq)]
pub enum CliError {
    /// Exit code 1: a node or the platform can't be reached, or the outcome is unknown.
    Failed(String),
    /// Exit code 2: the arguments or an input file are invalid; nothing was changed.
    BadInput {
        /// Summary of the error.
        error: String,
        /// Every fault found, each with its place in the input; empty where the summary says all.
        faults: Vec<String>,
    },
    /// Exit code 3: another operator or a node changed the same configuration, plan or move first.
    Conflict {
        /// Description of the conflict.
        error: String,
        /// Author of the earlier change; empty where the node names none.
        winner: String,
    },
    /// Exit code 4: the move, plan, log entry or other object named does not exist.
    NotFound(String),
    /// Exit code 5: the operator token is missing or wrong.
    Unauthorized,
}

impl CliError {
    /// Creates a [`CliError::BadInput`] without a list of faults.
    pub fn bad_input(error: impl fmt::Display) -> Self {
        Self::BadInput { error: error.to_string(), faults: Vec::new() }
    }

    /// Returns the exit code of the process for this error.
    pub fn exit_code(&self) -> u8 {
        match self {
            CliError::Failed(_) => 1,
            CliError::BadInput { .. } => 2,
            CliError::Conflict { .. } => 3,
            CliError::NotFound(_) => 4,
            CliError::Unauthorized => 5,
        }
    }

    /// Returns the faults of an invalid input; empty for other errors.
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
