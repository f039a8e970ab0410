//! Errors of operators' commands and queries, with their HTTP form.

use http::StatusCode;
use serde::Serialize;
use std::fmt;

/// Error of an operator's command or query.
#[derive(Debug, Clone, PartialEq)]
pub enum OperatorError {
    /// The input is invalid.
    BadInput {
        /// Summary of the faults.
        error: String,
        /// Each fault with its place in the input.
        faults: Vec<String>,
    },
    /// The operators' token is missing or wrong.
    Unauthorized,
    /// The named command, query, path, plan or move, or a configuration, was not found.
    NotFound(String),
    /// Another change to the same object was committed first.
    Conflict {
        /// Description of the conflict.
        error: String,
        /// Author of the change that was committed first.
        winner: String,
    },
    /// The platform is unavailable, so that the request failed or its effect is unknown.
    Unavailable(String),
}

/// JSON body of an error response.
#[derive(Serialize)]
struct Body<'a> {
    error: String,
    #[serde(skip_serializing_if = "<[String]>::is_empty")]
    faults: &'a [String],
    #[serde(skip_serializing_if = "Option::is_none")]
    winner: Option<&'a str>,
}

impl OperatorError {
    /// Creates a [`OperatorError::BadInput`] without a list of faults.
    pub fn bad_input(error: impl fmt::Display) -> Self {
        Self::BadInput { error: error.to_string(), faults: Vec::new() }
    }

    /// Returns the HTTP status of the error response.
    pub fn status(&self) -> StatusCode {
        match self {
            OperatorError::BadInput { .. } => StatusCode::BAD_REQUEST,
            OperatorError::Unauthorized => StatusCode::UNAUTHORIZED,
            OperatorError::NotFound(_) => StatusCode::NOT_FOUND,
            OperatorError::Conflict { .. } => StatusCode::CONFLICT,
            OperatorError::Unavailable(_) => StatusCode::SERVICE_UNAVAILABLE,
        }
    }

    /// Returns the JSON body of the error response.
    pub fn body(&self) -> Vec<u8> {
        let (faults, winner) = match self {
            OperatorError::BadInput { faults, .. } => (faults.as_slice(), None),
            OperatorError::Conflict { winner, .. } => (&[][..], Some(winner.as_str())),
            _ => (&[][..], None),
        };
        serde_json::to_vec(&Body { error: self.to_string(), faults, winner }).unwrap_or_default()
    }
}

impl fmt::Display for OperatorError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            OperatorError::BadInput { error, .. } | OperatorError::Conflict { error, .. } => {
                f.write_str(error)
            }
            OperatorError::Unauthorized => f.write_str("a valid operator token is required"),
            OperatorError::NotFound(what) => write!(f, "{what} not found"),
            OperatorError::Unavailable(why) => f.write_str(why),
        }
    }
}

impl std::error::Error for OperatorError {}
