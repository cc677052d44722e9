//! What is wrong with a configuration, and why a message changes nothing.

use crate::Units;
use crate::loan::CellId;

/// A configuration under which the limit or a guarantee could not hold.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ConfigError {
    #[error("cell {cell:?} guarantees {guarantee} of a base of {base}")]
    GuaranteeOverBase {
        cell: CellId,
        guarantee: Units,
        base: Units,
    },
    #[error("the cells' bases sum to {sum}, over the limit of {limit}")]
    BasesOverLimit { sum: Units, limit: Units },
    #[error("a loan's term must be over the lapse lead and twice the clock bound")]
    TermTooShort,
    #[error("cell {0:?} is named as its own peer")]
    OwnPeer(CellId),
}

/// Why a message was dropped. Its sender repeats what still matters.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, thiserror::Error)]
pub enum Refusal {
    #[error("no record is known, or a write is under way")]
    Busy,
    #[error("the sender is not a configured peer")]
    UnknownPeer,
    #[error("the message is for a record that is no more")]
    OtherRecord,
    #[error("the loan was returned, or is older than one already taken")]
    OldLoan,
    #[error("the loan is about to end")]
    TooLate,
}
