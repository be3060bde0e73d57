use std::net::SocketAddr;
use std::time::Duration;

use async_io::block_on;
use http_types::{Method, StatusCode};
use kwg_clock::ClockHandle;
use kwg_gate::{ExplainedTarget, Explanation};
use kwg_http::CallClient;
use kwg_store::PlatformError;

use crate::arguments::Arguments;
use crate::command_error::{CommandError, usage};

/// Time limit for the call to the gateway.
const CALL_TIMEOUT: Duration = Duration::from_secs(3);
/// The gateway's path for explanations.
const PATH: &str = "/explain";

const HELP: &str = "\
Show where a running gateway would send a request now, and why, without sending it.

USAGE: knapweedglade explain --metrics ADDRESS --host HOST --path PATH [--account NAME]
                             [--prompt TOKENS] [--output TOKENS] [--json]

OPTIONS:
  --metrics ADDRESS   the metrics address of the gateway
  --host HOST         the requested host
  --path PATH         the requested path
  --account NAME      the account that sends the request
  --prompt TOKENS     tokens of the prompt
  --output TOKENS     the most tokens that the answer may have
  --json              print the explanation as JSON
";

pub(crate) fn run(arguments: &mut Arguments) -> Result<(), CommandError> {
    if arguments.has_help_flag() {
        print!("{HELP}");
        return Ok(());
    }
    let address: SocketAddr = arguments.required("--metrics")?;
    let host: String = arguments.required("--host")?;
    let path: String = arguments.required("--path")?;
    let account: Option<String> = arguments.optional("--account")?;
    let prompt: Option<u64> = arguments.optional("--prompt")?;
    let output: Option<u64> = arguments.optional("--output")?;
    let is_json = arguments.has_flag("--json");
    arguments.finish()?;
    let fields = [
        ("X-Explain-Host", Some(host)),
        ("X-Explain-Path", Some(path)),
        ("X-Explain-Account", account),
        ("X-Explain-Prompt", prompt.map(|tokens| tokens.to_string())),
        ("X-Explain-Output", output.map(|tokens| tokens.to_string())),
    ];
    for value in fields.iter().filter_map(|(_, value)| value.as_ref()) {
        if value.is_empty() || !value.bytes().all(|byte| byte.is_ascii_graphic()) {
            return usage(format!("{value:?} must be visible ASCII characters"));
        }
    }
    let body =
        block_on(call(address, fields)).map_err(|source| CommandError::Platform { source })?;
    let explanation: Explanation = serde_json::from_slice(&body)
        .map_err(|source| PlatformError::Decode { path: PATH.to_owned(), source })
        .map_err(|source| CommandError::Platform { source })?;
    match is_json {
        true => println!("{}", String::from_utf8_lossy(&body)),
        false => print_text(&explanation),
    }
    Ok(())
}

async fn call(
    address: SocketAddr,
    fields: [(&str, Option<String>); 5],
) -> Result<Vec<u8>, PlatformError> {
    let client = CallClient::new(address, CALL_TIMEOUT, ClockHandle::system());
    let failed = |source| PlatformError::Call { source };
    let mut request = client.request(Method::Get, PATH).map_err(failed)?;
    for (name, value) in fields.iter().filter_map(|(name, value)| Some((name, value.as_ref()?))) {
        request.insert_header(*name, value);
    }
    let reply = client.call(request).await.map_err(failed)?;
    match reply.status {
        StatusCode::Ok => Ok(reply.body),
        status => Err(PlatformError::Status { status, path: PATH.to_owned() }),
    }
}

fn print_text(explanation: &Explanation) {
    let text = |value: &Option<String>| value.clone().unwrap_or_else(|| "-".to_owned());
    println!(
        "route {}, service {}, rank {}",
        text(&explanation.route),
        text(&explanation.service),
        explanation.rank.map_or_else(|| "-".to_owned(), |rank| rank.to_string())
    );
    let (here, elsewhere) = (explanation.waiting_here, explanation.waiting_elsewhere);
    println!("waiting for the service: {here} here, {elsewhere} at other instances");
    println!("{}", outcome_text(explanation));
    if explanation.targets.is_empty() {
        return;
    }
    println!(
        "{:<24} {:<13} {:>7} {:>9} {:>6} {:>8} {:>9} {:>8} {:>7}  terms of the cost",
        "target", "state", "cost", "expect ms", "late", "load", "step ms", "samples", "age ms"
    );
    explanation.targets.iter().for_each(|target| println!("{}", target_text(target)));
    if explanation.omitted > 0 {
        println!("and {} more targets", explanation.omitted);
    }
}

fn outcome_text(explanation: &Explanation) -> String {
    let reason = explanation.reason.as_deref().unwrap_or("-");
    match (explanation.outcome.as_str(), &explanation.target, explanation.wait_ms) {
        ("send", Some(target), _) => format!("outcome: send to {target}"),
        ("wait", _, Some(wait_ms)) => {
            format!("outcome: wait for up to {wait_ms} ms, then {reason}")
        }
        (outcome, ..) => match explanation.retry_after_ms {
            Some(after_ms) => format!("outcome: {outcome}, {reason}, retry after {after_ms} ms"),
            None => format!("outcome: {outcome}, {reason}"),
        },
    }
}

fn target_text(target: &ExplainedTarget) -> String {
    let terms = [
        ("latency", target.terms.latency),
        ("overrun", target.terms.overrun),
        ("pause", target.terms.pause),
        ("crossing", target.terms.crossing),
        ("connecting", target.terms.connecting),
        ("borrowing", target.terms.borrowing),
        ("batch", target.terms.batch),
        ("failure", target.terms.failure),
    ];
    let shown = terms.iter().filter(|(_, value)| *value >= 0.000_5);
    let terms: Vec<String> = shown.map(|(name, value)| format!("{name} {value:.3}")).collect();
    let load = format!("{}/{}/{}", target.load, target.capacity, target.slots);
    format!(
        "{:<24} {:<13} {:>7.3} {:>9.0} {:>6.2} {:>8} {:>9.2} {:>8.1} {:>7}  {}",
        target.target,
        target.state,
        target.cost,
        target.expected_ms,
        target.late_streams,
        load,
        target.step_ms,
        target.step_weight,
        target.evidence_age_ms,
        terms.join(", ")
    )
}
