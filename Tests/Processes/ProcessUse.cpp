#include "ProcessUse.h"

#include <cstdio>
#include <filesystem>
#include <fstream>
#include <string>

namespace Processes {

namespace {

std::filesystem::path processFolder(pid_t process)
{
    return std::filesystem::path("/proc") / std::to_string(process);
}

}

std::size_t residentBytes(pid_t process)
{
    constexpr std::string_view name = "VmRSS:";
    constexpr std::size_t kibibyte = 1024;
    std::ifstream file(processFolder(process) / "status");
    for (std::string line; std::getline(file, line);) {
        if (line.starts_with(name))
            return std::stoul(line.substr(name.size())) * kibibyte;
    }
    return 0;
}

std::size_t openDescriptors(pid_t process)
{
    std::size_t n = 0;
    std::error_code ec;
    std::filesystem::directory_iterator it(processFolder(process) / "fd", ec);
    for (; !ec && it != std::filesystem::directory_iterator(); it.increment(ec))
        ++n;
    return n;
}

std::size_t receivedBytes(Endpoint const& endpoint)
{
    constexpr unsigned listening = 0x0a;
    std::ifstream file("/proc/net/tcp");
    std::size_t sum = 0;
    for (std::string line; std::getline(file, line);) {
        unsigned port = 0;
        unsigned state = 0;
        unsigned bytes = 0;
        bool isEntry = std::sscanf(line.c_str(), " %*d: %*x:%x %*x:%*x %x %*x:%x", &port, &state, &bytes) == 3;
        if (isEntry && state != listening && port == endpoint.port())
            sum += bytes;
    }
    return sum;
}

}
