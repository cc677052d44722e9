//! Messages of every interface. Only this module knows the protocol's field names; the
//! rest of the program uses ordinary scheduling terms.

pub mod cloud;
pub mod peer;
pub mod state;
pub mod user;
pub mod worker;
