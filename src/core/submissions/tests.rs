use super::*;
use crate::config::sample_settings;
use serde_json::json;

fn body() -> Value {
    json!({"id": "req-000412", "berth": "train", "crew": "team-a", "shape": "ensemble", "rank": "high",
        "lots": 4, "cores": 8.0, "gpus": 1.0, "ram_gb": 64.0, "cast": "img-07", "pull_gb": 6.2,
        "builds": ["g8"], "quay": null, "same_place": true, "apart": false, "loaner": true,
        "expect_s": 240.0, "mark_s": 30.0, "stow_s": 4.0, "due_s": 900.0, "later": {"unknown": 1}})
}

fn parse(v: &Value) -> Result<(JobId, Result<Submission, Refusal>), Refusal> {
    parse_submission(v.to_string().as_bytes())
}

#[test]
fn submission_is_read_and_kept_as_it_came() {
    let (id, spec) = parse(&body()).unwrap();
    let Submission { spec, depends_on } = spec.unwrap();
    assert!(depends_on.is_empty());
    assert_eq!((&*id.to_string(), spec.tasks, spec.zone.is_none()), ("req-000412", 4, true));
    let again: JobSpec = serde_json::from_value(json!(spec)).unwrap();
    assert_eq!(again, spec);
}

#[test]
fn malformed_submissions_are_refused() {
    assert!(parse_submission(b"{").is_err() && parse_submission(b"[]").is_err());
    let bad = [
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
    for (field, value) in bad {
        let mut v = body();
        v[field] = value.clone();
        let (_, spec) = parse(&v).unwrap();
        assert!(matches!(spec, Err(Refusal::Malformed(_))), "{field}={value}");
        v.as_object_mut().unwrap().remove(field);
        let (_, spec) = parse(&v).unwrap();
        // What may be null may be absent.
        assert_eq!(spec.is_ok(), field == "due_s", "without {field}");
    }
    for id in [json!("job-000412"), json!("req-1/2"), json!(7), json!(null)] {
        let mut v = body();
        v["id"] = id;
        assert!(parse(&v).is_err());
    }
}

#[test]
fn submission_that_can_never_run_is_refused() {
    let teams = sample_settings().cluster.teams;
    let g8 = json!({"sku": "g8", "cores": 16, "gpus": 2, "ram_gb": 128, "price": 1.0, "market_price": 0.5,
        "quays": ["a"]});
    let types: Vec<MachineType> = vec![serde_json::from_value(g8).unwrap()];
    let spec = parse(&body()).unwrap().1.unwrap().spec;
    let ok = |f: &dyn Fn(&mut JobSpec)| {
        let mut s = spec.clone();
        f(&mut s);
        check_possible(&s, &teams, &types).is_ok()
    };
    assert!(ok(&|_| ()));
    assert!(!ok(&|s| s.team = "nobody".into()));
    assert!(!ok(&|s| s.cpus = 17.0));
    assert!(!ok(&|s| s.zone = Some("b".into())));
    assert!(!ok(&|s| s.types = Some(vec!["h1".into()])));
    // 40 CPUs are the limit of team-a: a gang counts whole, an array by the task.
    assert!(!ok(&|s| s.tasks = 6));
    assert!(ok(&|s| (s.tasks, s.kind) = (6, Kind::Array)));
    // All tasks of a gang can't be in one zone where only half of them may be.
    assert!(!ok(&|s| s.spread = true));
    assert!(ok(&|s| (s.spread, s.tasks) = (true, 1)));
    assert!(ok(&|s| (s.spread, s.kind) = (true, Kind::Array)));
    assert!(!ok(&|s| (s.spread, s.one_zone) = (true, false)), "there is one zone only");
    // 0 as a limit is none.
    assert!(ok(&|s| (s.tasks, s.team) = (6, "team-b".into())));
}

#[test]
fn dependencies_are_read_once_each() {
    let depends_on = |value: Value| {
        let mut v = body();
        v["awaits"] = value;
        parse(&v).unwrap().1.map(|s| s.depends_on.iter().map(JobId::to_string).collect::<Vec<_>>())
    };
    assert_eq!(depends_on(json!(null)), Ok(vec![]));
    assert_eq!(depends_on(json!([])), Ok(vec![]));
    let named = json!(["req-000405", "req-000398", "req-000405"]);
    assert_eq!(depends_on(named), Ok(vec!["req-000398".into(), "req-000405".into()]));
    for bad in [json!("req-000398"), json!([398]), json!([null]), json!({"req-000398": 1})] {
        assert!(matches!(depends_on(bad.clone()), Err(Refusal::Malformed(_))), "{bad}");
    }
    assert!(matches!(depends_on(json!(["job-1"])), Err(Refusal::Impossible(_))));
}
