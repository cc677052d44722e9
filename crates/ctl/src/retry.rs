//! Retries of one request across nodes, as a state machine without clocks or sockets.
//!
//! If a node can't be reached or its response is not final, the next node is tried. Retries
//! follow the protocol: after a second or the delay that the node gives, for one minute in total.

use std::time::Duration;

const RETRY_DELAY: Duration = Duration::from_secs(1);
const MAX_RETRY_DELAY: Duration = Duration::from_secs(30);

/// Outcome of one attempt.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum AttemptOutcome {
    /// Status of a response, and its retry delay if it has one.
    Status(u16, Option<Duration>),
    /// No connection, or no response in time; the request may have been executed.
    NoResponse,
}

/// Next step after an attempt.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum RetryStep {
    /// The status is final.
    Final(u16),
    /// Retry at this node after a delay.
    Retry {
        /// Index of the node in the list.
        node: usize,
        /// Delay before the attempt.
        delay: Duration,
    },
    /// The time for retries has elapsed.
    GiveUp,
}

/// Attempts of one request at several nodes.
#[derive(Debug)]
pub struct RetryState {
    node_count: usize,
    node: usize,
    /// Time for retries, counted from the start of the first attempt.
    retry_time: Duration,
}

impl RetryState {
    /// Creates the state of a request that starts with the first of `node_count` nodes.
    pub fn new(node_count: usize, retry_time: Duration) -> Self {
        Self {
            node_count: node_count.max(1),
            node: 0,
            retry_time,
        }
    }

    /// Returns the node of the next attempt.
    pub fn node(&self) -> usize {
        self.node
    }

    /// Returns the next step after an attempt that ended `since_first` after the first one began.
    pub fn next_step(&mut self, since_first: Duration, outcome: AttemptOutcome) -> RetryStep {
        let retry_delay = match outcome {
            AttemptOutcome::Status(status @ (200 | 201 | 400 | 404 | 422), _) => {
                return RetryStep::Final(status);
            }
            AttemptOutcome::Status(_, retry_after) => retry_after
                .unwrap_or(RETRY_DELAY)
                .clamp(RETRY_DELAY, MAX_RETRY_DELAY),
            AttemptOutcome::NoResponse => RETRY_DELAY,
        };
        self.node = (self.node + 1) % self.node_count;
        // An unreachable node causes no delay until every node has been tried.
        let delay = match outcome {
            AttemptOutcome::NoResponse if self.node != 0 => Duration::ZERO,
            _ => retry_delay,
        };
        match since_first + delay < self.retry_time {
            true => RetryStep::Retry {
                node: self.node,
                delay,
            },
            false => RetryStep::GiveUp,
        }
    }
}
