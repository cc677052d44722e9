//! Rollout of changes to the stored state while old and new processes run side by side.
//!
//! The stored state has *generations*. One stored record names the generation that is written
//! and those that are read; it advances one step at a time, and only when every configured node
//! supports the next step. [`state_machine::StateMachine`] makes that decision from its inputs
//! alone, without clocks or I/O. Safety with mixed processes: `docs/design/rollout.md`.

#![warn(missing_docs, unreachable_pub)]

pub mod config;
pub mod generation;
pub mod restart_order;
pub mod state_machine;
pub mod status;
