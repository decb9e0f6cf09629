use super::*;

#[test]
fn names_have_one_form() {
    assert!(JobId::parse("req-000412").is_some());
    for bad in ["", "req-", "req-12", "REQ-000412", "req-00041x", "req-000412/1", "req-000 12"] {
        assert!(JobId::parse(bad).is_none(), "{bad}");
    }
    let t = TaskId::parse("req-000412/3").unwrap();
    assert_eq!((t.index, t.to_string().as_str()), (3, "req-000412/3"));
    assert_ne!(JobId::parse("req-000412"), JobId::parse("req-0000412"), "leading zeros are part of a name");
    let longest = "req-000000000000999999";
    assert_eq!(JobId::parse(longest).unwrap().to_string(), longest);
    assert!(JobId::parse("req-9999999999999999999").is_none());
    let read = |s: &str| serde_json::from_str::<TaskId>(s).ok();
    assert_eq!(read(&serde_json::to_string(&t).unwrap()), Some(t));
    assert!(read("\"m-1/x\"").is_none() && read("7").is_none());
    assert!(TaskId::parse("req-000412/-1").is_none());
    assert!(MachineId::parse("m-1/x").is_none());
}

#[test]
fn later_term_outranks_every_fence_and_attempt() {
    let max_fence = FencingToken::max_fence(Term(5), Revision(5));
    assert!(FencingToken::new(Term(5), max_fence) < FencingToken::new(Term(6), 0));
    let later_max_fence = FencingToken::max_fence(Term(5), Revision(9));
    assert!(FencingToken::new(Term(5), later_max_fence) < FencingToken::new(Term(10), 0));
    assert!(later_max_fence > max_fence);
    assert!(Attempt::new(Term(5), 9999) < Attempt::new(Term(6), 0));
}
