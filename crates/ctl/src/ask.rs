//! Retries of one request across nodes, as a state machine without clocks or sockets.
//!
//! If a node can't be reached or its response is not final, the next node is tried. Retries
//! follow the protocol: after a second or the delay that the node gives, for a minute in all.

use std::time::Duration;

const PAUSE: Duration = Duration::from_secs(1);
const PAUSE_MOST: Duration = Duration::from_secs(30);

/// Outcome of one attempt.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Tried {
    /// Status of a response, and its retry delay if it has one.
    Status(u16, Option<Duration>),
    /// No connection, or no response in time; the request may have been executed.
    Nothing,
}

/// Next step after an attempt.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Next {
    /// The status is final.
    Final(u16),
    /// Retry at this node after a delay.
    Again {
        /// Index of the node in the list.
        node: usize,
        /// Delay before the attempt.
        after: Duration,
    },
    /// The time for retries is over.
    GiveUp,
}

/// Attempts of one request at several nodes.
#[derive(Debug)]
pub struct Ask {
    nodes: usize,
    node: usize,
    /// Time for retries, counted from the start of the first attempt.
    within: Duration,
}

impl Ask {
    /// Creates the state of a request that starts with the first of `nodes` nodes.
    pub fn new(nodes: usize, within: Duration) -> Self {
        Self {
            nodes: nodes.max(1),
            node: 0,
            within,
        }
    }

    /// Returns the node of the next attempt.
    pub fn node(&self) -> usize {
        self.node
    }

    /// Returns the next step after an attempt that ended `since_first` after the first one began.
    pub fn step(&mut self, since_first: Duration, tried: Tried) -> Next {
        let wait = match tried {
            Tried::Status(status @ (200 | 201 | 400 | 404 | 422), _) => {
                return Next::Final(status);
            }
            Tried::Status(_, retry) => retry.unwrap_or(PAUSE).clamp(PAUSE, PAUSE_MOST),
            Tried::Nothing => PAUSE,
        };
        self.node = (self.node + 1) % self.nodes;
        // An unreachable node causes no delay until every node has been tried.
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
