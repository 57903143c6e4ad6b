#pragma once

#include <chrono>
#include <string>

namespace Processes {

/// A signal that a process of a site was sent.
struct SentSignal {
    std::string process;
    int number { 0 };
    std::chrono::steady_clock::time_point at;
};

}
