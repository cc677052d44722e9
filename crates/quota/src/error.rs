//! What is wrong with a configuration, and why a message changes nothing.

use crate::Units;
use crate::loan::CellId;

/// A configuration under which the limit or a guarantee could not hold.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ConfigError {
    /// A cell would guarantee more than it owns.
    #[error("cell {cell:?} guarantees {guarantee} of a base of {base}")]
    GuaranteeOverBase {
        /// The cell.
        cell: CellId,
        /// Its guarantee.
        guarantee: Units,
        /// Its base.
        base: Units,
    },
    /// The cells would own more than the team may use.
    #[error("the cells' bases sum to {sum}, over the limit of {limit}")]
    BasesOverLimit {
        /// The sum of all bases.
        sum: Units,
        /// The team's limit.
        limit: Units,
    },
    /// Nothing could rest on a loan: it would lapse, or be over by some clock, once it is made.
    #[error("a loan's term must be over the lapse lead and twice the clock bound")]
    TermTooShort,
    /// A cell would lend to itself.
    #[error("cell {0:?} is named as its own peer")]
    OwnPeer(CellId),
}

/// Why a message was dropped. Its sender repeats what still matters.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, thiserror::Error)]
pub enum Refusal {
    /// The message can't be worked on now.
    #[error("no record is known, or a write is under way")]
    Busy,
    /// Nobody of that name is in the configuration.
    #[error("the sender is not a configured peer")]
    UnknownPeer,
    /// It answers a record that was lost meanwhile.
    #[error("the message is for a record that is no more")]
    OtherRecord,
    /// Taking it would use units that went back already.
    #[error("the loan was returned, or is older than one already taken")]
    OldLoan,
    /// Nothing may rest on it any more.
    #[error("the loan is about to end")]
    TooLate,
}
