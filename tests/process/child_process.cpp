#include "child_process.h"

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <system_error>

extern char **environ;

namespace Acaciarail::ProcessTest {

namespace {

auto throwOnError(int result, const char *what) -> void
{
    if (result != 0) {
        throw std::system_error(result, std::generic_category(), what);
    }
}

auto pointersTo(std::vector<std::string> &ownedArguments) -> std::vector<char *>
{
    std::vector<char *> out;
    out.reserve(ownedArguments.size() + 1);
    for (auto &it : ownedArguments) {
        out.push_back(it.data());
    }
    out.push_back(nullptr);
    return out;
}

auto errorPath(const std::string &logName) -> std::string
{
    const auto *directory = std::getenv("ACACIARAIL_TEST_LOG");
    return directory == nullptr ? "/dev/null" : std::string(directory) + "/" + logName + ".log";
}

} // namespace

ChildProcess::ChildProcess(const std::string &program, const std::vector<std::string> &arguments, const std::string &logName,
                           const ChildOptions &options)
{
    const auto path = std::filesystem::read_symlink("/proc/self/exe").replace_filename(program).string();
    std::array<int, 2> pipe{};
    throwOnError(::pipe2(pipe.data(), O_CLOEXEC) == 0 ? 0 : errno, "pipe2");
    m_output = pipe[0];
    ::fcntl(m_output, F_SETFL, O_NONBLOCK);

    std::vector<std::string> ownedArguments{path};
    ownedArguments.insert(ownedArguments.end(), arguments.begin(), arguments.end());
    const auto argv = pointersTo(ownedArguments);
    auto variables = options.environment;
    for (auto **it = environ; *it != nullptr; ++it) {
        variables.emplace_back(*it);
    }
    const auto envp = pointersTo(variables);

    posix_spawn_file_actions_t actions;
    throwOnError(posix_spawn_file_actions_init(&actions), "posix_spawn_file_actions_init");
    posix_spawn_file_actions_addopen(&actions, STDIN_FILENO, "/dev/null", O_RDONLY, 0);
    constexpr int appendFlags = O_WRONLY | O_CREAT | O_APPEND;
    if (options.outputPath.empty()) {
        posix_spawn_file_actions_adddup2(&actions, pipe[1], STDOUT_FILENO);
    } else {
        posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, options.outputPath.c_str(), appendFlags, 0644);
    }
    posix_spawn_file_actions_addopen(&actions, STDERR_FILENO, errorPath(logName).c_str(), appendFlags, 0644);
    const auto result = posix_spawn(&m_id, path.c_str(), &actions, nullptr, argv.data(), envp.data());
    posix_spawn_file_actions_destroy(&actions);
    ::close(pipe[1]);
    if (result != 0) {
        ::close(m_output);
        throwOnError(result, "posix_spawn");
    }
}

ChildProcess::~ChildProcess()
{
    if (!m_status) {
        ::kill(m_id, SIGKILL);
        while (::waitpid(m_id, nullptr, 0) < 0 && errno == EINTR) { }
    }
    ::close(m_output);
}

auto ChildProcess::readLine(Runtime::EventLoop &loop, Duration limit) -> std::string
{
    const auto deadline = loop.now() + limit;
    auto end = m_unreadOutput.find('\n');
    while (end == std::string::npos && loop.now() < deadline) {
        std::array<char, 4096> buf{};
        const auto n = ::read(m_output, buf.data(), buf.size());
        if (n == 0) {
            return {};
        }
        if (n > 0) {
            m_unreadOutput.append(buf.data(), static_cast<std::size_t>(n));
        } else {
            (void)loop.runUntil([] { return false; }, 5ms);
        }
        end = m_unreadOutput.find('\n');
    }
    if (end == std::string::npos) {
        return {};
    }
    auto line = m_unreadOutput.substr(0, end);
    m_unreadOutput.erase(0, end + 1);
    return line;
}

auto ChildProcess::signal(int number) -> void
{
    if (!waitStatus()) {
        ::kill(m_id, number);
    }
}

auto ChildProcess::waitStatus() -> std::optional<int>
{
    int status = 0;
    if (!m_status && ::waitpid(m_id, &status, WNOHANG) == m_id) {
        m_status = status;
    }
    return m_status;
}

} // namespace Acaciarail::ProcessTest
