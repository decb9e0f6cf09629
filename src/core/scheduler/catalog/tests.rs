use super::*;

fn machine_type(name: &str, price: f64) -> MachineType {
    serde_json::from_value(serde_json::json!({
        "sku": name, "cores": 8.0, "ram_gb": 32.0, "price": price, "market_price": 1.0,
    }))
    .unwrap()
}

#[test]
fn catalog_set_types_keeps_the_numbers_of_known_types() {
    let mut catalog = Catalog::new(vec![machine_type("small", 1.0), machine_type("large", 4.0)], vec!["a".into()]);
    let new = catalog.set_types(vec![machine_type("other", 2.0), machine_type("large", 5.0)]);
    assert_eq!(new, 1);
    assert_eq!(
        ["small", "large", "other"].map(|kind| catalog.type_and_zone_numbers(kind, "a")),
        [0, 1, 2].map(|k| Some((k, 0)))
    );
    assert_eq!(catalog.types[1].price, 5.0);
    assert_eq!(catalog.type_and_zone_numbers("small", "b"), None);
}
