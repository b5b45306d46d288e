//! Directory of one test, in which the command runs.

use std::{
    fs,
    path::{Path, PathBuf},
    process::Command,
};

use serde_json::Value;

/// Directory of one test with a copy of an example.
pub struct Workplace(PathBuf);

/// Result of a command.
#[derive(Debug)]
pub struct Ran {
    pub code: i32,
    pub stdout: String,
    pub stderr: String,
}

impl Ran {
    pub fn json(&self) -> Value {
        serde_json::from_str(&self.stdout).unwrap()
    }
}

impl Workplace {
    pub fn new(test: &str) -> Self {
        let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(test);
        let _ = fs::remove_dir_all(&path);
        fs::create_dir_all(&path).unwrap();
        let example = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/kolanut");
        for name in [
            "bundle.ini",
            "lagos-a-1.ini",
            "signer-ada.key",
            "signer-bola.key",
        ] {
            fs::copy(example.join(name), path.join(name)).unwrap();
        }
        Self(path)
    }

    /// Writes a copy of the bundle with one replacement.
    pub fn change(&self, name: &str, from: &str, to: &str) {
        let text = self.read("bundle.ini");
        assert!(text.contains(from));
        fs::write(self.path(name), text.replacen(from, to, 1)).unwrap();
    }

    /// Writes the bundle with `version` and one change to its text, signed by ada.
    pub fn sign_version(&self, name: &str, version: u64, from: &str, to: &str) {
        self.change(name, from, to);
        let text = self.read(name);
        let text = text.replacen("version = 1", &format!("version = {version}"), 1);
        fs::write(self.path(name), text).unwrap();
        let sign = format!("bundle sign --key signer-ada.key --signer ada {name}");
        assert_eq!(self.run(&sign).code, 0);
    }

    pub fn path(&self, name: &str) -> PathBuf {
        self.0.join(name)
    }

    pub fn read(&self, name: &str) -> String {
        fs::read_to_string(self.path(name)).unwrap()
    }

    pub fn run(&self, arguments: &str) -> Ran {
        let output = Command::new(env!("CARGO_BIN_EXE_hawthornquay"))
            .args(arguments.split(' '))
            .current_dir(&self.0)
            .output()
            .unwrap();
        Ran {
            code: output.status.code().unwrap(),
            stdout: String::from_utf8(output.stdout).unwrap(),
            stderr: String::from_utf8(output.stderr).unwrap(),
        }
    }
}
