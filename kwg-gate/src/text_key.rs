use std::borrow::Borrow;
use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// Largest length of a name, in bytes: that of a key in the store.
const MAX_NAME_BYTES: usize = 200;

/// Whether a text may be used as a name: it is written into heads, log lines and labels of metrics, so it has
/// no control characters, quotation marks or backslashes, and no space at its ends.
///
/// ```
/// use kwg_gate::is_usable_name;
///
/// assert!(is_usable_name("i-1") && is_usable_name("client a"));
/// assert!(!is_usable_name("i-1\r\n") && !is_usable_name("") && !is_usable_name(" i-1"));
/// ```
#[must_use]
pub fn is_usable_name(text: &str) -> bool {
    let is_allowed = |char: char| !char.is_control() && !matches!(char, '"' | '\\');
    (1..=MAX_NAME_BYTES).contains(&text.len())
        && text.trim().len() == text.len()
        && text.chars().all(is_allowed)
}

/// Decodes a name that a peer has sent.
fn checked(text: Box<str>) -> Result<Arc<str>, &'static str> {
    match is_usable_name(&text) {
        true => Ok(text.into()),
        false => Err("not usable as a name"),
    }
}

macro_rules! text_key {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(try_from = "Box<str>")]
        pub struct $name(Arc<str>);

        impl TryFrom<Box<str>> for $name {
            type Error = &'static str;

            fn try_from(text: Box<str>) -> Result<Self, Self::Error> {
                checked(text).map(Self)
            }
        }

        impl $name {
            /// Creates a name from any text; decoders check it by [`is_usable_name`] before.
            #[must_use]
            pub fn new(text: &str) -> Self {
                Self(text.into())
            }

            /// The name as text.
            #[must_use]
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl Borrow<str> for $name {
            fn borrow(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }
    };
}

text_key! {
    /// The name of a service: a set of targets that serve the same routes.
    ServiceName
}
text_key! {
    /// The name of a route in the route table.
    RouteLabel
}
text_key! {
    /// The name of a target. A later run may reuse it;
    /// [`TargetEntry::born`](crate::TargetEntry::born) tells the runs apart.
    TargetId
}
text_key! {
    /// The name of a client account, as used by the platform.
    AccountLabel
}
