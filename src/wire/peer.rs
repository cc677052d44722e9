//! What controller nodes tell one another: one JSON object a line.

use serde::{Deserialize, Serialize};

use crate::core::heartbeat_forwarding::PeerMessage;

#[derive(Debug, Serialize, Deserialize)]
pub struct Line {
    pub from: String,
    pub message: PeerMessage,
}
