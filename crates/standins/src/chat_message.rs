//! Message of a chat request.

use serde::{Deserialize, Serialize};

/// One message of a chat.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ChatMessage {
    /// Role of the author, such as `user`.
    pub role: String,
    /// Text of the message.
    pub content: String,
}
