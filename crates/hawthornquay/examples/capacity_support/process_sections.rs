//! Costs of daemons that run as processes of their own.

use std::{
    io::{Read, Write},
    net::TcpStream,
    thread::sleep,
    time::{Duration, Instant},
};

use super::{
    figure,
    fleet_processes::{FleetPrograms, http, processor_us},
    resident,
};

/// Prints processor time for each request and token, memory, and store calls for each claim.
pub fn request() {
    for organisations in [275, 550, 1_100] {
        let fleet = FleetPrograms::start(1, 1, organisations);
        let pid = fleet.daemons[0].0;
        figure(
            "daemon.resident_bytes",
            organisations,
            resident(&pid.to_string()),
        );
        if organisations == 1_100 {
            measure_requests(&fleet, pid);
            measure_claims(&fleet);
            measure_polls(&fleet);
            measure_connections(&fleet, pid);
        }
    }
}

fn measure_requests(fleet: &FleetPrograms, pid: u32) {
    const SECONDS: u32 = 4;
    let seconds = SECONDS.to_string();
    let run = |rate: u32, tokens: u32| {
        let (rate, tokens) = (rate.to_string(), format!("{tokens}-{tokens}"));
        let args = [
            "--requests-per-s",
            &rate,
            "--duration-s",
            &seconds,
            "--streamed",
            "1",
        ];
        let sizes = ["--prompt-tokens", "256-256", "--output-tokens", &tokens];
        let before = processor_us(pid);
        let text = fleet.load(&[args.as_slice(), &sizes, &["--concurrency", "1024"]].concat());
        let right = text
            .split("right ")
            .nth(1)
            .and_then(|rest| rest.split(',').next());
        let right: f64 = right.unwrap().parse().unwrap();
        assert!(right > 0.0, "{text}");
        (processor_us(pid) - before) / right
    };
    run(50, 16);
    for rate in [50, 100, 200] {
        figure("request.processor_us_at_rate", rate, run(rate, 16));
    }
    for tokens in [16, 64, 256] {
        figure("request.processor_us_with_tokens", tokens, run(50, tokens));
    }
    let direct = fleet.engine.to_string();
    let text = fleet.load(&[
        "--direct",
        &direct,
        "--requests-per-s",
        "20",
        "--duration-s",
        "4",
    ]);
    let line = text
        .lines()
        .find(|line| line.starts_with("added to first token"));
    for quantile in ["p50", "p99"] {
        let value = line.unwrap().split(&format!("{quantile} ")).nth(1).unwrap();
        let value: f64 = value.split(' ').next().unwrap().parse().unwrap();
        figure("request.added_first_token_ms", quantile, value);
    }
}

fn measure_claims(fleet: &FleetPrograms) {
    for count in [20, 40, 80] {
        let (writes, reads) = (fleet.counter("writes"), fleet.counter("reads"));
        let start = Instant::now();
        let headers = |n| {
            format!(
                "Authorization: Bearer {}\r\nIdempotency-Key: {count}-{n}\r\n",
                fleet.key
            )
        };
        for n in 0..count {
            let body = r#"{"nonce":"truck"}"#;
            let path = "/v1/services/bookings";
            let text = http(fleet.daemons[0].1, "POST", path, &headers(n), body);
            assert!(text.contains("200 OK"), "{text}");
        }
        let seconds = start.elapsed().as_secs_f64();
        let each = |after: f64, before: f64| (after - before) / f64::from(count);
        figure(
            "claims.writes_each",
            count,
            each(fleet.counter("writes"), writes),
        );
        // An idle daemon reads the head about once a second meanwhile.
        let reads = fleet.counter("reads") - reads - seconds;
        figure(
            "claims.reads_each",
            count,
            (reads / f64::from(count)).max(0.0),
        );
    }
}

fn measure_polls(fleet: &FleetPrograms) {
    let bytes = |path: &str| {
        let request = format!("GET {path} HTTP/1.1\r\nhost: {}\r\n\r\n", fleet.engine);
        request.len() + http(fleet.engine, "GET", path, "", "").len()
    };
    figure("polls.load_bytes", 1, bytes("/load") as f64);
    let events = bytes("/cache-events?after=999999999");
    figure("polls.cache_events_bytes", 1, events as f64);
}

fn measure_connections(fleet: &FleetPrograms, pid: u32) {
    let before = resident(&pid.to_string());
    let mut open = Vec::new();
    for count in [250, 500, 1_000, 2_000] {
        while open.len() < count {
            let mut stream = TcpStream::connect(fleet.daemons[0].1).unwrap();
            let request = "GET /v1/models HTTP/1.1\r\nHost: entry\r\nAuthorization: Bearer ";
            write!(stream, "{request}{}\r\n\r\n", fleet.key).unwrap();
            assert!(stream.read(&mut [0; 4_096]).unwrap() > 0);
            open.push(stream);
        }
        let bytes = resident(&pid.to_string()) - before;
        figure("connections.resident_bytes", count, bytes);
    }
}

/// Prints store calls, processor time and memory of idle fleets, and what a change costs.
pub fn daemons() {
    const SECONDS: f64 = 8.0;
    const AFTER_CHANGE: f64 = 4.0;
    for count in [4, 8, 16] {
        let mut fleet = FleetPrograms::start(count, 2, 100);
        let calls = |fleet: &FleetPrograms| {
            ["reads", "writes", "list_reads", "watches"].map(|name| fleet.counter(name))
        };
        let start_writes = fleet.counter("writes");
        figure("daemons.start_writes", count, start_writes);
        let (before, cpu_us) = (calls(&fleet), fleet.processor_us());
        sleep(Duration::from_secs_f64(SECONDS));
        let (after, cpu_us) = (calls(&fleet), fleet.processor_us() - cpu_us);
        let per_s = |n: usize| (after[n] - before[n]) / SECONDS;
        let (reads, writes) = (per_s(0), per_s(1));
        figure("daemons.idle_reads_per_s", count, reads);
        figure("daemons.idle_writes_per_s", count, writes);
        figure("daemons.idle_list_reads_per_s", count, per_s(2));
        let each = cpu_us / SECONDS / count as f64;
        figure("daemons.idle_processor_us_per_s", count, each);
        let bytes: f64 = fleet
            .daemons
            .iter()
            .map(|(pid, _)| resident(&pid.to_string()))
            .sum();
        figure("daemons.resident_bytes", count, bytes / count as f64);
        // A version without other changes, as a change of keys alone, and a changed rate.
        for (name, rate) in [("key", 1_000_000_000), ("rate", 900_000_000)] {
            let before = calls(&fleet);
            fleet.accept(rate);
            sleep(Duration::from_secs_f64(AFTER_CHANGE));
            let after = calls(&fleet);
            let extra = after[0] - before[0] - reads * AFTER_CHANGE;
            figure(&format!("change.{name}_reads"), count, extra);
            let watches = after[3] - before[3] - per_s(3) * AFTER_CHANGE;
            figure(&format!("change.{name}_watches"), count, watches);
            figure(
                &format!("change.{name}_writes"),
                count,
                after[1] - before[1],
            );
        }
    }
}
