//! Validated names. One macro writes the types, since they differ in what they name only.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use snafu::Snafu;

/// Longest accepted name, in bytes.
const NAME_MAX_BYTES: usize = 48;

/// The error for a string that is not a valid name.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(display(
    "'{text}' is not a valid name: use 1 to {NAME_MAX_BYTES} of a-z, 0-9, '.', '_' and '-'"
))]
pub struct NameError {
    text: String,
}

fn check(text: &str) -> Result<(), NameError> {
    let allowed = |byte: u8| {
        byte.is_ascii_lowercase() || byte.is_ascii_digit() || matches!(byte, b'.' | b'_' | b'-')
    };
    if text.is_empty() || text.len() > NAME_MAX_BYTES || !text.bytes().all(allowed) {
        return Err(NameError { text: text.chars().take(NAME_MAX_BYTES).collect() });
    }
    Ok(())
}

macro_rules! name_types {
    ($($(#[$doc:meta])* $name:ident;)*) => {$(
        $(#[$doc])*
        ///
        /// Lower-case ASCII letters, digits, `.`, `_` and `-`; cheap to clone.
        ///
        /// ```
        #[doc = concat!("let name = kwg_model::", stringify!($name), "::new(\"abc-1\")?;")]
        /// assert_eq!(name.as_str(), "abc-1");
        #[doc = concat!("assert!(kwg_model::", stringify!($name), "::new(\"\").is_err());")]
        /// # Ok::<(), kwg_model::NameError>(())
        /// ```
        #[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(Arc<str>);

        impl $name {
            /// Checks and stores a name.
            ///
            /// # Errors
            /// [`NameError`] if the text is empty, too long or has other characters.
            pub fn new(text: impl AsRef<str>) -> Result<Self, NameError> {
                check(text.as_ref())?;
                Ok(Self(Arc::from(text.as_ref())))
            }

            /// The name as text.
            #[must_use]
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl TryFrom<String> for $name {
            type Error = NameError;

            fn try_from(text: String) -> Result<Self, NameError> {
                Self::new(text)
            }
        }

        impl FromStr for $name {
            type Err = NameError;

            fn from_str(text: &str) -> Result<Self, NameError> {
                Self::new(text)
            }
        }

        impl From<$name> for String {
            fn from(name: $name) -> Self {
                name.0.as_ref().to_owned()
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl fmt::Debug for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }
    )*};
}

name_types! {
    /// The name of a router instance.
    InstanceName;
    /// The name of a client account.
    AccountName;
    /// The name of a route, chosen by operators.
    RouteName;
    /// The name of a pool, which joins the two tables.
    PoolName;
    /// The name of a target inside its pool.
    TargetName;
    /// The name of a model or service version.
    VersionName;
    /// The name of a failure domain.
    DomainName;
    /// The name of a region.
    RegionName;
}
