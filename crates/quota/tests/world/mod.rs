//! Simulated deployment of a few cells. Every failure is a transition: lost, delayed, duplicated
//! and reordered messages, lost answers to writes, leader failovers, clock skew and lost records.
//!
//! Messages are never removed from the network, so any of them may be delivered never, late or
//! twice. Units in use are always at their maximum: each leader whose term may last starts tasks up
//! to its limit at once, and a round may find any smaller amount.

use std::collections::BTreeSet;
use std::time::{Duration, SystemTime};

use kiteyard_quota::Units;
use kiteyard_quota::cell::{Cell, Condition, Config, Input, Load, Output, Revision};
use kiteyard_quota::ledger::{Record, Share};
use kiteyard_quota::loan::{CellId, RecordId, Terms};
use kiteyard_quota::message::{Ask, Holdings, Message};

pub const TICK: Duration = Duration::from_secs(1);
const START: Duration = Duration::from_secs(1000);

/// An injected fault, to verify that the search detects it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    LenderLowersFirst,
    BorrowerUsesPastTheEnd,
    GrantSentBeforeStored,
    HoldingsSentBeforeStored,
    LoanNumberReused,
    ReturnedLoanTakenAgain,
    LenderIgnoresClockBound,
    BorrowerReturnsAtItsOwnEnd,
    LimitLoweredAfterTheAnswer,
    LimitRaisedBeforeTheAnswer,
    UnsettledLeaderLowers,
    WriteWithoutClaim,
    UnclearTakenAsFailed,
    NoLapseLead,
    GrantForLostRecordTaken,
}

/// Bounds of the search: events that may occur, and how often.
#[derive(Clone, Debug)]
pub struct Size {
    pub shares: Vec<Share>,
    pub horizon: u64,
    pub loans: u64,
    pub restarts: u8,
    pub losses: u8,
    /// Number of writes whose answer may be lost.
    pub unclear: u8,
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
    former: Option<Leader>,
    stored: Option<(Record, Revision)>,
    revision: u64,
    in_flight: Option<Write>,
    late: Vec<Write>,
    in_use: Units,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct World {
    time: u64,
    restarts: u8,
    losses: u8,
    unclear: u8,
    sites: Vec<Site>,
    network: BTreeSet<(CellId, CellId, Message)>,
}

/// Adds the result of a change to the possible next worlds.
type Push<'a> = dyn FnMut(&dyn Fn(&mut World)) + 'a;

/// The answer that the sender of a write receives.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Answer {
    Given,
    Lost,
    LostAndLate,
}

fn clock(time: u64, off: i64) -> SystemTime {
    SystemTime::UNIX_EPOCH
        + START
        + TICK * u32::try_from(time as i64 + 10 + off).expect("a short simulation")
}

fn config(size: &Size, id: CellId) -> Config {
    let mut terms = Terms {
        term: 4 * TICK,
        lapse_lead: TICK,
        clock_bound: TICK,
        interval: 1000 * TICK,
        hold: Duration::ZERO,
    };
    match (size.fault, id.0) {
        (Some(Fault::LenderIgnoresClockBound), 0) => terms.clock_bound = Duration::ZERO,
        (Some(Fault::BorrowerReturnsAtItsOwnEnd), 1) => terms.clock_bound = Duration::ZERO,
        (Some(Fault::NoLapseLead), _) => terms.lapse_lead = Duration::ZERO,
        _ => {}
    }
    let peers = (0..size.shares.len() as u16)
        .map(CellId)
        .filter(|peer| *peer != id);
    Config {
        id,
        share: size.shares[usize::from(id.0)],
        terms,
        peers: peers.collect(),
    }
}

impl World {
    /// Returns one initial world for each combination of clock skews.
    pub fn starts(size: &Size) -> Vec<World> {
        let cells = size.shares.len();
        let ways = size.clocks.len().pow(cells as u32);
        (0..ways).map(|way| World::start(size, way)).collect()
    }

    fn start(size: &Size, mut way: usize) -> World {
        let mut world = World {
            time: 0,
            restarts: size.restarts,
            losses: size.losses,
            unclear: size.unclear,
            sites: Vec::new(),
            network: BTreeSet::new(),
        };
        for cell in 0..size.shares.len() {
            let clock = size.clocks[way % size.clocks.len()];
            way /= size.clocks.len();
            let (machine, _) =
                Cell::new(config(size, CellId(cell as u16))).expect("a valid configuration");
            world.sites.push(Site {
                id: CellId(cell as u16),
                leader: Leader {
                    cell: machine,
                    clock,
                },
                former: None,
                stored: Some((Record::first(RecordId(1)), Revision(1))),
                revision: 1,
                in_flight: None,
                late: Vec::new(),
                in_use: 0,
            });
            world.read(size, cell);
            world.step(size, cell, Input::Settled);
            world.step(size, cell, Input::Poll(Load::default()));
        }
        world.use_all(size);
        world
    }

    /// Returns all possible next worlds.
    pub fn next(&self, size: &Size) -> Vec<World> {
        let mut next = Vec::new();
        let mut push = |change: &dyn Fn(&mut World)| {
            let mut world = self.clone();
            change(&mut world);
            world.use_all(size);
            world.forget(size);
            if world != *self {
                next.push(world);
            }
        };
        if self.time < size.horizon {
            push(&|world| world.tick(size));
        }
        for (to, from, message) in &self.network {
            let input = Input::Received {
                from: *from,
                message: message.clone(),
            };
            push(&|world| world.step(size, usize::from(to.0), input.clone()));
        }
        for cell in 0..self.sites.len() {
            self.rounds(size, cell, &mut push);
            self.writes(size, cell, &mut push);
            if self.restarts > 0 && self.sites[cell].former.is_none() {
                for &clock in &size.clocks {
                    push(&|world| world.restart(size, cell, clock, false));
                    if self.losses > 0 {
                        push(&|world| world.restart(size, cell, clock, true));
                    }
                }
            }
        }
        next
    }

    /// Adds the leader's rounds with and without a request, and recalls, which may arrive anytime.
    fn rounds(&self, size: &Size, cell: usize, push: &mut Push) {
        let site = &self.sites[cell];
        let Some(record) = site.leader.cell.record() else {
            return;
        };
        for in_use in 0..=site.in_use {
            push(&|world| world.poll(size, cell, in_use, None));
            for asker in (0..self.sites.len())
                .filter(|asker| *asker != cell && record.last_number < size.loans)
            {
                let Some((asking, _)) = &self.sites[asker].stored else {
                    continue;
                };
                for id in [RecordId(1), asking.id] {
                    let ask = Ask {
                        record: id,
                        units: 9,
                        unmet_guarantee: 0,
                    };
                    push(&|world| world.poll(size, cell, in_use, Some((asker, ask.clone()))));
                }
            }
        }
        for loan in record.borrowed.keys() {
            let input = Input::Received {
                from: loan.lender,
                message: Message::Recall(*loan),
            };
            push(&|world| {
                world.step(size, cell, input.clone());
                if size.fault == Some(Fault::LenderLowersFirst) {
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
                    world.step(size, usize::from(loan.lender.0), input);
                }
            });
        }
    }

    fn writes(&self, size: &Size, cell: usize, push: &mut Push) {
        let site = &self.sites[cell];
        if site.in_flight.is_some() {
            for answer in [Answer::Given, Answer::Lost, Answer::LostAndLate] {
                if answer == Answer::Given || self.unclear > 0 {
                    push(&|world| world.answer(size, cell, answer));
                }
            }
        }
        for late in 0..site.late.len() {
            push(&|world| {
                let write = world.sites[cell].late.remove(late);
                world.sites[cell].land(&write);
            });
        }
    }

    /// Advances true time by a tick, in which tasks over the limit stop and former terms end.
    fn tick(&mut self, size: &Size) {
        for cell in 0..self.sites.len() {
            let most = self.sites[cell].limit(size, self.time);
            let site = &mut self.sites[cell];
            site.in_use = site.in_use.min(most);
            site.former = None;
        }
        self.time += 1;
        for cell in 0..self.sites.len() {
            self.step(size, cell, Input::Settled);
        }
    }

    fn poll(&mut self, size: &Size, cell: usize, in_use: Units, ask: Option<(usize, Ask)>) {
        self.sites[cell].in_use = in_use;
        if let Some((asker, ask)) = ask {
            let input = Input::Received {
                from: CellId(asker as u16),
                message: Message::Ask(ask),
            };
            self.step(size, cell, input);
        }
        self.step(
            size,
            cell,
            Input::Poll(Load {
                in_use,
                ..Load::default()
            }),
        );
    }

    fn step(&mut self, size: &Size, cell: usize, mut input: Input) {
        let site = &mut self.sites[cell];
        if let (
            Some(Fault::GrantForLostRecordTaken),
            Input::Received {
                message: Message::Grant(grant),
                ..
            },
        ) = (size.fault, &mut input)
            && let Some(record) = site.leader.cell.record()
        {
            grant.borrower_record = record.id;
        }
        let now = clock(self.time, site.leader.clock);
        let outputs = site.leader.cell.step(now, input);
        for output in outputs {
            match output {
                Output::Read => self.read(size, cell),
                Output::Store { record, condition } => self.write(size, cell, record, condition),
                Output::Send { to, message } => self.send(cell, to, message),
                Output::Refused { .. } => {}
            }
        }
    }

    fn send(&mut self, cell: usize, to: CellId, message: Message) {
        let empty = matches!(&message, Message::Holdings(holdings) if holdings.newest.is_none());
        if !empty && !matches!(message, Message::Ask(_) | Message::Recall(_)) {
            self.network.insert((to, CellId(cell as u16), message));
        }
    }

    fn read(&mut self, size: &Size, cell: usize) {
        let site = &self.sites[cell];
        let input = match site.stored.clone() {
            Some((record, revision)) => Input::Found { record, revision },
            None => Input::Absent {
                fresh: RecordId(site.revision),
            },
        };
        self.step(size, cell, input);
    }

    fn write(&mut self, size: &Size, cell: usize, mut record: Record, condition: Condition) {
        match size.fault {
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
            Some(Fault::LoanNumberReused) => record.last_number = 0,
            Some(Fault::ReturnedLoanTakenAgain) => record.newest_taken.clear(),
            _ => {}
        }
        self.sites[cell].in_flight = Some(Write { record, condition });
    }

    fn answer(&mut self, size: &Size, cell: usize, answer: Answer) {
        if answer != Answer::Given {
            self.unclear -= 1;
        }
        let site = &mut self.sites[cell];
        let write = site.in_flight.take().expect("a write");
        let input = match answer {
            Answer::Given => site.land(&write),
            Answer::Lost => {
                site.land(&write);
                Input::Unclear
            }
            Answer::LostAndLate => {
                site.late.push(write);
                Input::Unclear
            }
        };
        let forgotten = size.fault == Some(Fault::UnclearTakenAsFailed) && input == Input::Unclear;
        self.step(size, cell, if forgotten { Input::Conflict } else { input });
    }

    /// Starts a new leader, which claims and reads. Writes of the old one depend on its claim.
    fn restart(&mut self, size: &Size, cell: usize, clock: i64, lost: bool) {
        self.restarts -= 1;
        let (machine, _) =
            Cell::new(config(size, CellId(cell as u16))).expect("a valid configuration");
        let site = &mut self.sites[cell];
        let old = std::mem::replace(
            &mut site.leader,
            Leader {
                cell: machine,
                clock,
            },
        );
        site.former = Some(old);
        let in_flight = site.in_flight.take();
        if size.fault == Some(Fault::WriteWithoutClaim) {
            site.late.extend(in_flight);
        } else {
            site.late.clear();
        }
        if lost {
            self.losses -= 1;
            site.stored = None;
            site.revision += 1;
        }
        self.read(size, cell);
        if size.fault == Some(Fault::UnsettledLeaderLowers) {
            self.step(size, cell, Input::Settled);
        }
    }

    /// Raises the units in use to the limit of every leader whose term may last.
    fn use_all(&mut self, size: &Size) {
        for site in &mut self.sites {
            site.in_use = site.in_use.max(site.limit(size, self.time));
        }
    }

    /// Drops writes whose condition can't hold again and messages about loans that are over. Loan
    /// numbers only grow, so no reachable violation is lost.
    fn forget(&mut self, size: &Size) {
        for site in &mut self.sites {
            let stored = site
                .stored
                .as_ref()
                .map(|stored| Condition::Unchanged(stored.1));
            site.late
                .retain(|write| Some(write.condition) == stored.or(Some(Condition::Absent)));
        }
        if size.losses > 0 || size.fault.is_some() {
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
                        .newest_taken
                        .get(from)
                        .is_none_or(|newest| *newest < grant.loan)
                }
                Message::Holdings(holdings) => record
                    .lent
                    .keys()
                    .any(|loan| holdings.newest.is_some_and(|newest| newest >= *loan)),
                Message::Ask(_) | Message::Recall(_) => true,
            }
        });
    }

    /// Checks the invariants of every state.
    pub fn check(&self, size: &Size) -> Result<(), String> {
        let limit: Units = size.shares.iter().map(|share| share.base).sum();
        let in_use: Units = self.sites.iter().map(|site| site.in_use).sum();
        if in_use > limit {
            return Err(format!("{in_use} units in use, over the limit of {limit}"));
        }
        for (site, share) in self.sites.iter().zip(&size.shares) {
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
    fn limit(&self, size: &Size, time: u64) -> Units {
        let leaders = std::iter::once(&self.leader).chain(&self.former);
        let limits = leaders.filter_map(|leader| {
            let late = if size.fault == Some(Fault::BorrowerUsesPastTheEnd) {
                3
            } else {
                0
            };
            leader.cell.limit(clock(time, leader.clock - late))
        });
        let most = limits.max().unwrap_or(0);
        most.max(self.wrong_limit(size, time).unwrap_or(0))
    }

    /// Returns the limit by the record before or after the write in flight, if a fault says so.
    fn wrong_limit(&self, size: &Size, time: u64) -> Option<Units> {
        let write = self.in_flight.as_ref()?;
        let record = match size.fault? {
            Fault::LimitLoweredAfterTheAnswer => &self.stored.as_ref()?.0,
            Fault::LimitRaisedBeforeTheAnswer => &write.record,
            _ => return None,
        };
        let Config { share, terms, .. } = config(size, self.id);
        let now = clock(time, self.leader.clock);
        Some(record.limit(&share, &terms, now, &BTreeSet::new()))
    }

    fn land(&mut self, write: &Write) -> Input {
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
