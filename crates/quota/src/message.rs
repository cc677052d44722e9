//! What cells say to each other. Any message may be lost, late, repeated or overtaken.

use std::collections::BTreeMap;
use std::time::SystemTime;

use crate::Units;
use crate::loan::{LoanId, RecordId};

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Message {
    Ask(Ask),
    Grant(Grant),
    /// The lender needs the loan's units itself.
    Recall(LoanId),
    Holdings(Holdings),
}

/// Units are wanted.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ask {
    /// The asker's record; a grant is for this one alone.
    pub record: RecordId,
    pub units: Units,
    /// How much of it is the team's guarantee, unmet in the asker's cell.
    pub unmet_guarantee: Units,
}

/// A loan is made, or renewed until a later end. Stored by the lender before it is sent.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Grant {
    pub loan: LoanId,
    pub borrower_record: RecordId,
    pub units: Units,
    pub end: SystemTime,
}

/// All that a borrower's record says of one lender. Stored before it is sent.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Holdings {
    pub record: RecordId,
    /// The newest loan ever taken; older ones are never taken after it.
    pub newest: Option<LoanId>,
    pub open: BTreeMap<LoanId, Units>,
}
