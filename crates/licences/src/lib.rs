//! Counted licences: how many seats there are, who holds them, and the proof of it that
//! a licence counter can check without asking anyone.
//!
//! [`ledger::Ledger`] is a state machine without clocks or sockets. A seat is taken
//! before its task's start is sent and comes back only when the task is proven gone, so
//! that no failure of a machine, a counter or a leader ever puts one more in use than
//! there are. [`grant`] makes and checks the word that goes with a start, [`history`]
//! remembers who held what, and [`config`] reads the operators' file.

#![warn(missing_docs, unreachable_pub)]

pub mod config;
pub mod grant;
pub mod history;
pub mod ledger;
