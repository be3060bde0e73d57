//! The command line: help texts, exit codes, one-line error messages, and that no file is
//! overwritten.

use std::path::PathBuf;
use std::process::{Command, Output};

fn run(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_knapweedglade"))
        .args(arguments)
        .output()
        .expect("the binary is built")
}

fn error_of(arguments: &[&str]) -> (Option<i32>, String) {
    let output = run(arguments);
    let text = String::from_utf8_lossy(&output.stderr).into_owned();
    assert_eq!(text.lines().count(), 1, "one line: {text}");
    assert!(output.stdout.is_empty());
    (output.status.code(), text.trim_end().to_owned())
}

/// A temporary folder that is removed on drop.
struct TestFolder(PathBuf);

impl TestFolder {
    fn new(test: &str) -> Self {
        let dir = std::env::temp_dir().join(format!("kwg-cli-{test}-{}", std::process::id()));
        std::fs::create_dir_all(&dir).expect("writable");
        Self(dir)
    }

    fn path(&self, file: &str) -> String {
        self.0.join(file).display().to_string()
    }
}

impl Drop for TestFolder {
    fn drop(&mut self) {
        drop(std::fs::remove_dir_all(&self.0));
    }
}

#[test]
fn every_command_has_help() {
    for command in ["router", "check", "tables", "timeline", "explain", "keys"] {
        let output = run(&[command, "--help"]);
        assert!(output.status.success(), "{command}");
        assert!(String::from_utf8_lossy(&output.stdout).contains("USAGE"), "{command}");
    }
    assert!(run(&["--help"]).status.success());
}

#[test]
fn an_invalid_command_line_exits_with_2_and_one_line() {
    let cases: [(&[&str], &str); 6] = [
        (&[], "no command given, see --help"),
        (&["fly"], "unknown command 'fly', see --help"),
        (&["router"], "the '--settings' option must be set"),
        (&["check"], "nothing to check: give --settings, --gateway, or --routes and --pools"),
        (&["keys", "account", "--name", "bank", "--fast"], "unknown option --fast"),
        (&["timeline"], "nothing to merge: name log files, or give --objects"),
    ];
    for (arguments, expected) in cases {
        assert_eq!(error_of(arguments), (Some(2), format!("knapweedglade: {expected}")));
    }
}

#[test]
fn invalid_settings_exit_with_3_and_name_the_line() {
    let folder = TestFolder::new("settings");
    let file = folder.path("r1.ini");
    std::fs::write(&file, "[router]\nname = r1\ndomain = a\nregion = b\nthreads = many\n")
        .expect("writable");
    let expected =
        format!("knapweedglade: {file}:5: 'threads' in [router]: invalid digit found in string");
    for command in ["check", "router"] {
        assert_eq!(error_of(&[command, "--settings", &file]), (Some(3), expected.clone()));
    }
    let (code, text) = error_of(&["check", "--settings", &folder.path("none.ini")]);
    assert_eq!(code, Some(3));
    assert!(text.ends_with("none.ini: No such file or directory (os error 2)"), "{text}");
}

#[test]
fn existing_keys_are_not_overwritten() {
    let folder = TestFolder::new("keys");
    let dir = folder.path("");
    assert!(run(&["keys", "fleet", "--dir", &dir]).status.success());
    assert!(run(&["keys", "router", "--dir", &dir, "--name", "r1"]).status.success());
    let (code, text) = error_of(&["keys", "fleet", "--dir", &dir]);
    assert_eq!(code, Some(1));
    assert!(text.contains("fleet.key: File exists"), "{text}");
}

#[test]
fn an_unreachable_platform_is_reported_in_one_line() {
    let (code, text) = error_of(&["tables", "show", "--tables", "127.0.0.1:1"]);
    assert_eq!(code, Some(1));
    assert!(text.starts_with("knapweedglade: 127.0.0.1:1 cannot be reached"), "{text}");
}

#[test]
fn timeline_merges_files_in_causal_order() {
    let folder = TestFolder::new("timeline");
    let (one, two) = (folder.path("r1.log"), folder.path("r2.log"));
    // The second machine's clock is a minute behind, so its hybrid clock stamps the effect one past
    // the cause. The file with the effect is named first.
    std::fs::write(&one, "time=x level=info stamp=6553600000 instance=r1 event=claim-sent\n")
        .expect("writable");
    std::fs::write(&two, "time=x level=info stamp=6553600001 instance=r2 event=granted\n")
        .expect("writable");
    let output = run(&["timeline", &two, &one]);
    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    let events: Vec<&str> = text.lines().filter_map(|line| line.split("event=").nth(1)).collect();
    assert_eq!(events, ["claim-sent", "granted"]);
}
