//! Loans of base units: parties, amount and expiry.

use std::time::{Duration, SystemTime};

use crate::Units;

/// The id of a cell: its index in the configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CellId(pub u16);

/// The incarnation of a cell's record; a record created after a loss has a greater one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RecordId(pub u64);

/// The unique id of a loan: numbers are never reused. Loans of one lender are ordered by age.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LoanId {
    /// The cell that owns the units.
    pub lender: CellId,
    /// The lender's record that assigned the number.
    pub record: RecordId,
    /// Sequence number, incremented by the lender for each loan.
    pub number: u64,
}

/// A loan as its lender stores it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Lent {
    /// The cell that uses the units.
    pub borrower: CellId,
    /// The borrower's record that the loan was made to.
    pub borrower_record: RecordId,
    /// Units of the loan; only decrease.
    pub units: Units,
    /// Expiry by the wall clock; only moves forward.
    pub end: SystemTime,
    /// Time at which the loan was made.
    pub made_at: SystemTime,
}

/// A loan as its borrower stores it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Borrowed {
    /// Units of the loan; only decrease.
    pub units: Units,
    /// Expiry by the wall clock; only moves forward.
    pub end: SystemTime,
}

/// Times that all cells agree on.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Terms {
    /// Duration of a loan from each renewal.
    pub term: Duration,
    /// Upper bound on the time to stop a task under any failure.
    pub lapse_lead: Duration,
    /// Maximum deviation of any clock from true time.
    pub clock_bound: Duration,
    /// Interval between two rounds of messages.
    pub interval: Duration,
    /// Minimum time before a loan is recalled.
    pub hold: Duration,
}

impl Terms {
    /// Returns the time from which a loan is unused by any clock: the end is absolute, so the
    /// reader's clock and the borrower's may each be off by the bound.
    pub(crate) fn expired_for_all(&self, end: SystemTime) -> SystemTime {
        end + 2 * self.clock_bound
    }

    /// Returns the time after which all loans that a lost record may have named have expired. Four
    /// clocks are involved: the one that set the last end, its borrower's, the one that detected
    /// the loss, and the one that checks.
    pub(crate) fn quarantine(&self) -> Duration {
        self.term + 4 * self.clock_bound
    }

    /// Returns whether a loan is within its lapse lead, so that it may not be used.
    pub(crate) fn is_lapsing(&self, now: SystemTime, end: SystemTime) -> bool {
        now + self.lapse_lead >= end
    }

    /// Returns whether a third of the term has passed since a loan was made or renewed.
    pub(crate) fn is_renewal_due(&self, now: SystemTime, end: SystemTime) -> bool {
        now + self.term * 2 / 3 >= end
    }
}
