use super::*;
use crate::ids::{Attempt, FencingToken, JobId, TaskId};
use crate::wire::Order;

#[test]
fn workers_get_a_status_and_json_for_each_reply() {
    let response = HeartbeatResponse { token: FencingToken(7), orders: Vec::new() };
    let replies = [
        (HeartbeatReply::from(Ok(response)), 200, r#"{"baton":7,"orders":[]}"#),
        (HeartbeatReply::from(Err(HeartbeatRejection::Superseded)), 503, r#"{"error":"not answered"}"#),
        (HeartbeatReply::Malformed, 400, r#"{"error":"not a report"}"#),
        (HeartbeatReply::Redirected(Some("plinth-2".into())), 421, r#"{"steward":"plinth-2"}"#),
        (HeartbeatReply::Redirected(None), 421, "{}"),
    ];
    for (reply, status, body) in replies {
        let decision = HeartbeatDecision::from(reply);
        assert_eq!((decision.status, &decision.body[..]), (status, body.as_bytes()));
    }
}

#[test]
fn response_with_thousands_of_stops_has_no_line_over_the_protocols_limit() {
    let job = JobId::parse("req-999999999999999999").unwrap();
    let stop = |index| Order::Stop { task: TaskId { job, index }, attempt: Attempt(u64::MAX), leeway_s: 0.0 };
    let orders: Vec<Order> = (0..8_000).map(stop).collect();
    let response = HeartbeatResponse { token: FencingToken(7), orders };
    let decision = HeartbeatDecision::from(HeartbeatReply::from(Ok(response.clone())));
    assert!(decision.body.split(|byte| *byte == b'\n').all(|line| line.len() <= MAX_BODY_BYTES));
    assert_eq!(serde_json::from_slice::<HeartbeatResponse>(&decision.body).unwrap(), response);
}
