use kwg_gate::CallerOptions;

use crate::{IniError, SectionReader};

/// Share of the descriptors that is for callers if the reserved ones leave less.
const LEAST_SHARE: u64 = 4;
/// Least number of callers' connections, as far as there are descriptors.
const LEAST_CONNECTIONS: u64 = 32;
/// Share of the descriptors that connections to the readiness port may take.
const READY_SHARE: u64 = 16;
/// Longest head of a readiness check and its parsed form, in bytes.
const CHECK_BYTES: usize = 16 << 10;

/// Limits of the memory and the descriptors that callers use, by port.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerSettings {
    /// Limits of callers' connections.
    pub front: CallerOptions,
    /// Limits of connections to the readiness port.
    pub ready: CallerOptions,
}

impl CallerSettings {
    /// Reads the section and derives the limits from those of the process.
    ///
    /// # Errors
    /// [`IniError`] for the first value that is no number or out of bounds.
    ///
    /// ```
    /// use kwg_settings::{CallerSettings, CheckedIni};
    ///
    /// let ini = CheckedIni::parse("gateway.ini", "[callers]\nmemory_percent = 30\n")?;
    /// let settings = CallerSettings::read(ini.section("callers"), 88 << 20, 4_100)?;
    /// assert_eq!(settings.front.connections, 2_900);
    /// assert_eq!(settings.front.memory_bytes, 27_682_380);
    /// # Ok::<(), kwg_settings::IniError>(())
    /// ```
    pub fn read(
        section: SectionReader<'_>,
        memory_bytes: u64,
        descriptors: u64,
    ) -> Result<Self, IniError> {
        let defaults = CallerOptions::default();
        let percent = section.number("memory_percent", 5..=60, Some(30))?;
        let reserved = section.number("reserved_descriptors", 32..=1_000_000, Some(1_200))?;
        let ready = section.number("ready_connections", 4..=10_000, Some(64))?;
        let least = (descriptors / LEAST_SHARE).max(LEAST_CONNECTIONS);
        let front = CallerOptions {
            memory_bytes: to_size(memory_bytes / 100 * percent),
            connections: to_size(descriptors.saturating_sub(reserved).max(least)),
            stall: section.duration("stall_ms", 200..=60_000, defaults.stall)?,
            floor_bytes_s: section.number(
                "floor_bytes_s",
                1..=65_536,
                Some(defaults.floor_bytes_s),
            )?,
            floor_window: section.duration(
                "floor_window_ms",
                500..=120_000,
                defaults.floor_window,
            )?,
            ..defaults
        };
        let ready = to_size(ready.min(descriptors / READY_SHARE).max(4));
        let memory_bytes = ready * (CHECK_BYTES + defaults.connection_bytes);
        Ok(Self { front, ready: CallerOptions { connections: ready, memory_bytes, ..front } })
    }
}

fn to_size(number: u64) -> usize {
    usize::try_from(number).unwrap_or(usize::MAX)
}
