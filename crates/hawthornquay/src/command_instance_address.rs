//! Instance as the options of the command name it.

use std::{
    net::{AddrParseError, IpAddr},
    str::FromStr,
};

/// Name of an instance and the IP address that its certificate is for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InstanceAddress {
    /// Name of the instance.
    pub name: String,
    /// IP address.
    pub ip: IpAddr,
}

/// Text that is no instance with its address.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum InvalidInstanceAddress {
    /// The part after `=` is no IP address.
    #[error("`{text}` is no IP address")]
    Address {
        /// The part.
        text: String,
        /// Reason.
        source: AddrParseError,
    },
    /// There is no `=`.
    #[error("write NAME=IP, such as lagos-a-1=10.0.0.1")]
    NoAddress,
}

impl FromStr for InstanceAddress {
    type Err = InvalidInstanceAddress;

    fn from_str(text: &str) -> Result<Self, InvalidInstanceAddress> {
        let (name, ip) = text
            .split_once('=')
            .ok_or(InvalidInstanceAddress::NoAddress)?;
        let ip = ip
            .parse()
            .map_err(|source| InvalidInstanceAddress::Address {
                text: ip.to_owned(),
                source,
            })?;
        Ok(Self {
            name: name.to_owned(),
            ip,
        })
    }
}
