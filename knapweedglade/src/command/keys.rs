use std::fs::OpenOptions;
use std::io::Write;
use std::os::unix::fs::OpenOptionsExt;
use std::path::{Path, PathBuf};

use data_encoding::HEXLOWER;
use kwg_model::{AccountGrant, AccountName, InstanceName};
use kwg_peer::FleetAuthority;
use rand::random;
use snafu::ResultExt;

use crate::arguments::Arguments;
use crate::command_error::{CommandError, FileSnafu, KeySnafu, usage};

const HELP: &str = "\
Generate keys. Existing files are never overwritten.

USAGE: knapweedglade keys fleet --dir DIR
       knapweedglade keys router --dir DIR --name NAME
       knapweedglade keys account --name NAME

  fleet     a certificate authority: DIR/fleet.crt and DIR/fleet.key
  router    a key pair signed by it: DIR/NAME.crt and DIR/NAME.key
  account   a random key for a client account, and the settings section that admits it
";

pub(crate) fn run(arguments: &mut Arguments) -> Result<(), CommandError> {
    if arguments.has_help_flag() {
        print!("{HELP}");
        return Ok(());
    }
    match arguments.subcommand()?.as_deref() {
        Some("fleet") => generate_fleet(arguments),
        Some("router") => generate_router(arguments),
        Some("account") => generate_account(arguments),
        _ => usage("unknown or missing subcommand: use 'fleet', 'router' or 'account'"),
    }
}

fn generate_fleet(arguments: &mut Arguments) -> Result<(), CommandError> {
    let dir: PathBuf = arguments.required("--dir")?;
    arguments.finish()?;
    let authority = FleetAuthority::generate().context(KeySnafu)?;
    write_new(&dir.join("fleet.key"), authority.key())?;
    write_new(&dir.join("fleet.crt"), authority.certificate())
}

fn generate_router(arguments: &mut Arguments) -> Result<(), CommandError> {
    let dir: PathBuf = arguments.required("--dir")?;
    let name: InstanceName = arguments.required("--name")?;
    arguments.finish()?;
    let certificate = read(&dir.join("fleet.crt"))?;
    let authority = FleetAuthority::from_pem(certificate, read(&dir.join("fleet.key"))?);
    let issued = authority.issue(name.as_str()).context(KeySnafu)?;
    write_new(&dir.join(format!("{name}.key")), &issued.key)?;
    write_new(&dir.join(format!("{name}.crt")), &issued.certificate)
}

fn generate_account(arguments: &mut Arguments) -> Result<(), CommandError> {
    let name: AccountName = arguments.required("--name")?;
    arguments.finish()?;
    let key = HEXLOWER.encode(&random::<[u8; 16]>());
    let hash = HEXLOWER.encode(&AccountGrant::hash_key(&key));
    println!("key for the account's callers: {key}\n\n[account {name}]\nkey_hash = {hash}");
    Ok(())
}

fn read(path: &Path) -> Result<String, CommandError> {
    std::fs::read_to_string(path).context(FileSnafu { path: path.display().to_string() })
}

/// Creates a file that only its owner can read or write. Fails if it exists.
fn write_new(path: &Path, text: &str) -> Result<(), CommandError> {
    const OWNER_ONLY: u32 = 0o600;
    let shown = path.display().to_string();
    let file = OpenOptions::new().write(true).create_new(true).mode(OWNER_ONLY).open(path);
    let mut file = file.context(FileSnafu { path: &shown })?;
    file.write_all(text.as_bytes()).context(FileSnafu { path: &shown })?;
    println!("wrote {shown}");
    Ok(())
}
