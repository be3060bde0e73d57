use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use data_encoding::HEXLOWER;
use kwg_decide::{LedgerOptions, QueueOptions, RosterOptions};
use kwg_flow::{ControlOptions, TrafficOptions};
use kwg_front::FrontLimits;
use kwg_model::{AccountGrant, AccountName, DomainName, InstanceName, RegionName, SealKey};
use kwg_telemetry::LogSink;
use log::LevelFilter;

use crate::{CheckedIni, IniError, SectionReader};

/// Prefix of the section names of client accounts.
const ACCOUNT_PREFIX: &str = "account ";

/// The settings of a router process.
#[derive(Debug, Clone)]
pub struct RouterSettings {
    /// The router's name.
    pub name: InstanceName,
    /// The router's failure domain.
    pub domain: DomainName,
    /// The router's region.
    pub region: RegionName,
    /// Number of traffic threads.
    pub threads: u16,
    /// Listening address for callers.
    pub front: SocketAddr,
    /// Listening address for metrics and status.
    pub admin: SocketAddr,
    /// Address and key files for the links to other routers.
    pub peer: PeerFiles,
    /// The fleet's key for sealing tickets and resume tokens.
    pub seal_key: SealKey,
    /// Addresses of the platform's services.
    pub platform: PlatformAddresses,
    /// Limits for callers.
    pub limits: FrontLimits,
    /// Limits and timeouts of the traffic cores.
    pub traffic: TrafficOptions,
    /// Intervals and timeouts of the control core.
    pub control: ControlOptions,
    /// How long a stopping router still accepts callers, so that load balancers can detect the
    /// stop.
    pub drain_notice: Duration,
    /// How long a stopping router waits for accepted requests to end, after `drain_notice`.
    pub drain_timeout: Duration,
    /// How long an idempotency key is stored.
    pub key_retention: Duration,
    /// How often events are archived in the object store.
    pub archive_interval: Duration,
    /// Destination and level of log lines.
    pub log: LogSink,
    /// Credentials of the client accounts.
    pub accounts: Vec<AccountGrant>,
}

/// The address and key files of a router's peer links.
#[derive(Debug, Clone)]
pub struct PeerFiles {
    /// UDP listening address.
    pub address: SocketAddr,
    /// Certificate of the fleet's authority, a PEM file.
    pub authority: PathBuf,
    /// Certificate of this router, a PEM file.
    pub certificate: PathBuf,
    /// Private key of this router, a PEM file.
    pub key: PathBuf,
}

/// Addresses of the platform's services.
#[derive(Debug, Clone)]
pub struct PlatformAddresses {
    /// Address of the table service.
    pub tables: SocketAddr,
    /// Address of the object store.
    pub objects: SocketAddr,
    /// Address of the instance list.
    pub instances: SocketAddr,
    /// Time limit for a call to one of them.
    pub timeout: Duration,
}

impl RouterSettings {
    /// Reads and validates a settings file.
    ///
    /// # Errors
    /// [`IniError`] for the first fault, with its line where it has one.
    pub fn load(path: impl AsRef<Path>) -> Result<Self, IniError> {
        let path = path.as_ref();
        Self::from_ini(&CheckedIni::load(path)?, path.parent().unwrap_or(Path::new("")))
    }

    /// Validates parsed settings. Relative file names are resolved against `folder`.
    ///
    /// # Errors
    /// [`IniError`] for the first fault, with its line where it has one.
    pub fn from_ini(ini: &CheckedIni, folder: &Path) -> Result<Self, IniError> {
        let router = ini.section("router");
        let timing = ini.section("timing");
        let limits = ini.section("limits");
        let settings = Self {
            name: router.value("name", None)?,
            domain: router.value("domain", None)?,
            region: router.value("region", None)?,
            threads: u16::try_from(router.number("threads", 1..=64, Some(1))?).unwrap_or(1),
            front: router.value("front", None)?,
            admin: router.value("admin", None)?,
            peer: read_peer(ini.section("peer"), folder)?,
            seal_key: read_seal_key(ini.section("fleet"))?,
            platform: read_platform(ini.section("platform"))?,
            limits: read_limits(limits)?,
            traffic: read_traffic(limits, timing)?,
            control: read_control(timing)?,
            drain_notice: timing.duration(
                "drain_notice_ms",
                0..=600_000,
                Duration::from_secs(2),
            )?,
            drain_timeout: timing.duration(
                "drain_timeout_s",
                1..=86_400,
                Duration::from_secs(300),
            )?,
            key_retention: limits.duration(
                "key_life_s",
                900..=2_592_000,
                Duration::from_secs(86_400),
            )?,
            archive_interval: timing.duration("archive_s", 1..=3_600, Duration::from_secs(5))?,
            log: read_log(ini.section("log"), folder)?,
            accounts: read_accounts(ini)?,
        };
        ini.finish()?;
        Ok(settings)
    }
}

fn read_peer(section: SectionReader<'_>, folder: &Path) -> Result<PeerFiles, IniError> {
    let file = |key: &str| -> Result<PathBuf, IniError> {
        let path = folder.join(section.value::<String>(key, None)?);
        if !path.is_file() {
            return Err(section.invalid(key, format!("no file {}", path.display())));
        }
        Ok(path)
    };
    Ok(PeerFiles {
        address: section.value("address", None)?,
        authority: file("authority")?,
        certificate: file("certificate")?,
        key: file("key")?,
    })
}

fn read_seal_key(section: SectionReader<'_>) -> Result<SealKey, IniError> {
    const MIN_SECRET_BYTES: usize = 16;
    section.convert("seal_secret", None, |text| match text.len() >= MIN_SECRET_BYTES {
        true => Ok(SealKey::derive(text)),
        false => Err(format!("a secret has at least {MIN_SECRET_BYTES} characters")),
    })
}

fn read_platform(section: SectionReader<'_>) -> Result<PlatformAddresses, IniError> {
    Ok(PlatformAddresses {
        tables: section.value("tables", None)?,
        objects: section.value("objects", None)?,
        instances: section.value("instances", None)?,
        timeout: section.duration("timeout_ms", 50..=60_000, Duration::from_secs(2))?,
    })
}

fn read_size(
    section: SectionReader<'_>,
    key: &str,
    bounds: std::ops::RangeInclusive<u64>,
    default: u64,
) -> Result<usize, IniError> {
    let number = section.number(key, bounds, Some(default))?;
    Ok(usize::try_from(number).unwrap_or(usize::MAX))
}

fn read_limits(section: SectionReader<'_>) -> Result<FrontLimits, IniError> {
    let defaults = FrontLimits::default();
    let (connections, requests) = (defaults.connections as u64, defaults.account_requests as u64);
    let (body, backlog) = (defaults.body_bytes as u64, defaults.reply_backlog as u64);
    let timeout = defaults.receive_timeout;
    Ok(FrontLimits {
        body_bytes: read_size(section, "body_bytes", 1..=64 << 20, body)?,
        connections: read_size(section, "connections", 1..=100_000, connections)?,
        account_requests: read_size(section, "account_requests", 1..=100_000, requests)?,
        receive_timeout: section.duration("receive_timeout_ms", 10..=600_000, timeout)?,
        reply_backlog: read_size(section, "reply_backlog", 4..=1 << 20, backlog)?,
    })
}

fn read_traffic(
    limits: SectionReader<'_>,
    timing: SectionReader<'_>,
) -> Result<TrafficOptions, IniError> {
    let defaults = TrafficOptions::default();
    let LedgerOptions { lifetime, retention, max_tickets, max_account_tickets } = defaults.ledger;
    let max_tickets = max_tickets as u64;
    let max_account_tickets = max_account_tickets as u64;
    let ledger = LedgerOptions {
        lifetime: limits.duration("ticket_lifetime_s", 1..=86_400, lifetime)?,
        retention: limits.duration("ticket_retention_s", 1..=86_400, retention)?,
        max_tickets: read_size(limits, "tickets", 1..=10_000_000, max_tickets)?,
        max_account_tickets: read_size(
            limits,
            "account_tickets",
            1..=10_000_000,
            max_account_tickets,
        )?,
    };
    let QueueOptions { max_tokens, max_entries } = defaults.queue;
    let queue = QueueOptions {
        max_tokens: limits.number("queue_tokens", 1..=1 << 40, Some(max_tokens))?,
        max_entries: read_size(limits, "queue_requests", 1..=1 << 20, max_entries as u64)?,
    };
    let retention = defaults.answer_retention;
    Ok(TrafficOptions {
        ledger,
        queue,
        answer_retention: limits.duration("answer_retention_s", 1..=3_600, retention)?,
        answer_max_bytes: limits.number(
            "answer_bytes",
            0..=1 << 30,
            Some(defaults.answer_max_bytes),
        )?,
        claim_timeout: timing.duration("claim_timeout_ms", 10..=60_000, defaults.claim_timeout)?,
        home_timeout: timing.duration("home_timeout_ms", 10..=60_000, defaults.home_timeout)?,
        home_retry_interval: timing.duration(
            "home_retry_ms",
            5..=10_000,
            defaults.home_retry_interval,
        )?,
        join_check_interval: timing.duration(
            "attach_timeout_ms",
            10..=60_000,
            defaults.join_check_interval,
        )?,
        resume_backoff: timing.duration("resume_pause_ms", 1..=10_000, defaults.resume_backoff)?,
        orphan_grace: timing.duration("orphan_grace_s", 1..=3_600, defaults.orphan_grace)?,
        hand_over_timeout: timing.duration(
            "hand_over_timeout_ms",
            10..=60_000,
            defaults.hand_over_timeout,
        )?,
        ..defaults
    })
}

fn read_control(section: SectionReader<'_>) -> Result<ControlOptions, IniError> {
    let defaults = ControlOptions::default();
    let silence = defaults.roster.silence_timeout;
    Ok(ControlOptions {
        heartbeat: section.duration("heartbeat_ms", 50..=60_000, defaults.heartbeat)?,
        roster: RosterOptions {
            silence_timeout: section.duration("silence_timeout_ms", 100..=600_000, silence)?,
            ..defaults.roster
        },
        min_table_read_interval: section.duration(
            "table_read_ms",
            50..=60_000,
            defaults.min_table_read_interval,
        )?,
        min_list_read_interval: section.duration(
            "list_read_ms",
            50..=60_000,
            defaults.min_list_read_interval,
        )?,
        ..defaults
    })
}

fn read_log(section: SectionReader<'_>, folder: &Path) -> Result<LogSink, IniError> {
    Ok(LogSink {
        level: section.value("level", Some(LevelFilter::Info))?,
        file: section.raw("file").map(|file| folder.join(file)),
    })
}

fn read_accounts(ini: &CheckedIni) -> Result<Vec<AccountGrant>, IniError> {
    let mut accounts = Vec::new();
    for section in ini.section_names() {
        let Some(name) = section.strip_prefix(ACCOUNT_PREFIX) else { continue };
        let reader = ini.section(section);
        let name =
            AccountName::new(name.trim()).map_err(|error| reader.invalid("key_hash", error))?;
        let key_hash = reader.convert("key_hash", None, |text| {
            let bytes = HEXLOWER.decode(text.as_bytes()).ok();
            let hash = bytes.and_then(|bytes| <[u8; 32]>::try_from(bytes).ok());
            hash.ok_or("a hash has 64 hexadecimal digits, as 'knapweedglade keys account' prints")
        })?;
        accounts.push(AccountGrant { name, key_hash });
    }
    Ok(accounts)
}
