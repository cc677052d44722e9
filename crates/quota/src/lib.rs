//! A team's limit on a resource, shared between cells that may be cut off from each other.
//!
//! Each cell owns a part of the limit, its *base*, and may lend what it doesn't need of it for a
//! time. [`cell::Cell`] is the state machine of one cell for one team and resource: no I/O, no
//! randomness, no clock of its own. Whatever messages are lost, late or repeated, and whichever
//! leader ends when, the cells together never use more than the limit. Why:
//! `docs/design/quota.md` and `docs/design/scale.md`.
//!
//! Nothing uses this crate yet: a deployment has one cell, whose limit is the configured one, and
//! behaves exactly as it did without the crate.

#![warn(missing_docs, unreachable_pub)]

pub mod cell;
pub mod division;
pub mod error;
pub mod ledger;
pub mod loan;
pub mod message;

/// An amount of a resource, in its smallest unit.
pub type Units = u64;
