#include "Bench.h"

#include <LibAccess/Organisations.h>
#include <cstdio>
#include <string>
#include <vector>

namespace Bench {

namespace {

constexpr std::uint64_t lookUps = 200'000;

std::string keyOf(std::uint64_t organisation)
{
    return "key-of-an-organisation-" + std::to_string(organisation);
}

}

void runAccess()
{
    for (std::uint64_t organisations : { 83U, 24'000U }) {
        std::vector<Access::Organisation> all;
        std::vector<std::string> keys;
        for (std::uint64_t n = 0; n < organisations; ++n) {
            keys.push_back(keyOf(n));
            all.push_back({ "organisation-" + std::to_string(n), std::nullopt, { Access::KeyDigest::of(keys.back()) } });
        }
        std::shared_ptr<Access::Organisations const> index = Access::Organisations::create(std::move(all)).value();
        std::uint64_t found = 0;
        double ns = nanosecondsEach(lookUps, [&] {
            for (std::uint64_t n = 0; n < lookUps; ++n)
                found += index->find(keys[n % keys.size()]) ? 1 : 0;
        });
        std::printf("access organisations=%llu look_up_ns=%.0f found=%s\n", static_cast<unsigned long long>(organisations), ns, found > 0 && found % lookUps == 0 ? "all" : "not all");
    }
}

}
