//! Operators' rows that take a data centre out of use, turned into facts that spread between nodes.

use crate::edge::OperatorEdge;
use crate::hub::Hub;
use slog::{info, warn};
use std::collections::BTreeSet;
use sycamore_platform::{Revision, Row};
use sycamore_types::prelude::*;

/// Records that `data_centre` was taken out of use, or back into use, by a row of this revision.
pub(super) fn record(hub: &Hub, data_centre: DataCentre, revision: Revision, is_out: bool) {
    let has_instances =
        hub.members.borrow().members.values().any(|member| member.data_centre == data_centre);
    let is_own = hub.settings.node.data_centre == data_centre;
    let fact = Fact::OutOfUse { data_centre: data_centre.clone(), revision: revision.0, is_out };
    let is_new = hub.facts.known().get(&fact.key()).is_none_or(|old| fact.replaces(old));
    if !is_new {
        return;
    }
    match has_instances || is_own {
        true => info!(hub.log, "data centre use changed";
            "data_centre" => %data_centre, "out_of_use" => is_out, "revision" => revision.0),
        false => warn!(hub.log, "data centre use changed, without known instances";
            "data_centre" => %data_centre, "out_of_use" => is_out, "revision" => revision.0),
    }
    hub.raise(fact);
}

/// Takes the data centres back into use whose rows are not among `rows`, a listing at the revision
/// `at`. A row of an earlier epoch stays in force: operators write again what the platform has lost.
pub(super) fn end_unlisted(hub: &Hub, edge: &dyn OperatorEdge, rows: &[Row], at: Revision) {
    let listed: BTreeSet<DataCentre> =
        rows.iter().filter_map(|row| edge.data_centre_of(&row.key)).collect();
    for fact in hub.facts.known().values() {
        let Fact::OutOfUse { data_centre, revision, is_out: true } = fact else { continue };
        let is_same_epoch = Revision(*revision).epoch() == at.epoch();
        if is_same_epoch && *revision <= at.0 && !listed.contains(data_centre) {
            record(hub, data_centre.clone(), at, false);
        }
    }
}
