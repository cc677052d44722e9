//! Messages between controller nodes: one JSON object per line.

use serde::{Deserialize, Serialize};

use crate::core::peer_message::PeerMessage;

#[derive(Debug, Serialize, Deserialize)]
pub struct Line {
    pub from: String,
    pub message: PeerMessage,
}
