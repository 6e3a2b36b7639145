#include "document_files.h"

#include "printable.h"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <system_error>
#include <utility>

namespace Acaciarail::Operator::Detail {

namespace {

namespace fs = std::filesystem;

class Collector
{
public:
    auto addPath(const std::string &path) -> void
    {
        std::error_code ec;
        const auto status = fs::status(path, ec);
        if (fs::is_directory(status)) {
            addDirectory(path);
        } else if (fs::is_regular_file(status)) {
            addFile(path);
        } else {
            fault(path, "a file or directory that can be read", ec ? ec.message() : "something else");
        }
    }

    auto finish() -> CollectedFiles
    {
        auto &files = m_result.files;
        std::stable_sort(files.begin(), files.end(), [](const DocumentFile &a, const DocumentFile &b) { return a.name < b.name; });
        for (std::size_t i = 1; i < files.size(); ++i) {
            if (files[i].name == files[i - 1].name) {
                fault(files[i].path, "a document name that is used once", "the same name as " + files[i - 1].path);
            }
        }
        return std::move(m_result);
    }

private:
    auto fault(const std::string &path, std::string expected, const std::string &found) -> void
    {
        m_result.faults.push_back({printable(path), 0, 0, std::move(expected), printable(found)});
    }

    auto addDirectory(const std::string &path) -> void
    {
        std::error_code ec;
        std::vector<std::string> found;
        fs::recursive_directory_iterator it(path, ec);
        for (; !ec && it != fs::recursive_directory_iterator(); it.increment(ec)) {
            std::error_code ignored;
            if (it->path().filename().string().ends_with(documentSuffix) && it->is_regular_file(ignored)) {
                found.push_back(it->path().string());
            }
        }
        if (ec) {
            fault(path, "a directory that can be read", ec.message());
        } else if (found.empty()) {
            fault(path, "at least one file with the ending " + std::string(documentSuffix), "none");
        }
        std::sort(found.begin(), found.end());
        std::for_each(found.begin(), found.end(), [this](const std::string &file) { addFile(file); });
    }

    auto addFile(const std::string &path) -> void
    {
        std::ifstream in(path, std::ios::binary);
        // One byte more than allowed is enough to recognise a file that is too long.
        std::string text(maxDocumentBytes + 1, '\0');
        in.read(text.data(), static_cast<std::streamsize>(text.size()));
        text.resize(static_cast<std::size_t>(in.gcount()));
        if (!in.is_open() || in.bad()) {
            fault(path, "a file that can be read", "no such file");
            return;
        }
        m_result.files.push_back({fs::path(path).filename().string(), path, std::move(text)});
    }

    CollectedFiles m_result;
};

} // namespace

auto collectDocuments(const std::vector<std::string> &paths) -> CollectedFiles
{
    Collector collector;
    for (const auto &it : paths) {
        collector.addPath(it);
    }
    return collector.finish();
}

auto nameFilesByPath(std::vector<Fault> &faults, const std::vector<DocumentFile> &files) -> void
{
    for (auto &fault : faults) {
        const auto it = std::find_if(files.begin(), files.end(), [&fault](const DocumentFile &file) { return file.name == fault.file; });
        if (it != files.end()) {
            fault.file = it->path;
        }
    }
}

} // namespace Acaciarail::Operator::Detail
