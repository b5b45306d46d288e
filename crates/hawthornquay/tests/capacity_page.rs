//! Guards against a capacity page that differs from the measured figures or omits a target.

use std::{collections::BTreeSet, fs, path::PathBuf};

use serde_json::Value;

/// Targets in the wording of section 1.7 of the design.
const TARGETS: [&str; 25] = [
    "350 daemons",
    "760 workers",
    "6,100 accelerators",
    "3 regions and 10 failure domains",
    "1,100 organisations",
    "30 models",
    "4,400 requests/s",
    "1.1 M generated tokens/s",
    "differs tenfold between regions",
    "16% of requests are home-bound",
    "1.9 s to the first token",
    "58 ms between tokens",
    "960 changes a day",
    "in force within 4 s",
    "at most 1.4% of a core",
    "256 MB of resident memory",
    "2 KB/s",
    "22 instances fail",
    "230 are restarted or replaced daily",
    "Racks or switches are lost every month or two",
    "a failure domain a few times a year",
    "Regions lose each other for minutes",
    "less than 0.25 ms at p50",
    "1 ms at p99",
    "10,000 idle connections",
];

const VERDICTS: [&str; 3] = ["holds", "does not hold", "not measured"];

fn read_doc(name: &str) -> String {
    let docs = PathBuf::from(concat!(env!("CARGO_MANIFEST_DIR"), "/../../docs"));
    fs::read_to_string(docs.join(name)).unwrap()
}

fn cells(line: &str) -> Vec<&str> {
    let line = line.trim().trim_start_matches('|').trim_end_matches('|');
    line.split('|').map(str::trim).collect()
}

/// Returns the header and rows of each table of the page.
fn tables(page: &str) -> Vec<(Vec<&str>, Vec<Vec<&str>>)> {
    let lines: Vec<&str> = page.lines().collect();
    lines
        .split(|line| !line.starts_with('|'))
        .filter(|table| table.len() > 2)
        .map(|table| {
            let rows = table[2..].iter().map(|line| cells(line)).collect();
            (cells(table[0]), rows)
        })
        .collect()
}

/// Returns the figures that the page quotes: in tables whose first column is `figure`, and in the
/// form `` `name` = value ``.
fn quoted_figures(page: &str) -> Vec<(String, f64)> {
    let mut figures = Vec::new();
    for (header, rows) in tables(page) {
        if header[0] != "figure" {
            continue;
        }
        for row in rows {
            let name = row[0].trim_matches('`');
            for (size, value) in header.iter().zip(&row).skip(1) {
                let size = size.replace(',', "");
                figures.push((format!("{name}.{size}"), value.parse().unwrap()));
            }
        }
    }
    for (before, after) in page.match_indices("` = ").map(|(at, _)| page.split_at(at)) {
        let name = before.rsplit('`').next().unwrap();
        let value = after["` = ".len()..].split(|c: char| !c.is_ascii_digit() && c != '.');
        let value = value.into_iter().next().unwrap().trim_end_matches('.');
        figures.push((name.to_owned(), value.parse().unwrap()));
    }
    figures
}

/// Guards against quoted figures that differ from the measured ones, and against measured or
/// predicted figures that the page omits.
#[test]
fn capacity_page_quotes_the_measured_figures() {
    let page = read_doc("CAPACITY.md");
    let json: Value = serde_json::from_str(&read_doc("capacity-figures.json")).unwrap();
    let mut quoted = BTreeSet::new();
    for (name, value) in quoted_figures(&page) {
        let measured = match name.strip_prefix("predicted.") {
            Some(short) => &json["predicted"][short],
            None => &json["figures"][&name]["middle"],
        };
        assert_eq!(measured.as_f64(), Some(value), "{name}");
        quoted.insert(name);
    }
    for name in json["predicted"].as_object().unwrap().keys() {
        assert!(quoted.contains(&format!("predicted.{name}")), "{name}");
    }
    for name in json["figures"].as_object().unwrap().keys() {
        assert!(quoted.contains(name), "{name}");
    }
    for name in ["commit", "command", "date"] {
        let text = json[name].as_str().unwrap();
        assert!(
            page.contains(text),
            "the page does not state the {name} of the measurement"
        );
    }
}

/// Guards against a target without a verdict, and against a missed target without a remedy.
#[test]
fn capacity_page_has_a_verdict_for_every_target() {
    let (page, design) = (read_doc("CAPACITY.md"), read_doc("design.md"));
    let section = design.split("### 1.7").nth(1).unwrap();
    let section = section.split("\n## ").next().unwrap();
    let tables = tables(&page);
    let rows: Vec<&Vec<&str>> = tables
        .iter()
        .filter(|(header, _)| header[0] == "target")
        .flat_map(|(_, rows)| rows)
        .collect();
    for target in TARGETS {
        assert!(
            section.contains(target),
            "section 1.7 of the design does not contain `{target}`"
        );
        assert!(
            rows.iter().any(|row| row[0] == target),
            "the page has no row for `{target}`"
        );
    }
    for row in rows {
        let [target, predicted, bound, verdict, remedy] = row.as_slice() else {
            panic!("{row:?}");
        };
        assert!(VERDICTS.contains(verdict), "{target}: {verdict}");
        assert!(!predicted.is_empty() && !bound.is_empty(), "{target}");
        let is_missed = *verdict == "does not hold";
        assert!(
            !is_missed || !remedy.is_empty(),
            "the missed target {target} has no remedy"
        );
    }
}

/// Guards against numbers in section 1.7 of the design that are not part of any target.
#[test]
fn capacity_targets_cover_the_numbers_of_the_design() {
    let design = read_doc("design.md");
    let section = design.split("### 1.7").nth(1).unwrap();
    let section = section.split("\n## ").next().unwrap();
    let mut rest = section.lines().skip(1).collect::<Vec<_>>().join("\n");
    rest = rest.replace("`docs/CAPACITY.md`", "").replace("p95 of", "");
    for target in TARGETS {
        rest = rest.replace(target, "");
    }
    rest = rest.replace("256 MB, even with", "");
    assert!(!rest.contains(|c: char| c.is_ascii_digit()), "{rest}");
}
