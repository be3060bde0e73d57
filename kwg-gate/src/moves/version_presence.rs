/// Which versions of a service have targets that take requests.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum VersionPresence {
    /// The ordered version has none.
    Absent,
    /// All targets are of the ordered version.
    Sole,
    /// Other versions have targets as well, or it is unknown which have.
    #[default]
    Beside,
}
