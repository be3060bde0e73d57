use std::fmt::Display;
use std::ops::RangeInclusive;
use std::str::FromStr;
use std::time::Duration;

use snafu::OptionExt;

use crate::ini_error::{BadValueSnafu, MissingSnafu};
use crate::{CheckedIni, IniError};

/// Reads the keys of one section, each with its type and bounds.
#[derive(Debug, Clone, Copy)]
pub struct SectionReader<'a> {
    ini: &'a CheckedIni,
    name: &'a str,
}

impl<'a> SectionReader<'a> {
    pub(crate) fn new(ini: &'a CheckedIni, name: &'a str) -> Self {
        Self { ini, name }
    }

    /// A value as it stands, if the key is there.
    #[must_use]
    pub fn raw(&self, key: &str) -> Option<&'a str> {
        self.ini.read.borrow_mut().insert((self.name.to_owned(), key.to_owned()));
        self.ini.ini.section(Some(self.name)).and_then(|section| section.get(key)).map(str::trim)
    }

    /// A value of any type that is read from text; `default` stands in for a missing key.
    ///
    /// # Errors
    /// [`IniError::Missing`] without a default, [`IniError::BadValue`] for other text.
    pub fn value<T: FromStr>(&self, key: &str, default: Option<T>) -> Result<T, IniError>
    where
        T::Err: Display,
    {
        self.convert(key, default, |text| text.parse().map_err(|error: T::Err| error.to_string()))
    }

    /// A value that `convert` makes from text.
    ///
    /// # Errors
    /// [`IniError::Missing`] without a default, [`IniError::BadValue`] if `convert` fails.
    pub fn convert<T, E: Display>(
        &self,
        key: &str,
        default: Option<T>,
        convert: impl FnOnce(&str) -> Result<T, E>,
    ) -> Result<T, IniError> {
        match self.raw(key) {
            Some(text) => convert(text).map_err(|error| self.bad(key, error)),
            None => default.context(MissingSnafu { file: &self.ini.file, section: self.name, key }),
        }
    }

    /// A whole number within bounds.
    ///
    /// # Errors
    /// [`IniError`] if the key is missing without a default, no number or out of bounds.
    pub fn number(
        &self,
        key: &str,
        bounds: RangeInclusive<u64>,
        default: Option<u64>,
    ) -> Result<u64, IniError> {
        let number = self.value(key, default)?;
        if !bounds.contains(&number) {
            let (low, high) = (bounds.start(), bounds.end());
            return Err(self.bad(key, format!("{number} is not between {low} and {high}")));
        }
        Ok(number)
    }

    /// A span of time; the key's name ends in its unit, `_ms` or `_s`.
    ///
    /// # Errors
    /// As for [`Self::number`].
    pub fn span(
        &self,
        key: &str,
        bounds: RangeInclusive<u64>,
        default: Duration,
    ) -> Result<Duration, IniError> {
        let is_millis = key.ends_with("_ms");
        let default = if is_millis { default.as_millis() } else { u128::from(default.as_secs()) };
        let default = u64::try_from(default).unwrap_or(u64::MAX);
        let number = self.number(key, bounds, Some(default))?;
        Ok(if is_millis { Duration::from_millis(number) } else { Duration::from_secs(number) })
    }

    /// The error for a value of this section.
    #[must_use]
    pub fn bad(&self, key: &str, reason: impl Display) -> IniError {
        let (file, line) = (&self.ini.file, self.ini.lines.key(self.name, key));
        let reason = reason.to_string();
        BadValueSnafu { file, line, section: self.name, key, reason }.build()
    }
}
