//! Progress of an order.

use serde::{Deserialize, Serialize};

/// Progress that an engine reports for an order.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum OrderState {
    /// The engine is carrying out the order.
    Pending,
    /// The engine has carried out the order.
    #[default]
    Done,
    /// The engine could not carry out the order.
    Failed,
}
