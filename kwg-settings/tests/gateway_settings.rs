//! Invalid gateway settings must be rejected, with an error that names the line.

use std::time::Duration;

use kwg_gate::ColdOptions;
use kwg_settings::GatewaySettings;

const VALID: &str = "\
[gateway]
name = front-graz-1
domain = graz
front = 127.0.0.1:7001
ready = 127.0.0.1:7002
metrics = 127.0.0.1:7003
peer = 127.0.0.1:7004
store = 127.0.0.1:7005
grace_s = 9
[domains]
graz = ost
ibk = west
[retry budget]
ratio = 0.25
extra = 40
window_s = 12
[quota]
overshoot = 0.1
slack = 140000
[version moves]
exposure_share = 0.2
exposure_requests = 30
[callers]
memory_percent = 20
reserved_descriptors = 400
ready_connections = 16
stall_ms = 1500
floor_bytes_s = 100
floor_window_ms = 5000
[log]
level = debug
";

fn error_of(text: &str) -> String {
    GatewaySettings::parse("g.ini", text).expect_err("invalid settings").to_string()
}

#[test]
fn valid_settings_are_accepted() {
    let settings = GatewaySettings::parse("g.ini", VALID).expect("valid");
    assert_eq!(settings.grace, Duration::from_secs(9));
    assert_eq!(settings.gate.retry.window, Duration::from_secs(12));
    assert!((settings.gate.retry.ratio - 0.25).abs() < f64::EPSILON);
    assert!((settings.gate.moves.exposure_share - 0.2).abs() < f64::EPSILON);
    assert!((settings.gate.moves.exposure_requests - 30.0).abs() < f64::EPSILON);
    assert_eq!(settings.gate.domains.regions["ibk"], "west");
    let front = settings.callers.front;
    // A fifth of 256 MB, and 1,024 descriptors less 400.
    assert_eq!((front.memory_bytes, front.connections), (53_687_080, 624));
    assert_eq!((front.stall, front.window_bytes()), (Duration::from_millis(1_500), 500));
    assert_eq!(settings.callers.ready.connections, 16);
}

#[test]
fn callers_get_what_the_smallest_instances_have_less_the_reserve() {
    let with = |limits: &str| {
        let text = VALID.replace("grace_s = 9", limits);
        let from = text.find("[callers]").expect("the section");
        let to = text.find("[log]").expect("the section");
        let text = format!("{}{}", &text[..from], &text[to..]);
        GatewaySettings::parse("g.ini", &text).expect("valid").callers
    };
    let smallest = with("memory_mb = 88\ndescriptors = 4100");
    assert_eq!(smallest.front.memory_bytes, 27_682_380);
    assert_eq!((smallest.front.connections, smallest.ready.connections), (2_900, 64));
    // Each connection and one short request of each fit into the memory.
    assert!(smallest.front.connection_bytes * 2_900 < smallest.front.memory_bytes);
    let tiny = with("memory_mb = 16\ndescriptors = 64");
    assert_eq!((tiny.front.connections, tiny.ready.connections), (32, 4));
}

#[test]
fn every_error_names_its_line() {
    let cases = [
        ("grace_s = 9", "grace = 9", "g.ini:9: unknown key 'grace' in [gateway]"),
        (
            "domain = graz",
            "domain = wien",
            "g.ini:3: 'domain' in [gateway]: is not listed in [domains]",
        ),
        ("peer = 127.0.0.1:7004\n", "", "g.ini: section [gateway] lacks 'peer'"),
        (
            "ratio = 0.25",
            "ratio = -1",
            "g.ini:14: 'ratio' in [retry budget]: is not between 0 and 10",
        ),
        (
            "window_s = 12",
            "window_s = 0",
            "g.ini:16: 'window_s' in [retry budget]: 0 is not between 1 and 3600",
        ),
        (
            "exposure_share = 0.2",
            "exposure_share = 1.5",
            "g.ini:21: 'exposure_share' in [version moves]: is not between 0 and 1",
        ),
        (
            "exposure_requests = 30",
            "exposure_requests = -1",
            "g.ini:22: 'exposure_requests' in [version moves]: is not between 0 and 1000000",
        ),
        (
            "memory_percent = 20",
            "memory_percent = 61",
            "g.ini:24: 'memory_percent' in [callers]: 61 is not between 5 and 60",
        ),
        (
            "reserved_descriptors = 400",
            "reserved_descriptors = 31",
            "g.ini:25: 'reserved_descriptors' in [callers]: 31 is not between 32 and 1000000",
        ),
        (
            "ready_connections = 16",
            "ready_connections = 3",
            "g.ini:26: 'ready_connections' in [callers]: 3 is not between 4 and 10000",
        ),
        (
            "stall_ms = 1500",
            "stall_ms = 199",
            "g.ini:27: 'stall_ms' in [callers]: 199 is not between 200 and 60000",
        ),
        (
            "floor_bytes_s = 100",
            "floor_bytes_s = 0",
            "g.ini:28: 'floor_bytes_s' in [callers]: 0 is not between 1 and 65536",
        ),
        (
            "floor_window_ms = 5000",
            "floor_window_s = 5",
            "g.ini:29: unknown key 'floor_window_s' in [callers]",
        ),
        ("[log]", "[logs]", "g.ini:30: unknown section [logs]"),
    ];
    for (from, to, expected) in cases {
        assert_eq!(error_of(&VALID.replace(from, to)), expected);
    }
}

#[test]
fn the_tolerance_for_cold_targets_is_read_and_bounded() {
    let with = |section: &str| VALID.replace("[log]", &format!("{section}\n[log]"));
    let settings = GatewaySettings::parse("g.ini", VALID).expect("valid");
    assert_eq!(settings.gate.cold, ColdOptions { overshoot: 1.0, slack: 0.0 }, "the rate itself");
    let text = with("[cold targets]\novershoot = 1.5\nslack = 5");
    let settings = GatewaySettings::parse("g.ini", &text).expect("valid");
    assert_eq!(settings.gate.cold, ColdOptions { overshoot: 1.5, slack: 5.0 });
    for (section, error) in [
        (
            "[cold targets]\novershoot = 11",
            "'overshoot' in [cold targets]: is not between 0 and 10",
        ),
        ("[cold targets]\nslack = -1", "'slack' in [cold targets]: is not between 0 and 1000000"),
        ("[cold targets]\nslacks = 1", "unknown key 'slacks' in [cold targets]"),
    ] {
        assert!(
            error_of(&with(section)).ends_with(error),
            "{section}: {}",
            error_of(&with(section))
        );
    }
}

/// The template must give valid settings with and without the values of newer deployments, and nothing of them without.
#[test]
fn the_template_is_valid_with_and_without_the_tolerance_for_cold_targets() {
    let template = include_str!("../../deploy/gateway.ini");
    let old = render(template, false);
    assert!(!old.contains("cold") && !old.contains("{{"), "{old}");
    let settings = GatewaySettings::parse("g.ini", &old).expect("valid");
    assert_eq!(settings.gate.cold, ColdOptions::default());
    let new = render(template, true);
    assert!(!new.contains("{{"), "{new}");
    let settings = GatewaySettings::parse("g.ini", &new).expect("valid");
    assert_eq!(settings.gate.cold, ColdOptions { overshoot: 1.5, slack: 5.0 });
}

/// Fills the template as the platform does. A block of a value is rendered once if the deployment has the value.
fn render(template: &str, has_cold: bool) -> String {
    let mut text = template.to_owned();
    let zones = "{{#zones}}{{@}} = {{.}}\n{{/zones}}";
    assert!(text.contains(zones));
    text = text.replace(zones, "graz = ost\nibk = west\n");
    for name in ["bounds.coldOvershoot", "bounds.coldSlack"] {
        let (begin, end) = (format!("{{{{#{name}}}}}"), format!("{{{{/{name}}}}}"));
        let from = text.find(&begin).expect("a block");
        let to = text.find(&end).expect("its end") + end.len();
        let content = text[from + begin.len()..to - end.len()].to_owned();
        text.replace_range(from..to, if has_cold { &content } else { "" });
    }
    let values = [
        ("nodeName", "front-graz-1"),
        ("zone", "graz"),
        ("listen.front", "127.0.0.1:7001"),
        ("listen.ready", "127.0.0.1:7002"),
        ("ip", "127.0.0.1"),
        ("portRange.0", "7600"),
        ("provider.address", "127.0.0.1:7005"),
        ("bounds.graceS", "8"),
        ("limits.memoryMb", "88"),
        ("limits.maxFds", "4100"),
        ("bounds.retryBudgetRatio", "0.2"),
        ("bounds.budgetExtra", "58"),
        ("bounds.budgetWindowS", "10"),
        ("bounds.quotaOvershoot", "0.1"),
        ("bounds.quotaSlack", "140000"),
        ("bounds.exposureShare", "0.1"),
        ("bounds.exposureSlack", "50"),
        ("bounds.coldOvershoot", "1.5"),
        ("bounds.coldSlack", "5"),
    ];
    for (name, value) in values {
        text = text.replace(&format!("{{{{{name}}}}}"), value);
    }
    text
}
