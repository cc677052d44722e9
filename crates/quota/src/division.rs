//! Division of free units between the cells that request them.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use crate::Units;
use crate::loan::CellId;
use crate::message::UnitRequest;

/// Divides half of the free units, rounded up, between the requesting cells, ordered by unmet
/// guarantee and then by demand. The other half remains for later requests.
pub fn divide(free: Units, requests: &BTreeMap<CellId, UnitRequest>) -> Vec<(CellId, Units)> {
    let mut requesters: Vec<_> = requests.iter().collect();
    requesters.sort_by_key(|(cell, request)| {
        (
            Reverse(request.unmet_guarantee),
            Reverse(request.units),
            **cell,
        )
    });
    let mut remaining = free.div_ceil(2);
    let mut parts = Vec::new();
    for (&cell, request) in requesters {
        let units = request.units.min(remaining);
        remaining -= units;
        if units > 0 {
            parts.push((cell, units));
        }
    }
    parts
}
