#include "Bench.h"
#include <algorithm>
#include <malloc.h>
#include <string_view>

namespace Bench {

std::uint64_t heapBytes()
{
    struct mallinfo2 info = mallinfo2();
    return info.uordblks + info.hblkhd;
}

double nanosecondsEach(std::uint64_t count, std::function<void()> const& body)
{
    constexpr int runs = 5;
    double best = 0;
    for (int i = 0; i < runs; ++i) {
        std::chrono::steady_clock::time_point start = std::chrono::steady_clock::now();
        body();
        double ns = std::chrono::duration<double, std::nano>(std::chrono::steady_clock::now() - start).count() / static_cast<double>(count);
        best = i == 0 ? ns : std::min(best, ns);
    }
    return best;
}

}

/// Measures the slopes that docs/CAPACITY.md and docs/design/ quote. With the argument `placement` or `access`, only that.
int main(int argc, char** argv)
{
    std::string_view only = argc > 1 ? argv[1] : "";
    if (only == "access") {
        Bench::runAccess();
        return 0;
    }
    Bench::runPlacement();
    if (only == "placement")
        return 0;
    Bench::runAccess();
    Bench::runAdmission();
    Bench::runRequests();
    Bench::runMayHaveRunTrial();
    Bench::runOverloadTrial();
    return 0;
}
