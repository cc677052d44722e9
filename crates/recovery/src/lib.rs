//! The start of a leader: what is stored is reconciled with what the workers report.
//!
//! [`reconciliation`] says by zone how far that is and what may be ordered meanwhile; [`pace`]
//! lets orders to others begin slowly and grow while they are answered; [`decision`] says
//! what becomes of a task that a worker reports. Nothing here reads a clock, sends anything
//! or decides where a task may be: that rests on claims, tokens and leases alone.

#![warn(missing_docs, unreachable_pub)]

pub mod adoption;
pub mod pace;
pub mod reconciliation;
