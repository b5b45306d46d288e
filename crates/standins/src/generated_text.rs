//! Text that the engines generate.

/// Returns token `index`, counted from 0, of the answer to a request with `nonce`.
pub fn generated_token(nonce: &str, index: u64) -> String {
    if index == 0 {
        format!("nonce={nonce}")
    } else {
        format!(" t{index}")
    }
}

/// Returns the whole answer of `tokens` tokens to a request with `nonce`.
pub fn generated_text(nonce: &str, tokens: u64) -> String {
    (0..tokens)
        .map(|index| generated_token(nonce, index))
        .collect()
}
