//! Messages between cells. Any message may be lost, delayed, duplicated or reordered.

use std::collections::BTreeMap;
use std::time::SystemTime;

use crate::Units;
use crate::loan::{LoanId, RecordId};

/// A message from one cell's leader to another's.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Message {
    /// A request for units.
    Request(UnitRequest),
    /// A loan, or its renewal.
    Grant(Grant),
    /// A lender's request to return the units of a loan.
    Recall(LoanId),
    /// The loans that the sender has borrowed from the receiver.
    Holdings(Holdings),
}

/// A request for units.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct UnitRequest {
    /// Record of the requester; a grant is valid for this record only.
    pub record: RecordId,
    /// Number of missing units.
    pub units: Units,
    /// Part of `units` that belongs to the team's unmet guarantee in the requester's cell.
    pub unmet_guarantee: Units,
}

/// A new loan, or the renewal of one until a later end. Stored by the lender before it is sent.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Grant {
    /// The loan.
    pub loan: LoanId,
    /// The borrower's record that the loan is made to.
    pub borrower_record: RecordId,
    /// Units of the loan.
    pub units: Units,
    /// Expiry by the wall clock.
    pub end: SystemTime,
}

/// The state of one lender's loans in a borrower's record. Stored before it is sent.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Holdings {
    /// The borrower's record.
    pub record: RecordId,
    /// The newest loan ever accepted; older ones are never accepted after it.
    pub newest: Option<LoanId>,
    /// Units of each loan that the borrower still holds.
    pub open: BTreeMap<LoanId, Units>,
}
