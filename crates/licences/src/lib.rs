//! Floating licences: seats, their holders, and authenticated grants that a licence counter can
//! verify offline.
//!
//! [`ledger::Ledger`] is a state machine without clocks or I/O. A seat is taken before the start
//! of its task is sent and released only when the task is proven to have ended, so that no failure
//! of a machine, a counter or a leader oversubscribes a licence. [`grant`] makes and verifies the
//! grants sent with starts, [`history`] records the holders of seats, and [`config`] parses the
//! licences file.

#![warn(missing_docs, unreachable_pub)]

pub mod config;
pub mod grant;
pub mod history;
pub mod ledger;
