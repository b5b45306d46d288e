//! Command that shows the fleet.

use std::{collections::BTreeMap, net::SocketAddr};

use futures_util::{StreamExt, stream};
use hawthornquay_decisions::{InstanceName, InstanceState};
use serde_json::{Value, json};

use crate::{
    CommandError, CommandExit, CommandOutput, FleetReport, FleetTarget, InstanceError,
    command_instance::get, command_platform::read_instances, command_runtime::block_on,
    command_table::table,
};

/// Instances that are asked at the same time.
const CONCURRENT_CALLS: usize = 32;

struct Asked {
    address: SocketAddr,
    /// Name and state in the platform's list; none if the address was passed.
    listed: Option<(InstanceName, InstanceState)>,
    /// `None` if the instance has ended and was not asked.
    report: Option<Result<FleetReport, InstanceError>>,
}

/// Asks instances for their view and compares their versions.
pub(crate) fn fleet(as_json: bool, target: &FleetTarget) -> Result<CommandOutput, CommandError> {
    let asked = block_on(async {
        let instances = instances_of(target).await?;
        let calls = stream::iter(instances).map(|(address, listed)| ask(address, listed));
        let asked: Vec<Asked> = calls.buffered(CONCURRENT_CALLS).collect().await;
        Ok::<_, CommandError>(asked)
    })??;
    let mut versions: BTreeMap<u64, usize> = BTreeMap::new();
    for report in asked.iter().filter_map(Asked::answer) {
        *versions.entry(report.bundle_version).or_default() += 1;
    }
    let silent = asked.iter().filter(|asked| asked.failure().is_some());
    let silent = silent.count();
    // With no answer at all there is nothing that would show that the fleet agrees.
    let exit = if silent == 0 && versions.len() == 1 {
        CommandExit::Done
    } else {
        CommandExit::Refused
    };
    let json = json!({
        "versions": versions
            .iter()
            .map(|(version, count)| json!({"version": version, "instances": count}))
            .collect::<Vec<_>>(),
        "without_answer": silent,
        "instances": asked.iter().map(Asked::to_json).collect::<Vec<_>>(),
    });
    let text = format!("{}{}", fleet_table(&asked), summary(&versions, silent));
    let mut output = CommandOutput::json_or_text(exit, as_json, &json, text);
    if !as_json {
        output.stderr = asked.iter().filter_map(Asked::complaint).collect();
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

async fn ask(address: SocketAddr, listed: Listed) -> Asked {
    let has_ended = matches!(listed, Some((_, InstanceState::Gone)));
    let report = if has_ended {
        None
    } else {
        let report = get::<FleetReport>(address, "/fleet").await;
        Some(report.and_then(|report| check_name(report, &listed)))
    };
    Asked {
        address,
        listed,
        report,
    }
}

/// Refuses the answer of an instance that has taken over the address of the listed one.
fn check_name(report: FleetReport, listed: &Listed) -> Result<FleetReport, InstanceError> {
    match listed {
        Some((name, _)) if *name != report.instance => {
            Err(InstanceError::WrongInstance(report.instance.to_string()))
        }
        _ => Ok(report),
    }
}

impl Asked {
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

    fn complaint(&self) -> Option<String> {
        let error = self.failure()?;
        let (name, address) = (self.name(), self.address);
        Some(format!("{name} at {address} gave no answer: {error}\n"))
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

fn fleet_table(asked: &[Asked]) -> String {
    let header = [
        "INSTANCE",
        "OPERATORS",
        "STATE",
        "VERSION",
        "IN FLIGHT",
        "SEES LIVE",
    ];
    let rows = asked.iter().map(|asked| {
        let (version, in_flight, live) = match asked.answer() {
            None => ("-".to_owned(), "-".to_owned(), "-".to_owned()),
            Some(report) => (
                report.bundle_version.to_string(),
                report.requests_in_flight.to_string(),
                live_members(report),
            ),
        };
        [
            asked.name(),
            asked.address.to_string(),
            asked.state().to_owned(),
            version,
            in_flight,
            live,
        ]
    });
    let rows: Vec<_> = [header.map(str::to_owned)]
        .into_iter()
        .chain(rows)
        .collect();
    table(&rows)
}

/// Returns how many of the other members the instance counts as live.
fn live_members(report: &FleetReport) -> String {
    let live = report
        .members
        .iter()
        .filter(|member| member.state == "live");
    format!("{}/{}", live.count(), report.members.len())
}

fn summary(versions: &BTreeMap<u64, usize>, silent: usize) -> String {
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
    if silent > 0 {
        text += &format!("{silent} gave no answer\n");
    }
    text
}
