//! Sharing of a team's resource limit between cells, tolerant of network partitions.
//!
//! Each cell owns a part of the limit, its *base*, and may lend the part that it doesn't need for a
//! limited time. [`cell::Cell`] is the state machine of one cell for one team and resource: no I/O,
//! no randomness, no clock of its own. Regardless of lost, delayed or duplicated messages and of
//! leader failovers, the cells together never use more than the limit. Design:
//! `docs/design/quota.md` and `docs/design/scale.md`.
//!
//! No other crate depends on this one yet: a deployment has one cell, whose limit is the configured
//! one.

#![warn(missing_docs, unreachable_pub)]

pub mod cell;
pub mod division;
pub mod error;
pub mod ledger;
pub mod loan;
pub mod message;

/// An amount of a resource, in its smallest unit.
pub type Units = u64;
