//! Backend servers whose entries expire during an outage of the store.

mod common;

use common::{RequestContext, at, listing, server, work};
use hawthornquay_traffic::ServerTable;

/// All servers of a region were dropped at once when the store came back with few entries: the read
/// that met the end of the outage had begun before it, so the outage looked shorter than it was.
#[test]
fn apply_listing_read_that_waits_for_end_of_outage_keeps_missing_servers() {
    let context = RequestContext::default();
    let work = work(1, 0, 10);
    let mut table = ServerTable::default();
    table.apply_listing(at(0), at(0), &listing(1, &[server("s1", "home-a")]));
    table.configure(&context.configuration);
    table.apply_listing(at(3_300), at(2_200), &listing(2, &[]));
    let picks = |table: &mut ServerTable, ms| table.pick(at(ms), &context.request(&work)).is_some();
    assert!(picks(&mut table, 3_300));
    // Entries are back within two seconds of the store's return.
    assert!(picks(&mut table, 5_300));
    assert!(!picks(&mut table, 5_800));
}
