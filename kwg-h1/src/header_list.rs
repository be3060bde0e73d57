use std::fmt::Display;

/// Header fields in the order of their arrival; names are compared case-insensitively.
///
/// ```
/// use kwg_h1::HeaderList;
///
/// let mut headers = HeaderList::default();
/// headers.push("Host", "graz.example");
/// assert_eq!(headers.get("host"), Some("graz.example"));
/// ```
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct HeaderList(Vec<(Box<str>, Box<str>)>);

impl HeaderList {
    /// Appends a header field.
    pub fn push(&mut self, name: &str, value: impl Display) {
        self.0.push((name.into(), value.to_string().into()));
    }

    /// The first value of a field, if it is present.
    #[must_use]
    pub fn get(&self, name: &str) -> Option<&str> {
        self.all(name).next()
    }

    /// All values of a field.
    pub fn all(&self, name: &str) -> impl Iterator<Item = &str> {
        self.iter().filter(move |(known, _)| known.eq_ignore_ascii_case(name)).map(|(_, v)| v)
    }

    /// Whether a comma-separated field contains a token.
    #[must_use]
    pub fn has_token(&self, name: &str, token: &str) -> bool {
        let mut tokens = self.all(name).flat_map(|value| value.split(','));
        tokens.any(|known| known.trim().eq_ignore_ascii_case(token))
    }

    /// Names and values of all fields.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &str)> {
        self.0.iter().map(|(name, value)| (&**name, &**value))
    }

    /// Keeps only the fields for whose name `keep` returns true.
    pub fn retain(&mut self, mut keep: impl FnMut(&str) -> bool) {
        self.0.retain(|(name, _)| keep(name));
    }

    /// Removes the hop-by-hop fields, including those that `Connection` names.
    pub fn strip_connection_fields(&mut self) {
        let named: Vec<String> = self
            .all("connection")
            .flat_map(|value| value.split(','))
            .map(|token| token.trim().to_owned())
            .collect();
        self.retain(|name| {
            let is_fixed = CONNECTION_FIELDS.iter().any(|fixed| name.eq_ignore_ascii_case(fixed));
            !is_fixed && !named.iter().any(|token| name.eq_ignore_ascii_case(token))
        });
    }
}

/// Hop-by-hop fields, which are never passed on.
const CONNECTION_FIELDS: [&str; 9] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];
