//! What cells say to each other. Any message may be lost, late, repeated or overtaken.

use std::collections::BTreeMap;
use std::time::SystemTime;

use crate::Units;
use crate::loan::{LoanId, RecordId};

/// A message from one cell's leader to another's.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Message {
    /// A request for units.
    Ask(Ask),
    /// A loan, or its renewal.
    Grant(Grant),
    /// The lender needs the loan's units itself.
    Recall(LoanId),
    /// What the sender has borrowed of the receiver.
    Holdings(Holdings),
}

/// Units are wanted.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ask {
    /// The asker's record; a grant is for this one alone.
    pub record: RecordId,
    /// How many units are missing.
    pub units: Units,
    /// How much of it is the team's guarantee, unmet in the asker's cell.
    pub unmet_guarantee: Units,
}

/// A loan is made, or renewed until a later end. Stored by the lender before it is sent.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Grant {
    /// The loan.
    pub loan: LoanId,
    /// The borrower's record that it is made to.
    pub borrower_record: RecordId,
    /// How many units it has.
    pub units: Units,
    /// When it ends, by the time of day.
    pub end: SystemTime,
}

/// All that a borrower's record says of one lender. Stored before it is sent.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Holdings {
    /// The borrower's record.
    pub record: RecordId,
    /// The newest loan ever taken; older ones are never taken after it.
    pub newest: Option<LoanId>,
    /// Units of each loan that the borrower still holds.
    pub open: BTreeMap<LoanId, Units>,
}
