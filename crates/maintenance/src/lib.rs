//! What may be taken down on purpose.
//!
//! [`ledger`] is the one place where that is added up, whoever asks: preemption, emptying
//! machines for their price, and drains. [`drain`] says which task of a machine that is to
//! be emptied may be stopped now, and what the rest waits for. Neither reads a clock nor
//! sends anything.

#![warn(missing_docs, unreachable_pub)]

pub mod config;
pub mod drain;
pub mod ledger;
