//! Configuration errors, and reasons why a message is dropped.

use crate::Units;
use crate::loan::CellId;

/// A configuration that could violate the limit or a guarantee.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ConfigError {
    /// A cell guarantees more than it owns.
    #[error("cell {cell:?} guarantees {guarantee} units, over its base of {base}")]
    GuaranteeOverBase {
        /// The cell.
        cell: CellId,
        /// Its guarantee.
        guarantee: Units,
        /// Its base.
        base: Units,
    },
    /// The cells own more than the team may use.
    #[error("the bases of all cells sum to {sum}, over the limit of {limit}")]
    BasesOverLimit {
        /// The sum of all bases.
        sum: Units,
        /// The team's limit.
        limit: Units,
    },
    /// A loan would be unusable: lapsing, or expired by some clock, as soon as it is made.
    #[error("the loan term must exceed the lapse lead plus twice the clock bound")]
    TermTooShort,
    /// A cell is configured as its own peer.
    #[error("cell {0:?} is configured as its own peer")]
    OwnPeer(CellId),
}

/// Reason why a message was dropped. Its sender repeats what is still relevant.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, thiserror::Error)]
pub enum Refusal {
    /// The message can't be processed now.
    #[error("no record is known, or a write is in flight")]
    Busy,
    /// The sender is not in the configuration.
    #[error("the sender is not a configured peer")]
    UnknownPeer,
    /// The message refers to a record that was lost in the meantime.
    #[error("the message is for a record that no longer exists")]
    StaleRecord,
    /// Accepting the loan would use units that were already returned.
    #[error("the loan was returned, or is older than one already accepted")]
    StaleLoan,
    /// The loan is within its lapse lead and may no longer be used.
    #[error("the loan is about to expire")]
    LoanLapsing,
}
