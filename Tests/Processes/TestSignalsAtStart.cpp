// Signals that reach a daemon while it starts. What it opens is a FIFO, which holds it there until the test opens the other end.

#include "Fleet.h"
#include "Process.h"

#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <gtest/gtest.h>
#include <link.h>
#include <sys/stat.h>
#include <unistd.h>

namespace {

using namespace Processes;

constexpr char const* program = CURRANTVALE_BINARY_DIR "/currantvaled";
constexpr char const* libraryPath = "LD_LIBRARY_PATH";
constexpr mode_t fileMode = 0600;
constexpr int signalStatus = 128;

/// A FIFO at a path, whose reader is held until it is opened here.
class Fifo {
public:
    explicit Fifo(std::filesystem::path const& path)
        : m_path(path)
    {
        EXPECT_EQ(::mkfifo(path.c_str(), fileMode), 0);
    }
    ~Fifo()
    {
        if (m_handle >= 0)
            ::close(m_handle);
    }
    Fifo(Fifo const&) = delete;
    Fifo& operator=(Fifo const&) = delete;

    /// Returns whether somebody has opened it for reading, within the usual bound.
    bool waitForReader()
    {
        return waitFor([&] { return (m_handle = ::open(m_path.c_str(), O_WRONLY | O_NONBLOCK)) >= 0; });
    }

    /// Writes this and the end. Precondition: `waitForReader` returned true.
    void end(std::string const& text)
    {
        EXPECT_EQ(::write(m_handle, text.data(), text.size()), static_cast<ssize_t>(text.size()));
        ::close(std::exchange(m_handle, -1));
    }

private:
    std::filesystem::path m_path;
    int m_handle { -1 };
};

/// Returns the file name of a shared library that this process has loaded as well, or nothing.
std::string fileNameOf(std::string_view library)
{
    std::pair<std::string_view, std::string> found { library, {} };
    ::dl_iterate_phdr([](dl_phdr_info* info, std::size_t, void* data) {
        auto& [part, name] = *static_cast<std::pair<std::string_view, std::string>*>(data);
        if (std::string_view(info->dlpi_name).find(part) != std::string_view::npos)
            name = std::filesystem::path(info->dlpi_name).filename().string();
        return 0; }, &found);
    return found.second;
}

/// Settings of a daemon whose listeners take any port, and whose platform is away.
std::string settingsWith(std::string const& logLevel)
{
    return "[daemon]\nname = front-0\navailability_zone = zone-a\nregion = region-a\nlog_level = " + logLevel
        + "\n[callers]\nlisten = 127.0.0.1:0\n[operators]\nlisten = 127.0.0.1:0\ntoken = a-token-of-twenty-bytes\n[peers]\nlisten = 127.0.0.1:0\n"
          "[platform]\nlog = 127.0.0.1:9\nvms = 127.0.0.1:9\n";
}

class SignalsAtStart : public testing::Test {
protected:
    void SetUp() override { std::filesystem::create_directories(m_libraries); }
    void TearDown() override { std::filesystem::remove_all(m_folder); }

    std::unique_ptr<Process> start() const
    {
        return std::make_unique<Process>(std::vector<std::string> { program, "--settings", m_settings }, m_output, m_folder / "log");
    }

    /// Starts a daemon that looks for its shared libraries in a folder of the test first.
    std::unique_ptr<Process> startWithLibraries() const
    {
        ::setenv(libraryPath, m_libraries.c_str(), 1);
        std::unique_ptr<Process> daemon = start();
        ::unsetenv(libraryPath);
        return daemon;
    }

    std::filesystem::path m_folder { std::filesystem::temp_directory_path() / ("currantvale-signals-" + std::to_string(::getpid())) };
    std::filesystem::path m_libraries { m_folder / "lib" };
    std::filesystem::path m_settings { m_folder / "settings.ini" };
    std::filesystem::path m_output { m_folder / "out" };
};

}

// Guards against a daemon that a SIGHUP ends while its shared libraries are loaded.
TEST_F(SignalsAtStart, AReloadWhileLibrariesAreLoadedDoesNotEndADaemon)
{
    for (std::string_view library : { "liblog4cxx", "libnghttp2" }) {
        std::string name = fileNameOf(library);
        ASSERT_FALSE(name.empty()) << library;
        Fifo file(m_libraries / name);
        std::unique_ptr<Process> daemon = startWithLibraries();
        ASSERT_TRUE(file.waitForReader());
        daemon->send(SIGHUP);
        file.end("no library");
        ASSERT_TRUE(waitFor([&] { return daemon->status().has_value(); }));
        EXPECT_EQ(daemon->status(), EXIT_FAILURE) << name; // The library cannot be loaded.
        std::filesystem::remove(m_libraries / name);
    }
}

// Guards against a SIGHUP that is lost because it comes while the settings are read: the change is in force at once, not a second later.
TEST_F(SignalsAtStart, AReloadWhileSettingsAreReadIsMade)
{
    Fifo former(m_settings);
    std::unique_ptr<Process> daemon = start();
    ASSERT_TRUE(former.waitForReader());
    std::filesystem::path changed = m_folder / "changed.ini";
    std::ofstream(changed) << settingsWith("debug");
    std::filesystem::rename(changed, m_settings);
    daemon->send(SIGHUP);
    former.end(settingsWith("info"));
    ASSERT_TRUE(waitFor([&] { return !linesWith(m_output, "settings-reloaded").empty() || daemon->status(); }));
    EXPECT_FALSE(daemon->status().has_value());
    EXPECT_EQ(linesWith(m_output, "cause=signal").size(), 1U);
}

// Guards against a daemon that only SIGKILL ends while it starts: nothing has been accepted then, so that the default action is due.
TEST_F(SignalsAtStart, AStopWhileSettingsAreReadEndsADaemonAtOnce)
{
    for (int signal : { SIGTERM, SIGINT }) {
        Fifo settings(m_settings);
        std::unique_ptr<Process> daemon = start();
        ASSERT_TRUE(settings.waitForReader());
        daemon->send(signal);
        ASSERT_TRUE(waitFor([&] { return daemon->status().has_value(); }));
        EXPECT_EQ(daemon->status(), signalStatus + signal);
        std::filesystem::remove(m_settings);
    }
}
