//! A cell's stored record and the transitions of its loans, each as the record that follows.

use std::collections::{BTreeMap, BTreeSet};
use std::time::SystemTime;

use crate::Units;
use crate::error::{ConfigError, Refusal};
use crate::loan::{Borrowed, CellId, Lent, LoanId, RecordId, Terms};
use crate::message::{Grant, Holdings};

/// A cell's part of a team's limit and guarantee, by configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Share {
    /// Units of the limit that the cell owns, and may lend beyond its guarantee.
    pub base: Units,
    /// Never lent.
    pub guarantee: Units,
}

/// Checks that the shares of all cells can't add up to more than the limit.
pub fn check_shares(limit: Units, shares: &BTreeMap<CellId, Share>) -> Result<(), ConfigError> {
    for (&cell, &Share { base, guarantee }) in shares {
        if guarantee > base {
            return Err(ConfigError::GuaranteeOverBase {
                cell,
                guarantee,
                base,
            });
        }
    }
    let sum = shares
        .values()
        .fold(0, |sum: Units, share| sum.saturating_add(share.base));
    if sum > limit {
        return Err(ConfigError::BasesOverLimit { sum, limit });
    }
    Ok(())
}

/// What a cell stores of one team and resource.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Record {
    /// Which life of the cell's record this is.
    pub id: RecordId,
    /// Set where an earlier record was lost: until then the base may still be lent.
    pub quarantined_until: Option<SystemTime>,
    /// The number of the last loan made.
    pub last_number: u64,
    /// Loans to other cells that may still be in use.
    pub lent: BTreeMap<LoanId, Lent>,
    /// Loans from other cells that were not given back.
    pub borrowed: BTreeMap<LoanId, Borrowed>,
    /// The newest loan ever taken from each lender.
    pub newest_taken: BTreeMap<CellId, LoanId>,
}

impl Record {
    /// The first record of a cell, written when the cell is set up and never again.
    pub fn first(id: RecordId) -> Record {
        Record {
            id,
            quarantined_until: None,
            last_number: 0,
            lent: BTreeMap::new(),
            borrowed: BTreeMap::new(),
            newest_taken: BTreeMap::new(),
        }
    }

    /// The record of a cell whose earlier one is lost.
    pub(crate) fn after_loss(id: RecordId, now: SystemTime, terms: &Terms) -> Record {
        let until = now + terms.quarantine();
        Record {
            quarantined_until: Some(until),
            ..Record::first(id)
        }
    }

    /// Units of the base that are the cell's own now.
    pub(crate) fn own(&self, share: &Share, now: SystemTime) -> Units {
        if self.quarantined_until.is_some_and(|until| now < until) {
            return share.guarantee;
        }
        let lent: Units = self.lent.values().map(|loan| loan.units).sum();
        share.base.saturating_sub(lent)
    }

    /// What tasks may take: the cell's own units and those borrowed that are neither recalled
    /// nor within their lapse lead.
    pub fn limit(
        &self,
        share: &Share,
        terms: &Terms,
        now: SystemTime,
        recalled: &BTreeSet<LoanId>,
    ) -> Units {
        let usable = self
            .borrowed
            .iter()
            .filter(|(id, loan)| !terms.lapsing(now, loan.end) && !recalled.contains(id))
            .map(|(_, loan)| loan.units);
        self.own(share, now) + usable.sum::<Units>()
    }

    /// Makes a loan; the caller has checked that the units are free.
    pub(crate) fn lend(
        &mut self,
        lender: CellId,
        to: (CellId, RecordId),
        units: Units,
        now: SystemTime,
        terms: &Terms,
    ) {
        self.last_number += 1;
        let id = LoanId {
            lender,
            record: self.id,
            number: self.last_number,
        };
        let (borrower, borrower_record) = to;
        let end = now + terms.term;
        self.lent.insert(
            id,
            Lent {
                borrower,
                borrower_record,
                units,
                end,
                since: now,
            },
        );
    }

    /// The borrower takes a new loan, or the later end of one that it has.
    pub(crate) fn take(
        &mut self,
        grant: &Grant,
        now: SystemTime,
        terms: &Terms,
    ) -> Result<(), Refusal> {
        if grant.borrower_record != self.id {
            return Err(Refusal::OtherRecord);
        }
        if let Some(loan) = self.borrowed.get_mut(&grant.loan) {
            loan.end = loan.end.max(grant.end);
            return Ok(());
        }
        let lender = grant.loan.lender;
        if self
            .newest_taken
            .get(&lender)
            .is_some_and(|newest| *newest >= grant.loan)
        {
            return Err(Refusal::OldLoan);
        }
        if terms.lapsing(now, grant.end) {
            return Err(Refusal::TooLate);
        }
        let Grant {
            loan, units, end, ..
        } = *grant;
        self.newest_taken.insert(lender, loan);
        self.borrowed.insert(loan, Borrowed { units, end });
        Ok(())
    }

    /// Lowers a borrowed loan; at nothing it is returned.
    pub(crate) fn give_back(&mut self, loan: &LoanId, units: Units) {
        let Some(held) = self.borrowed.get_mut(loan) else {
            return;
        };
        held.units = held.units.saturating_sub(units);
        if held.units == 0 {
            self.borrowed.remove(loan);
        }
    }

    /// The lender takes in what a borrower still holds.
    pub(crate) fn reconcile(&mut self, from: CellId, holdings: &Holdings) {
        self.lent.retain(|id, loan| {
            if loan.borrower != from || loan.borrower_record != holdings.record {
                return true;
            }
            match holdings.open.get(id) {
                Some(&units) => loan.units = loan.units.min(units),
                None if holdings.newest.is_some_and(|newest| newest >= *id) => return false,
                None => {}
            }
            true
        });
    }

    /// The lender renews what a borrower still holds, if it is time, except what it recalls.
    pub(crate) fn renew(
        &mut self,
        from: CellId,
        holdings: &Holdings,
        recalling: &BTreeSet<LoanId>,
        now: SystemTime,
        terms: &Terms,
    ) {
        for id in holdings.open.keys().filter(|id| !recalling.contains(id)) {
            if let Some(loan) = self.lent.get_mut(id)
                && (loan.borrower, loan.borrower_record) == (from, holdings.record)
                && terms.renewal_due(now, loan.end)
            {
                loan.end = loan.end.max(now + terms.term);
            }
        }
    }

    /// Removes, on both sides, loans that nobody can use any more by any clock.
    pub(crate) fn expire(&mut self, now: SystemTime, terms: &Terms) {
        self.lent
            .retain(|_, loan| now < terms.surely_over(loan.end));
        self.borrowed
            .retain(|_, loan| now < terms.surely_over(loan.end));
        if self.quarantined_until.is_some_and(|until| now >= until) {
            self.quarantined_until = None;
        }
    }

    /// What the record says of one lender.
    pub fn holdings(&self, lender: CellId) -> Holdings {
        let open = self.borrowed.iter().filter(|(id, _)| id.lender == lender);
        Holdings {
            record: self.id,
            newest: self.newest_taken.get(&lender).copied(),
            open: open.map(|(id, loan)| (*id, loan.units)).collect(),
        }
    }

    /// The grant of a loan that this record has lent.
    pub fn grant(&self, loan: &LoanId) -> Option<Grant> {
        let Lent {
            borrower_record,
            units,
            end,
            ..
        } = *self.lent.get(loan)?;
        Some(Grant {
            loan: *loan,
            borrower_record,
            units,
            end,
        })
    }
}
