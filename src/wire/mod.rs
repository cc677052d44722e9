//! The messages of every interface. This is the only place that knows the
//! protocol's own field names; the rest of the program uses the field's terms.

pub mod cloud;
pub mod peer;
pub mod state;
pub mod user;
pub mod worker;
