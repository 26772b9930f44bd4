//! Description of the admin API.

use dragonflyquay::process::observe::admin::api;

/// Guards against a description that no longer matches the code. `DQ_UPDATE=1` writes it anew.
#[test]
fn description_is_current() {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/docs/admin-api.json");
    let version = semver::Version::parse(env!("CARGO_PKG_VERSION")).unwrap();
    let mut made = Vec::new();
    let api = api().unwrap();
    api.openapi("dragonflyquay admin API", version)
        .write(&mut made)
        .unwrap();
    let made = format!("{}\n", String::from_utf8(made).unwrap().trim_end());
    if std::env::var_os("DQ_UPDATE").is_some() {
        std::fs::write(path, &made).unwrap();
    }
    let held = std::fs::read_to_string(path).unwrap();
    assert!(
        made == held,
        "run DQ_UPDATE=1 cargo test --test admin_api and commit docs/admin-api.json"
    );
}
