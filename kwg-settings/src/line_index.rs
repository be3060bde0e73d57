use std::collections::HashMap;

use crate::IniError;
use crate::ini_error::{DuplicateSnafu, key_of};

/// Line numbers of all sections and keys, which the INI library does not provide.
#[derive(Debug, Default)]
pub(crate) struct LineIndex {
    sections: HashMap<String, usize>,
    keys: HashMap<(String, String), usize>,
}

impl LineIndex {
    /// Scans the text of a file for sections and keys.
    ///
    /// # Errors
    /// [`IniError::Duplicate`] for a duplicate section or key, since the INI library would drop one.
    pub(crate) fn scan(file: &str, text: &str) -> Result<Self, IniError> {
        let mut index = Self::default();
        let mut section = String::new();
        for (number, line) in text.lines().enumerate() {
            let (line, number) = (line.trim(), number + 1);
            let duplicate = |what: String| DuplicateSnafu { file, line: number, what }.fail();
            if let Some(name) = line.strip_prefix('[').and_then(|rest| rest.strip_suffix(']')) {
                section = name.trim().to_owned();
                if index.sections.insert(section.clone(), number).is_some() {
                    return duplicate(format!("section [{section}]"));
                }
            } else if !line.starts_with([';', '#'])
                && let Some((key, _)) = line.split_once('=')
            {
                let key = key.trim().to_owned();
                if index.keys.insert((section.clone(), key.clone()), number).is_some() {
                    return duplicate(key_of(&section, &key).to_string());
                }
            }
        }
        Ok(index)
    }

    /// The line of a section; 0 if there is none.
    pub(crate) fn section(&self, section: &str) -> usize {
        self.sections.get(section).copied().unwrap_or(0)
    }

    /// The line of a key; that of its section if the key is missing.
    pub(crate) fn key(&self, section: &str, key: &str) -> usize {
        let key = (section.to_owned(), key.to_owned());
        self.keys.get(&key).copied().unwrap_or_else(|| self.section(section))
    }
}
