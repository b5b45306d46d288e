//! Command `explain`: shows the outcome of a request and its cause.

use std::{net::SocketAddr, path::PathBuf};

use hawthornquay_decisions::Execution;
use hawthornquay_operators::RequestHistory;
use http::StatusCode;
use serde::{Deserialize, Serialize};
use serde_json::json;

use crate::{
    CommandError, CommandExit, CommandOutput, ExplainTarget, InstanceError, ParsedRequestId,
    command_files::read_text, command_instance::get, command_platform::read_instances,
    command_runtime::block_on,
};

/// Response to `GET /requests/<id>` on the operators' interface.
#[derive(Debug, Serialize, Deserialize)]
struct Explanation {
    request_id: String,
    execution: Execution,
    finished: bool,
    status: Option<u16>,
    decisions: Vec<String>,
}

/// Reads the outcome of a request from the instance that served it, or from logs.
pub(crate) fn explain(
    as_json: bool,
    target: &ExplainTarget,
    id: &str,
) -> Result<CommandOutput, CommandError> {
    let explanation = match target {
        ExplainTarget::Logged { log } => return explain_logged(as_json, log, id),
        ExplainTarget::Named { instance } => {
            let id: ParsedRequestId = id.parse()?;
            block_on(fetch_explanation(*instance, id))??
        }
        ExplainTarget::Listed { platform } => {
            let id: ParsedRequestId = id.parse()?;
            block_on(async {
                let address = find_instance(*platform, &id.instance).await?;
                fetch_explanation(address, id).await
            })??
        }
    };
    let text = format_explanation(&explanation);
    let json = json!(explanation);
    Ok(CommandOutput::json_or_text(
        CommandExit::Done,
        as_json,
        &json,
        text,
    ))
}

/// Builds the history of a request from the logs of instances.
fn explain_logged(
    as_json: bool,
    paths: &[PathBuf],
    id: &str,
) -> Result<CommandOutput, CommandError> {
    let mut logs = Vec::new();
    for path in paths {
        let name = path.file_stem().unwrap_or(path.as_os_str());
        logs.push((name.to_string_lossy().into_owned(), read_text(path)?));
    }
    let Some(story) = RequestHistory::read(&logs, id) else {
        return Err(CommandError::RequestNotLogged {
            id: id.to_owned(),
            logs: logs.len(),
        });
    };
    let lines: Vec<String> = story.lines.iter().map(ToString::to_string).collect();
    let json = json!({"request_id": id, "lines": lines, "cause": story.cause});
    let text = format!("{story}\n");
    Ok(CommandOutput::json_or_text(
        CommandExit::Done,
        as_json,
        &json,
        text,
    ))
}

/// Returns the operators' address of the instance with this name from the platform's list.
async fn find_instance(platform: SocketAddr, name: &str) -> Result<SocketAddr, CommandError> {
    let listed = read_instances(platform).await?.instances;
    let found = listed.iter().find(|record| record.name.as_str() == name);
    found
        .map(|record| record.operators)
        .ok_or_else(|| CommandError::InstanceNotListed {
            address: platform,
            name: name.to_owned(),
        })
}

async fn fetch_explanation(
    address: SocketAddr,
    id: ParsedRequestId,
) -> Result<Explanation, CommandError> {
    let answer: Result<Explanation, _> = get(address, &format!("/requests/{}", id.text)).await;
    match answer {
        Ok(explanation) if explanation.request_id != id.text => {
            let source = InstanceError::WrongRequest(explanation.request_id);
            Err(CommandError::InstanceUnavailable { address, source })
        }
        Ok(explanation) => Ok(explanation),
        Err(InstanceError::Status(StatusCode::NOT_FOUND)) => {
            Err(CommandError::RequestUnknown { address, id })
        }
        Err(source) => Err(CommandError::InstanceUnavailable { address, source }),
    }
}

fn format_explanation(explanation: &Explanation) -> String {
    let execution = explanation.execution.as_str();
    let end = if explanation.finished {
        "finished"
    } else {
        "in flight"
    };
    let mut text = format!("request {}: {end}, {execution}", explanation.request_id);
    if let Some(status) = explanation.status {
        text += &format!(", status {status}");
    }
    text.push('\n');
    for (number, decision) in (1..).zip(&explanation.decisions) {
        text += &format!("{number:>3}. {decision}\n");
    }
    text
}
