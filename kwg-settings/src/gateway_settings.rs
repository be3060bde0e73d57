use std::collections::HashMap;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use kwg_gate::{
    ColdOptions, DomainMap, GateOptions, MoveOptions, QuotaOptions, RetryBudgetOptions,
};
use kwg_model::InstanceName;
use log::LevelFilter;

use crate::{CallerSettings, CheckedIni, IniError};

/// The settings of a gateway process.
#[derive(Debug, Clone)]
pub struct GatewaySettings {
    /// The instance's name.
    pub name: InstanceName,
    /// Listening address for callers.
    pub front: SocketAddr,
    /// Listening address for readiness checks.
    pub ready: SocketAddr,
    /// Listening address for metrics.
    pub metrics: SocketAddr,
    /// UDP address for the links to other gateways.
    pub peer: SocketAddr,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// Grace period: the time between SIGTERM and SIGKILL.
    pub grace: Duration,
    /// Memory limit of the process, in bytes.
    pub memory_bytes: u64,
    /// Limit of open file descriptors.
    pub descriptors: u64,
    /// Limits of what callers use.
    pub callers: CallerSettings,
    /// Domains, retry budget, quota tolerances and options of version moves.
    pub gate: GateOptions,
    /// The least severe level of log lines that is written.
    pub log_level: LevelFilter,
}

impl GatewaySettings {
    /// Reads and validates a settings file.
    ///
    /// # Errors
    /// [`IniError`] for the first fault, with its line where it has one.
    pub fn load(path: impl AsRef<Path>) -> Result<Self, IniError> {
        Self::from_ini(&CheckedIni::load(path)?)
    }

    /// Parses and validates the text of a settings file. `file` is its name in error messages.
    ///
    /// # Errors
    /// [`IniError`] for the first fault, with its line where it has one.
    pub fn parse(file: &str, text: &str) -> Result<Self, IniError> {
        Self::from_ini(&CheckedIni::parse(file, text)?)
    }

    fn from_ini(ini: &CheckedIni) -> Result<Self, IniError> {
        let gateway = ini.section("gateway");
        let own: String = gateway.value("domain", None)?;
        let regions = ini.section("domains");
        let names: Vec<String> = ini.keys("domains").map(str::to_owned).collect();
        let regions: HashMap<String, String> = names
            .into_iter()
            .filter_map(|name| regions.raw(&name).map(|region| (name.clone(), region.to_owned())))
            .collect();
        if !regions.contains_key(&own) {
            return Err(gateway.invalid("domain", "is not listed in [domains]"));
        }
        let budget = ini.section("retry budget");
        let retry = RetryBudgetOptions {
            ratio: budget.value("ratio", Some(RetryBudgetOptions::default().ratio))?,
            extra: budget.value("extra", Some(RetryBudgetOptions::default().extra))?,
            window: budget.duration("window_s", 1..=3_600, RetryBudgetOptions::default().window)?,
        };
        if !(0.0..=10.0).contains(&retry.ratio) {
            return Err(budget.invalid("ratio", "is not between 0 and 10"));
        }
        if !(0.0..=1e6).contains(&retry.extra) {
            return Err(budget.invalid("extra", "is not between 0 and 1000000"));
        }
        let quota = ini.section("quota");
        let tolerance = QuotaOptions {
            overshoot: quota.value("overshoot", Some(0.0))?,
            slack: quota.value("slack", Some(0.0))?,
        };
        if !(0.0..=10.0).contains(&tolerance.overshoot) {
            return Err(quota.invalid("overshoot", "is not between 0 and 10"));
        }
        if !(0.0..=1e12).contains(&tolerance.slack) {
            return Err(quota.invalid("slack", "is not between 0 and 1000000000000"));
        }
        let section = ini.section("version moves");
        let moves = MoveOptions {
            exposure_share: section
                .value("exposure_share", Some(MoveOptions::default().exposure_share))?,
            exposure_requests: section
                .value("exposure_requests", Some(MoveOptions::default().exposure_requests))?,
        };
        if !(0.0..=1.0).contains(&moves.exposure_share) {
            return Err(section.invalid("exposure_share", "is not between 0 and 1"));
        }
        if !(0.0..=1e6).contains(&moves.exposure_requests) {
            return Err(section.invalid("exposure_requests", "is not between 0 and 1000000"));
        }
        let section = ini.section("cold targets");
        let cold = ColdOptions {
            overshoot: section.value("overshoot", Some(ColdOptions::default().overshoot))?,
            slack: section.value("slack", Some(ColdOptions::default().slack))?,
        };
        if !(0.0..=10.0).contains(&cold.overshoot) {
            return Err(section.invalid("overshoot", "is not between 0 and 10"));
        }
        if !(0.0..=1e6).contains(&cold.slack) {
            return Err(section.invalid("slack", "is not between 0 and 1000000"));
        }
        let memory_bytes = gateway.number("memory_mb", 16..=1_000_000, Some(256))? << 20;
        let descriptors = gateway.number("descriptors", 64..=10_000_000, Some(1_024))?;
        let settings = Self {
            name: gateway.convert("name", None, |text| InstanceName::new(text))?,
            front: gateway.value("front", None)?,
            ready: gateway.value("ready", None)?,
            metrics: gateway.value("metrics", None)?,
            peer: gateway.value("peer", None)?,
            store: gateway.value("store", None)?,
            grace: gateway.duration("grace_s", 1..=3_600, Duration::from_secs(8))?,
            memory_bytes,
            descriptors,
            callers: CallerSettings::read(ini.section("callers"), memory_bytes, descriptors)?,
            gate: GateOptions {
                domains: DomainMap { own, regions },
                retry,
                quota: tolerance,
                moves,
                cold,
            },
            log_level: ini.section("log").value("level", Some(LevelFilter::Info))?,
        };
        ini.finish()?;
        Ok(settings)
    }
}
