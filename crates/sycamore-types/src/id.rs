//! Validated identifiers, which serialize as plain strings and are cheap to clone.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::sync::Arc;

/// Maximum length of an identifier other than a service's or a client account's name, in bytes.
pub const MAX_ID_BYTES: usize = 64;
/// Maximum length of a service's name, in bytes; a datagram between nodes has room for it. Operators
/// may name a service without asking a node.
pub const MAX_SERVICE_BYTES: usize = 1_024;

/// Maximum length of the name of a client account, in bytes; a datagram between nodes has room for it.
pub const MAX_ACCOUNT_BYTES: usize = 1_024;

/// Error of a string that is not a valid identifier.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum IdError {
    /// Empty string.
    Empty,
    /// String longer than its kind of identifier may be; holds both lengths in bytes.
    TooLong {
        /// Length of the string.
        len: usize,
        /// Maximum length of the kind of identifier.
        max: usize,
    },
    /// String with a character other than ASCII letters, digits, `-`, `_`, `.` and `:`; holds the
    /// first such character.
    BadCharacter(char),
    /// Text that no header field carries unchanged; holds the first character that prevents it: a
    /// control character, or a space at the start or the end.
    NotFieldText(char),
}

impl fmt::Display for IdError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            IdError::Empty => f.write_str("identifier is empty; expected at least 1 byte"),
            IdError::TooLong { len, max } => {
                write!(f, "identifier has {len} bytes; at most {max} are allowed")
            }
            IdError::BadCharacter(c) => write!(
                f,
                "identifier contains {c:?}; only ASCII letters, digits, '-', '_', '.' and ':' are \
                 allowed"
            ),
            IdError::NotFieldText(c) => {
                write!(f, "name contains {c:?} where no header field carries it")
            }
        }
    }
}

impl std::error::Error for IdError {}

fn validate(id: &str, max: usize) -> Result<(), IdError> {
    if id.is_empty() {
        return Err(IdError::Empty);
    }
    if id.len() > max {
        return Err(IdError::TooLong { len: id.len(), max });
    }
    match id.chars().find(|c| !(c.is_ascii_alphanumeric() || "-_.:".contains(*c))) {
        Some(c) => Err(IdError::BadCharacter(c)),
        None => Ok(()),
    }
}

/// Checks that a header field can carry `text` unchanged.
fn validate_field_text(text: &str, max: usize) -> Result<(), IdError> {
    if text.is_empty() {
        return Err(IdError::Empty);
    }
    if text.len() > max {
        return Err(IdError::TooLong { len: text.len(), max });
    }
    // Parsers strip spaces around a field's value.
    let is_outer_space = text.starts_with([' ', '\t']) || text.ends_with([' ', '\t']);
    let control = text.chars().find(|c| c.is_ascii_control() && *c != '\t');
    match control.or(is_outer_space.then_some(' ')) {
        Some(c) => Err(IdError::NotFieldText(c)),
        None => Ok(()),
    }
}

macro_rules! string_id {
    ($(#[$doc:meta])* $name:ident, $max:expr) => {
        string_id! { $(#[$doc])* $name, $max, validate }
    };
    ($(#[$doc:meta])* $name:ident, $max:expr, $validate:ident) => {
        $(#[$doc])*
        #[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(Arc<str>);

        impl $name {
            /// Validates `id` and creates the identifier.
            ///
            /// # Errors
            /// Returns [`IdError`] where `id` is empty, too long or contains a character that is
            /// not allowed there.
            pub fn new(id: impl AsRef<str>) -> Result<Self, IdError> {
                $validate(id.as_ref(), $max)?;
                Ok(Self(Arc::from(id.as_ref())))
            }

            /// Returns the identifier as a string slice.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl TryFrom<String> for $name {
            type Error = IdError;

            fn try_from(id: String) -> Result<Self, IdError> {
                Self::new(id)
            }
        }

        impl std::str::FromStr for $name {
            type Err = IdError;

            fn from_str(id: &str) -> Result<Self, IdError> {
                Self::new(id)
            }
        }

        impl From<$name> for String {
            fn from(id: $name) -> String {
                id.0.as_ref().to_owned()
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }
    };
}

string_id! {
    /// Name of a deployment; nodes refuse peers of other deployments.
    Deployment, MAX_ID_BYTES
}
string_id! {
    /// Name of a client account: any text that a header field carries, as upstreams are told the name
    /// in one.
    AccountName, MAX_ACCOUNT_BYTES, validate_field_text
}
string_id! {
    /// Name of an instance: an upstream and the node beside it.
    InstanceId, MAX_ID_BYTES
}
string_id! {
    /// Name of a service, which one or more upstreams serve: any text that a header field carries, as
    /// upstreams are told the name in one.
    ServiceName, MAX_SERVICE_BYTES, validate_field_text
}
string_id! {
    /// Version of an upstream's software, such as `4.2.0`.
    UpstreamVersion, MAX_ID_BYTES
}
string_id! {
    /// Name of a route in the configuration.
    RouteName, MAX_ID_BYTES
}
string_id! {
    /// Name of a data centre.
    DataCentre, MAX_ID_BYTES
}
string_id! {
    /// Name of a region, a group of data centres.
    Region, MAX_ID_BYTES
}
string_id! {
    /// Identifier of a release plan.
    PlanId, MAX_ID_BYTES
}
string_id! {
    /// Identifier of a move in a plan.
    MoveId, MAX_ID_BYTES
}
string_id! {
    /// Name of an operator, recorded with the operator's changes.
    OperatorName, MAX_ID_BYTES
}

macro_rules! number_id {
    ($(#[$doc:meta])* $name:ident($inner:ty), $width:literal) => {
        $(#[$doc])*
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(pub $inner);

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, concat!("{:0", $width, "x}"), self.0)
            }
        }

        impl std::str::FromStr for $name {
            type Err = std::num::ParseIntError;

            fn from_str(text: &str) -> Result<Self, Self::Err> {
                <$inner>::from_str_radix(text, 16).map(Self)
            }
        }

        impl Serialize for $name {
            fn serialize<S: serde::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
                serializer.collect_str(self)
            }
        }

        impl<'de> Deserialize<'de> for $name {
            fn deserialize<D: serde::Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
                let text = std::borrow::Cow::<'de, str>::deserialize(deserializer)?;
                text.parse().map_err(serde::de::Error::custom)
            }
        }
    };
}

number_id! {
    /// Identifier of an operation on the platform's table; retries of the operation reuse it.
    OpId(u128), "32"
}
number_id! {
    /// Identifier of a call, shared by all of its attempts.
    CallId(u128), "32"
}
number_id! {
    /// Fingerprint of a request, equal for all of its repeats: hash of route, method, path and the
    /// start of the body.
    Fingerprint(u64), "16"
}
number_id! {
    /// Identifier of one start of an upstream process, the same at all nodes: hash of its name and
    /// start time.
    ProcessId(u64), "16"
}

/// Number of a configuration; a higher number replaces a lower one.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct ConfigVersion(pub u64);

impl fmt::Display for ConfigVersion {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

impl ConfigVersion {
    /// Returns the number of the next configuration.
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }
}
