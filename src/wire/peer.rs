//! What controller nodes tell one another: one JSON object a line.

use serde::{Deserialize, Serialize};

use crate::core::peer_message::PeerMessage;

#[derive(Debug, Serialize, Deserialize)]
pub struct Line {
    pub from: String,
    pub message: PeerMessage,
}
