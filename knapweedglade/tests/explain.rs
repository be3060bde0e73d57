//! The command `explain` against a running gateway.

mod support;

use std::process::{Command, Output};

use serde_json::Value;
use support::{TestFleet, request};

fn explain(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_knapweedglade"))
        .arg("explain")
        .args(arguments)
        .output()
        .expect("the binary is built")
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

/// An explanation must not reach a runner, and names the runners with the reasons of the choice.
#[test]
fn a_placement_is_explained_without_being_made() {
    let fleet = TestFleet::start("explain", 2);
    let metrics = fleet.gateway.metrics.to_string();
    let path = ["--metrics", &metrics, "--host", "graz.example", "--path", "/open/a"];
    let arguments =
        [&path[..], &["--account", "hule", "--prompt", "100", "--output", "10"]].concat();
    let output = explain(&arguments);
    let shown = text(&output.stdout);
    assert!(output.status.success(), "{}", text(&output.stderr));
    assert!(shown.contains("route open, service llm"), "{shown}");
    assert!(shown.contains("outcome: send to i-"), "{shown}");
    assert!(shown.contains("i-0") && shown.contains("i-1"), "{shown}");
    let output = explain(&[&arguments[..], &["--json"]].concat());
    let json: Value = serde_json::from_slice(&output.stdout).expect("JSON");
    assert_eq!(json["outcome"], "send");
    assert_eq!(json["targets"].as_array().map(Vec::len), Some(2));
    assert!(json["targets"][0]["terms"]["latency"].is_number(), "{json}");
    assert_eq!(fleet.runs(), 0);
    assert_eq!(fleet.call(&request("POST", "/open/a", "r1")).status, 200);
}

#[test]
fn refusals_are_explained_and_errors_have_their_exit_codes() {
    let fleet = TestFleet::start("explain-refusals", 1);
    let metrics = fleet.gateway.metrics.to_string();
    let with = |host: &str, more: &[&str]| {
        explain(&[&["--metrics", &metrics, "--host", host, "--path", "/open/a"], more].concat())
    };
    let unknown = with("other.example", &[]);
    assert!(unknown.status.success());
    assert!(text(&unknown.stdout).contains("outcome: refuse, no-route"), "{unknown:?}");
    let anonymous = with("graz.example", &[]);
    assert!(text(&anonymous.stdout).contains("outcome: refuse, unknown-key"), "{anonymous:?}");
    let broken = with("a\r\nX: b", &[]);
    assert_eq!(broken.status.code(), Some(2), "{broken:?}");
    assert_eq!(with("graz.example", &["--prompt", "many"]).status.code(), Some(2));
    assert_eq!(explain(&["--metrics", &metrics]).status.code(), Some(2));
    let gone = explain(&["--metrics", "127.0.0.1:1", "--host", "h", "--path", "/"]);
    assert_eq!(gone.status.code(), Some(1));
    let error = text(&gone.stderr);
    assert!(error.starts_with("knapweedglade: 127.0.0.1:1 cannot be reached"), "{error}");
    assert!(text(&explain(&["--help"]).stdout).contains("USAGE"));
}
