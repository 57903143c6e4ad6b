#include "DaemonMain.h"

#include <LibCore/EventLog.h>
#include <LibDaemon/Daemon.h>
#include <LibSettings/DaemonSettings.h>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <cstdlib>
#include <cxxopts.hpp>
#include <fstream>
#include <iostream>
#include <malloc.h>
#include <platform/Adapters.h>
#include <sstream>

namespace {

constexpr int exitBadInput = 2;
constexpr int mappedBytes = 64 * 1024;

cxxopts::Options makeOptions()
{
    cxxopts::Options options("currantvaled", "Routes requests to model engines and plain services.");
    cxxopts::OptionAdder add = options.add_options();
    add("settings", "The settings file (INI)", cxxopts::value<std::string>(), "FILE");
    add("check-settings", "Check the settings file and exit");
    add("print-settings", "Print all settings, with what is allowed, and exit");
    add("version", "Print the version and exit");
    add("help", "Print this text and exit");
    options.custom_help("--settings FILE [--check-settings | --print-settings]\n\n"
                        "Examples:\n"
                        "  currantvaled --settings Meta/samples/currantvaled.ini\n"
                        "  currantvaled --settings Meta/samples/currantvaled.ini --check-settings\n\n"
                        "Exit codes: 0 after a graceful end or a good check, 1 when it cannot run, 2 for bad input.\n");
    return options;
}

Core::Result<Settings::DaemonSettings> readSettings(std::string const& fileName)
{
    std::ifstream file(fileName);
    if (!file)
        return Core::fail(Core::ErrorCode::BadInput, fileName + ": cannot be read\n");
    std::ostringstream text;
    text << file.rdbuf();
    return Settings::DaemonSettings::parse(text.str(), fileName);
}

Daemon::Adapters adaptersFor(Settings::DaemonSettings const& settings)
{
    bool isStore = settings.platform.kind == Settings::DaemonSettings::PlatformKind::KeyedStore;
    return isStore ? UsersPlatform::createAdapters() : Daemon::ownAdapters();
}

int runDaemon(Settings::DaemonSettings const& settings, std::string const& fileName)
{
    Core::startEventLog(settings.daemon.logLevel);
    Core::Result<std::unique_ptr<Daemon::Daemon>> daemon = Daemon::Daemon::create(settings, adaptersFor(settings), [fileName] { return readSettings(fileName); });
    if (daemon.has_error()) {
        Core::logEvent(Core::Severity::Error, Core::Event::ListenerFailed, { { "error", daemon.error().message } });
        Core::stopEventLog();
        return EXIT_FAILURE;
    }
    daemon.value()->run();
    // The daemon's own handlers go with it, and a signal must not end the process before the log is written.
    boost::asio::io_context context;
    boost::asio::signal_set signals(context, SIGTERM, SIGINT, SIGHUP);
    daemon.value().reset(); // Connections that are still open log their end.
    Core::stopEventLog();
    // Its handlers go as well, and by their default actions signals would end a process that has ended well as if it had failed.
    sigset_t signalsAtEnd;
    sigfillset(&signalsAtEnd);
    pthread_sigmask(SIG_BLOCK, &signalsAtEnd, nullptr);
    return EXIT_SUCCESS;
}

int run(cxxopts::ParseResult const& arguments, cxxopts::Options const& options)
{
    if (arguments.count("help") > 0) {
        std::cout << options.help();
        return EXIT_SUCCESS;
    }
    if (arguments.count("version") > 0) {
        std::cout << "currantvaled " CURRANTVALE_VERSION "\n";
        return EXIT_SUCCESS;
    }
    if (arguments.count("settings") == 0) {
        std::cerr << "currantvaled: --settings FILE is required; see --help\n";
        return exitBadInput;
    }
    Core::Result<Settings::DaemonSettings> settings = readSettings(arguments["settings"].as<std::string>());
    if (settings.has_error()) {
        std::cerr << settings.error().message;
        return exitBadInput;
    }
    if (arguments.count("check-settings") > 0) {
        std::cout << "the settings are good\n";
        return EXIT_SUCCESS;
    }
    if (arguments.count("print-settings") > 0) {
        std::cout << settings.value().print();
        return EXIT_SUCCESS;
    }
    return runDaemon(settings.value(), arguments["settings"].as<std::string>());
}

}

int currantvaledMain(int argc, char** argv)
{
    // Buffers of this size and more are the kernel's again as soon as they are free. By default the threshold grows with what is freed,
    // and the memory of a burst of large requests stays with the process.
    ::mallopt(M_MMAP_THRESHOLD, mappedBytes);
    cxxopts::Options options = makeOptions();
    try {
        return run(options.parse(argc, argv), options);
    } catch (cxxopts::exceptions::exception const& exception) {
        std::cerr << "currantvaled: " << exception.what() << "; see --help\n";
        return exitBadInput;
    }
}
