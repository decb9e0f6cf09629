use super::*;
use crate::ids::FencingToken;

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
