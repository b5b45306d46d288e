//! Log lines and metrics of backend servers in a ramp.

use hawthornquay_traffic::{RampCause, RampEvent, RampEventKind};

use crate::Gateway;

/// Logs the ramps that have begun and ended since the last call, and updates the metrics.
pub(crate) fn report_ramps<C, H>(gateway: &Gateway<C, H>) {
    let (events, passed_over, ramping) = {
        let mut servers = gateway.servers.lock();
        (
            servers.take_ramp_events(),
            servers.take_passed_over(),
            servers.ramping_servers(),
        )
    };
    gateway.metrics.set_ramping_servers(ramping);
    gateway.metrics.count_passed_over(passed_over);
    for RampEvent { id, kind } in events {
        match kind {
            RampEventKind::Began { cause, window } => {
                slog::info!(gateway.log.routing, "ramp of a backend server begins";
                    "server" => id.as_str(), "cause" => cause_name(cause), "window" => window);
            }
            RampEventKind::Ended { took, responses } => {
                slog::info!(gateway.log.routing, "ramp of a backend server ends";
                    "server" => id.as_str(), "took_ms" => crate::wire_views::millis(took),
                    "responses" => responses);
            }
        }
    }
}

const fn cause_name(cause: RampCause) -> &'static str {
    match cause {
        RampCause::Listed => "listed",
        RampCause::Warm => "warm",
        RampCause::Reachable => "reachable",
        RampCause::Resumed => "resumed",
    }
}
