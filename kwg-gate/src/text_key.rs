use std::borrow::Borrow;
use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

macro_rules! text_key {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        pub struct $name(Arc<str>);

        impl $name {
            /// Accepts any text as a name: the platform defines the rules for its names.
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
    /// The name of one run of a target.
    TargetId
}
text_key! {
    /// The name of a client account as the platform knows it.
    AccountLabel
}
