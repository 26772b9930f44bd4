//! Tests of the help texts of all commands.

mod workdir;

use workdir::Workdir;

/// Guards against a command whose help is missing or changes unnoticed.
#[test]
fn help_of_every_command() {
    let dir = Workdir::new();
    let help = |args: &[&str]| {
        let out = dir.run(args);
        assert!(out.status.success(), "{out:?}");
        String::from_utf8(out.stdout).unwrap()
    };
    let main = help(&["--help"]);
    let names = main
        .lines()
        .skip_while(|l| *l != "Commands:")
        .skip(1)
        .map_while(|l| l.split_whitespace().next());
    for name in names {
        insta::assert_snapshot!(format!("help_{name}"), help(&[name, "--help"]));
    }
    insta::assert_snapshot!("help", main);
}
