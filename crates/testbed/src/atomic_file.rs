//! Files that are replaced as a whole.

use std::io::Write;
use std::path::Path;

/// Writes a file: it has the new content as a whole, or, if that fails, is left as it was.
pub(crate) fn write_atomically(path: &Path, bytes: &[u8]) -> std::io::Result<()> {
    if path.exists() && !path.is_file() {
        // A pipe or a device can't be replaced by renaming a file.
        let mut file = std::fs::File::options().write(true).open(path)?;
        file.write_all(bytes)?;
        return file.flush();
    }
    let folder = path
        .parent()
        .filter(|folder| !folder.as_os_str().is_empty())
        .unwrap_or(Path::new("."));
    let mut file = tempfile::NamedTempFile::new_in(folder)?;
    file.write_all(bytes)?;
    file.as_file().sync_all()?;
    file.persist(path)?;
    Ok(())
}
