//! Settings and tables in INI files.
//!
//! Every key has a type and bounds. Unknown sections and keys are errors that name their line.
#![deny(missing_docs)]
#![forbid(unsafe_code)]

mod caller_settings;
mod checked_ini;
mod gateway_settings;
mod ini_error;
mod line_index;
mod router_settings;
mod section_reader;
mod table_files;

pub use caller_settings::CallerSettings;
pub use checked_ini::CheckedIni;
pub use gateway_settings::GatewaySettings;
pub use ini_error::IniError;
pub use router_settings::{PeerFiles, PlatformAddresses, RouterSettings};
pub use section_reader::SectionReader;
pub use table_files::TableFiles;
