/// How many requests a new version may get before it is proved.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct MoveOptions {
    /// Share of all requests for the service between the order and its time limit.
    pub exposure_share: f64,
    /// Number of requests beyond that share.
    pub exposure_requests: f64,
}

impl Default for MoveOptions {
    fn default() -> Self {
        Self { exposure_share: 0.1, exposure_requests: 50.0 }
    }
}
