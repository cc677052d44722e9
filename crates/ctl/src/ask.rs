//! One request to whichever node answers it: a state machine without clocks or sockets.
//!
//! A node that can't be reached, or that answers with anything but a final status, is
//! followed by the next one. Asked again is as the protocol says: after a second, or when
//! the node says so, and for a minute in all.

use std::time::Duration;

const PAUSE: Duration = Duration::from_secs(1);
const PAUSE_MOST: Duration = Duration::from_secs(30);

/// What came of one try.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Tried {
    /// A node answered with this status, and after how long it may be asked again, if it said so.
    Status(u16, Option<Duration>),
    /// No connection, or no answer in time: it may have been executed.
    Nothing,
}

/// What to do after a try.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Next {
    /// The status is the answer.
    Final(u16),
    /// Ask this node, after this time.
    Again {
        /// The node's place in the list.
        node: usize,
        /// How long to wait first.
        after: Duration,
    },
    /// The time is over.
    GiveUp,
}

/// The tries of one request at several nodes.
#[derive(Debug)]
pub struct Ask {
    nodes: usize,
    node: usize,
    /// Until then it is asked again, counted from the first try.
    within: Duration,
}

impl Ask {
    /// A request that begins with the first of so many nodes.
    pub fn new(nodes: usize, within: Duration) -> Self {
        Self {
            nodes: nodes.max(1),
            node: 0,
            within,
        }
    }

    /// The node to ask first.
    pub fn node(&self) -> usize {
        self.node
    }

    /// Says what follows from a try that ended so long after the first one began.
    pub fn step(&mut self, since_first: Duration, tried: Tried) -> Next {
        let wait = match tried {
            Tried::Status(status @ (200 | 201 | 400 | 404 | 422), _) => {
                return Next::Final(status);
            }
            Tried::Status(_, retry) => retry.unwrap_or(PAUSE).clamp(PAUSE, PAUSE_MOST),
            Tried::Nothing => PAUSE,
        };
        self.node = (self.node + 1) % self.nodes;
        // One that can't be reached costs no pause while others were not asked.
        let after = match tried {
            Tried::Nothing if self.node != 0 => Duration::ZERO,
            _ => wait,
        };
        match since_first + after < self.within {
            true => Next::Again {
                node: self.node,
                after,
            },
            false => Next::GiveUp,
        }
    }
}
