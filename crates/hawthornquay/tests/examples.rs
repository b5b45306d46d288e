//! Guards against example files that daemons or operators cannot use.

use std::{collections::BTreeSet, path::PathBuf, process::Command};

use hawthornquay_decisions::{BackendKind, Residency};
use hawthornquay_operators::{BundleDocument, DaemonSettings, Trust, caller_key_digest};

fn directory(deployment: &str) -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR"))
        .join("../../examples")
        .join(deployment)
}

/// Reads the bundle of an example deployment.
fn bundle(deployment: &str) -> BundleDocument {
    let path = directory(deployment).join("bundle.ini");
    let text = std::fs::read_to_string(&path).unwrap();
    BundleDocument::read(&path.display().to_string(), &text).unwrap()
}

/// Reads the settings of all instances of an example deployment.
fn settings(deployment: &str) -> Vec<DaemonSettings> {
    let mut settings = Vec::new();
    for entry in std::fs::read_dir(directory(deployment)).unwrap() {
        let path = entry.unwrap().path();
        let is_settings = path.extension().is_some_and(|extension| extension == "ini");
        if is_settings && path.file_name().unwrap() != "bundle.ini" {
            let text = std::fs::read_to_string(&path).unwrap();
            let read = DaemonSettings::read(&path.display().to_string(), &text).unwrap();
            assert_eq!(
                path.file_stem().unwrap().to_str(),
                Some(read.instance.name.as_str())
            );
            settings.push(read);
        }
    }
    settings
}

/// Guards against example bundles without the servers and organisations of section 1.1 of the
/// design.
#[test]
fn examples_bundles_describe_the_deployments() {
    for (deployment, workers) in [("kolanut", 12), ("verhaegen", 9)] {
        let document = bundle(deployment);
        let bundle = document.bundle();
        let engines = bundle
            .backends
            .values()
            .filter(|backend| matches!(backend.kind, BackendKind::ModelEngine { .. }))
            .count();
        assert_eq!(
            (engines, bundle.backends.len()),
            (workers, workers + 3),
            "{deployment}"
        );
        assert_eq!(bundle.organisations.len(), 5);
        let regions: BTreeSet<_> = bundle
            .domains
            .values()
            .map(|domain| &domain.region)
            .collect();
        assert_eq!(regions.len(), 3);
        assert!(bundle.organisations.values().any(|organisation| {
            matches!(&organisation.residency, Residency::Regions(regions) if regions.len() == 1)
        }));
        for organisation in bundle.organisations.keys() {
            let key = format!("example-key-{organisation}");
            let digest = caller_key_digest(&bundle.key_salt, &key);
            assert_eq!(
                bundle.organisation_of(&digest).map(|found| &found.id),
                Some(organisation)
            );
        }
    }
}

/// Guards against settings that contradict the bundle, or addresses used twice on one machine.
#[test]
fn examples_settings_match_the_bundle() {
    let mut used = BTreeSet::new();
    for deployment in ["kolanut", "verhaegen"] {
        let document = bundle(deployment);
        let settings = settings(deployment);
        assert_eq!(settings.len(), 9, "{deployment}");
        used.insert(settings[0].platform);
        for backend in document.bundle().backends.values() {
            assert!(used.insert(backend.address), "{}", backend.address);
        }
        for daemon in &settings {
            let instance = &daemon.instance;
            let region = document.bundle().region_of(&instance.domain);
            assert_eq!(region, Some(&instance.region), "{}", instance.name);
            assert_eq!(daemon.trust, Trust::of_predecessor(document.bundle()));
            assert_eq!(daemon.platform, settings[0].platform);
            for address in [instance.callers, instance.peers, instance.operators] {
                assert!(used.insert(address), "{address}");
            }
        }
    }
}

/// Returns the commands of the examples page that need no platform.
fn page_commands() -> Vec<String> {
    let page = std::fs::read_to_string(directory("README.md")).unwrap();
    let commands = page.lines().filter_map(|line| line.strip_prefix("    "));
    commands
        .filter(|line| line.starts_with("hawthornquay ") || line.starts_with("hawthornquayd "))
        .filter(|line| !line.contains("--platform") && !line.ends_with('&'))
        .map(str::to_owned)
        .collect()
}

/// Guards against an examples page whose commands fail, or do not create the files that the
/// settings name.
#[test]
fn examples_page_commands_prepare_a_daemon() {
    let work_dir = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("examples-page");
    let _ = std::fs::remove_dir_all(&work_dir);
    std::fs::create_dir_all(&work_dir).unwrap();
    for entry in std::fs::read_dir(directory("kolanut")).unwrap() {
        let path = entry.unwrap().path();
        if path.is_file()
            && path
                .extension()
                .is_none_or(|extension| extension != "signatures")
        {
            std::fs::copy(&path, work_dir.join(path.file_name().unwrap())).unwrap();
        }
    }
    for command in page_commands() {
        let mut words = command.split(' ');
        let program = match words.next() {
            Some("hawthornquayd") => env!("CARGO_BIN_EXE_hawthornquayd"),
            _ => env!("CARGO_BIN_EXE_hawthornquay"),
        };
        let output = Command::new(program)
            .args(words)
            .current_dir(&work_dir)
            .output()
            .unwrap();
        assert!(output.status.success(), "{command}: {output:?}");
    }
    assert!(work_dir.join("bundle.ini.signatures").exists());
    for daemon in settings("kolanut") {
        if ["lagos-a-1", "lagos-a-2"].contains(&daemon.instance.name.as_str()) {
            let tls = &daemon.tls;
            for path in [&tls.certificate, &tls.key, &tls.authority] {
                assert!(work_dir.join(path).exists(), "{path:?}");
            }
        }
    }
}
