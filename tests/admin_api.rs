//! OpenAPI description of the admin API.

use dragonflyquay::process::observe::admin::api;

/// Guards against a description that does not match the code. `DQ_UPDATE=1` writes it again.
#[test]
fn description_is_current() {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/docs/admin-api.json");
    let version = semver::Version::parse(env!("CARGO_PKG_VERSION")).unwrap();
    let mut generated = Vec::new();
    let api = api().unwrap();
    api.openapi("dragonflyquay admin API", version)
        .write(&mut generated)
        .unwrap();
    let generated = format!("{}\n", String::from_utf8(generated).unwrap().trim_end());
    if std::env::var_os("DQ_UPDATE").is_some() {
        std::fs::write(path, &generated).unwrap();
    }
    let committed = std::fs::read_to_string(path).unwrap();
    assert!(
        generated == committed,
        "run DQ_UPDATE=1 cargo test --test admin_api and commit docs/admin-api.json"
    );
}
