#include "Kinds.h"

#include <algorithm>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <iostream>

namespace {

constexpr int exitUsage = 2;
constexpr int exitUnavailable = 4;

}

int main(int argc, char** argv)
{
    std::vector<std::string> arguments(argv + std::min(argc, 2), argv + argc);
    std::string kind = argc > 1 ? argv[1] : "";
    bool wantsHelp = kind == "--help" || kind == "-h" || std::ranges::any_of(arguments, [](std::string const& it) { return it == "--help" || it == "-h"; });
    if (wantsHelp) {
        std::cout << helpText(kind);
        return 0;
    }
    boost::asio::io_context context(1);
    boost::asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait([&](boost::system::error_code, int) { context.stop(); });
    Core::Result<RunningStandIn> standIn = startStandIn(context, kind, arguments);
    if (!standIn) {
        std::cerr << "currantvale-standin: " << standIn.error().message << "\n";
        if (standIn.error().code == Core::ErrorCode::NotFound)
            std::cerr << helpText(kind);
        return standIn.error().code == Core::ErrorCode::Unavailable ? exitUnavailable : exitUsage;
    }
    std::cout << "listening " << standIn.value().address << std::endl;
    context.run();
    return 0;
}
