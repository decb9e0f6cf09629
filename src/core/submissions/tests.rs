use super::*;
use crate::config::sample_settings;
use serde_json::json;

fn body() -> Value {
    json!({"id": "req-000412", "berth": "train", "crew": "team-a", "shape": "ensemble", "rank": "high",
        "lots": 4, "cores": 8.0, "gpus": 1.0, "ram_gb": 64.0, "cast": "img-07", "pull_gb": 6.2,
        "builds": ["g8"], "quay": null, "same_place": true, "apart": false, "loaner": true,
        "expect_s": 240.0, "mark_s": 30.0, "stow_s": 4.0, "due_s": 900.0, "later": {"unknown": 1}})
}

fn parse(submission: &Value) -> Result<ParsedSubmission, MalformedSubmission> {
    parse_submission(submission.to_string().as_bytes())
}

#[test]
fn submission_is_parsed_and_its_description_survives_serialization() {
    let ParsedSubmission { id, submission } = parse(&body()).unwrap();
    let Submission { spec, depends_on } = submission.unwrap();
    assert!(depends_on.is_empty());
    assert_eq!((&*id.to_string(), spec.tasks, spec.zone.is_none()), ("req-000412", 4, true));
    let restored: JobSpec = serde_json::from_value(json!(spec)).unwrap();
    assert_eq!(restored, spec);
}

#[test]
fn malformed_submissions_are_refused() {
    assert!(parse_submission(b"{").is_err() && parse_submission(b"[]").is_err());
    let invalid = [
        ("lots", json!(0)),
        ("lots", json!(100_001)),
        ("lots", json!(1.5)),
        ("cores", json!(-1.0)),
        ("cores", json!("8")),
        ("cores", json!(null)),
        ("rank", json!("urgent")),
        ("shape", json!(null)),
        ("cast", json!("")),
        ("apart", json!(0)),
        ("due_s", json!(-5)),
    ];
    for (field, value) in invalid {
        let mut submission = body();
        submission[field] = value.clone();
        let parsed = parse(&submission).unwrap().submission;
        assert!(matches!(parsed, Err(SubmissionError::Malformed(_))), "{field}={value}");
        submission.as_object_mut().unwrap().remove(field);
        let parsed = parse(&submission).unwrap().submission;
        // Of all fields of a submission, only the optional `due_s` may be absent.
        assert_eq!(parsed.is_ok(), field == "due_s", "without {field}");
    }
    for id in [json!("job-000412"), json!("req-1/2"), json!(7), json!(null)] {
        let mut submission = body();
        submission["id"] = id;
        assert!(parse(&submission).is_err());
    }
}

#[test]
fn unsatisfiable_submissions_are_refused() {
    let teams = sample_settings().cluster.teams;
    let g8 = json!({"sku": "g8", "cores": 16, "gpus": 2, "ram_gb": 128, "price": 1.0, "market_price": 0.5,
        "quays": ["a"]});
    let types: Vec<MachineType> = vec![serde_json::from_value(g8).unwrap()];
    let spec = parse(&body()).unwrap().submission.unwrap().spec;
    let is_satisfiable = |change: &dyn Fn(&mut JobSpec)| {
        let mut spec = spec.clone();
        change(&mut spec);
        check_satisfiable(&spec, &teams, &types).is_ok()
    };
    assert!(is_satisfiable(&|_| ()));
    assert!(!is_satisfiable(&|spec| spec.team = "nobody".into()));
    assert!(!is_satisfiable(&|spec| spec.cpus = 17.0));
    assert!(!is_satisfiable(&|spec| spec.zone = Some("b".into())));
    assert!(!is_satisfiable(&|spec| spec.allowed_types = Some(vec!["h1".into()])));
    // Team-a is limited to 40 CPUs. A gang needs the CPUs of all its tasks at the same time, an array those of one.
    assert!(!is_satisfiable(&|spec| spec.tasks = 6));
    assert!(is_satisfiable(&|spec| (spec.tasks, spec.kind) = (6, JobKind::Array)));
    // A spread gang allows half of its tasks in a zone, so it cannot run in the only zone there is.
    assert!(!is_satisfiable(&|spec| spec.spread = true));
    assert!(is_satisfiable(&|spec| (spec.spread, spec.tasks) = (true, 1)));
    assert!(is_satisfiable(&|spec| (spec.spread, spec.kind) = (true, JobKind::Array)));
    assert!(!is_satisfiable(&|spec| (spec.spread, spec.one_zone) = (true, false)), "only one zone exists");
    // A limit of 0 means that the team has no limit.
    assert!(is_satisfiable(&|spec| (spec.tasks, spec.team) = (6, "team-b".into())));
}

#[test]
fn dependencies_are_sorted_and_deduplicated() {
    let depends_on = |value: Value| {
        let mut submission = body();
        submission["awaits"] = value;
        parse(&submission)
            .unwrap()
            .submission
            .map(|submission| submission.depends_on.iter().map(JobId::to_string).collect::<Vec<_>>())
    };
    assert_eq!(depends_on(json!(null)), Ok(vec![]));
    assert_eq!(depends_on(json!([])), Ok(vec![]));
    let named = json!(["req-000405", "req-000398", "req-000405"]);
    assert_eq!(depends_on(named), Ok(vec!["req-000398".into(), "req-000405".into()]));
    for invalid in [json!("req-000398"), json!([398]), json!([null]), json!({"req-000398": 1})] {
        assert!(matches!(depends_on(invalid.clone()), Err(SubmissionError::Malformed(_))), "{invalid}");
    }
    assert!(matches!(depends_on(json!(["job-1"])), Err(SubmissionError::Unsatisfiable(_))));
}

#[test]
fn error_messages_name_fields_as_in_the_submitted_json() {
    let malformed = |field: &str, value: Value| {
        let mut submission = body();
        submission[field] = value;
        parse(&submission).unwrap().submission.unwrap_err().to_string()
    };
    assert_eq!(
        parse_submission(b"{").unwrap_err().to_string(),
        "not JSON: EOF while parsing an object at line 1 column 1"
    );
    assert_eq!(parse_submission(b"[]").unwrap_err().to_string(), "not an object");
    assert_eq!(parse_submission(b"{}").unwrap_err().to_string(), "id is missing");
    assert_eq!(parse_submission(br#"{"id":"job-1"}"#).unwrap_err().to_string(), "id has not the form req-000000");
    assert_eq!(malformed("cores", json!(-1.0)), "cores is out of range");
    assert_eq!(malformed("lots", json!(0)), "lots must be 1 to 100000");
    assert_eq!(malformed("cast", json!("")), "cast must have 1 to 200 bytes");
    assert_eq!(malformed("shape", json!(1)), serde_json::from_value::<JobKind>(json!(1)).unwrap_err().to_string());
    assert_eq!(malformed("awaits", json!([1])), "awaits: invalid type: integer `1`, expected a string");
    assert_eq!(malformed("awaits", json!(["job-1"])), "awaits job-1, which was never accepted");

    let unsatisfiable = [
        (UnsatisfiableSubmission::UnknownTeam("x".into()), "unknown team x"),
        (UnsatisfiableSubmission::FitsNoMachineType, "a task fits no allowed machine type"),
        (UnsatisfiableSubmission::SpreadOverOneZone, "half of the gang at the most may be in the only zone it may use"),
        (UnsatisfiableSubmission::BeyondTeamLimit, "the job needs more than its team's limit"),
        (UnsatisfiableSubmission::RecordTooLarge, "the job takes more than the state service holds in a value"),
        (
            UnsatisfiableSubmission::DependsOnService(JobId::parse("req-000007").unwrap()),
            "awaits req-000007, a service, which is never done",
        ),
    ];
    for (error, message) in unsatisfiable {
        assert_eq!(SubmissionError::from(error).to_string(), message);
    }
}
