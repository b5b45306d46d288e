//! Tests of the stored slot record and of the rules for claiming and taking over slots.

mod limit_fixture;

use std::{net::SocketAddr, time::Duration};

use hawthornquay_decisions::{
    DomainName, DomainSlots, InstanceId, InstanceRecord, InstanceState, SlotIndex, SlotRecord,
    SlotRules,
};
use limit_fixture::{org, record};

const LAG_MS: u64 = 500;

fn address(port: u16) -> SocketAddr {
    ([127, 0, 0, 1], port).into()
}

fn held_by(holder: &InstanceId, address: Option<SocketAddr>) -> SlotRecord {
    SlotRecord {
        holder: holder.clone(),
        split: 1,
        address,
    }
}

fn rules(instances: &[InstanceRecord], running_ms: u64) -> SlotRules<'_> {
    SlotRules {
        instances,
        list_lag: Duration::from_millis(LAG_MS),
        address: address(1),
        uptime: Duration::from_millis(running_ms),
    }
}

fn listed(entries: &[(&str, InstanceState, u64)]) -> Vec<InstanceRecord> {
    let domain = DomainName::from("d0");
    entries
        .iter()
        .map(|(name, state, age)| record(name, &domain, *state, *age))
        .collect()
}

/// Guards against a slot that is taken over from a holder that may still run, or before the loans
/// from it have ended.
#[test]
fn takeover_requires_a_listed_end_and_the_longest_loan_time() {
    let (me, other) = (InstanceId::new("me", 1), InstanceId::new("other", 1));
    let other = held_by(&other, Some(address(2)));
    let may = |instances: &[InstanceRecord]| rules(instances, 0).may_take_over(&other, &me);
    assert!(!may(&[]), "the holder is absent from the list");
    assert!(!may(&listed(&[("other", InstanceState::Live, 9_000)])));
    assert!(!may(&listed(&[("other", InstanceState::Leaving, 9_000)])));
    assert!(!may(&listed(&[(
        "other",
        InstanceState::Gone,
        LAG_MS + 3_250
    )])));
    assert!(may(&listed(&[(
        "other",
        InstanceState::Gone,
        LAG_MS + 3_251
    )])));
}

/// Guards against a restarted instance that never regains the slots of its earlier incarnation, or
/// regains them before the loans from them have ended.
#[test]
fn takeover_of_the_earlier_incarnation_waits_for_its_loans() {
    let (old, new) = (InstanceId::new("me", 1), InstanceId::new("me", 2));
    let instances = listed(&[("me", InstanceState::Live, 9_000)]);
    let (old, own) = (
        held_by(&old, Some(address(1))),
        held_by(&new, Some(address(1))),
    );
    assert!(!rules(&instances, LAG_MS + 3_250).may_take_over(&old, &new));
    assert!(rules(&instances, LAG_MS + 3_251).may_take_over(&old, &new));
    assert!(!rules(&instances, 9_000).may_take_over(&own, &new));
}

/// Guards against an instance that takes over the slots of a process of the same name which still
/// runs at another address, paused or disconnected, so that both spend.
#[test]
fn takeover_by_name_requires_the_same_address() {
    let (old, new) = (InstanceId::new("me", 1), InstanceId::new("me", 2));
    let instances = listed(&[("me", InstanceState::Live, 9_000)]);
    let may = |address| rules(&instances, 9_000).may_take_over(&held_by(&old, address), &new);
    assert!(may(Some(address(1))));
    assert!(!may(Some(address(2))), "the holder has another address");
    assert!(!may(None), "the record has no address");
    let everywhere = SocketAddr::from(([0, 0, 0, 0], 1));
    let rules = SlotRules {
        address: everywhere,
        ..rules(&instances, 9_000)
    };
    assert!(!rules.may_take_over(&held_by(&old, Some(everywhere)), &new));
}

/// Guards against a slot claim by an instance that an outdated list may still report as gone.
#[test]
fn slot_claims_require_an_entry_in_every_current_list() {
    let me = InstanceId::new("me", 1);
    let free = DomainSlots::default();
    let claims =
        |age| rules(&listed(&[("me", InstanceState::Live, age)]), 0).slots_to_claim(&free, &me);
    assert!(claims(LAG_MS).is_empty());
    assert_eq!(claims(LAG_MS + 1).len(), usize::from(SlotIndex::COUNT));
}

/// Guards against an instance that claims most of the slots, and concurrent claims of one slot.
#[test]
fn slot_claims_spread_free_slots_evenly() {
    let names = ["a", "b", "c", "d", "e"];
    let instances = listed(&names.map(|name| (name, InstanceState::Live, 9_000)));
    let mut slots = DomainSlots::default();
    for slot in SlotIndex::all().take(20) {
        let holder = InstanceId::new("a", 1);
        slots.slots.insert(slot, held_by(&holder, Some(address(2))));
    }
    let mut seen = 20;
    for (name, expected) in names.iter().zip([0, 11, 11, 11, 11]) {
        let claims = rules(&instances, 0).slots_to_claim(&slots, &InstanceId::new(name, 1));
        assert_eq!(claims.len(), expected, "{name}");
        seen += claims.len();
    }
    assert_eq!(seen, usize::from(SlotIndex::COUNT));
}

/// Guards against a change of the stored format or of the hash, either of which would let two
/// instances of different builds hold the same slot.
#[test]
fn slot_record_and_hash_keep_their_stored_format() {
    let holder = InstanceId::new("lagos-a-1", 7);
    let mut domain = DomainSlots::default();
    let address = Some(([10, 0, 0, 7], 7_000).into());
    let split = 12;
    let record = SlotRecord {
        holder,
        split,
        address,
    };
    domain.slots.insert(SlotIndex(3), record);
    let text = serde_json::to_string(&domain).unwrap();
    let expected = r#"{"slots":{"3":{"holder":{"name":"lagos-a-1","incarnation":7},"split":12,"address":"10.0.0.7:7000"}}}"#;
    assert_eq!(text, expected);
    assert_eq!(serde_json::from_str::<DomainSlots>(&text).unwrap(), domain);
    let earlier = text.replace(r#","address":"10.0.0.7:7000""#, "");
    let earlier: DomainSlots = serde_json::from_str(&earlier).unwrap();
    assert_eq!(earlier.slots[&SlotIndex(3)].address, None);
    assert_eq!(SlotIndex::of(&org("kolanut")), SlotIndex(58));
}
