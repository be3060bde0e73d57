use std::collections::BTreeMap;
use std::path::Path;

use kwg_model::{
    PoolKind, PoolName, PoolRow, RouteName, RouteRow, ServiceTier, TableSet, TargetName, TargetRow,
    VersionName,
};
use snafu::ResultExt;

use crate::ini_error::TablesSnafu;
use crate::{CheckedIni, IniError, SectionReader};

/// Reads and writes the two tables in the form that operators edit: an INI file of routes and an
/// INI file of pools.
///
/// A section of the routes file is a route. A section of the pools file is a pool or, if its name
/// has the form `pool/target`, a target of that pool.
#[derive(Debug, Clone, Copy)]
pub struct TableFiles;

impl TableFiles {
    /// Reads and validates both files together. The revision of the result is zero.
    ///
    /// # Errors
    /// [`IniError`] for the first fault, with its line where it has one.
    pub fn load(routes: impl AsRef<Path>, pools: impl AsRef<Path>) -> Result<TableSet, IniError> {
        Self::from_ini(&CheckedIni::load(routes)?, &CheckedIni::load(pools)?)
    }

    /// Validates both parsed files together. The revision of the result is zero.
    ///
    /// # Errors
    /// [`IniError`] for the first fault, with its line where it has one.
    ///
    /// ```
    /// use kwg_settings::{CheckedIni, TableFiles};
    ///
    /// let routes = CheckedIni::parse("routes.ini", "[labels]\npool = graz\ntier = 3\n")?;
    /// let pools = "[graz]\nversion = v1\n[graz/e1]\naddress = 127.0.0.1:9001\n\
    ///              domain = ost-graz\nregion = ost\nlimit_tokens = 800\n";
    /// let tables = TableFiles::from_ini(&routes, &CheckedIni::parse("pools.ini", pools)?)?;
    /// assert_eq!((tables.routes.len(), tables.pools.len()), (1, 1));
    /// # Ok::<(), kwg_settings::IniError>(())
    /// ```
    pub fn from_ini(routes: &CheckedIni, pools: &CheckedIni) -> Result<TableSet, IniError> {
        let mut tables = TableSet {
            pools: read_pools(pools)?,
            routes: read_routes(routes)?,
            ..TableSet::default()
        };
        read_targets(pools, &mut tables.pools)?;
        routes.finish()?;
        pools.finish()?;
        tables.check().context(TablesSnafu)?;
        Ok(tables)
    }

    /// Formats the routes file.
    #[must_use]
    pub fn format_routes(tables: &TableSet) -> String {
        let mut text = String::new();
        for RouteRow { name, pool, tier, deadline_ms } in tables.routes.values() {
            text +=
                &format!("[{name}]\npool = {pool}\ntier = {tier}\ndeadline_ms = {deadline_ms}\n\n");
        }
        text
    }

    /// Formats the pools file. Version moves are not part of it.
    #[must_use]
    pub fn format_pools(tables: &TableSet) -> String {
        let mut text = String::new();
        for pool in tables.pools.values() {
            let kind = kind_name(pool.kind);
            text += &format!("[{}]\nkind = {kind}\nversion = {}\n\n", pool.name, pool.version);
            for target in &pool.targets {
                text += &target_text(&pool.name, target);
            }
        }
        text
    }
}

fn target_text(pool: &PoolName, target: &TargetRow) -> String {
    let TargetRow { name, address, domain, region, version, heeds_fencing, .. } = target;
    let (limit_tokens, limit_streams) = (target.limit_tokens, target.limit_streams);
    format!(
        "[{pool}/{name}]\naddress = {address}\ndomain = {domain}\nregion = {region}\n\
         limit_tokens = {limit_tokens}\nlimit_streams = {limit_streams}\nversion = {version}\nheeds_fencing = {heeds_fencing}\n\n"
    )
}

fn kind_name(kind: PoolKind) -> &'static str {
    match kind {
        PoolKind::Engine => "engine",
        PoolKind::Service => "service",
    }
}

fn read_kind(text: &str) -> Result<PoolKind, &'static str> {
    match text {
        "engine" => Ok(PoolKind::Engine),
        "service" => Ok(PoolKind::Service),
        _ => Err("a pool's kind is 'engine' or 'service'"),
    }
}

fn read_routes(ini: &CheckedIni) -> Result<BTreeMap<RouteName, RouteRow>, IniError> {
    const DEFAULT_DEADLINE_MS: u64 = 60_000;
    let mut rows = BTreeMap::new();
    for section in ini.section_names() {
        let reader = ini.section(section);
        let name = RouteName::new(section).map_err(|error| reader.invalid("pool", error))?;
        let tier = reader.number("tier", 0..=ServiceTier::COUNT as u64 - 1, None)?;
        let tier = u8::try_from(tier).ok().and_then(ServiceTier::new);
        let row = RouteRow {
            name: name.clone(),
            pool: reader.value("pool", None)?,
            tier: tier.ok_or_else(|| reader.invalid("tier", "no such tier"))?,
            deadline_ms: reader.number("deadline_ms", 1..=86_400_000, Some(DEFAULT_DEADLINE_MS))?,
        };
        rows.insert(name, row);
    }
    Ok(rows)
}

fn read_pools(ini: &CheckedIni) -> Result<BTreeMap<PoolName, PoolRow>, IniError> {
    let mut rows = BTreeMap::new();
    for section in ini.section_names().filter(|section| !section.contains('/')) {
        let reader = ini.section(section);
        let name = PoolName::new(section).map_err(|error| reader.invalid("version", error))?;
        let row = PoolRow {
            name: name.clone(),
            kind: reader.convert("kind", Some(PoolKind::Engine), read_kind)?,
            version: reader.value("version", None)?,
            targets: Vec::new(),
            version_move: None,
        };
        rows.insert(name, row);
    }
    Ok(rows)
}

fn read_targets(ini: &CheckedIni, pools: &mut BTreeMap<PoolName, PoolRow>) -> Result<(), IniError> {
    for section in ini.section_names() {
        let Some((pool, target)) = section.split_once('/') else { continue };
        let reader = ini.section(section);
        let name = TargetName::new(target).map_err(|error| reader.invalid("address", error))?;
        let row = PoolName::new(pool).ok().and_then(|pool| pools.get_mut(&pool));
        let row = row.ok_or_else(|| reader.invalid("address", format!("unknown pool '{pool}'")))?;
        row.targets.push(read_target(reader, name, &row.version)?);
    }
    Ok(())
}

/// Stream limit of a target whose section sets none.
const DEFAULT_LIMIT_STREAMS: u64 = 256;

fn read_target(
    reader: SectionReader<'_>,
    name: TargetName,
    version: &VersionName,
) -> Result<TargetRow, IniError> {
    Ok(TargetRow {
        name,
        address: reader.value("address", None)?,
        domain: reader.value("domain", None)?,
        region: reader.value("region", None)?,
        limit_tokens: reader.number("limit_tokens", 1..=1 << 40, None)?,
        limit_streams: reader.number("limit_streams", 1..=1 << 20, Some(DEFAULT_LIMIT_STREAMS))?,
        version: reader.value("version", Some(version.clone()))?,
        heeds_fencing: reader.value("heeds_fencing", Some(false))?,
    })
}
