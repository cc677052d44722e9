//! Rolling out a change of the stored state while old and new processes run side by side.
//!
//! The stored state has *generations*. One stored record says which generation is written
//! and which are read; it moves one step at a time, and only when every configured node is
//! able to follow. [`machine::Machine`] decides that, from what it is told and nothing else:
//! no clocks, no requests. Why no mix of processes breaks a rule: `docs/design/rollout.md`.

#![warn(missing_docs, unreachable_pub)]

pub mod config;
pub mod generation;
pub mod machine;
pub mod next;
pub mod view;
