#include <LibRequest/Fingerprint.h>
#include <array>
#include <memory>
#include <xxhash.h>

namespace Request {

namespace {

struct StateDeleter {
    void operator()(XXH3_state_t* state) const { XXH3_freeState(state); }
};

void addPart(XXH3_state_t& state, std::string_view part)
{
    std::array<std::uint64_t, 1> size { part.size() };
    XXH3_128bits_update(&state, size.data(), sizeof(size));
    XXH3_128bits_update(&state, part.data(), part.size());
}

}

Fingerprint fingerprintOf(std::string_view method, std::string_view path, std::string_view body)
{
    std::unique_ptr<XXH3_state_t, StateDeleter> state(XXH3_createState());
    XXH3_128bits_reset(state.get());
    addPart(*state, method);
    addPart(*state, path);
    addPart(*state, body);
    XXH128_hash_t hash = XXH3_128bits_digest(state.get());
    return Fingerprint { hash.low64, hash.high64 };
}

}
