//! Invariants of several cells under message loss, and recovery of all bases after it.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::{Duration, SystemTime};

use kiteyard_quota::Units;
use kiteyard_quota::cell::{Cell, Config, Input, Load, Output, Revision};
use kiteyard_quota::division::divide;
use kiteyard_quota::ledger::{Record, Share, check_shares};
use kiteyard_quota::loan::{CellId, RecordId, Terms};
use kiteyard_quota::message::{Message, UnitRequest};
use proptest::prelude::*;

const CELLS: u16 = 3;
const BASE: Units = 10;
const GUARANTEE: Units = 3;
const INTERVAL: u64 = 5;
/// Rounds of messages until every base is recovered once message loss has ended: a lost grant is
/// resent, accepted and returned, and the lender receives the return.
const ROUNDS_TO_RECOVER: u64 = 3;

struct Cells {
    seconds: u64,
    cells: Vec<Cell>,
    messages: VecDeque<(CellId, CellId, Message)>,
    revisions: u64,
}

impl Cells {
    fn new() -> Cells {
        let seconds = Duration::from_secs;
        let terms = Terms {
            term: seconds(900),
            lapse_lead: seconds(67),
            clock_bound: seconds(1),
            interval: seconds(INTERVAL),
            hold: seconds(60),
        };
        let share = Share {
            base: BASE,
            guarantee: GUARANTEE,
        };
        let mut all = Cells {
            seconds: 0,
            cells: Vec::new(),
            messages: VecDeque::new(),
            revisions: 0,
        };
        for id in 0..CELLS {
            let peers = (0..CELLS).filter(|peer| *peer != id).map(CellId).collect();
            let config = Config {
                id: CellId(id),
                share,
                terms: terms.clone(),
                peers,
            };
            all.cells
                .push(Cell::new(config).expect("a valid configuration").0);
            let record = Record::first(RecordId(1));
            all.step(
                id,
                Input::Found {
                    record,
                    revision: Revision(0),
                },
            );
            all.step(id, Input::Settled);
        }
        all
    }

    fn now(&self) -> SystemTime {
        SystemTime::UNIX_EPOCH + Duration::from_secs(10_000 + self.seconds)
    }

    fn step(&mut self, cell: u16, input: Input) {
        let now = self.now();
        for output in self.cells[usize::from(cell)].step(now, input) {
            match output {
                Output::Store { .. } => {
                    self.revisions += 1;
                    self.step(
                        cell,
                        Input::Stored {
                            revision: Revision(self.revisions),
                        },
                    );
                }
                Output::Send { to, message } => {
                    self.messages.push_back((to, CellId(cell), message))
                }
                Output::Read | Output::Refused { .. } => {}
            }
        }
    }

    /// Runs one second: a round of each cell with its demand, then delivery of messages, some lost.
    fn run_second(&mut self, wanted: &[Units], lost_in_ten: u8) {
        self.seconds += 1;
        for cell in 0..CELLS {
            let limit = self.cells[usize::from(cell)]
                .limit(self.now())
                .expect("a known record");
            let wanted = wanted[usize::from(cell)];
            self.step(
                cell,
                Input::Poll(Load {
                    in_use: wanted.min(limit),
                    wanted,
                    unmet_guarantee: 0,
                }),
            );
        }
        for index in 0..self.messages.len() {
            let (to, from, message) = self.messages.pop_front().expect("a message");
            if (index * 7 + self.seconds as usize) % 10 >= usize::from(lost_in_ten) {
                self.step(to.0, Input::Received { from, message });
            }
        }
    }

    fn limits(&self) -> Vec<Units> {
        self.cells
            .iter()
            .map(|cell| cell.limit(self.now()).expect("a known record"))
            .collect()
    }

    fn lent(&self) -> Units {
        let records = self.cells.iter().filter_map(Cell::record);
        records
            .flat_map(|record| record.lent.values())
            .map(|loan| loan.units)
            .sum()
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 128, failure_persistence: None, rng_seed: proptest::test_runner::RngSeed::Fixed(7), ..ProptestConfig::default() })]

    #[test]
    fn limits_never_exceed_the_total_and_bases_are_recovered(
        phases in prop::collection::vec((prop::collection::vec(0..40u64, 3), 0..=10u8, 1..200u64), 1..6)
    ) {
        let mut cells = Cells::new();
        for (wanted, lost_in_ten, seconds) in phases {
            for _ in 0..seconds {
                cells.run_second(&wanted, lost_in_ten);
                let limits = cells.limits();
                prop_assert!(limits.iter().sum::<Units>() <= BASE * Units::from(CELLS), "{limits:?}");
                prop_assert!(limits.iter().all(|limit| *limit >= GUARANTEE));
            }
        }
        for _ in 0..ROUNDS_TO_RECOVER * INTERVAL {
            cells.run_second(&[0, 0, 0], 0);
        }
        prop_assert_eq!(cells.lent(), 0);
        prop_assert_eq!(cells.limits(), vec![BASE; CELLS.into()]);
    }

    #[test]
    fn division_never_exceeds_free_units(
        free in 0..100u64,
        requests in prop::collection::btree_map(0..9u16, (0..50u64, 0..50u64), 0..6)
    ) {
        let request = |(units, unmet_guarantee)| UnitRequest {
            record: RecordId(1),
            units,
            unmet_guarantee,
        };
        let requests: BTreeMap<_, _> = requests
            .into_iter()
            .map(|(cell, requested)| (CellId(cell), request(requested)))
            .collect();
        let parts = divide(free, &requests);
        let divided: Units = parts.iter().map(|part| part.1).sum();
        let requested: Units = requests.values().map(|request| request.units).sum();
        prop_assert_eq!(divided, free.div_ceil(2).min(requested));
        prop_assert!(parts.iter().all(|(cell, units)| *units <= requests[cell].units));
        prop_assert_eq!(parts.iter().map(|part| part.0).collect::<BTreeSet<_>>().len(), parts.len());
    }
}

#[test]
fn shares_over_the_limit_are_rejected() {
    let shares = |base| {
        BTreeMap::from([
            (CellId(0), Share { base, guarantee: 1 }),
            (
                CellId(1),
                Share {
                    base: 2,
                    guarantee: 1,
                },
            ),
        ])
    };
    assert!(check_shares(5, &shares(3)).is_ok());
    assert!(check_shares(5, &shares(4)).is_err());
    assert!(check_shares(5, &shares(0)).is_err());
}
