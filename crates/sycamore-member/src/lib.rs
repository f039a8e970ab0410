//! Membership among nodes: failure detection, dissemination and spread facts.

pub mod message;
