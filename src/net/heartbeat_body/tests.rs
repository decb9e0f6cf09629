use super::*;

#[test]
fn machine_name_is_found_in_the_beginning_of_a_heartbeat() {
    assert_eq!(machine_name(br#"{"shift":1,"plinth" : "m-000231","lots":[{"lot":"re"#).as_deref(), Some("m-000231"));
    assert_eq!(machine_name(br#"{"shift":1,"plinth":"m-0002"#), None);
    assert_eq!(machine_name(br#"{"shift":1,"lots":[]"#), None);
}
