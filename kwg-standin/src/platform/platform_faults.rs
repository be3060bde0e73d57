use std::time::Duration;

use http_types::{Request, Response, StatusCode};

/// The platform's active faults.
#[derive(Debug, Default)]
pub(super) struct PlatformFaults {
    /// Whether every request gets a 503 response.
    pub(super) is_down: bool,
    /// Delay of every response.
    pub(super) delay: Duration,
    /// How many of the next transactions commit and get no response.
    pub(super) lost_answers: u32,
    /// Time until a change of the instance list becomes visible.
    pub(super) list_lag: Duration,
}

impl PlatformFaults {
    /// Sets the faults that the query names: `down=0|1`, `delay_ms=N`, `lose_answers=N`,
    /// `list_lag_ms=N`.
    pub(super) fn set_from_query(&mut self, request: &Request) -> Response {
        for (name, value) in request.url().query_pairs() {
            let Ok(number) = value.parse::<u32>() else {
                return Response::new(StatusCode::BadRequest);
            };
            match &*name {
                "down" => self.is_down = number > 0,
                "delay_ms" => self.delay = Duration::from_millis(number.into()),
                "lose_answers" => self.lost_answers = number,
                "list_lag_ms" => self.list_lag = Duration::from_millis(number.into()),
                _ => return Response::new(StatusCode::BadRequest),
            }
        }
        Response::new(StatusCode::Ok)
    }

    /// Whether the current transaction gets no response. Each call counts one transaction.
    pub(super) fn take_lost_answer(&mut self) -> bool {
        let is_lost = self.lost_answers > 0;
        self.lost_answers = self.lost_answers.saturating_sub(1);
        is_lost
    }
}
