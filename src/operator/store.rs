//! Applying settings to the platform's store, and fetching them.

use std::fs;
use std::io;
use std::path::Path;
use std::path::PathBuf;

use eyre::Report;
use rand::RngExt;
use serde::Deserialize;
use serde::Serialize;

use crate::active_settings::Revision;
use crate::apply::ApplyError;
use crate::apply::MergeBase;
use crate::apply::apply;
use crate::apply::fetch;
use crate::apply::merge;
use crate::exit_codes::ExitCode;
use crate::object_store::HttpObjectStore;
use crate::operator::print;
use crate::settings::Document;
use crate::settings::SettingsError;

/// Where a folder keeps what its operator last saw of the store.
const BASE_FILE: &str = ".almondramp-base.json";

#[derive(Default, Deserialize, Serialize)]
struct Seen {
    revision: Revision,
    base: MergeBase,
}

/// Writes the settings of `folder` to the store.
pub fn apply_folder(folder: &Path, store: &str) -> Result<ExitCode, Report> {
    let mine = Document::read(folder)?;
    let seen = read_seen(folder)?;
    let store = HttpObjectStore::new(store);
    let nonce = rand::rng().random();
    let applied = run(apply(&store, &seen.base, &mine, nonce));
    let applied = match applied {
        Err(ApplyError::Invalid(e)) => return Err(e.into()),
        other => other?,
    };
    let text = match applied.written {
        true => format!("applied as revision {}\n", applied.revision),
        false => format!("already in force at revision {}\n", applied.revision),
    };
    let seen = Seen {
        revision: applied.revision,
        base: applied.base,
    };
    write_seen(folder, &seen)?;
    print(&text)
}

/// Brings the files of the store into `folder`. Files that were changed in
/// the folder stay as they are.
pub fn fetch_folder(folder: &Path, store: &str) -> Result<ExitCode, Report> {
    fs::create_dir_all(folder)?;
    let mine = Document::read(folder)?;
    let seen = read_seen(folder)?;
    let stored = run(fetch(&HttpObjectStore::new(store)))?;
    let merged = merge(&seen.base, &mine, &stored.document).map_err(ApplyError::Conflict)?;
    for f in &mine.files {
        if !merged.files.iter().any(|kept| kept.name == f.name) {
            fs::remove_file(folder.join(f.name.as_str()))?;
        }
    }
    for f in &merged.files {
        fs::write(folder.join(f.name.as_str()), &f.text)?;
    }
    let seen = Seen {
        revision: stored.revision,
        base: MergeBase::new(&stored.document),
    };
    write_seen(folder, &seen)?;
    print(&format!("fetched revision {}\n", stored.revision))
}

fn run<F>(future: F) -> F::Output
where
    F: Future,
{
    actix_rt::System::new().block_on(future)
}

fn read_seen(folder: &Path) -> Result<Seen, Report> {
    let path = folder.join(BASE_FILE);
    match fs::read(&path) {
        Ok(json) => Ok(serde_json::from_slice(&json)?),
        Err(e) if e.kind() == io::ErrorKind::NotFound => Ok(Seen::default()),
        Err(source) => Err(SettingsError::Read { path, source }.into()),
    }
}

/// Replaces the file in one step, so that an interrupted write loses nothing.
fn write_seen(folder: &Path, seen: &Seen) -> Result<(), Report> {
    let path: PathBuf = folder.join(BASE_FILE);
    let fresh = path.with_extension("json.new");
    fs::write(&fresh, serde_json::to_vec(seen)?)?;
    fs::rename(fresh, path)?;
    Ok(())
}
