#pragma once

#include <LibCore/Result.h>
#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace Request {

/// Layout of a ticket before base64url: version (1 byte), incarnation (8), time of issue in nanoseconds of the
/// home's monotonic clock (8), nonce (16), length of the home's name (1), name, HMAC-SHA256 of everything before it (32).
/// Numbers are big-endian. Internal to this library.
struct TicketFormat {
    static constexpr std::uint8_t version = 1;
    static constexpr std::size_t incarnationAt = 1;
    static constexpr std::size_t issuedAt = 9;
    static constexpr std::size_t nonceAt = 17;
    static constexpr std::size_t nameSizeAt = 33;
    static constexpr std::size_t nameAt = 34;
    static constexpr std::size_t signatureSize = 32;
    static constexpr std::size_t minimumSize = nameAt + signatureSize;
    static constexpr std::size_t maximumNameSize = 255;
    static constexpr std::size_t maximumSize = minimumSize + maximumNameSize;

    static std::uint64_t readNumber(std::span<std::uint8_t const> bytes, std::size_t at);
    static void appendNumber(std::vector<std::uint8_t>& bytes, std::uint64_t number);
};

/// RFC 4648, section 5, without padding. Thread-safe.
std::string encodeBase64Url(std::span<std::uint8_t const>);

/// Errors: BadInput for a character outside the alphabet, an impossible length or spare bits that are set (each
/// ticket has one text only). Thread-safe.
Core::Result<std::vector<std::uint8_t>> decodeBase64Url(std::string_view);

}
