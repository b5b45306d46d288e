//! Parsing of chat bodies and the memory that is charged for them.

use bytes::Bytes;
use hawthornquay::ChatBody;
use hawthornquay_decisions::RefusalCode;
use hawthornquay_http::MemoryBudget;
use serde_json::{Value, json};

const BUDGET_BYTES: usize = 64 << 20;

/// Longest body that a caller may send.
const MAX_BODY_BYTES: usize = 3 << 20;

async fn parse(text: &str) -> ChatBody {
    let memory = MemoryBudget::new(BUDGET_BYTES);
    let body = Bytes::copy_from_slice(text.as_bytes());
    ChatBody::parse(body, &memory)
        .await
        .unwrap_or_else(|refusal| panic!("{text}: {}", refusal.message))
}

/// Guards against an output limit that is reserved and not sent to the engine, or sent twice.
#[tokio::test]
async fn chat_body_without_limit_gets_one() {
    let message = r#""messages":[{"role":"user","content":"n"}]"#;
    let with = |fields: &str| format!(r#"{{"model":"m",{message}{fields}}}"#);
    let cases = [
        (with(""), 1_024),
        (format!(" \r\n\t{}", with("")), 1_024),
        (with(r#","max_tokens":null"#), 1_024),
        (with(r#","max_tokens" :  null ,"x":null"#), 1_024),
        (with(r#","max_completion_tokens":null"#), 1_024),
        (with(r#","text":"{\"max_tokens\":null}""#), 1_024),
        (with(r#","max_tokens":7"#), 7),
    ];
    for (text, limit) in cases {
        let chat = parse(&text).await;
        assert_eq!(chat.output_tokens, limit, "{text}");
        let mut expected: Value = serde_json::from_str(&text).unwrap();
        expected["max_tokens"] = json!(limit);
        let sent: Value = serde_json::from_slice(&chat.body).unwrap();
        assert_eq!(sent, expected, "{text}");
        let name = b"\"max_tokens\"".as_slice();
        let count = chat.body.windows(name.len()).filter(|part| *part == name);
        assert_eq!(count.count(), 1, "{text}");
    }
    let chat = parse(&with(r#","max_tokens":null,"max_completion_tokens":9"#)).await;
    assert_eq!(chat.output_tokens, 9);
}

/// Guards against prompts whose length is estimated from the JSON text instead of its meaning.
#[tokio::test]
async fn chat_body_prompt_is_decoded() {
    let content = |content: &str| {
        format!(
            r#"{{"model":"m","max_tokens":1,"messages":[{{"content":null}},{{}},{{"content":{content}}}]}}"#
        )
    };
    let cases = [
        (r#""\u0061\u0062\n\"""#, 1),
        (r#""abcdefgh""#, 2),
        (r#"["ab"]"#, 2),
        ("null", 0),
    ];
    for (text, tokens) in cases {
        assert_eq!(parse(&content(text)).await.prompt_tokens, tokens, "{text}");
    }
}

/// Guards against bodies that are accepted although an engine would not understand them.
#[tokio::test]
async fn chat_body_of_other_shape_is_refused() {
    let cases = [
        r#"["m",[{"content":"n"}],false,1]"#,
        r#"{"model":"m","messages":{}}"#,
        r#"{"model":"m","messages":[]}"#,
        r#"{"model":"m","messages":[1]}"#,
        r#"{"model":"m","messages":[{"content":"\ud800"}]}"#,
        r#"{"model":"m","messages":[{"content":"n"}],"max_tokens":"7"}"#,
        r#"{"model":"m","messages":[{"content":"n"}],"max_tokens":null,"max_tokens":7}"#,
        r#"{"model":"m","messages":[{"content":"n"}]} x"#,
    ];
    let memory = MemoryBudget::new(BUDGET_BYTES);
    for text in cases {
        let parsed = ChatBody::parse(Bytes::from_static(text.as_bytes()), &memory).await;
        assert_eq!(parsed.unwrap_err().code, RefusalCode::BadRequest, "{text}");
        assert_eq!(memory.used(), 0, "{text}");
    }
}

/// Guards against a body that is charged too little while its request waits, or stays charged.
#[tokio::test]
async fn chat_body_is_charged_until_dropped() {
    let text = "a".repeat(MAX_BODY_BYTES - 100);
    let body = format!(r#"{{"model":"m","messages":[{{"content":"{text}"}}]}}"#);
    let memory = MemoryBudget::new(BUDGET_BYTES);
    let chat = ChatBody::parse(body.into(), &memory).await.unwrap();
    assert_eq!(memory.used(), chat.body.len());
    drop(chat);
    assert_eq!(memory.used(), 0);
}
