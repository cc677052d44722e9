//! Voluntary disruption.
//!
//! [`ledger`] accounts for it across all causes: preemption, consolidation and drains. [`drain`]
//! decides which tasks of a draining machine may be stopped now, and why the others must wait.
//! Neither reads a clock nor performs I/O.

#![warn(missing_docs, unreachable_pub)]

pub mod config;
pub mod drain;
pub mod ledger;
