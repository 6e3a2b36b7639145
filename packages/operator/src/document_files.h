#pragma once

#include <acaciarail/operator/document.h>
#include <acaciarail/operator/fault.h>

#include <string>
#include <vector>

namespace Acaciarail::Operator::Detail {

/// A configuration document in the file system.
struct DocumentFile
{
    /// Name of the document: the last part of the path.
    std::string name;
    std::string path;
    std::string text;
};

struct CollectedFiles
{
    /// Sorted by name.
    std::vector<DocumentFile> files;
    std::vector<Fault> faults;
};

/// Reads the given files, and the `*.acaciarail.toml` files in the given directories and below them.
/// Unreadable files, two files with one name and finding no file at all are faults. Never throws.
[[nodiscard]] auto collectDocuments(const std::vector<std::string> &paths) -> CollectedFiles;

/// Replaces the names of documents in \a faults by the paths of their files.
auto nameFilesByPath(std::vector<Fault> &faults, const std::vector<DocumentFile> &files) -> void;

} // namespace Acaciarail::Operator::Detail
