//! Costs of daemons that run in processes of their own.

use std::{
    io::{Read, Write},
    net::TcpStream,
    thread::sleep,
    time::{Duration, Instant},
};

use super::{
    fleet_processes::{FleetProcesses, cpu_us, http},
    print_figure, resident_bytes,
};

/// Prints the CPU time of each request and token, the memory, and the store calls of each claim.
pub fn request() {
    for organisations in [275, 550, 1_100] {
        let fleet = FleetProcesses::start(1, 1, organisations);
        let pid = fleet.daemons[0].0;
        print_figure(
            "daemon.resident_bytes",
            organisations,
            resident_bytes(&pid.to_string()),
        );
        if organisations == 1_100 {
            measure_requests(&fleet, pid);
            measure_claims(&fleet);
            measure_polls(&fleet);
            measure_connections(&fleet, pid);
        }
    }
}

fn measure_requests(fleet: &FleetProcesses, pid: u32) {
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
        let before = cpu_us(pid);
        let text = fleet.run_load(&[args.as_slice(), &sizes, &["--concurrency", "1024"]].concat());
        let succeeded = text
            .split("right ")
            .nth(1)
            .and_then(|rest| rest.split(',').next());
        let succeeded: f64 = succeeded.unwrap().parse().unwrap();
        assert!(succeeded > 0.0, "{text}");
        (cpu_us(pid) - before) / succeeded
    };
    // Warm-up.
    run(50, 16);
    for rate in [50, 100, 200] {
        print_figure("request.processor_us_at_rate", rate, run(rate, 16));
    }
    for tokens in [16, 64, 256] {
        print_figure("request.processor_us_with_tokens", tokens, run(50, tokens));
    }
    let direct = fleet.engine.to_string();
    let text = fleet.run_load(&[
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
        print_figure("request.added_first_token_ms", quantile, value);
    }
}

fn measure_claims(fleet: &FleetProcesses) {
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
        let per_claim = |after: f64, before: f64| (after - before) / f64::from(count);
        print_figure(
            "claims.writes_each",
            count,
            per_claim(fleet.counter("writes"), writes),
        );
        // Subtracts the reads of the bundle head, about one a second, that an idle daemon makes.
        let reads = fleet.counter("reads") - reads - seconds;
        print_figure(
            "claims.reads_each",
            count,
            (reads / f64::from(count)).max(0.0),
        );
    }
}

fn measure_polls(fleet: &FleetProcesses) {
    let bytes = |path: &str| {
        let request = format!("GET {path} HTTP/1.1\r\nhost: {}\r\n\r\n", fleet.engine);
        request.len() + http(fleet.engine, "GET", path, "", "").len()
    };
    print_figure("polls.load_bytes", 1, bytes("/load") as f64);
    let events = bytes("/cache-events?after=999999999");
    print_figure("polls.cache_events_bytes", 1, events as f64);
}

fn measure_connections(fleet: &FleetProcesses, pid: u32) {
    let before = resident_bytes(&pid.to_string());
    let mut open = Vec::new();
    for count in [250, 500, 1_000, 2_000] {
        while open.len() < count {
            let mut stream = TcpStream::connect(fleet.daemons[0].1).unwrap();
            let request = "GET /v1/models HTTP/1.1\r\nHost: entry\r\nAuthorization: Bearer ";
            write!(stream, "{request}{}\r\n\r\n", fleet.key).unwrap();
            assert!(stream.read(&mut [0; 4_096]).unwrap() > 0);
            open.push(stream);
        }
        let bytes = resident_bytes(&pid.to_string()) - before;
        print_figure("connections.resident_bytes", count, bytes);
    }
}

/// Prints the store calls, CPU time and memory of idle fleets, and the store calls of a change of
/// the bundle.
pub fn daemons() {
    const IDLE_SECONDS: f64 = 8.0;
    const CHANGE_SECONDS: f64 = 4.0;
    for count in [4, 8, 16] {
        let mut fleet = FleetProcesses::start(count, 2, 100);
        let store_calls = |fleet: &FleetProcesses| {
            ["reads", "writes", "list_reads", "watches"].map(|name| fleet.counter(name))
        };
        let start_writes = fleet.counter("writes");
        print_figure("daemons.start_writes", count, start_writes);
        let (before, cpu_us) = (store_calls(&fleet), fleet.cpu_us());
        sleep(Duration::from_secs_f64(IDLE_SECONDS));
        let (after, cpu_us) = (store_calls(&fleet), fleet.cpu_us() - cpu_us);
        let per_s = |n: usize| (after[n] - before[n]) / IDLE_SECONDS;
        let (reads, writes) = (per_s(0), per_s(1));
        print_figure("daemons.idle_reads_per_s", count, reads);
        print_figure("daemons.idle_writes_per_s", count, writes);
        print_figure("daemons.idle_list_reads_per_s", count, per_s(2));
        let cpu_us_per_s = cpu_us / IDLE_SECONDS / count as f64;
        print_figure("daemons.idle_processor_us_per_s", count, cpu_us_per_s);
        let bytes: f64 = fleet
            .daemons
            .iter()
            .map(|(pid, _)| resident_bytes(&pid.to_string()))
            .sum();
        print_figure("daemons.resident_bytes", count, bytes / count as f64);
        // First a new version without other changes, which costs as much as a change of keys only;
        // then a changed rate.
        for (name, rate) in [("key", 1_000_000_000), ("rate", 900_000_000)] {
            let before = store_calls(&fleet);
            fleet.accept_bundle(rate);
            sleep(Duration::from_secs_f64(CHANGE_SECONDS));
            let after = store_calls(&fleet);
            let extra = after[0] - before[0] - reads * CHANGE_SECONDS;
            print_figure(&format!("change.{name}_reads"), count, extra);
            let watches = after[3] - before[3] - per_s(3) * CHANGE_SECONDS;
            print_figure(&format!("change.{name}_watches"), count, watches);
            print_figure(
                &format!("change.{name}_writes"),
                count,
                after[1] - before[1],
            );
        }
    }
}
