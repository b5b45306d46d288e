//! Choice of the instances that the directory names to callers.

use hawthornquay_decisions::{DomainName, InstanceName, MonotonicTime, RegionName};

use crate::{
    CallerAddresses, CallerProximity, HomeRegions, InstanceList, ListedInstance,
    instance_list::SILENCE_TIMEOUT,
};

/// Maximum number of addresses returned to a caller.
const MAX_CALLER_ADDRESSES: usize = 64;

impl InstanceList {
    /// Returns the addresses for callers in a failure domain: those of the instances in the same
    /// failure domain, or else in the same region, or else in the other regions to which the callers
    /// may be sent by `home_regions`; none if that is `None`.
    ///
    /// Leaving and silent instances are left out; `local` is this instance, which is never silent.
    /// Once it is leaving, the others no longer send to it: only those are left out that were silent
    /// when it began to leave.
    pub fn addresses_for(
        &self,
        now: MonotonicTime,
        local: &InstanceName,
        region: &RegionName,
        domain: &DomainName,
        home_regions: Option<&HomeRegions>,
    ) -> CallerAddresses {
        let own = self.get(local).map(|own| &own.region);
        let led_region = own.filter(|_| {
            let since = self.leading_since;
            since.is_some_and(|since| now.since(since) > SILENCE_TIMEOUT)
        });
        let own_contact = self.contacts.get(local).filter(|own| own.leaving);
        let is_local_leaving = own_contact.is_some();
        let silent_at = own_contact
            .and_then(|own| own.last_message_at)
            .unwrap_or(now);
        let usable: Vec<&ListedInstance> = self
            .listed
            .iter()
            .filter(|instance| !self.is_leaving(instance))
            .filter(|instance| {
                if instance.id.name == *local {
                    // The list may still hold an earlier process of this instance.
                    return !is_local_leaving;
                }
                !self.has_stopped_sending(silent_at, local, instance, led_region)
            })
            .collect();
        let named = |proximity, is_named: &dyn Fn(&ListedInstance) -> bool| {
            let named = usable.iter().copied().filter(|instance| is_named(instance));
            let found = CallerAddresses::new(proximity, named.take(MAX_CALLER_ADDRESSES));
            (!found.addresses.is_empty()).then_some(found)
        };
        let near = named(CallerProximity::Domain, &|instance| {
            instance.region == *region && instance.domain == *domain
        })
        .or_else(|| {
            named(CallerProximity::Region, &|instance| {
                instance.region == *region
            })
        });
        if let Some(found) = near {
            return found;
        }
        let usable_regions = usable.iter().map(|instance| &instance.region).collect();
        let regions = home_regions.map(|homes| homes.best_of(&usable_regions));
        named(CallerProximity::OtherRegion, &|instance| {
            regions
                .as_ref()
                .is_some_and(|regions| regions.contains(&instance.region))
        })
        .unwrap_or_default()
    }

    /// Returns whether the listed process of an instance has sent messages and now fails to.
    ///
    /// Instances send regularly to the leader of their region, and otherwise only while they are
    /// leaders themselves. So the silence of an earlier process, or of a leader that another one has
    /// replaced, does not count. `led_region` is the region that this instance has led for long
    /// enough to have a message of each of its instances.
    fn has_stopped_sending(
        &self,
        now: MonotonicTime,
        local: &InstanceName,
        instance: &ListedInstance,
        led_region: Option<&RegionName>,
    ) -> bool {
        let Some(contact) = self.contacts.get(&instance.id.name) else {
            return false;
        };
        if contact.incarnation != instance.id.incarnation.0
            || !self.is_silent(now, &instance.id.name)
        {
            return false;
        }
        led_region == Some(&instance.region)
            || !self.listed.iter().any(|other| {
                let sent_at = self
                    .contacts
                    .get(&other.id.name)
                    .and_then(|contact| contact.last_message_at);
                other.region == instance.region
                    && other.id.name != *local
                    && sent_at > contact.last_message_at
            })
    }
}
