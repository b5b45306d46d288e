//! Text that the stand-in engines generate.

/// Returns the generated token at `index`, starting at 0, for a request with `nonce`.
pub fn generated_token(nonce: &str, index: u64) -> String {
    if index == 0 {
        format!("nonce={nonce}")
    } else {
        format!(" t{index}")
    }
}

/// Returns the complete text of `tokens` tokens generated for a request with `nonce`.
///
/// The first token contains the nonce, so that a client can detect the answer to another request.
pub fn generated_text(nonce: &str, tokens: u64) -> String {
    (0..tokens)
        .map(|index| generated_token(nonce, index))
        .collect()
}
