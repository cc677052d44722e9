//! Simulated deployment of a few cells. Every failure is a transition: lost, delayed, duplicated
//! and reordered messages, lost answers to writes, leader failovers, clock skew and lost records.
//!
//! Messages are never removed from the network, so any of them may be delivered never, late or
//! twice. Units in use are always at their maximum: each leader whose term may not have ended
//! starts tasks up to its limit at once, and a round may observe any smaller amount.

use std::collections::BTreeSet;
use std::time::{Duration, SystemTime};

use kiteyard_quota::Units;
use kiteyard_quota::cell::{Cell, Condition, Config, Input, Load, Output, Revision};
use kiteyard_quota::ledger::{Record, Share};
use kiteyard_quota::loan::{CellId, RecordId, Terms};
use kiteyard_quota::message::{Holdings, Message, UnitRequest};

pub const TICK: Duration = Duration::from_secs(1);
const TIME_OFFSET: Duration = Duration::from_secs(1000);

/// An injected fault, to verify that the search detects it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    LenderLowersBeforeBorrower,
    BorrowerUsesPastTheEnd,
    GrantSentBeforeStored,
    HoldingsSentBeforeStored,
    LoanNumberReused,
    ReturnedLoanAcceptedAgain,
    LenderIgnoresClockBound,
    BorrowerIgnoresClockBound,
    LimitLoweredAfterTheAnswer,
    LimitRaisedBeforeTheAnswer,
    UnsettledLeaderLowers,
    WriteWithoutClaim,
    UnclearTakenAsFailed,
    NoLapseLead,
    GrantForLostRecordAccepted,
}

/// Bounds of the search: events that may occur, and how often.
#[derive(Clone, Debug)]
pub struct Bounds {
    pub shares: Vec<Share>,
    pub horizon: u64,
    pub loans: u64,
    pub restarts: u8,
    pub lost_records: u8,
    /// Number of writes whose answer may be lost.
    pub lost_answers: u8,
    pub clocks: Vec<i64>,
    pub fault: Option<Fault>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Leader {
    cell: Cell,
    clock: i64,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Write {
    record: Record,
    condition: Condition,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Site {
    id: CellId,
    leader: Leader,
    former_leader: Option<Leader>,
    stored: Option<(Record, Revision)>,
    revision: u64,
    in_flight: Option<Write>,
    delayed: Vec<Write>,
    in_use: Units,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct World {
    time: u64,
    restarts: u8,
    lost_records: u8,
    lost_answers: u8,
    sites: Vec<Site>,
    network: BTreeSet<(CellId, CellId, Message)>,
}

/// Adds the result of a change to the possible next worlds.
type PushWorld<'a> = dyn FnMut(&dyn Fn(&mut World)) + 'a;

/// The answer that the sender of a write receives.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Answer {
    Delivered,
    Lost,
    LostAndDelayed,
}

fn clock(time: u64, skew: i64) -> SystemTime {
    SystemTime::UNIX_EPOCH
        + TIME_OFFSET
        + TICK * u32::try_from(time as i64 + 10 + skew).expect("a short simulation")
}

fn config(bounds: &Bounds, id: CellId) -> Config {
    let mut terms = Terms {
        term: 4 * TICK,
        lapse_lead: TICK,
        clock_bound: TICK,
        interval: 1000 * TICK,
        hold: Duration::ZERO,
    };
    match (bounds.fault, id.0) {
        (Some(Fault::LenderIgnoresClockBound), 0) => terms.clock_bound = Duration::ZERO,
        (Some(Fault::BorrowerIgnoresClockBound), 1) => terms.clock_bound = Duration::ZERO,
        (Some(Fault::NoLapseLead), _) => terms.lapse_lead = Duration::ZERO,
        _ => {}
    }
    let peers = (0..bounds.shares.len() as u16)
        .map(CellId)
        .filter(|peer| *peer != id);
    Config {
        id,
        share: bounds.shares[usize::from(id.0)],
        terms,
        peers: peers.collect(),
    }
}

impl World {
    /// Returns one initial world for each combination of clock skews.
    pub fn initial_worlds(bounds: &Bounds) -> Vec<World> {
        let cells = bounds.shares.len();
        let combinations = bounds.clocks.len().pow(cells as u32);
        (0..combinations)
            .map(|combination| World::initial(bounds, combination))
            .collect()
    }

    fn initial(bounds: &Bounds, mut combination: usize) -> World {
        let mut world = World {
            time: 0,
            restarts: bounds.restarts,
            lost_records: bounds.lost_records,
            lost_answers: bounds.lost_answers,
            sites: Vec::new(),
            network: BTreeSet::new(),
        };
        for cell in 0..bounds.shares.len() {
            let clock = bounds.clocks[combination % bounds.clocks.len()];
            combination /= bounds.clocks.len();
            let (state_machine, _) =
                Cell::new(config(bounds, CellId(cell as u16))).expect("a valid configuration");
            world.sites.push(Site {
                id: CellId(cell as u16),
                leader: Leader {
                    cell: state_machine,
                    clock,
                },
                former_leader: None,
                stored: Some((Record::first(RecordId(1)), Revision(1))),
                revision: 1,
                in_flight: None,
                delayed: Vec::new(),
                in_use: 0,
            });
            world.read(bounds, cell);
            world.step(bounds, cell, Input::Settled);
            world.step(bounds, cell, Input::Poll(Load::default()));
        }
        world.saturate_usage(bounds);
        world
    }

    /// Returns all possible next worlds.
    pub fn next(&self, bounds: &Bounds) -> Vec<World> {
        let mut next = Vec::new();
        let mut push = |change: &dyn Fn(&mut World)| {
            let mut world = self.clone();
            change(&mut world);
            world.saturate_usage(bounds);
            world.prune(bounds);
            if world != *self {
                next.push(world);
            }
        };
        if self.time < bounds.horizon {
            push(&|world| world.tick(bounds));
        }
        for (to, from, message) in &self.network {
            let input = Input::Received {
                from: *from,
                message: message.clone(),
            };
            push(&|world| world.step(bounds, usize::from(to.0), input.clone()));
        }
        for cell in 0..self.sites.len() {
            self.rounds(bounds, cell, &mut push);
            self.writes(bounds, cell, &mut push);
            if self.restarts > 0 && self.sites[cell].former_leader.is_none() {
                for &clock in &bounds.clocks {
                    push(&|world| world.restart(bounds, cell, clock, false));
                    if self.lost_records > 0 {
                        push(&|world| world.restart(bounds, cell, clock, true));
                    }
                }
            }
        }
        next
    }

    /// Adds the leader's rounds with and without a request, and recalls, which may arrive anytime.
    fn rounds(&self, bounds: &Bounds, cell: usize, push: &mut PushWorld) {
        let site = &self.sites[cell];
        let Some(record) = site.leader.cell.record() else {
            return;
        };
        for in_use in 0..=site.in_use {
            push(&|world| world.poll(bounds, cell, in_use, None));
            for requester in (0..self.sites.len())
                .filter(|requester| *requester != cell && record.last_loan_number < bounds.loans)
            {
                let Some((requester_record, _)) = &self.sites[requester].stored else {
                    continue;
                };
                for id in [RecordId(1), requester_record.id] {
                    let request = UnitRequest {
                        record: id,
                        units: 9,
                        unmet_guarantee: 0,
                    };
                    push(&|world| {
                        world.poll(bounds, cell, in_use, Some((requester, request.clone())))
                    });
                }
            }
        }
        for loan in record.borrowed.keys() {
            let input = Input::Received {
                from: loan.lender,
                message: Message::Recall(*loan),
            };
            push(&|world| {
                world.step(bounds, cell, input.clone());
                if bounds.fault == Some(Fault::LenderLowersBeforeBorrower) {
                    let holdings = Holdings {
                        record: RecordId(1),
                        newest: Some(*loan),
                        open: Default::default(),
                    };
                    let message = Message::Holdings(holdings);
                    let input = Input::Received {
                        from: CellId(cell as u16),
                        message,
                    };
                    world.step(bounds, usize::from(loan.lender.0), input);
                }
            });
        }
    }

    fn writes(&self, bounds: &Bounds, cell: usize, push: &mut PushWorld) {
        let site = &self.sites[cell];
        if site.in_flight.is_some() {
            for answer in [Answer::Delivered, Answer::Lost, Answer::LostAndDelayed] {
                if answer == Answer::Delivered || self.lost_answers > 0 {
                    push(&|world| world.answer(bounds, cell, answer));
                }
            }
        }
        for delayed in 0..site.delayed.len() {
            push(&|world| {
                let write = world.sites[cell].delayed.remove(delayed);
                world.sites[cell].apply_write(&write);
            });
        }
    }

    /// Advances true time by a tick, in which tasks over the limit stop and former terms end.
    fn tick(&mut self, bounds: &Bounds) {
        for cell in 0..self.sites.len() {
            let max_limit = self.sites[cell].limit(bounds, self.time);
            let site = &mut self.sites[cell];
            site.in_use = site.in_use.min(max_limit);
            site.former_leader = None;
        }
        self.time += 1;
        for cell in 0..self.sites.len() {
            self.step(bounds, cell, Input::Settled);
        }
    }

    fn poll(
        &mut self,
        bounds: &Bounds,
        cell: usize,
        in_use: Units,
        request: Option<(usize, UnitRequest)>,
    ) {
        self.sites[cell].in_use = in_use;
        if let Some((requester, request)) = request {
            let input = Input::Received {
                from: CellId(requester as u16),
                message: Message::Request(request),
            };
            self.step(bounds, cell, input);
        }
        self.step(
            bounds,
            cell,
            Input::Poll(Load {
                in_use,
                ..Load::default()
            }),
        );
    }

    fn step(&mut self, bounds: &Bounds, cell: usize, mut input: Input) {
        let site = &mut self.sites[cell];
        if let (
            Some(Fault::GrantForLostRecordAccepted),
            Input::Received {
                message: Message::Grant(grant),
                ..
            },
        ) = (bounds.fault, &mut input)
            && let Some(record) = site.leader.cell.record()
        {
            grant.borrower_record = record.id;
        }
        let now = clock(self.time, site.leader.clock);
        let outputs = site.leader.cell.step(now, input);
        for output in outputs {
            match output {
                Output::Read => self.read(bounds, cell),
                Output::Store { record, condition } => self.write(bounds, cell, record, condition),
                Output::Send { to, message } => self.send(cell, to, message),
                Output::Refused { .. } => {}
            }
        }
    }

    fn send(&mut self, cell: usize, to: CellId, message: Message) {
        let empty = matches!(&message, Message::Holdings(holdings) if holdings.newest.is_none());
        if !empty && !matches!(message, Message::Request(_) | Message::Recall(_)) {
            self.network.insert((to, CellId(cell as u16), message));
        }
    }

    fn read(&mut self, bounds: &Bounds, cell: usize) {
        let site = &self.sites[cell];
        let input = match site.stored.clone() {
            Some((record, revision)) => Input::Found { record, revision },
            None => Input::Absent {
                new_id: RecordId(site.revision),
            },
        };
        self.step(bounds, cell, input);
    }

    fn write(&mut self, bounds: &Bounds, cell: usize, mut record: Record, condition: Condition) {
        match bounds.fault {
            Some(Fault::GrantSentBeforeStored) => {
                for (loan, lent) in &record.lent {
                    let grant = record.grant(loan).expect("a loan that is lent");
                    self.send(cell, lent.borrower, Message::Grant(grant));
                }
            }
            Some(Fault::HoldingsSentBeforeStored) => {
                let holdings = record.holdings(CellId(0));
                self.send(cell, CellId(0), Message::Holdings(holdings));
            }
            Some(Fault::LoanNumberReused) => record.last_loan_number = 0,
            Some(Fault::ReturnedLoanAcceptedAgain) => record.newest_accepted.clear(),
            _ => {}
        }
        self.sites[cell].in_flight = Some(Write { record, condition });
    }

    fn answer(&mut self, bounds: &Bounds, cell: usize, answer: Answer) {
        if answer != Answer::Delivered {
            self.lost_answers -= 1;
        }
        let site = &mut self.sites[cell];
        let write = site.in_flight.take().expect("a write");
        let input = match answer {
            Answer::Delivered => site.apply_write(&write),
            Answer::Lost => {
                site.apply_write(&write);
                Input::Unclear
            }
            Answer::LostAndDelayed => {
                site.delayed.push(write);
                Input::Unclear
            }
        };
        let is_reported_failed =
            bounds.fault == Some(Fault::UnclearTakenAsFailed) && input == Input::Unclear;
        self.step(
            bounds,
            cell,
            if is_reported_failed {
                Input::Conflict
            } else {
                input
            },
        );
    }

    /// Starts a new leader, which claims and reads. Writes of the former one depend on its claim.
    fn restart(&mut self, bounds: &Bounds, cell: usize, clock: i64, loses_record: bool) {
        self.restarts -= 1;
        let (state_machine, _) =
            Cell::new(config(bounds, CellId(cell as u16))).expect("a valid configuration");
        let site = &mut self.sites[cell];
        let old = std::mem::replace(
            &mut site.leader,
            Leader {
                cell: state_machine,
                clock,
            },
        );
        site.former_leader = Some(old);
        let in_flight = site.in_flight.take();
        if bounds.fault == Some(Fault::WriteWithoutClaim) {
            site.delayed.extend(in_flight);
        } else {
            site.delayed.clear();
        }
        if loses_record {
            self.lost_records -= 1;
            site.stored = None;
            site.revision += 1;
        }
        self.read(bounds, cell);
        if bounds.fault == Some(Fault::UnsettledLeaderLowers) {
            self.step(bounds, cell, Input::Settled);
        }
    }

    /// Raises the units in use to the limit of every leader whose term may not have ended.
    fn saturate_usage(&mut self, bounds: &Bounds) {
        for site in &mut self.sites {
            site.in_use = site.in_use.max(site.limit(bounds, self.time));
        }
    }

    /// Drops writes whose condition can't hold again and messages about ended loans. Loan
    /// numbers only grow, so no reachable violation is lost.
    fn prune(&mut self, bounds: &Bounds) {
        for site in &mut self.sites {
            let stored = site
                .stored
                .as_ref()
                .map(|stored| Condition::Unchanged(stored.1));
            site.delayed
                .retain(|write| Some(write.condition) == stored.or(Some(Condition::Absent)));
        }
        if bounds.lost_records > 0 || bounds.fault.is_some() {
            return;
        }
        let sites = &self.sites;
        self.network.retain(|(to, from, message)| {
            let Some((record, _)) = &sites[usize::from(to.0)].stored else {
                return true;
            };
            match message {
                Message::Grant(grant) => {
                    let open = record
                        .borrowed
                        .get(&grant.loan)
                        .is_some_and(|loan| loan.end < grant.end);
                    open || record
                        .newest_accepted
                        .get(from)
                        .is_none_or(|newest| *newest < grant.loan)
                }
                Message::Holdings(holdings) => record
                    .lent
                    .keys()
                    .any(|loan| holdings.newest.is_some_and(|newest| newest >= *loan)),
                Message::Request(_) | Message::Recall(_) => true,
            }
        });
    }

    /// Checks the invariants of every state.
    pub fn check(&self, bounds: &Bounds) -> Result<(), String> {
        let limit: Units = bounds.shares.iter().map(|share| share.base).sum();
        let in_use: Units = self.sites.iter().map(|site| site.in_use).sum();
        if in_use > limit {
            return Err(format!("{in_use} units in use, over the limit of {limit}"));
        }
        for (site, share) in self.sites.iter().zip(&bounds.shares) {
            let lent = |record: &Record| record.lent.values().map(|loan| loan.units).sum::<Units>();
            if let Some((record, _)) = &site.stored
                && lent(record) + share.guarantee > share.base
            {
                return Err("guaranteed or borrowed units are lent".into());
            }
            let now = clock(self.time, site.leader.clock);
            if site
                .leader
                .cell
                .limit(now)
                .is_some_and(|limit| limit < share.guarantee)
            {
                return Err("the limit is below the guarantee".into());
            }
        }
        Ok(())
    }
}

impl Site {
    /// Returns the maximum units that any leader of this cell lets tasks use.
    fn limit(&self, bounds: &Bounds, time: u64) -> Units {
        let leaders = std::iter::once(&self.leader).chain(&self.former_leader);
        let limits = leaders.filter_map(|leader| {
            let delay = if bounds.fault == Some(Fault::BorrowerUsesPastTheEnd) {
                3
            } else {
                0
            };
            leader.cell.limit(clock(time, leader.clock - delay))
        });
        let max_limit = limits.max().unwrap_or(0);
        max_limit.max(self.faulty_limit(bounds, time).unwrap_or(0))
    }

    /// Returns the limit of the record before or after the write in flight, if a fault uses it.
    fn faulty_limit(&self, bounds: &Bounds, time: u64) -> Option<Units> {
        let write = self.in_flight.as_ref()?;
        let record = match bounds.fault? {
            Fault::LimitLoweredAfterTheAnswer => &self.stored.as_ref()?.0,
            Fault::LimitRaisedBeforeTheAnswer => &write.record,
            _ => return None,
        };
        let Config { share, terms, .. } = config(bounds, self.id);
        let now = clock(time, self.leader.clock);
        Some(record.limit(&share, &terms, now, &BTreeSet::new()))
    }

    fn apply_write(&mut self, write: &Write) -> Input {
        let holds = match write.condition {
            Condition::Absent => self.stored.is_none(),
            Condition::Unchanged(revision) => self
                .stored
                .as_ref()
                .is_some_and(|stored| stored.1 == revision),
        };
        if !holds {
            return Input::Conflict;
        }
        self.revision += 1;
        let revision = Revision(self.revision);
        self.stored = Some((write.record.clone(), revision));
        Input::Stored { revision }
    }
}
