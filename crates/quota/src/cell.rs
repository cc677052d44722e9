//! The state machine of one cell's leader, for one team and resource.
//!
//! The caller stores the record, conditional on its revision *and* on the leader's claim, carries
//! messages, and checks [`Cell::limit`] before each start; tasks over it must be stopped within the
//! lapse lead. One write is in flight at a time. No message about a write is sent, and no unit that
//! it adds is used, before the write is known to be stored.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::time::SystemTime;

use crate::Units;
use crate::division::divide;
use crate::error::{ConfigError, Refusal};
use crate::ledger::{Record, Share};
use crate::loan::{CellId, LoanId, RecordId, Terms};
use crate::message::{Holdings, Message, UnitRequest};

/// The revision of a stored record.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Revision(pub u64);

/// The condition of a write, in addition to the leader's claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Condition {
    /// The key must not exist.
    Absent,
    /// The key must still have this revision.
    Unchanged(Revision),
}

/// Current use and demand of the team's tasks in this cell.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Load {
    /// Upper bound on the units that its tasks use at this instant.
    pub in_use: Units,
    /// Units that its tasks would use if all that could be placed were placed.
    pub wanted: Units,
    /// Part of the team's guarantee that is unmet in this cell.
    pub unmet_guarantee: Units,
}

/// Inputs of the cell.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Input {
    /// The answer to [`Output::Read`].
    Found {
        /// The record as stored.
        record: Record,
        /// Revision of its last change.
        revision: Revision,
    },
    /// The answer to [`Output::Read`]: no record. The id must be greater than any earlier one, as
    /// the state service's revision at the read is.
    Absent {
        /// The id of the new record.
        new_id: RecordId,
    },
    /// The term of every former leader has ended, and the tasks that it started are included in
    /// [`Load::in_use`].
    Settled,
    /// Sent once per round of the leader.
    Poll(Load),
    /// A message from a peer was received.
    Received {
        /// The peer.
        from: CellId,
        /// The message.
        message: Message,
    },
    /// The write is stored.
    Stored {
        /// The revision of the new record.
        revision: Revision,
    },
    /// The write's condition failed.
    Conflict,
    /// The answer to the write or the read is lost: a write may be stored, now or later.
    Unclear,
}

/// Actions for the caller.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Output {
    /// Read the record, and answer with [`Input::Found`] or [`Input::Absent`].
    Read,
    /// Write the record, and answer with [`Input::Stored`], [`Input::Conflict`] or
    /// [`Input::Unclear`].
    Store {
        /// The record to write.
        record: Record,
        /// The condition of the write.
        condition: Condition,
    },
    /// Send a message. It may be lost.
    Send {
        /// The receiver.
        to: CellId,
        /// The message.
        message: Message,
    },
    /// A message was dropped; for logs and metrics.
    Refused {
        /// The sender of the message.
        from: CellId,
        /// The reason.
        refusal: Refusal,
    },
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Versioned {
    record: Record,
    revision: Revision,
}

/// The progress of a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Progress {
    InFlight,
    /// The answer was lost: it may still be stored, so it is retried if the record is unchanged.
    Unclear,
    /// The condition failed: it will never be stored.
    Failed,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Write {
    next: Record,
    progress: Progress,
}

/// The configuration of a cell.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Config {
    /// The cell itself.
    pub id: CellId,
    /// Its share of the limit.
    pub share: Share,
    /// Times that all cells agree on.
    pub terms: Terms,
    /// Cells that it lends to and borrows from.
    pub peers: BTreeSet<CellId>,
}

/// One leader's view of its cell's record. Each new leader creates a new one.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Cell {
    config: Config,
    known: Option<Versioned>,
    write: Option<Write>,
    settled: bool,
    requests: BTreeMap<CellId, UnitRequest>,
    /// Borrowed loans that their lenders have recalled.
    recalled: BTreeSet<LoanId>,
    /// Lent loans that this cell is recalling.
    recalling: BTreeSet<LoanId>,
    next_exchange: Option<SystemTime>,
}

impl Cell {
    /// Creates the state machine of a leader that has just claimed; it reads the record first.
    pub fn new(config: Config) -> Result<(Cell, Output), ConfigError> {
        let Config {
            id: cell,
            share: Share { base, guarantee },
            ref terms,
            ref peers,
        } = config;
        if guarantee > base {
            return Err(ConfigError::GuaranteeOverBase {
                cell,
                guarantee,
                base,
            });
        }
        if terms.term <= terms.lapse_lead + 2 * terms.clock_bound {
            return Err(ConfigError::TermTooShort);
        }
        if peers.contains(&cell) {
            return Err(ConfigError::OwnPeer(cell));
        }
        let cell = Cell {
            config,
            known: None,
            write: None,
            settled: false,
            requests: BTreeMap::new(),
            recalled: BTreeSet::new(),
            recalling: BTreeSet::new(),
            next_exchange: None,
        };
        Ok((cell, Output::Read))
    }

    /// Returns the units that the team's tasks may use now: the minimum over all records that may
    /// be the stored one. `None` until the record is read; no task may be started or
    /// stopped before.
    pub fn limit(&self, now: SystemTime) -> Option<Units> {
        let known = self.known.iter().map(|known| &known.record);
        let next = self.write.iter().map(|write| &write.next);
        known
            .chain(next)
            .map(|record| self.limit_of(record, now))
            .min()
    }

    /// Returns the record, unless a write is in flight.
    pub fn record(&self) -> Option<&Record> {
        let known = self.known.as_ref().filter(|_| self.write.is_none());
        known.map(|known| &known.record)
    }

    /// Applies an input and returns the actions for the caller.
    pub fn step(&mut self, now: SystemTime, input: Input) -> Vec<Output> {
        match input {
            Input::Found { record, revision } => self.on_found(record, revision),
            Input::Absent { new_id } => self.on_absent(now, new_id),
            Input::Settled => {
                self.settled = true;
                Vec::new()
            }
            Input::Poll(load) => self.on_poll(now, load),
            Input::Received { from, message } => match self.on_received(now, from, message) {
                Ok(outputs) => outputs,
                Err(refusal) => vec![Output::Refused { from, refusal }],
            },
            Input::Stored { revision } => self.on_stored(revision),
            Input::Conflict => self.reread_record(Progress::Failed),
            Input::Unclear => self.reread_record(Progress::Unclear),
        }
    }

    fn limit_of(&self, record: &Record, now: SystemTime) -> Units {
        record.limit(&self.config.share, &self.config.terms, now, &self.recalled)
    }

    // The stored record.

    fn on_found(&mut self, record: Record, revision: Revision) -> Vec<Output> {
        let Some(write) = &mut self.write else {
            return match self.known {
                None => self.adopt(record, revision),
                Some(_) => Vec::new(),
            };
        };
        if self
            .known
            .as_ref()
            .is_none_or(|known| known.revision != revision)
        {
            return self.adopt(record, revision);
        }
        match write.progress {
            Progress::InFlight => Vec::new(),
            Progress::Failed => {
                self.write = None;
                Vec::new()
            }
            Progress::Unclear => {
                write.progress = Progress::InFlight;
                let record = write.next.clone();
                vec![Output::Store {
                    record,
                    condition: Condition::Unchanged(revision),
                }]
            }
        }
    }

    fn on_absent(&mut self, now: SystemTime, new_id: RecordId) -> Vec<Output> {
        if self.record().is_some() {
            return Vec::new();
        }
        let record = Record::after_loss(new_id, now, &self.config.terms);
        self.write = Some(Write {
            next: record.clone(),
            progress: Progress::InFlight,
        });
        vec![Output::Store {
            record,
            condition: Condition::Absent,
        }]
    }

    fn on_stored(&mut self, revision: Revision) -> Vec<Output> {
        match self.write.take() {
            Some(write) => self.adopt(write.next, revision),
            None => Vec::new(),
        }
    }

    /// Handles a failed write or one of unknown result: the record is read again before any message
    /// is sent.
    fn reread_record(&mut self, progress: Progress) -> Vec<Output> {
        match &mut self.write {
            Some(write) if write.progress == Progress::InFlight => write.progress = progress,
            Some(_) => {}
            None if self.known.is_none() => {}
            None => return Vec::new(),
        }
        vec![Output::Read]
    }

    fn adopt(&mut self, record: Record, revision: Revision) -> Vec<Output> {
        self.write = None;
        let before = self.known.replace(Versioned {
            record: record.clone(),
            revision,
        });
        self.recalled.retain(|id| record.borrowed.contains_key(id));
        self.recalling.retain(|id| record.lent.contains_key(id));
        messages_after_store(
            before.as_ref().map(|known| &known.record),
            &record,
            &self.config.peers,
        )
    }

    /// Stores a record if it differs from the known one.
    fn store(&mut self, next: Record) -> Vec<Output> {
        let Some(known) = &self.known else {
            return Vec::new();
        };
        if next == known.record {
            return Vec::new();
        }
        let condition = Condition::Unchanged(known.revision);
        self.write = Some(Write {
            next: next.clone(),
            progress: Progress::InFlight,
        });
        vec![Output::Store {
            record: next,
            condition,
        }]
    }

    // Messages.

    fn on_received(
        &mut self,
        now: SystemTime,
        from: CellId,
        message: Message,
    ) -> Result<Vec<Output>, Refusal> {
        if !self.config.peers.contains(&from) {
            return Err(Refusal::UnknownPeer);
        }
        let Some(mut next) = self.record().cloned() else {
            return Err(Refusal::Busy);
        };
        let terms = &self.config.terms;
        match message {
            Message::Request(request) => {
                self.requests.insert(from, request);
                Ok(Vec::new())
            }
            Message::Recall(loan) => {
                if !next.borrowed.contains_key(&loan) {
                    return Err(Refusal::StaleLoan);
                }
                self.recalled.insert(loan);
                Ok(Vec::new())
            }
            Message::Grant(grant) => {
                next.accept_grant(&grant, now, terms)?;
                let renewed = next != *self.record().ok_or(Refusal::Busy)?;
                if renewed {
                    self.recalled.remove(&grant.loan);
                }
                Ok(self.store(next))
            }
            Message::Holdings(holdings) => {
                let mut outputs = unaccepted_grants(&next, from, &holdings);
                next.reconcile(from, &holdings);
                next.renew(from, &holdings, &self.recalling, now, terms);
                outputs.extend(self.store(next));
                Ok(outputs)
            }
        }
    }

    // Rounds of the leader.

    fn on_poll(&mut self, now: SystemTime, load: Load) -> Vec<Output> {
        let Some(mut next) = self.record().cloned() else {
            return Vec::new();
        };
        let mut outputs = Vec::new();
        if self.next_exchange.is_none_or(|at| now >= at) {
            self.next_exchange = Some(now + self.config.terms.interval);
            outputs.extend(self.exchange(&next, now, load));
        }
        next.expire(now, &self.config.terms);
        if self.settled {
            self.return_loans(&mut next, now, load);
            self.lend(&mut next, now, load);
        }
        self.requests.clear();
        outputs.extend(self.store(next));
        outputs
    }

    /// Sends each peer the holdings of its loans, and requests missing units.
    fn exchange(&mut self, record: &Record, now: SystemTime, load: Load) -> Vec<Output> {
        let missing = load.wanted.saturating_sub(self.limit_of(record, now));
        self.recalling = self.loans_to_recall(record, now, missing);
        let mut outputs = Vec::new();
        for &to in &self.config.peers {
            let message = Message::Holdings(record.holdings(to));
            outputs.push(Output::Send { to, message });
            if missing > 0 {
                let unmet_guarantee = load.unmet_guarantee.min(missing);
                let request = UnitRequest {
                    record: record.id,
                    units: missing,
                    unmet_guarantee,
                };
                outputs.push(Output::Send {
                    to,
                    message: Message::Request(request),
                });
            }
        }
        for loan in &self.recalling {
            if let Some(lent) = record.lent.get(loan) {
                let message = Message::Recall(*loan);
                outputs.push(Output::Send {
                    to: lent.borrower,
                    message,
                });
            }
        }
        outputs
    }

    /// Returns the newest loans, past their hold time, that together cover the missing units.
    fn loans_to_recall(
        &self,
        record: &Record,
        now: SystemTime,
        missing: Units,
    ) -> BTreeSet<LoanId> {
        let hold = self.config.terms.hold;
        let mut remaining = missing;
        let mut recalls = BTreeSet::new();
        for (id, loan) in record.lent.iter().rev() {
            if remaining > 0 && now >= loan.made_at + hold {
                remaining = remaining.saturating_sub(loan.units);
                recalls.insert(*id);
            }
        }
        recalls
    }

    /// Returns units that are not needed, and all unused units of recalled or lapsing loans.
    /// Units in use count against the loans that end last: a task that uses a recalled loan may
    /// outlast another loan's end.
    fn return_loans(&self, next: &mut Record, now: SystemTime, load: Load) {
        let limit = self.limit_of(next, now);
        let mut remaining_in_use = load.in_use.saturating_sub(limit);
        let mut surplus = limit.saturating_sub(load.in_use.max(load.wanted));
        let mut loans: Vec<_> = next.borrowed.clone().into_iter().collect();
        loans.sort_by_key(|(id, loan)| (Reverse(loan.end), *id));
        for (id, loan) in loans {
            let is_ending =
                self.config.terms.is_lapsing(now, loan.end) || self.recalled.contains(&id);
            let returned = if is_ending {
                let kept = loan.units.min(remaining_in_use);
                remaining_in_use -= kept;
                loan.units - kept
            } else {
                loan.units.min(surplus)
            };
            if !is_ending {
                surplus -= returned;
            }
            next.return_units(&id, returned);
        }
    }

    /// Lends units that the cell needs neither for its tasks nor for its guarantee. Tasks count
    /// against the base alone, so that borrowed units are never lent on.
    fn lend(&self, next: &mut Record, now: SystemTime, load: Load) {
        let Config {
            id, share, terms, ..
        } = &self.config;
        let kept = load.in_use.max(load.wanted).max(share.guarantee);
        let free = next.own_units(share, now).saturating_sub(kept);
        for (borrower, units) in divide(free, &self.requests) {
            let record = self.requests[&borrower].record;
            next.lend(*id, (borrower, record), units, now, terms);
        }
    }
}

/// Returns the messages enabled by a stored record: new grants, renewals and changed holdings.
fn messages_after_store(
    before: Option<&Record>,
    after: &Record,
    peers: &BTreeSet<CellId>,
) -> Vec<Output> {
    let mut outputs = Vec::new();
    for (id, lent) in &after.lent {
        let grant = after.grant(id);
        let previous = before.and_then(|before| before.grant(id));
        if let Some(grant) =
            grant.filter(|grant| Some(grant.end) != previous.map(|previous| previous.end))
        {
            let message = Message::Grant(grant);
            outputs.push(Output::Send {
                to: lent.borrower,
                message,
            });
        }
    }
    for &to in peers {
        let holdings = after.holdings(to);
        if before.is_none_or(|before| before.holdings(to) != holdings) {
            outputs.push(Output::Send {
                to,
                message: Message::Holdings(holdings),
            });
        }
    }
    outputs
}

/// Returns the grants that a borrower has not accepted yet, according to its holdings.
fn unaccepted_grants(record: &Record, from: CellId, holdings: &Holdings) -> Vec<Output> {
    let unaccepted = record.lent.iter().filter(|(id, loan)| {
        let is_same_borrower = (loan.borrower, loan.borrower_record) == (from, holdings.record);
        is_same_borrower && holdings.newest.is_none_or(|newest| newest < **id)
    });
    let grants = unaccepted.filter_map(|(id, _)| record.grant(id));
    grants
        .map(|grant| Output::Send {
            to: from,
            message: Message::Grant(grant),
        })
        .collect()
}
