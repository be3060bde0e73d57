use std::fmt::Display;
use std::ops::RangeInclusive;
use std::str::FromStr;
use std::time::Duration;

use snafu::OptionExt;

use crate::ini_error::{BadValueSnafu, MissingSnafu};
use crate::{CheckedIni, IniError};

/// Reads typed and bounded values from one section.
#[derive(Debug, Clone, Copy)]
pub struct SectionReader<'a> {
    ini: &'a CheckedIni,
    name: &'a str,
}

impl<'a> SectionReader<'a> {
    pub(crate) fn new(ini: &'a CheckedIni, name: &'a str) -> Self {
        Self { ini, name }
    }

    /// The trimmed text of a key, or `None` if the key is missing. Marks the key as read.
    #[must_use]
    pub fn raw(&self, key: &str) -> Option<&'a str> {
        self.ini.read.borrow_mut().insert((self.name.to_owned(), key.to_owned()));
        self.ini.ini.section(Some(self.name)).and_then(|section| section.get(key)).map(str::trim)
    }

    /// A value parsed with [`FromStr`], or `default` if the key is missing.
    ///
    /// # Errors
    /// [`IniError::Missing`] if there is neither a key nor a default, [`IniError::BadValue`] if the
    /// text cannot be parsed.
    pub fn value<T: FromStr>(&self, key: &str, default: Option<T>) -> Result<T, IniError>
    where
        T::Err: Display,
    {
        self.convert(key, default, |text| text.parse().map_err(|error: T::Err| error.to_string()))
    }

    /// A value parsed with `convert`, or `default` if the key is missing.
    ///
    /// # Errors
    /// [`IniError::Missing`] if there is neither a key nor a default, [`IniError::BadValue`] if
    /// `convert` fails.
    pub fn convert<T, E: Display>(
        &self,
        key: &str,
        default: Option<T>,
        convert: impl FnOnce(&str) -> Result<T, E>,
    ) -> Result<T, IniError> {
        match self.raw(key) {
            Some(text) => convert(text).map_err(|error| self.invalid(key, error)),
            None => default.context(MissingSnafu { file: &self.ini.file, section: self.name, key }),
        }
    }

    /// An integer within `bounds`, or `default` if the key is missing.
    ///
    /// # Errors
    /// [`IniError::Missing`] if there is neither a key nor a default, [`IniError::BadValue`] if the
    /// text is not a number or the number is out of bounds.
    pub fn number(
        &self,
        key: &str,
        bounds: RangeInclusive<u64>,
        default: Option<u64>,
    ) -> Result<u64, IniError> {
        let number = self.value(key, default)?;
        if !bounds.contains(&number) {
            let (low, high) = (bounds.start(), bounds.end());
            return Err(self.invalid(key, format!("{number} is not between {low} and {high}")));
        }
        Ok(number)
    }

    /// A duration, or `default` if the key is missing. The value and `bounds` are in milliseconds
    /// if the key ends in `_ms`, else in seconds.
    ///
    /// # Errors
    /// [`IniError::BadValue`] if the text is not a number or the number is out of bounds.
    pub fn duration(
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

    /// Creates an [`IniError::BadValue`] for a key of this section.
    #[must_use]
    pub fn invalid(&self, key: &str, reason: impl Display) -> IniError {
        let (file, line) = (&self.ini.file, self.ini.lines.key(self.name, key));
        let reason = reason.to_string();
        BadValueSnafu { file, line, section: self.name, key, reason }.build()
    }
}
