#include <LibRequest/Fingerprint.h>
#include <array>
#include <charconv>
#include <cinttypes>
#include <cstdio>
#include <memory>
#include <xxhash.h>

namespace Request {

namespace {

struct StateDeleter {
    void operator()(XXH3_state_t* state) const { XXH3_freeState(state); }
};

bool readHalf(std::string_view digits, std::uint64_t& number)
{
    constexpr int hexadecimal = 16;
    std::from_chars_result parsed = std::from_chars(digits.data(), digits.data() + digits.size(), number, hexadecimal);
    return parsed.ec == std::errc() && parsed.ptr == digits.data() + digits.size();
}

void addPart(XXH3_state_t& state, std::string_view part)
{
    std::array<std::uint64_t, 1> size { part.size() };
    XXH3_128bits_update(&state, size.data(), sizeof(size));
    XXH3_128bits_update(&state, part.data(), part.size());
}

}

Fingerprint fingerprintOf(std::initializer_list<std::string_view> parts)
{
    std::unique_ptr<XXH3_state_t, StateDeleter> state(XXH3_createState());
    XXH3_128bits_reset(state.get());
    for (std::string_view part : parts)
        addPart(*state, part);
    XXH128_hash_t hash = XXH3_128bits_digest(state.get());
    return Fingerprint { hash.low64, hash.high64 };
}

Fingerprint fingerprintOf(std::string_view method, std::string_view path, std::string_view body)
{
    return fingerprintOf({ method, path, body });
}

std::string toString(Fingerprint const& fingerprint)
{
    std::array<char, 33> text {};
    std::snprintf(text.data(), text.size(), "%016" PRIx64 "%016" PRIx64, fingerprint.high, fingerprint.low);
    return text.data();
}

std::optional<Fingerprint> fingerprintFrom(std::string_view text)
{
    constexpr std::size_t halfDigits = 16;
    if (text.size() != 2 * halfDigits)
        return std::nullopt;
    Fingerprint fingerprint;
    bool isGood = readHalf(text.substr(0, halfDigits), fingerprint.high) && readHalf(text.substr(halfDigits), fingerprint.low);
    return isGood ? std::optional(fingerprint) : std::nullopt;
}

}
