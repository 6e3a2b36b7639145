#pragma once

#include <acaciarail/runtime/event_loop.h>

#include <sys/types.h>

#include <optional>
#include <string>
#include <vector>

namespace Acaciarail::ProcessTest {

struct ChildOptions
{
    /// File to which the standard output is appended; when empty, ChildProcess::readLine() reads the output.
    std::string outputPath;
    /// Variables `NAME=VALUE` that are added to the environment of this process.
    std::vector<std::string> environment;
};

/// A program of the build as a child process. Its standard output is read line by line; its standard error is discarded unless
/// ACACIARAIL_TEST_LOG names a directory. The destructor kills and reaps it. Not thread-safe.
class ChildProcess
{
public:
    /// Starts \a program from the directory of the running test program.
    /// \pre none. Throws std::system_error when the program cannot be started.
    ChildProcess(const std::string &program, const std::vector<std::string> &arguments, const std::string &logName,
                 const ChildOptions &options = {});
    ~ChildProcess();
    ChildProcess(const ChildProcess &) = delete;
    auto operator=(const ChildProcess &) -> ChildProcess & = delete;

    /// Returns the next line of the output while \a loop runs; empty at the end of the output or after \a limit. \pre none.
    [[nodiscard]] auto readLine(Runtime::EventLoop &loop, Duration limit) -> std::string;

    /// Sends a signal unless the process has been reaped. \pre none.
    auto signal(int number) -> void;

    /// Returns the process id, also after the process has ended. \pre none.
    [[nodiscard]] auto id() const noexcept -> pid_t
    {
        return m_id;
    }

    /// Returns the wait status once the process has ended. \pre none.
    [[nodiscard]] auto waitStatus() -> std::optional<int>;

private:
    pid_t m_id = -1;
    int m_output = -1;
    std::string m_unreadOutput;
    std::optional<int> m_status;
};

} // namespace Acaciarail::ProcessTest
