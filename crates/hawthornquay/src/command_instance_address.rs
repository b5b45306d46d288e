//! Name and IP address of an instance in an argument.

use std::{
    net::{AddrParseError, IpAddr},
    str::FromStr,
};

/// Name and IP address of an instance for its certificate.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InstanceAddress {
    /// Name of the instance.
    pub name: String,
    /// IP address.
    pub ip: IpAddr,
}

/// Reason why a text is not of the form `NAME=IP`.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum InvalidInstanceAddress {
    /// The text after `=` is not an IP address.
    #[error("`{text}` is no IP address")]
    Address {
        /// The text after `=`.
        text: String,
        /// Cause.
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
