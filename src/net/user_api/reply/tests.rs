use super::*;
use crate::core::submissions::{MalformedSubmission, UnsatisfiableSubmission};

#[test]
fn error_replies_have_the_expected_status_message_and_retry_after() {
    let replies = [
        (
            Reply::from(SubmissionError::from(MalformedSubmission::MissingId)),
            (400, r#"{"error":"id is missing"}"#, None),
        ),
        (
            Reply::from(SubmissionError::from(UnsatisfiableSubmission::RecordTooLarge)),
            (422, r#"{"error":"the job takes more than the state service holds in a value"}"#, None),
        ),
        (Reply::from(TooManyRequests), (503, r#"{"error":"too many requests under way"}"#, Some(1))),
        (Reply::store_unreachable(), (503, r#"{"error":"the state service is out of reach"}"#, Some(1))),
        (Reply::machine_types_unknown(), (503, r#"{"error":"machine types are not known yet"}"#, Some(1))),
        (Reply::unreadable_record(), (503, r#"{"error":"the job's record can't be read"}"#, Some(1))),
        (Reply::no_such_job(), (404, r#"{"error":"no such job"}"#, None)),
    ];
    for (reply, expected) in replies {
        assert_eq!((reply.status, reply.body.as_str(), reply.retry_after), expected);
    }
}
