use std::time::Duration;

use http_types::{Request, Response, StatusCode};

/// The faults that are switched on.
#[derive(Debug, Default)]
pub(super) struct PlatformFaults {
    /// Every call is answered with an error.
    pub(super) is_down: bool,
    /// Every call is answered this much later.
    pub(super) delay: Duration,
    /// So many transactions take effect and are not answered.
    pub(super) lose_answers: u32,
    /// Changes of the instance list show this much later.
    pub(super) list_lag: Duration,
}

impl PlatformFaults {
    /// Switches faults: `down=0|1`, `delay_ms=N`, `lose_answers=N`, `list_lag_ms=N`.
    pub(super) fn switch(&mut self, request: &Request) -> Response {
        for (name, value) in request.url().query_pairs() {
            let Ok(number) = value.parse::<u32>() else {
                return Response::new(StatusCode::BadRequest);
            };
            match &*name {
                "down" => self.is_down = number > 0,
                "delay_ms" => self.delay = Duration::from_millis(number.into()),
                "lose_answers" => self.lose_answers = number,
                "list_lag_ms" => self.list_lag = Duration::from_millis(number.into()),
                _ => return Response::new(StatusCode::BadRequest),
            }
        }
        Response::new(StatusCode::Ok)
    }

    /// Whether the answer to this transaction is to be lost.
    pub(super) fn loses_answer(&mut self) -> bool {
        let loses = self.lose_answers > 0;
        self.lose_answers = self.lose_answers.saturating_sub(1);
        loses
    }
}
