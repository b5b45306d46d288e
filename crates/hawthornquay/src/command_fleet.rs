//! Command `fleet`: shows the state of the instances.

use std::{collections::BTreeMap, net::SocketAddr};

use futures_util::{StreamExt, stream};
use hawthornquay_decisions::{InstanceName, InstanceState};
use serde_json::{Value, json};

use crate::{
    CommandError, CommandExit, CommandOutput, FleetReport, FleetTarget, InstanceError,
    command_instance::get, command_platform::read_instances, command_runtime::block_on,
    command_table::format_table,
};

/// Maximum number of concurrent calls to instances.
const MAX_CONCURRENT_CALLS: usize = 32;

/// Instance and its response.
struct QueriedInstance {
    address: SocketAddr,
    /// Name and state in the platform's list; `None` if the address was given as an argument.
    listed: Option<(InstanceName, InstanceState)>,
    /// `None` if the instance has exited according to the platform and was not called.
    report: Option<Result<FleetReport, InstanceError>>,
}

/// Reads the reports of instances and compares their bundle versions.
pub(crate) fn fleet(as_json: bool, target: &FleetTarget) -> Result<CommandOutput, CommandError> {
    let queried = block_on(async {
        let instances = instances_of(target).await?;
        let calls = stream::iter(instances).map(|(address, listed)| fetch_report(address, listed));
        let queried: Vec<QueriedInstance> = calls.buffered(MAX_CONCURRENT_CALLS).collect().await;
        Ok::<_, CommandError>(queried)
    })??;
    let mut versions: BTreeMap<u64, usize> = BTreeMap::new();
    for report in queried.iter().filter_map(QueriedInstance::answer) {
        *versions.entry(report.bundle_version).or_default() += 1;
    }
    let without_answer = queried.iter().filter(|queried| queried.failure().is_some());
    let without_answer = without_answer.count();
    // Without any response, it is unknown whether the instances have the same version.
    let exit = if without_answer == 0 && versions.len() == 1 {
        CommandExit::Done
    } else {
        CommandExit::Refused
    };
    let json = json!({
        "versions": versions
            .iter()
            .map(|(version, count)| json!({"version": version, "instances": count}))
            .collect::<Vec<_>>(),
        "without_answer": without_answer,
        "instances": queried.iter().map(QueriedInstance::to_json).collect::<Vec<_>>(),
    });
    let text = format!(
        "{}{}",
        fleet_table(&queried),
        summary(&versions, without_answer)
    );
    let mut output = CommandOutput::json_or_text(exit, as_json, &json, text);
    if !as_json {
        output.stderr = queried
            .iter()
            .filter_map(QueriedInstance::error_line)
            .collect();
    }
    Ok(output)
}

type Listed = Option<(InstanceName, InstanceState)>;

async fn instances_of(target: &FleetTarget) -> Result<Vec<(SocketAddr, Listed)>, CommandError> {
    match target {
        FleetTarget::Named { instances } => {
            Ok(instances.iter().map(|address| (*address, None)).collect())
        }
        FleetTarget::Listed { platform } => {
            let listed = read_instances(*platform).await?.instances.into_iter();
            let instances = listed.map(|record| {
                let listed = Some((record.name, record.state));
                (record.operators, listed)
            });
            Ok(instances.collect())
        }
    }
}

async fn fetch_report(address: SocketAddr, listed: Listed) -> QueriedInstance {
    let has_exited = matches!(listed, Some((_, InstanceState::Gone)));
    let report = if has_exited {
        None
    } else {
        let report = get::<FleetReport>(address, "/fleet").await;
        Some(report.and_then(|report| check_name(report, &listed)))
    };
    QueriedInstance {
        address,
        listed,
        report,
    }
}

/// Returns an error if another instance than the listed one now has its address.
fn check_name(report: FleetReport, listed: &Listed) -> Result<FleetReport, InstanceError> {
    match listed {
        Some((name, _)) if *name != report.instance => {
            Err(InstanceError::WrongInstance(report.instance.to_string()))
        }
        _ => Ok(report),
    }
}

impl QueriedInstance {
    fn answer(&self) -> Option<&FleetReport> {
        self.report.as_ref()?.as_ref().ok()
    }

    fn failure(&self) -> Option<&InstanceError> {
        self.report.as_ref()?.as_ref().err()
    }

    fn name(&self) -> String {
        let listed = self.listed.as_ref().map(|(name, _)| name);
        let name = listed.or(self.answer().map(|report| &report.instance));
        name.map_or("?".to_owned(), InstanceName::to_string)
    }

    fn state(&self) -> &'static str {
        match &self.report {
            None => "gone",
            Some(Err(_)) => "no answer",
            Some(Ok(report)) if report.leaving => "leaving",
            Some(Ok(_)) => "live",
        }
    }

    fn error_line(&self) -> Option<String> {
        let error = self.failure()?;
        let (name, address) = (self.name(), self.address);
        Some(format!(
            "{name} at {address} gave no usable answer: {error}\n"
        ))
    }

    fn to_json(&self) -> Value {
        json!({
            "name": self.name(),
            "operators": self.address,
            "listed": self.listed.as_ref().map(|(_, state)| state),
            "state": self.state(),
            "error": self.failure().map(ToString::to_string),
            "report": self.answer(),
        })
    }
}

fn fleet_table(queried: &[QueriedInstance]) -> String {
    let header = [
        "INSTANCE",
        "OPERATORS",
        "STATE",
        "VERSION",
        "IN FLIGHT",
        "SEES LIVE",
    ];
    let rows = queried.iter().map(|queried| {
        let (version, in_flight, live) = match queried.answer() {
            None => ("-".to_owned(), "-".to_owned(), "-".to_owned()),
            Some(report) => (
                report.bundle_version.to_string(),
                report.requests_in_flight.to_string(),
                live_members(report),
            ),
        };
        [
            queried.name(),
            queried.address.to_string(),
            queried.state().to_owned(),
            version,
            in_flight,
            live,
        ]
    });
    let rows: Vec<_> = [header.map(str::to_owned)]
        .into_iter()
        .chain(rows)
        .collect();
    format_table(&rows)
}

/// Returns how many of the other instances this one regards as live, and how many it knows.
fn live_members(report: &FleetReport) -> String {
    let live = report
        .members
        .iter()
        .filter(|member| member.state == "live");
    format!("{}/{}", live.count(), report.members.len())
}

fn summary(versions: &BTreeMap<u64, usize>, without_answer: usize) -> String {
    let mut text = match versions.len() {
        0 => "no instance answered\n".to_owned(),
        1 => versions
            .iter()
            .map(|(version, count)| format!("version {version} at all {count} that answered\n"))
            .collect(),
        _ => {
            let counts = versions
                .iter()
                .map(|(version, count)| format!("{version} at {count}"));
            let counts: Vec<_> = counts.collect();
            format!("versions differ: {}\n", counts.join(", "))
        }
    };
    if without_answer > 0 {
        text += &format!("{without_answer} gave no answer\n");
    }
    text
}
