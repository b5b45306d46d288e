//! Odd entries that another program writes into the platform's lists.

mod common;

use common::{Reply, client, start_scripted_server};

/// Depth of nesting at which a parser without a limit uses up its stack.
const DEPTH: usize = 100_000;

fn record(name: &str) -> String {
    format!(
        "{{\"name\":\"{name}\",\"region\":\"lagos\",\"domain\":\"lagos-a\",\
         \"callers\":\"127.0.0.1:1\",\"peers\":\"127.0.0.1:2\",\"operators\":\"127.0.0.1:3\",\
         \"state\":\"live\",\"state_age_ms\":5}}"
    )
}

/// Guards against a list of instances that no instance can read because of one odd entry.
#[tokio::test]
async fn instances_odd_record_is_left_out() {
    let sound = record("lagos-1");
    let odd = [
        "7".to_owned(),
        "null".to_owned(),
        "[]".to_owned(),
        "{}".to_owned(),
        "[".repeat(DEPTH) + &"]".repeat(DEPTH),
        "{\"a\":".repeat(DEPTH) + "1" + &"}".repeat(DEPTH),
        record("odd").replace("\"odd\"", &("[".repeat(DEPTH) + &"]".repeat(DEPTH))),
        record("odd").replace("\"odd\"", "\"\\ud800\""),
        record("odd").replace("127.0.0.1:2", "127.0.0.1:65536"),
        record("odd").replace("127.0.0.1:2", "127.0.0.1"),
        record("odd").replace("live", "perhaps"),
        record("odd").replace(":5}", ":-1}"),
        record("odd").replace(":5}", ":1e400}"),
        record("odd").replace(":5}", ":18446744073709551616}"),
    ];
    for item in odd {
        let body = format!("{{\"lag_ms\":7,\"instances\":[{item},{sound},{item}]}}");
        let address = start_scripted_server(vec![Reply::Respond(200, body)]).await;
        let case = &item[..item.len().min(80)];
        let listed = client(address).instances().await;
        let listed = listed.unwrap_or_else(|error| panic!("{case}: {error:?}"));
        let names: Vec<&str> = listed
            .instances
            .iter()
            .map(|one| one.name.as_str())
            .collect();
        assert_eq!(names, ["lagos-1"], "{case}");
    }
}
