//! The commands `apply` and `fetch`, which synchronise a folder of settings with
//! the platform's store.

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

/// The file in a folder that holds the base of the next merge.
const BASE_FILE: &str = ".almondramp-base.json";

/// The state of the store when the folder was last synchronised with it.
#[derive(Default, Deserialize, Serialize)]
struct BaseFile {
    revision: Revision,
    base: MergeBase,
}

/// Writes the settings of `folder` to the store at the URL `store`, merged with
/// changes made there since the folder was last synchronised.
pub fn apply_folder(folder: &Path, store: &str) -> Result<ExitCode, Report> {
    let local = Document::read(folder)?;
    let base_file = read_base_file(folder)?;
    let store = HttpObjectStore::new(store);
    let nonce = rand::rng().random();
    let result = block_on(apply(&store, &base_file.base, &local, nonce));
    let applied = match result {
        Err(ApplyError::Invalid(e)) => return Err(e.into()),
        other => other?,
    };
    let text = match applied.written {
        true => format!("applied as revision {}\n", applied.revision),
        false => format!("already in force at revision {}\n", applied.revision),
    };
    let base_file = BaseFile {
        revision: applied.revision,
        base: applied.base,
    };
    write_base_file(folder, &base_file)?;
    print(&text)
}

/// Updates `folder` with the settings in the store at the URL `store`. Files that
/// were changed only in the folder stay as they are. A file that was changed in
/// both, and differently, is a conflict.
pub fn fetch_folder(folder: &Path, store: &str) -> Result<ExitCode, Report> {
    fs::create_dir_all(folder)?;
    let local = Document::read(folder)?;
    let base_file = read_base_file(folder)?;
    let stored = block_on(fetch(&HttpObjectStore::new(store)))?;
    let merged = merge(&base_file.base, &local, &stored.document).map_err(ApplyError::Conflict)?;
    for f in &local.files {
        if !merged.files.iter().any(|other| other.name == f.name) {
            fs::remove_file(folder.join(f.name.as_str()))?;
        }
    }
    for f in &merged.files {
        fs::write(folder.join(f.name.as_str()), &f.text)?;
    }
    let base_file = BaseFile {
        revision: stored.revision,
        base: MergeBase::new(&stored.document),
    };
    write_base_file(folder, &base_file)?;
    print(&format!("fetched revision {}\n", stored.revision))
}

/// The settings in the store, and those that `apply` would write.
pub struct Pending {
    /// Settings in force.
    pub in_force: Document,
    /// Settings in force, merged with a folder.
    pub merged: Document,
}

/// Merges `local`, the settings in `folder`, with those in the store at the URL `store`, as
/// `apply` does. Writes nothing.
pub fn merge_with_store(folder: &Path, local: &Document, store: &str) -> Result<Pending, Report> {
    let base_file = read_base_file(folder)?;
    let stored = match block_on(fetch(&HttpObjectStore::new(store))) {
        Ok(stored) => stored,
        Err(ApplyError::NotWritten(e)) => {
            return Err(Report::new(e).wrap_err(format!("cannot read the settings at {store}")));
        }
        Err(e) => return Err(e.into()),
    };
    let merged = merge(&base_file.base, local, &stored.document).map_err(ApplyError::Conflict)?;
    Ok(Pending {
        in_force: stored.document,
        merged,
    })
}

fn block_on<F>(future: F) -> F::Output
where
    F: Future,
{
    actix_rt::System::new().block_on(future)
}

fn read_base_file(folder: &Path) -> Result<BaseFile, Report> {
    let path = folder.join(BASE_FILE);
    match fs::read(&path) {
        Ok(json) => Ok(serde_json::from_slice(&json)?),
        Err(e) if e.kind() == io::ErrorKind::NotFound => Ok(BaseFile::default()),
        Err(source) => Err(SettingsError::Read { path, source }.into()),
    }
}

/// Replaces the base file atomically, so that an interrupted write does not
/// damage it.
fn write_base_file(folder: &Path, base_file: &BaseFile) -> Result<(), Report> {
    let path: PathBuf = folder.join(BASE_FILE);
    let temporary = path.with_extension("json.new");
    fs::write(&temporary, serde_json::to_vec(base_file)?)?;
    fs::rename(temporary, path)?;
    Ok(())
}
