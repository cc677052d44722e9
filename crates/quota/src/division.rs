//! Division of free units between the cells that ask for them.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use crate::Units;
use crate::loan::CellId;
use crate::message::Ask;

/// Divides half of the free units, rounded up, between the asking cells, ordered by unmet guarantee
/// and then by demand. The other half remains for later requests.
pub fn divide(free: Units, asks: &BTreeMap<CellId, Ask>) -> Vec<(CellId, Units)> {
    let mut askers: Vec<_> = asks.iter().collect();
    askers.sort_by_key(|(cell, ask)| (Reverse(ask.unmet_guarantee), Reverse(ask.units), **cell));
    let mut left = free.div_ceil(2);
    let mut parts = Vec::new();
    for (&cell, ask) in askers {
        let units = ask.units.min(left);
        left -= units;
        if units > 0 {
            parts.push((cell, units));
        }
    }
    parts
}
