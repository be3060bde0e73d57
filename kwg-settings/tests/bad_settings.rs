//! Invalid settings and tables must be rejected, with an error that names the file, line and key.

use std::path::Path;

use kwg_settings::{CheckedIni, RouterSettings, TableFiles};

const HASH: &str = "0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef";

/// Valid settings. This crate's `Cargo.toml` takes the place of the PEM files, whose contents are
/// not read here.
fn valid() -> String {
    format!(
        "[router]\nname = r1\ndomain = ost-graz\nregion = ost\nthreads = 2\n\
         front = 127.0.0.1:7001\nadmin = 127.0.0.1:7101\n\
         [peer]\naddress = 127.0.0.1:7201\nauthority = Cargo.toml\ncertificate = Cargo.toml\n\
         key = Cargo.toml\n[fleet]\nseal_secret = sixteen characters\n\
         [platform]\ntables = 127.0.0.1:1\nobjects = 127.0.0.1:1\ninstances = 127.0.0.1:1\n\
         [account bank]\nkey_hash = {HASH}\n"
    )
}

fn load(text: &str) -> Result<RouterSettings, String> {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR"));
    let ini = CheckedIni::parse("r1.ini", text).map_err(|error| error.to_string())?;
    RouterSettings::from_ini(&ini, folder).map_err(|error| error.to_string())
}

fn error_after(from: &str, to: &str) -> String {
    load(&valid().replace(from, to)).expect_err("invalid settings")
}

#[test]
fn valid_settings_are_accepted() {
    let settings = load(&valid()).expect("valid");
    assert_eq!((settings.threads, settings.accounts.len()), (2, 1));
}

#[test]
fn every_error_names_its_line_and_key() {
    let cases = [
        ("threads = 2", "treads = 2", "r1.ini:5: unknown key 'treads' in [router]"),
        ("[account bank]", "[acount bank]", "r1.ini:19: unknown section [acount bank]"),
        (
            "threads = 2",
            "threads = 0",
            "r1.ini:5: 'threads' in [router]: 0 is not between 1 and 64",
        ),
        (
            "threads = 2",
            "threads = two",
            "r1.ini:5: 'threads' in [router]: invalid digit found in string",
        ),
        (
            "front = 127.0.0.1:7001",
            "front = localhost",
            "r1.ini:6: 'front' in [router]: invalid socket address syntax",
        ),
        (
            "name = r1",
            "name = R 1",
            "r1.ini:2: 'name' in [router]: 'R 1' is not a valid name: use 1 to 48 of a-z, 0-9, \
             '.', '_' and '-'",
        ),
        ("name = r1\n", "", "r1.ini: section [router] lacks 'name'"),
        (
            "seal_secret = sixteen characters",
            "seal_secret = short",
            "r1.ini:14: 'seal_secret' in [fleet]: a secret has at least 16 characters",
        ),
        (
            HASH,
            "abc",
            "r1.ini:20: 'key_hash' in [account bank]: a hash has 64 hexadecimal digits, \
             as 'knapweedglade keys account' prints",
        ),
        (
            "threads = 2",
            "threads = 2\nthreads = 3",
            "r1.ini:6: key 'threads' in [router] stands twice",
        ),
        ("[fleet]", "[router]", "r1.ini:13: section [router] stands twice"),
    ];
    for (from, to, expected) in cases {
        assert_eq!(error_after(from, to), expected);
    }
    let missing = error_after("authority = Cargo.toml", "authority = no.crt");
    assert!(missing.starts_with("r1.ini:10: 'authority' in [peer]: no file "), "{missing}");
}

fn tables(routes: &str, pools: &str) -> Result<usize, String> {
    let routes = CheckedIni::parse("routes.ini", routes).map_err(|error| error.to_string())?;
    let pools = CheckedIni::parse("pools.ini", pools).map_err(|error| error.to_string())?;
    let tables = TableFiles::from_ini(&routes, &pools).map_err(|error| error.to_string())?;
    Ok(tables.routes.len())
}

const ROUTES: &str = "[labels]\npool = graz\ntier = 3\n";
const POOLS: &str = "[graz]\nversion = v1\n[graz/e1]\naddress = 127.0.0.1:1\ndomain = a\n\
                     region = b\nlimit_tokens = 10\n";

#[test]
fn tables_are_validated_together() {
    assert_eq!(tables(ROUTES, POOLS), Ok(1));
    let cases = [
        (ROUTES.replace("graz", "linz"), POOLS.to_owned(), "route 'labels': unknown pool 'linz'"),
        (
            ROUTES.to_owned(),
            POOLS.replace("version = v1", "version = v2").replace("limit", "version = v1\nlimit"),
            "pool 'graz': no target serves version 'v2'",
        ),
        (ROUTES.to_owned(), "[graz]\nversion = v1\n".to_owned(), "pool 'graz': no targets"),
        (
            ROUTES.replace("tier = 3", "tier = 9"),
            POOLS.to_owned(),
            "routes.ini:3: 'tier' in [labels]: 9 is not between 0 and 4",
        ),
        (
            ROUTES.to_owned(),
            POOLS.replace("graz/e1", "linz/e1"),
            "pools.ini:4: 'address' in [linz/e1]: unknown pool 'linz'",
        ),
    ];
    for (routes, pools, expected) in cases {
        assert_eq!(tables(&routes, &pools), Err(expected.to_owned()));
    }
}

#[test]
fn formatted_tables_parse_back() {
    let routes = CheckedIni::parse("routes.ini", ROUTES).expect("valid");
    let pools = CheckedIni::parse("pools.ini", POOLS).expect("valid");
    let tables = TableFiles::from_ini(&routes, &pools).expect("valid");
    let routes = CheckedIni::parse("r", &TableFiles::format_routes(&tables)).expect("valid");
    let pools = CheckedIni::parse("p", &TableFiles::format_pools(&tables)).expect("valid");
    assert_eq!(TableFiles::from_ini(&routes, &pools).expect("valid"), tables);
}
