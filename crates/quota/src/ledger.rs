//! A cell's stored record and the transitions of its loans; each transition yields a new record.

use std::collections::{BTreeMap, BTreeSet};
use std::time::SystemTime;

use crate::Units;
use crate::error::{ConfigError, Refusal};
use crate::loan::{Borrowed, CellId, Lent, LoanId, RecordId, Terms};
use crate::message::{Grant, Holdings};

/// A cell's configured share of a team's limit and guarantee.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Share {
    /// Units of the limit that the cell owns; the part beyond its guarantee may be lent.
    pub base: Units,
    /// Units that are never lent.
    pub guarantee: Units,
}

/// Checks that the shares of all cells don't add up to more than the limit.
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

/// The stored record of a cell for one team and resource.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Record {
    /// Incarnation of the cell's record.
    pub id: RecordId,
    /// Set after the loss of an earlier record: the base may still be lent until then.
    pub quarantined_until: Option<SystemTime>,
    /// Number of the last loan made.
    pub last_loan_number: u64,
    /// Loans to other cells that may still be in use.
    pub lent: BTreeMap<LoanId, Lent>,
    /// Loans from other cells that have not been returned.
    pub borrowed: BTreeMap<LoanId, Borrowed>,
    /// The newest loan ever accepted from each lender.
    pub newest_accepted: BTreeMap<CellId, LoanId>,
}

impl Record {
    /// Creates the first record of a cell, written only when the cell is set up.
    pub fn first(id: RecordId) -> Record {
        Record {
            id,
            quarantined_until: None,
            last_loan_number: 0,
            lent: BTreeMap::new(),
            borrowed: BTreeMap::new(),
            newest_accepted: BTreeMap::new(),
        }
    }

    /// Creates the record of a cell whose earlier one is lost.
    pub(crate) fn after_loss(id: RecordId, now: SystemTime, terms: &Terms) -> Record {
        let until = now + terms.quarantine();
        Record {
            quarantined_until: Some(until),
            ..Record::first(id)
        }
    }

    /// Returns the units of the base that are not lent; only the guarantee during quarantine.
    pub(crate) fn own_units(&self, share: &Share, now: SystemTime) -> Units {
        if self.quarantined_until.is_some_and(|until| now < until) {
            return share.guarantee;
        }
        let lent: Units = self.lent.values().map(|loan| loan.units).sum();
        share.base.saturating_sub(lent)
    }

    /// Returns the units that tasks may use: the cell's own units and the borrowed ones that are
    /// neither recalled nor within their lapse lead.
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
            .filter(|(id, loan)| !terms.is_lapsing(now, loan.end) && !recalled.contains(id))
            .map(|(_, loan)| loan.units);
        self.own_units(share, now) + usable.sum::<Units>()
    }

    /// Makes a loan. The caller must have checked that the units are free.
    pub(crate) fn lend(
        &mut self,
        lender: CellId,
        to: (CellId, RecordId),
        units: Units,
        now: SystemTime,
        terms: &Terms,
    ) {
        self.last_loan_number += 1;
        let id = LoanId {
            lender,
            record: self.id,
            number: self.last_loan_number,
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
                made_at: now,
            },
        );
    }

    /// Accepts a new loan as the borrower, or the later end of a loan that it already has.
    pub(crate) fn accept_grant(
        &mut self,
        grant: &Grant,
        now: SystemTime,
        terms: &Terms,
    ) -> Result<(), Refusal> {
        if grant.borrower_record != self.id {
            return Err(Refusal::StaleRecord);
        }
        if let Some(loan) = self.borrowed.get_mut(&grant.loan) {
            loan.end = loan.end.max(grant.end);
            return Ok(());
        }
        let lender = grant.loan.lender;
        if self
            .newest_accepted
            .get(&lender)
            .is_some_and(|newest| *newest >= grant.loan)
        {
            return Err(Refusal::StaleLoan);
        }
        if terms.is_lapsing(now, grant.end) {
            return Err(Refusal::LoanLapsing);
        }
        let Grant {
            loan, units, end, ..
        } = *grant;
        self.newest_accepted.insert(lender, loan);
        self.borrowed.insert(loan, Borrowed { units, end });
        Ok(())
    }

    /// Gives back units of a borrowed loan; removes the loan when no units remain.
    pub(crate) fn return_units(&mut self, loan: &LoanId, units: Units) {
        let Some(held) = self.borrowed.get_mut(loan) else {
            return;
        };
        held.units = held.units.saturating_sub(units);
        if held.units == 0 {
            self.borrowed.remove(loan);
        }
    }

    /// Applies a borrower's holdings to the loans made to it.
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

    /// Renews the loans that a borrower still holds and whose renewal is due, except recalled ones.
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
                && terms.is_renewal_due(now, loan.end)
            {
                loan.end = loan.end.max(now + terms.term);
            }
        }
    }

    /// Removes loans, lent and borrowed, that are expired by any clock.
    pub(crate) fn expire(&mut self, now: SystemTime, terms: &Terms) {
        self.lent
            .retain(|_, loan| now < terms.expired_for_all(loan.end));
        self.borrowed
            .retain(|_, loan| now < terms.expired_for_all(loan.end));
        if self.quarantined_until.is_some_and(|until| now >= until) {
            self.quarantined_until = None;
        }
    }

    /// Returns the holdings of one lender's loans.
    pub fn holdings(&self, lender: CellId) -> Holdings {
        let open = self.borrowed.iter().filter(|(id, _)| id.lender == lender);
        Holdings {
            record: self.id,
            newest: self.newest_accepted.get(&lender).copied(),
            open: open.map(|(id, loan)| (*id, loan.units)).collect(),
        }
    }

    /// Returns the grant of a loan that this record has lent.
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
