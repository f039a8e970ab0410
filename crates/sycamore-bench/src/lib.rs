//! Development tool of sycamoreshift: a stand-in of the platform, emulated upstreams, load
//! generator, fault injection and measurements.

pub mod cli;
pub mod demo;
pub mod error;
pub mod fleet;
pub mod http;
pub mod load;
pub mod measure;
pub mod proxy;
pub mod soak;
pub mod stand_in;
pub mod witness;

pub use error::BenchError;

/// Result of a function of the development tool; the report names what was attempted.
pub type Result<T> = std::result::Result<T, error_stack::Report<BenchError>>;
