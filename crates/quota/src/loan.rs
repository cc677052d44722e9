//! A loan of base units: who it is from, how much, until when.

use std::time::{Duration, SystemTime};

use crate::Units;

/// A cell, by its place in the configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CellId(pub u16);

/// One life of a cell's record; a record that is made again after a loss has a greater one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RecordId(pub u64);

/// Names a loan for ever: numbers are not used again. Loans of one lender are ordered by age.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LoanId {
    /// The cell that owns the units.
    pub lender: CellId,
    /// The lender's record that counted the number.
    pub record: RecordId,
    /// Counted up by the lender for each loan.
    pub number: u64,
}

/// A loan as its lender stores it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Lent {
    /// The cell that uses the units.
    pub borrower: CellId,
    /// The borrower's record that the loan was made to.
    pub borrower_record: RecordId,
    /// Only falls.
    pub units: Units,
    /// Time of day; only rises.
    pub end: SystemTime,
    /// When the loan was made.
    pub since: SystemTime,
}

/// A loan as its borrower stores it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Borrowed {
    /// Only falls.
    pub units: Units,
    /// Time of day; only rises.
    pub end: SystemTime,
}

/// The times that all cells agree on.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Terms {
    /// How long a loan lasts from each renewal.
    pub term: Duration,
    /// How long it takes at most, whatever fails, until a task that is to stop is gone.
    pub lapse_lead: Duration,
    /// The furthest that any clock is from true time.
    pub clock_bound: Duration,
    /// The time between two rounds of messages.
    pub interval: Duration,
    /// For how long a loan is not asked back.
    pub hold: Duration,
}

impl Terms {
    /// When nobody uses a loan any more, by any clock: the end is absolute, so the reader's
    /// clock and the borrower's may each be off by the bound.
    pub(crate) fn surely_over(&self, end: SystemTime) -> SystemTime {
        end + 2 * self.clock_bound
    }

    /// When loans that a lost record may have named are over. Four clocks take part: the one that
    /// set the last end, its borrower's, the one that found the loss, and the one that asks.
    pub(crate) fn quarantine(&self) -> Duration {
        self.term + 4 * self.clock_bound
    }

    /// Whether a loan is within its lapse lead, so that nothing may rest on it.
    pub(crate) fn lapsing(&self, now: SystemTime, end: SystemTime) -> bool {
        now + self.lapse_lead >= end
    }

    /// Whether a third of the term has passed since a loan was made or renewed.
    pub(crate) fn renewal_due(&self, now: SystemTime, end: SystemTime) -> bool {
        now + self.term * 2 / 3 >= end
    }
}
