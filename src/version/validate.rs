//! Checks that a manifest is whole and coherent.

use super::manifest::Manifest;
use crate::findings::Findings;
use crate::prelude::*;

/// Checks a manifest.
///
/// # Errors
///
/// All findings, each with its place.
pub fn validate(m: &Manifest) -> Result<(), Findings> {
    let mut f = Findings::default();
    let services: HashSet<_> = m.service.iter().map(|s| &s.name).collect();
    let ranks: HashSet<_> = m.rank.iter().map(|r| &r.name).collect();
    let resources: HashSet<_> = m.resource.iter().map(|r| r.name()).collect();
    for (i, r) in m.route.iter().enumerate() {
        let at = |field: &str| format!("route[{i}].{field}");
        if !services.contains(&r.service) {
            f.add(
                at("service"),
                format!("service {:?} is not declared", r.service),
                "declare it",
            );
        }
        if !ranks.contains(&r.rank) {
            f.add(
                at("rank"),
                format!("rank {:?} is not declared", r.rank),
                "declare it",
            );
        }
        for x in r.resources.iter().filter(|x| !resources.contains(x)) {
            f.add(
                at("resources"),
                format!("resource {x:?} is not declared"),
                "declare it",
            );
        }
    }
    f.into_result(())
}
