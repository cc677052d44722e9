//! Who is lent how much of what is free.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use crate::Units;
use crate::loan::CellId;
use crate::message::Ask;

/// Divides half of what is free, rounded up, between those who ask: first by the guarantee that is
/// unmet, then by demand. The other half stays for who asks next.
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
