use std::cell::RefCell;
use std::collections::BTreeSet;
use std::path::Path;

use ini::{Ini, ParseOption};
use snafu::ResultExt;

use crate::ini_error::{SyntaxSnafu, UnknownSnafu, UnreadableSnafu, key_of};
use crate::line_index::LineIndex;
use crate::{IniError, SectionReader};

/// An INI file that tracks which keys were read, so that unknown ones can be rejected.
///
/// ```
/// use kwg_settings::CheckedIni;
///
/// let ini = CheckedIni::parse("demo.ini", "[router]\nthreads = 4\ntreads = 5\n")?;
/// assert_eq!(ini.section("router").number("threads", 1..=64, Some(1))?, 4);
/// let error = ini.finish().expect_err("an unread key");
/// assert_eq!(error.to_string(), "demo.ini:3: unknown key 'treads' in [router]");
/// # Ok::<(), kwg_settings::IniError>(())
/// ```
#[derive(Debug)]
pub struct CheckedIni {
    pub(crate) file: String,
    pub(crate) ini: Ini,
    pub(crate) lines: LineIndex,
    pub(crate) read: RefCell<BTreeSet<(String, String)>>,
}

impl CheckedIni {
    /// Reads and parses a file.
    ///
    /// # Errors
    /// [`IniError::Unreadable`] if the file cannot be read, and the errors of [`Self::parse`].
    pub fn load(path: impl AsRef<Path>) -> Result<Self, IniError> {
        let path = path.as_ref();
        let text = std::fs::read_to_string(path).context(UnreadableSnafu { path })?;
        Self::parse(&path.display().to_string(), &text)
    }

    /// Parses the text of a file. `file` is its name in error messages.
    ///
    /// # Errors
    /// [`IniError::Syntax`] if the text is not valid INI, [`IniError::Duplicate`] for a duplicate
    /// section or key.
    pub fn parse(file: &str, text: &str) -> Result<Self, IniError> {
        let options = ParseOption { enabled_escape: false, ..ParseOption::default() };
        let ini = Ini::load_from_str_opt(text, options).map_err(|error| {
            let (line, reason) = (error.line, error.msg.to_string());
            SyntaxSnafu { file, line, reason }.build()
        })?;
        let lines = LineIndex::scan(file, text)?;
        Ok(Self { file: file.to_owned(), ini, lines, read: RefCell::default() })
    }

    /// Returns a reader for a section. The section need not exist.
    #[must_use]
    pub fn section<'a>(&'a self, name: &'a str) -> SectionReader<'a> {
        SectionReader::new(self, name)
    }

    /// The names of the sections, in file order.
    pub fn section_names(&self) -> impl Iterator<Item = &str> {
        self.ini.sections().flatten()
    }

    /// The keys of a section, in file order.
    pub fn keys<'a>(&'a self, section: &str) -> impl Iterator<Item = &'a str> {
        self.ini
            .section(Some(section))
            .into_iter()
            .flat_map(|found| found.iter())
            .map(|(key, _)| key)
    }

    /// Checks that every key in the file was read. Unread sections without keys are accepted.
    ///
    /// # Errors
    /// [`IniError::Unknown`] for the first section or key that was not read.
    pub fn finish(&self) -> Result<(), IniError> {
        let read = self.read.borrow();
        for (section, properties) in self.ini.iter() {
            let section = section.unwrap_or("");
            let file = &self.file;
            let is_known = read.iter().any(|(known, _)| known == section);
            if !is_known && !properties.is_empty() {
                let line = self.lines.section(section);
                return UnknownSnafu { file, line, what: format!("section [{section}]") }.fail();
            }
            for (key, _) in properties.iter() {
                if !read.contains(&(section.to_owned(), key.to_owned())) {
                    let line = self.lines.key(section, key);
                    let what = key_of(section, key).to_string();
                    return UnknownSnafu { file, line, what }.fail();
                }
            }
        }
        Ok(())
    }
}
