use std::collections::HashMap;

use crate::IniError;
use crate::ini_error::{TwiceSnafu, key_of};

/// The line of every section and key, which the INI library does not tell.
#[derive(Debug, Default)]
pub(crate) struct LineIndex {
    sections: HashMap<String, usize>,
    keys: HashMap<(String, String), usize>,
}

impl LineIndex {
    /// Finds the lines; a section or key that stands twice is an error, since one would be lost.
    pub(crate) fn scan(file: &str, text: &str) -> Result<Self, IniError> {
        let mut index = Self::default();
        let mut section = String::new();
        for (number, line) in text.lines().enumerate() {
            let (line, number) = (line.trim(), number + 1);
            let twice = |what: String| TwiceSnafu { file, line: number, what }.fail();
            if let Some(name) = line.strip_prefix('[').and_then(|rest| rest.strip_suffix(']')) {
                section = name.trim().to_owned();
                if index.sections.insert(section.clone(), number).is_some() {
                    return twice(format!("section [{section}]"));
                }
            } else if !line.starts_with([';', '#'])
                && let Some((key, _)) = line.split_once('=')
            {
                let key = key.trim().to_owned();
                if index.keys.insert((section.clone(), key.clone()), number).is_some() {
                    return twice(key_of(&section, &key).to_string());
                }
            }
        }
        Ok(index)
    }

    pub(crate) fn section(&self, section: &str) -> usize {
        self.sections.get(section).copied().unwrap_or(0)
    }

    pub(crate) fn key(&self, section: &str, key: &str) -> usize {
        let key = (section.to_owned(), key.to_owned());
        self.keys.get(&key).copied().unwrap_or_else(|| self.section(section))
    }
}
